package steerer

import (
	"time"

	"almondpick/admitter"
)

// request returns the packet as admission sees it. The terms of the route are nil, and the pool empty,
// if they are not known.
func (p *Packet) request(route *admitter.Terms, pool string) admitter.Request {
	return admitter.Request{
		Pool: pool, Route: route, Waited: max(p.HeldFor, p.SentBefore), Asked: p.HeldFor > 0, CanRefuse: p.Flags&SYN != 0,
		SinceReceived: p.ReceivedBefore, NextSYNAfter: p.NextSYNAfter,
	}
}

// actions maps the decisions of admission to actions.
var actions = map[admitter.Decision]Action{
	admitter.Admit: Forward, admitter.Wait: Hold, admitter.Refuse: Reset, admitter.Discard: Drop,
}

// reasons maps the reasons of admission to reasons of decisions.
var reasons = map[admitter.Reason]Reason{
	admitter.PoolFull: Busy, admitter.LinkFull: LinkBusy, admitter.NoPool: NoTarget, admitter.WaitedTooLong: HeldTooLong,
	admitter.CallerSilent: CallerSilent,
}

// notAdmitted returns the decision about a packet that admission does not let pass.
func notAdmitted(v admitter.Verdict, target *Target, route *Route) Decision {
	d := Decision{Action: actions[v.Decision], Reason: reasons[v.Reason], Target: target, Route: route}
	if v.Limit > 0 {
		d.Load, d.InProgress, d.Limit, d.Waiting = v.Reason, v.InProgress, v.Limit, v.Waiting
	}
	if v.Decision == admitter.Refuse {
		d.Reason = HeldTooLong
	}
	return d
}

// withoutTarget returns the decision about a SYN for whose route the view has no target. v is the
// answer of admission to a request without a pool.
func (s *Steerer) withoutTarget(v admitter.Verdict, route *Route) Decision {
	decision := notAdmitted(v, nil, route)
	decision.Reason = s.missingTargetReason(route)
	if s.view.Synced {
		decision.Action = Reset
	}
	return decision
}

// holdUntilSynced returns the action for a packet whose route or target the view does
// not contain: syncedAction once the view is synced, Hold before. During the initial
// sync a reset would end the caller's attempt, and a drop would cost it the time until
// its next retransmission.
func (s *Steerer) holdUntilSynced(now time.Duration, p Packet, syncedAction Action) Action {
	if s.view.Synced {
		return syncedAction
	}
	return s.holdWhileUnknown(now, p)
}

// holdWhileUnknown returns the action for a packet whose route or target is not known yet.
func (s *Steerer) holdWhileUnknown(now time.Duration, p Packet) Action {
	return actions[s.admitter.Ask(now, p.request(nil, "")).Decision]
}

// Loads returns each load of this instance that has been used.
func (s *Steerer) Loads(now time.Duration) []admitter.LoadState {
	return s.admitter.Loads(now)
}

// Waiting returns how many requests of each route wait.
func (s *Steerer) Waiting(now time.Duration) []admitter.WaitingState {
	return s.admitter.Waiting(now)
}

// PoolLoads returns the load of every pool to which this instance has sent requests.
func (s *Steerer) PoolLoads(now time.Duration) []admitter.PoolLoad {
	return s.admitter.PoolLoads(now)
}
