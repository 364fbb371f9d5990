package steerer

import (
	"maps"
	"math"
	"time"

	"almondpick/estimator"
)

// A target is reported when the estimate of its speed falls below reportedSpeed, and again when it
// has risen to recoveredSpeed. The two differ, so that an estimate near one of them is not reported
// again and again.
const (
	reportedSpeed  = 0.5
	recoveredSpeed = 0.75
)

// targetEstimate is the latest estimate of a target.
type targetEstimate struct {
	estimator.Estimate
	poolDeviates bool // a target of its pool deviates
	reportedSlow bool // the last change that was reported is a fall
}

// EstimateChange tells that the estimate of a target has fallen below half of a normal one, or has
// recovered.
type EstimateChange struct {
	Target   *Target
	Estimate estimator.Estimate
	Slow     bool
}

// WithTargetEstimates makes the estimates of targets replace the numbers of slots in target selection
// and admission, and the latency ratio of the passive health checks.
func WithTargetEstimates(e *estimator.Estimator) Option {
	return func(s *Steerer) { s.estimator = e }
}

// estimateKey returns the key of a target in estimates.
func (t *Target) estimateKey() estimator.Key {
	return estimator.Key{Label: uint32(t.Label()), Incarnation: uint8(t.Incarnation)}
}

// loadPerSlot returns the cost of a target by its load and its health.
func (s *Steerer) loadPerSlot(now time.Duration, st *targetState) float64 {
	slots := float64(st.target.slotCount())
	if s.estimator == nil {
		return float64(st.activeFlows+1) / slots * st.health.costFactor(now)
	}
	health := st.health.shortResponseFactor(now)
	if !st.estimate.Confident() {
		health = st.health.costFactor(now)
	}
	if !st.estimate.poolDeviates {
		return float64(st.activeFlows+1) / slots * health
	}
	// Most targets have none of this instance's few flows, and all instances select at the same
	// time. The exponential random number lets such targets be selected in proportion to their
	// estimates; the lowest cost alone would leave the slower ones without flows.
	return (float64(st.activeFlows) + s.random.ExpFloat64()) / (slots * st.estimate.Speed) * health
}

// observeLatency records the time until the response to a request began, or until it was clear that
// none would begin in time.
func (s *Steerer) observeLatency(now time.Duration, f *flowState, latency time.Duration) {
	s.recordLatency(now, f.targetState, latency)
	if s.estimator == nil || !s.isEvidence(f) {
		return
	}
	t := f.targetState.target
	s.estimator.Observe(now, t.Pool, f.terms.Name, t.estimateKey(), latency)
}

// isEvidence reports whether the latency of the last request on a flow is evidence of the speed of
// its target: not if the request began during the slow start of the target, which is slower then,
// and not if the network path to its data centre failed since.
func (s *Steerer) isEvidence(f *flowState) bool {
	t := f.targetState.target
	path := s.dataCentreEjections[t.DataCentre]
	return f.requestAt >= t.SlowStartUntil && (path == nil || path.ejectedAt < f.requestAt)
}

// setEstimatedTargets makes the targets of the view those that are estimated, and tells admission
// how many slots each pool has.
func (s *Steerer) setEstimatedTargets() {
	if s.estimator == nil {
		s.admitter.SetPools(s.view.admissionSlots, s.view.ForwardingInstances)
		return
	}
	targets := make(map[string][]estimator.Target, len(s.view.pools))
	for _, t := range s.view.targets {
		if t.AcceptsNewFlows {
			targets[t.Pool] = append(targets[t.Pool], estimator.Target{Key: t.estimateKey(), Slots: t.slotCount()})
		}
	}
	s.estimator.SetTargets(targets, s.view.ForwardingInstances)
	s.useEstimates(s.estimatedAt)
}

// setAdmissionPools passes to admission the sum of the estimated concurrencies of the targets of each
// pool, in place of their slots.
func (s *Steerer) setAdmissionPools() {
	missing := make(map[string]float64)
	for _, t := range s.view.targets {
		if t.AcceptsNewFlows {
			missing[t.Pool] += float64(t.slotCount()) - s.targetStates[t.Identity].estimate.Concurrency
		}
	}
	slots := maps.Clone(s.view.admissionSlots)
	for pool, n := range missing {
		slots[pool] -= int(math.Round(n))
	}
	s.admitter.SetPools(slots, s.view.ForwardingInstances)
}

// refreshEstimates recomputes the estimates if that is due, and what depends on them.
func (s *Steerer) refreshEstimates(now time.Duration) {
	if s.estimator == nil || !s.estimator.Refresh(now) {
		return
	}
	s.useEstimates(now)
}

// useEstimates brings what depends on the estimates up to date.
func (s *Steerer) useEstimates(now time.Duration) {
	s.estimatedAt = now
	for _, t := range s.view.targets {
		if !t.AcceptsNewFlows {
			continue
		}
		e := &s.targetStates[t.Identity].estimate
		e.Estimate = s.estimator.Estimate(now, t.Pool, t.estimateKey())
		e.poolDeviates = s.estimator.Deviates(now, t.Pool)
		slow := e.Speed < reportedSpeed || (e.reportedSlow && e.Speed < recoveredSpeed)
		if slow != e.reportedSlow {
			e.reportedSlow = slow
			s.estimateChanges = append(s.estimateChanges, EstimateChange{Target: t, Estimate: e.Estimate, Slow: slow})
		}
	}
	s.setAdmissionPools()
}

// TakeEstimateChanges returns the changes of estimates since the last call.
func (s *Steerer) TakeEstimateChanges() []EstimateChange {
	changes := s.estimateChanges
	s.estimateChanges = nil
	return changes
}

// TakeReports returns what this instance has observed of targets since the last call, by pool.
func (s *Steerer) TakeReports() map[string][]estimator.Report {
	if s.estimator == nil {
		return nil
	}
	return s.estimator.TakeReports()
}

// HandleSummary replaces the shared estimates of a pool.
func (s *Steerer) HandleSummary(now time.Duration, pool string, summary estimator.Summary) {
	if s.estimator != nil {
		s.estimator.HandleSummary(now, pool, summary)
		s.useEstimates(now)
	}
}

// EstimateStats returns the distribution of the estimates, by pool.
func (s *Steerer) EstimateStats(now time.Duration) []estimator.Stats {
	if s.estimator == nil {
		return nil
	}
	return s.estimator.Stats(now)
}
