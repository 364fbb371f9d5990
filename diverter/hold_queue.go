package diverter

import (
	"slices"
	"time"

	"almondpick/admitter"
	"almondpick/steerer"
)

// Limits of the hold queue.
const (
	maxHeldPackets = 2048
	// retryInterval is the time between two decisions about a held packet.
	retryInterval = admitter.RetryInterval
)

// heldPacket is a packet to be decided about again.
type heldPacket struct {
	sentAt     time.Duration // when the caller first sent it, or when it was received if that is not known
	receivedAt time.Duration // when the transmission in packet was received
	flow       steerer.Flow
	sequence   uint32
	packet     []byte // including the headroom
	isSYN      bool
	route      *steerer.Route // nil if the address had no route
	// decidedAt is when it was last decided about the packet in the queue.
	decidedAt time.Duration
}

// sameAs reports whether o is another transmission of the packet.
func (h *heldPacket) sameAs(o *heldPacket) bool {
	return h.flow == o.flow && h.isSYN == o.isSYN && h.sequence == o.sequence
}

// request returns the packet as admission sees it.
func (h *heldPacket) request(now time.Duration) admitter.Request {
	r := admitter.Request{Waited: now - h.sentAt, CanRefuse: h.isSYN}
	if h.route != nil {
		r.Route = h.route.Terms()
	}
	return r
}

// holdQueue stores held packets. Of a retransmitted packet it stores only the last
// transmission.
type holdQueue struct {
	packets     []heldPacket
	nextRetryAt time.Duration // when the packets are due
}

// enqueue adds a copy of the packet, or replaces an earlier transmission of the same one. It
// returns false if the queue is full.
func (q *holdQueue) enqueue(now time.Duration, p steerer.Packet, route *steerer.Route, packet []byte) bool {
	held := heldPacket{
		sentAt: now - p.SentBefore, receivedAt: now, flow: p.Flow, sequence: p.Sequence, packet: slices.Clone(packet),
		isSYN: p.Flags&steerer.SYN != 0, route: route,
	}
	index := slices.IndexFunc(q.packets, func(queued heldPacket) bool { return queued.sameAs(&held) })
	if index >= 0 {
		held.sentAt = min(held.sentAt, q.packets[index].sentAt)
		q.packets[index] = held
		return true
	}
	if len(q.packets) >= maxHeldPackets {
		return false
	}
	q.packets = append(q.packets, held)
	return true
}

// takeDue removes all packets from the queue if they are due, and returns them in the order in
// which they are to be decided about again.
func (q *holdQueue) takeDue(now time.Duration) []heldPacket {
	if len(q.packets) == 0 || now < q.nextRetryAt {
		return nil
	}
	q.nextRetryAt = now + retryInterval
	due := q.packets
	q.packets = nil
	slices.SortStableFunc(due, func(a, b heldPacket) int { return admitter.Order(a.request(now), b.request(now)) })
	return due
}

// retryNow makes all packets due at once.
func (q *holdQueue) retryNow() {
	q.nextRetryAt = 0
}

// requeue puts back a packet that is still held.
func (q *holdQueue) requeue(held heldPacket) {
	q.packets = append(q.packets, held)
}
