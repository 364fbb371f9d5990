package announcer

import (
	"net/netip"
	"strconv"
	"time"

	"almondpick/gossiper"
)

// DeregistrationOutcome is what Registry.Deregister found and did.
type DeregistrationOutcome uint8

// The outcomes.
const (
	UnknownTarget DeregistrationOutcome = iota // no target with the identity is known
	NotDraining                                // a target with the identity is known, and none is known to drain
	Ended                                      // the target has ended, because of this call or of an earlier one
	deregistrationOutcomeCount
)

var deregistrationOutcomeNames = [deregistrationOutcomeCount]string{"unknown-target", "not-draining", "ended"}

// String returns the name of the outcome.
func (o DeregistrationOutcome) String() string {
	if o >= deregistrationOutcomeCount {
		return "unknown"
	}
	return deregistrationOutcomeNames[o]
}

// NotDrainingError reports a deregistration of a target of which no incarnation drains: it was
// sent by an earlier incarnation, or the notice that the target drains was received by no
// instance.
type NotDrainingError struct {
	Identity uint64
}

// Error implements error.
func (e *NotDrainingError) Error() string {
	return "the target with the identity " + strconv.FormatUint(e.Identity, 16) + " has not said that it drains"
}

// Deregister marks the target with the given identity that drains as ended, publishes that, and
// returns its endpoint.
//
// A deregistration carries no incarnation, and may arrive after the target has started again
// under its identity. A target drains before it ends, so that an incarnation that accepts new
// work has not sent it. If no incarnation drains, nothing changes. A target whose job is not named
// does not count as draining, because its end would bind no instance that knows the job.
func (r *Registry) Deregister(now time.Duration, identity uint64, p Publisher) (netip.AddrPort, DeregistrationOutcome) {
	t, outcome := r.findDeregistered(identity)
	if t == nil {
		return netip.AddrPort{}, outcome
	}
	if t.State == Draining {
		a := t.Announcement
		a.State = Deregistered
		a.Sequence++
		r.setTarget(now, a, r.self, false)
		p.Broadcast(r.newRecord(a, gossiper.LivenessSelfReported))
		delete(r.localTargets, a.Endpoint)
	}
	return t.Endpoint, outcome
}

// findDeregistered returns the target that a deregistration of an identity concerns: the earliest
// incarnation that drains, or one that has ended already if no incarnation accepts new work.
// Otherwise the target is nil.
func (r *Registry) findDeregistered(identity uint64) (found *Target, outcome DeregistrationOutcome) {
	var draining, ended *Target
	for _, t := range r.targets {
		switch {
		case t.Identity != identity:
		case t.JobUnnamed() || !t.Leaves():
			outcome = NotDraining
		case t.State == Deregistered:
			ended = t
		case draining == nil || t.Incarnation < draining.Incarnation:
			draining = t
		}
	}
	switch {
	case draining != nil:
		return draining, Ended
	case outcome == NotDraining:
		return nil, NotDraining
	case ended != nil:
		return ended, Ended
	}
	return nil, UnknownTarget
}
