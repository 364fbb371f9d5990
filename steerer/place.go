package steerer

import "time"

// state is what this instance has seen of one target.
type state struct {
	target      *Target
	open        int           // flows placed here that it works on
	lastAnswer  time.Duration // latest time at which a flow asked for was answered
	silentUntil time.Duration // passed over until then
	silences    int           // in a row, without an answer between them
	outcome     outcome
}

// answered notes that the target answered a flow that was asked for at the time at.
func (st *state) answered(now, at time.Duration) {
	st.lastAnswer = max(st.lastAnswer, now)
	if at+silentFor > st.silentUntil {
		st.silentUntil = 0
		st.silences = 0
	}
}

// passOver keeps the target from new flows for a while, because it answers nobody. Each
// try that fails costs a caller the time until its copy, so the time grows with them.
func (st *state) passOver(now time.Duration) {
	if now < st.silentUntil {
		return // of flows that were placed before it was noticed
	}
	st.silentUntil = now + silentFor<<min(st.silences, silentDoublings)
	st.silences++
}

// Weights of the placement.
const (
	// cutPenalty is the load, in shares of a target's slots, that keeps a flow away from a
	// data centre one of whose targets has just left it without an answer: the path there
	// may be cut.
	cutPenalty = 2.0
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
// returns nil when no target takes the flow. away names a data centre that the flow had
// better not go to, "" for none.
func (s *Steerer) place(now time.Duration, r *Route, away string) *state {
	pool := s.view.pools[s.pick(r)]
	if st := s.least(now, pool, away, false); st != nil {
		return st
	}
	return s.least(now, pool, away, true)
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
func (s *Steerer) least(now time.Duration, pool []*Target, away string, silentToo bool) *state {
	var best *state
	var lowest float64
	equal := 0
	for _, t := range pool {
		st := s.states[t.Identity]
		if !s.offered(now, st, silentToo) {
			continue
		}
		c := s.cost(now, st)
		if away != "" && t.DataCentre == away {
			c += cutPenalty
		}
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
	if !t.Fit || (now < st.silentUntil && !silentToo) {
		return false
	}
	return s.view.Complete || st.open < learningLimit*max(t.Slots, 1)
}

func (s *Steerer) cost(now time.Duration, st *state) float64 {
	t := st.target
	c := float64(st.open+1) / float64(max(t.Slots, 1)) * st.outcome.factor(now)
	if now < t.ColdUntil {
		c *= coldFactor
	}
	if t.DataCentre != s.view.DataCentre {
		c += farPenalty
	}
	return c
}
