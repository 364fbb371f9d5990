package diverter

import (
	"slices"
	"time"

	"almondpick/steerer"
)

// Limits of the hold queue.
const (
	maxHeldPackets = 2048
	// maxHoldTime is how long a packet is held at most. It is shorter than the time that
	// callers wait for a flow to be established, so that a refusal reaches them while
	// there is time to try again.
	maxHoldTime = time.Second
	// retryInterval is the time between two decisions about a held packet.
	retryInterval = 10 * time.Millisecond
)

// heldPacket is a packet to be decided about again.
type heldPacket struct {
	firstReceivedAt time.Duration // of a SYN: when the first transmission was received
	flow            steerer.Flow
	packet          []byte // including the headroom
	isSYN           bool
}

// holdQueue stores held packets. Of a retransmitted SYN it stores only the last
// transmission.
type holdQueue struct {
	packets     []heldPacket
	nextRetryAt time.Duration // when the packets are due
}

// enqueue adds a copy of the packet, or replaces an earlier transmission of the same SYN.
// It returns false if the queue is full.
func (q *holdQueue) enqueue(now time.Duration, p steerer.Packet, packet []byte) bool {
	held := heldPacket{firstReceivedAt: now, flow: p.Flow, packet: slices.Clone(packet), isSYN: p.Flags&steerer.SYN != 0}
	if held.isSYN {
		index := slices.IndexFunc(q.packets, func(queued heldPacket) bool { return queued.isSYN && queued.flow == p.Flow })
		if index >= 0 {
			held.firstReceivedAt = q.packets[index].firstReceivedAt
			q.packets[index] = held
			return true
		}
	}
	if len(q.packets) >= maxHeldPackets {
		return false
	}
	q.packets = append(q.packets, held)
	return true
}

// takeDue removes all packets from the queue if they are due, and returns those to be
// decided about again, and those that were held for longer than maxHoldTime.
//
// The newest packets come first: if more callers wait than the targets can serve, the
// latest are served in time, rather than all of them too late.
func (q *holdQueue) takeDue(now time.Duration) (due, expired []heldPacket) {
	if len(q.packets) == 0 || now < q.nextRetryAt {
		return nil, nil
	}
	q.nextRetryAt = now + retryInterval
	for _, held := range q.packets {
		if now-held.firstReceivedAt > maxHoldTime {
			expired = append(expired, held)
			continue
		}
		due = append(due, held)
	}
	q.packets = nil
	slices.SortStableFunc(due, func(a, b heldPacket) int { return int(b.firstReceivedAt - a.firstReceivedAt) })
	return due, expired
}

// retryNow makes all packets due at once.
func (q *holdQueue) retryNow() {
	q.nextRetryAt = 0
}

// requeue puts back a packet that is still held.
func (q *holdQueue) requeue(held heldPacket) {
	q.packets = append(q.packets, held)
}
