// Package warmer limits how many flows the forwarding instances together send to a target in slow
// start. They cannot ask one another for each flow, so each has turns of its own: it may send one
// flow in each of its turns, and a turn that is not used is lost.
//
// The turns of all instances at one target are evenly spaced over a period. The period is as long
// as the number of instances divided by the rate that they may send together, and the order of the
// instances in it is that of rendezvous hashing. An instance whose view differs from that of others
// therefore still sends no more than its share of the rate: what the shares of all instances add up
// to depends on the number of instances that each counts, and not on which ones it can reach.
//
// So instances are counted for longer than they may be partitioned and still send, and an instance
// that does not yet know how many there are sends less or nothing. docs/design/slow-start.md says
// what follows for partitions, restarts and growth.
//
// A Warmer has no clock and no goroutine, and is not safe for concurrent use. Parameters named now
// are times since any fixed moment.
package warmer

import (
	"math"
	"time"
)

// DefaultExcess and DefaultSlack are the bound that is kept if WithBound does not set another: in
// any second a target gets at most its rate times the excess, plus the slack.
const (
	DefaultExcess = 1.5
	DefaultSlack  = 5.0 // flows
)

const (
	// maxRateFraction is the fraction of a target's rate that all instances send together at most.
	maxRateFraction = 0.7
	// rateFractionPerExcess times the excess is that fraction if the excess is small. Instances
	// that count only half of all instances send twice as much together, which must stay below
	// the excess.
	rateFractionPerExcess = 0.47
	// slackReserve is the part of the slack that turns may not use. Two sets of evenly spaced
	// turns have up to one turn each in a second that their rates do not account for, and the
	// network may delay a flow into the next second.
	slackReserve = 3.0
	// minTurnLength is the shortest time for which a turn can be used. A flow that waits is decided
	// about every 10 ms.
	minTurnLength = 30 * time.Millisecond
)

// bound is the bound on the flows that a target gets in any second.
type bound struct {
	excess float64
	slack  float64 // flows
}

// rateFraction returns the fraction of a target's rate that all instances send together.
func (b bound) rateFraction() float64 {
	return min(maxRateFraction, b.excess*rateFractionPerExcess)
}

// turnLength returns for how long a turn can be used. If no flow has come for a while, turns are open at
// several instances, and the next flows may come to all of them at once. In any second a set of
// instances sends at most the turns that were opened in that second and in the length of a turn
// before it. The length is such that two sets stay within the bound.
func (b bound) turnLength(rate float64) time.Duration {
	twoSets := 2 * b.rateFraction() * rate
	free := b.slack - slackReserve + b.excess*rate - twoSets
	return max(minTurnLength, seconds(free/twoSets))
}

// Warmer decides which flows this instance may send to targets in slow start.
type Warmer struct {
	bound   bound
	members memberList
	targets map[uint64]*targetTurns
}

// targetTurns is what a Warmer knows of a target.
type targetTurns struct {
	order         float64 // place of this instance in the period, from 0 to 1
	orderRevision uint64  // of the members that order was computed from
	sent          bool    // a flow has been sent
	sentAt        time.Duration
	endsAt        time.Duration // end of the slow start
}

// Option configures a Warmer.
type Option func(*Warmer)

// WithBound sets the bound that is kept: in any second a target gets at most its rate times the
// excess, plus the slack.
func WithBound(excess, slack float64) Option {
	return func(w *Warmer) { w.bound = bound{excess: excess, slack: slack} }
}

// New returns a Warmer for the instance with the name self. It admits nothing until SetMembers
// provides the members.
func New(self string, opts ...Option) *Warmer {
	w := &Warmer{
		bound: bound{excess: DefaultExcess, slack: DefaultSlack}, members: newMemberList(self), targets: make(map[uint64]*targetTurns),
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// SetMembers replaces what is known of the forwarding instances.
func (w *Warmer) SetMembers(now time.Duration, m Members) {
	w.members.set(now, m)
	for identity, t := range w.targets {
		if now >= t.endsAt+memberRetention {
			delete(w.targets, identity)
		}
	}
}

// Admit reports whether this instance may send a flow to a target in slow start now. The rate is
// the flows a second that the target bears, and endsAt is the end of its slow start.
func (w *Warmer) Admit(now time.Duration, target uint64, rate float64, endsAt time.Duration) bool {
	instances := w.members.rateDivisor(now)
	if instances == 0 || !(rate > 0) { // rejects NaN too
		return false
	}
	period := float64(instances) / (w.bound.rateFraction() * rate) // seconds
	if !(period < maxSeconds) {
		return false
	}
	t := w.turnsAt(target)
	t.endsAt = endsAt
	periods := (now-endsAt).Seconds()/period - t.order
	opened := seconds((periods - math.Floor(periods)) * period) // how long ago the turn began
	if opened >= w.bound.turnLength(rate) {
		return false
	}
	// Half a period is the least distance: turns move when the members change.
	return !t.sent || now-t.sentAt > max(opened, seconds(period/2))
}

// Commit records that this instance sends a flow to a target that Admit admitted.
func (w *Warmer) Commit(now time.Duration, target uint64) {
	t := w.turnsAt(target)
	t.sent, t.sentAt = true, now
}

// turnsAt returns the turns of this instance at a target.
func (w *Warmer) turnsAt(target uint64) *targetTurns {
	t := w.targets[target]
	if t == nil {
		t = &targetTurns{}
		w.targets[target] = t
	}
	if t.orderRevision != w.members.revision {
		t.order, t.orderRevision = w.members.order(target), w.members.revision
	}
	return t
}

// maxSeconds is the longest time that seconds returns, in seconds: a quarter of the range of
// time.Duration, so that sums of two such times do not overflow.
const maxSeconds = float64(1<<61) / float64(time.Second)

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(max(-maxSeconds, min(s, maxSeconds)) * float64(time.Second))
}
