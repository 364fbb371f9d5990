package pacer

import (
	"time"

	"almondpick/admitter"
	"almondpick/steerer"
)

const (
	// historySize is how many packets a flow has in flight at most.
	historySize = 16
	// acknowledgementTime is how long after a packet was sent a retransmission of it is dropped:
	// its acknowledgement is probably on the way. It is half of the retransmission timeout, so only a
	// packet that has waited here for the other half can have a retransmission dropped.
	acknowledgementTime = admitter.RetransmissionTimeout / 2
)

// sentPacket identifies a packet with payload that was sent after it had been queued.
type sentPacket struct {
	sequence    uint32
	payloadSize int // bytes; 0 if the entry is not in use
	flags       steerer.Flags
	sentAt      time.Duration
}

// sentHistory holds the last packets of a flow that were sent after they had been queued.
type sentHistory struct {
	packets [historySize]sentPacket
	next    int // index of the oldest entry
}

func (h *sentHistory) add(now time.Duration, packet Packet) {
	if packet.PayloadSize == 0 {
		return
	}
	h.packets[h.next] = sentPacket{packet.Sequence, packet.PayloadSize, packet.Flags, now}
	h.next = (h.next + 1) % historySize
}

// takeRetransmission reports whether the packet is a retransmission of one that was sent within
// acknowledgementTime. Of each packet only one retransmission is dropped: if the packet was lost on
// its way, the next one replaces it.
func (h *sentHistory) takeRetransmission(now time.Duration, packet Packet) bool {
	for i := range h.packets {
		sent := &h.packets[i]
		if sent.payloadSize == 0 || sent.sequence != packet.Sequence || sent.payloadSize != packet.PayloadSize || sent.flags != packet.Flags {
			continue
		}
		recent := now-sent.sentAt < acknowledgementTime
		*sent = sentPacket{}
		return recent
	}
	return false
}
