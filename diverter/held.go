package diverter

import (
	"slices"
	"time"

	"almondpick/steerer"
)

// Limits of what is held.
const (
	heldPackets = 2048
	// holdFor is how long a packet waits. It is less than callers wait for a flow to
	// open, so that they hear of a refusal while there is time to ask again.
	holdFor = time.Second
	// replayEvery is how often what is held is decided about again.
	replayEvery = 10 * time.Millisecond
)

// held is a packet that waits to be decided about again.
type held struct {
	first  time.Duration // when the first copy came
	flow   steerer.Flow
	packet []byte // with its headroom
	opens  bool
}

// holder keeps packets that wait. Of the copies of an opening packet it keeps the last
// one.
type holder struct {
	waiting []held
	next    time.Duration // when they are decided about again
}

// hold keeps a copy of a packet. It is false when too many wait already.
func (h *holder) hold(now time.Duration, p steerer.Packet, packet []byte) bool {
	o := held{first: now, flow: p.Flow, packet: slices.Clone(packet), opens: p.Flags&steerer.SYN != 0}
	if o.opens {
		at := slices.IndexFunc(h.waiting, func(w held) bool { return w.opens && w.flow == p.Flow })
		if at >= 0 {
			o.first = h.waiting[at].first
			h.waiting[at] = o
			return true
		}
	}
	if len(h.waiting) >= heldPackets {
		return false
	}
	h.waiting = append(h.waiting, o)
	return true
}

// take returns the packets that are due to be decided about again, and those that have
// waited too long.
//
// The newest come first. When more callers wait than targets can take on, the ones that
// have just come are served in time, rather than all of them late.
func (h *holder) take(now time.Duration) (due, expired []held) {
	if len(h.waiting) == 0 || now < h.next {
		return nil, nil
	}
	h.next = now + replayEvery
	for _, o := range h.waiting {
		if now-o.first > holdFor {
			expired = append(expired, o)
			continue
		}
		due = append(due, o)
	}
	h.waiting = nil
	slices.SortStableFunc(due, func(a, b held) int { return int(b.first - a.first) })
	return due, expired
}

// hurry makes all that waits due at once.
func (h *holder) hurry() {
	h.next = 0
}

// keep puts back a packet that still has to wait.
func (h *holder) keep(o held) {
	h.waiting = append(h.waiting, o)
}
