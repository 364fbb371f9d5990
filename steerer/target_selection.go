package steerer

import "time"

// targetState is what this instance has observed of one target.
type targetState struct {
	ejectionState
	target      *Target
	activeFlows int // flows that this instance sent to the target and that count as its load
	health      passiveHealth
	estimate    targetEstimate
}

// Parameters of target selection.
const (
	// remotePenalty is added to the cost of a target in another data centre: local
	// targets are preferred until their load, as a share of their slots, is higher by
	// more than this.
	remotePenalty = 0.34
	// slowStartCostFactor is how much slower a target is during its slow start.
	slowStartCostFactor = 1.6
)

// selectTarget selects the target of a new flow: the one with the fewest active flows of
// this instance per slot, with a preference for the local data centre. This suits steady
// load and bursts, because each instance sees a share of the flows and learns of the end
// of a flow within the duration of a request. Targets whose responses are slow, short or
// missing have a higher cost, see passiveHealth; they still get an occasional flow, which
// shows when they have recovered. If no target is left without the ejected ones, those
// are considered too. Pools that get no new flows of the route never are. selectTarget
// returns nil if no target accepts the flow, and then how many targets will accept it because
// their slow start only lets it wait.
func (s *Steerer) selectTarget(now time.Duration, r *Route) (st *targetState, leftOut int) {
	name, ok := s.pickPool(r)
	if !ok {
		return nil, 0
	}
	if leftOut = s.exhaustedAt(now, name); leftOut > 0 {
		return nil, leftOut
	}
	pool := s.view.pools[name]
	if st, leftOut = s.leastCost(now, pool, false); st != nil {
		return st, 0
	}
	if leftOut > 0 {
		s.exhausted[name] = exhaustedPool{at: now, leftOut: leftOut}
		return nil, leftOut
	}
	st, leftOut = s.leastCost(now, pool, true)
	return st, leftOut
}

// pickPool draws the pool of a new flow at random by the weights of the route. It returns false if
// none of its pools gets new flows.
func (s *Steerer) pickPool(r *Route) (name string, ok bool) {
	total := s.view.totalWeight(r.Shares)
	if total == 0 {
		return "", false
	}
	n := 0
	if len(r.Shares) > 1 {
		n = s.random.IntN(total)
	}
	for _, share := range r.Shares {
		if !s.view.getsNewFlows(share) {
			continue
		}
		n -= share.Weight
		if n < 0 {
			return share.Pool, true
		}
	}
	return "", false
}

// leastCost returns the target of the pool with the lowest cost, and one of them at
// random if several have the same cost. It returns nil if no target is selectable, and how many
// were left out because of their slow start.
func (s *Steerer) leastCost(now time.Duration, pool []*Target, includeEjected bool) (best *targetState, leftOut int) {
	var lowest float64
	ties := 0
	for _, t := range pool {
		st := s.targetStates[t.Identity]
		if !s.selectable(now, st, includeEjected) {
			continue
		}
		if !s.admitsSlowStart(now, t) {
			leftOut++
			continue
		}
		c := s.cost(now, st)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = st, c, 1
		case c == lowest:
			ties++
			if s.random.IntN(ties) == 0 {
				best = st
			}
		}
	}
	return best, leftOut
}

// selectable reports whether a target may get a new flow.
func (s *Steerer) selectable(now time.Duration, st *targetState, includeEjected bool) bool {
	t := st.target
	if !t.AcceptsNewFlows {
		return false
	}
	return includeEjected || (!st.ejected(now) && !s.dataCentreEjected(now, t.DataCentre))
}

// cost returns the load of a target per slot, raised by poor passive health, during its
// slow start, and in another data centre.
func (s *Steerer) cost(now time.Duration, st *targetState) float64 {
	t := st.target
	c := s.loadPerSlot(now, st)
	if now < t.SlowStartUntil {
		c *= slowStartCostFactor
	}
	if t.DataCentre != s.view.LocalDataCentre {
		c += remotePenalty
	}
	return c
}
