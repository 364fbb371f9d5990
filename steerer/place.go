package steerer

import "time"

// state is what this instance has seen of one target.
type state struct {
	contact
	target  *Target
	open    int // flows placed here that it works on
	outcome outcome
}

// Weights of the placement.
const (
	// farPenalty is the load, in shares of a target's slots, that a target of
	// another data centre may be ahead before it is preferred.
	farPenalty = 0.34
	// learningLimit is how many flows a target is given for each slot while targets are
	// still being learnt. The first few that are heard of after a restart of everything
	// would be buried under all callers otherwise.
	learningLimit = 2
	// coldFactor is how much slower a target is while it is cold.
	coldFactor = 1.6
)

// place chooses the target of a new flow: the one with the least flows of this
// instance for each slot, near ones first. It answers steady load and bursts, where
// each instance sees a share of the flows and ends of flows come back to it within a
// request's time. Targets whose answers are slow, short or missing cost more, as outcome
// tells; they still get a flow now and then, which shows when they have recovered. It
// returns nil when no target takes the flow.
func (s *Steerer) place(now time.Duration, r *Route) *state {
	pool := s.view.pools[s.pick(r)]
	if st := s.least(now, pool, false); st != nil {
		return st
	}
	return s.least(now, pool, true)
}

// pick draws the pool of a new flow by the weights of the route.
func (s *Steerer) pick(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Pool
	}
	n := s.random.IntN(r.total)
	for _, share := range r.Shares {
		n -= share.Weight
		if n < 0 {
			return share.Pool
		}
	}
	return r.Shares[0].Pool
}

// least returns the target of the pool with the lowest cost, drawing among equals.
func (s *Steerer) least(now time.Duration, pool []*Target, silentToo bool) *state {
	var best *state
	var lowest float64
	equal := 0
	for _, t := range pool {
		st := s.states[t.Identity]
		if !s.offered(now, st, silentToo) {
			continue
		}
		c := s.cost(now, st)
		switch {
		case best == nil || c < lowest:
			best, lowest, equal = st, c, 1
		case c == lowest:
			equal++
			if s.random.IntN(equal) == 0 {
				best = st
			}
		}
	}
	return best
}

// offered tells whether a target may get a new flow.
func (s *Steerer) offered(now time.Duration, st *state, silentToo bool) bool {
	t := st.target
	if !t.AcceptsNewFlows || (!silentToo && (st.silent(now) || s.cutOff(now, t.DataCentre))) {
		return false
	}
	return s.view.Synced || st.open < learningLimit*max(t.Slots, 1)
}

func (s *Steerer) cost(now time.Duration, st *state) float64 {
	t := st.target
	c := float64(st.open+1) / float64(max(t.Slots, 1)) * st.outcome.factor(now)
	if now < t.WarmingUpUntil {
		c *= coldFactor
	}
	if t.DataCentre != s.view.LocalDataCentre {
		c += farPenalty
	}
	return c
}
