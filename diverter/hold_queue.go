package diverter

import (
	"cmp"
	"slices"
	"time"

	"almondpick/steerer"
)

// Limits of the hold queue.
const (
	maxHeldPackets = 2048
	// retryInterval is the time between two decisions about a held packet.
	retryInterval = 10 * time.Millisecond
	// ageStep is the difference in age that goes before a difference in priority.
	ageStep = 30 * time.Millisecond
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

// late reports whether the response would probably begin after the latency objective. Half of
// the objective is left for the target.
func (h *heldPacket) late(now time.Duration) bool {
	return h.route != nil && h.route.Objective > 0 && now-h.sentAt > h.route.Objective/2
}

// priority returns the priority of the route, 0 being the highest.
func (h *heldPacket) priority() int {
	if h.route == nil {
		return 0
	}
	return h.route.Priority
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
//
// Packets whose callers can still be answered within the latency objective come first. Among
// those, and among the rest, the newest come first: if more callers wait than the targets can
// serve, the latest are served in time, rather than all of them too late. Of packets that are
// about equally old, those of the route with the higher priority come first.
func (q *holdQueue) takeDue(now time.Duration) []heldPacket {
	if len(q.packets) == 0 || now < q.nextRetryAt {
		return nil
	}
	q.nextRetryAt = now + retryInterval
	due := q.packets
	q.packets = nil
	slices.SortStableFunc(due, func(a, b heldPacket) int { return compareHeld(now, &a, &b) })
	return due
}

// compareHeld returns a negative number if a is to be decided about before b, and a positive
// one in the opposite case.
func compareHeld(now time.Duration, a, b *heldPacket) int {
	if a.late(now) != b.late(now) {
		if b.late(now) {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare((now-a.sentAt)/ageStep, (now-b.sentAt)/ageStep),
		cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(b.sentAt, a.sentAt))
}

// retryNow makes all packets due at once.
func (q *holdQueue) retryNow() {
	q.nextRetryAt = 0
}

// requeue puts back a packet that is still held.
func (q *holdQueue) requeue(held heldPacket) {
	q.packets = append(q.packets, held)
}
