package steerer

import (
	"math"
	"net/netip"
	"time"
)

// Parameters of the passive health checks. A target's own health reports may be wrong, and
// responses do not pass through an instance, but the packets of callers show three things:
// when a response begins, how many bytes of it arrived, and that a caller gave up.
const (
	// latencyWeight and shortResponseWeight are the weights of a new flow in the moving
	// averages of a target.
	latencyWeight       = 0.2
	shortResponseWeight = 0.15
	// refusalWeight is the weight of a flow whose caller sends nothing after the SYN; it
	// counts as a short response. Callers continue within a few milliseconds unless the
	// target has refused the flow or is gone.
	refusalWeight = 0.4
	// baselineWeight is the weight of a new flow in the averages of a pool or a route.
	baselineWeight = 0.02
	// decayTime is the time constant with which the measured health returns to normal, so
	// that a target that gets no flows because of poor health is tried again.
	decayTime = 3 * time.Second
	// latencyRatioThreshold is the latency, relative to the average of the pool, up to
	// which the cost is not raised: a smaller difference may be chance.
	latencyRatioThreshold = 1.6
	// maxLatencyRatio is the highest relative latency that is recorded for one flow, so that
	// a single flow that hangs has a limited effect.
	maxLatencyRatio = 20
	// maxBaselineRatio is the highest relative latency that is recorded in the average of the
	// pool, so that a single flow that hangs has a limited effect on it.
	maxBaselineRatio = 3
	// shortResponseFraction is the fraction of the average response size of the route below
	// which a response counts as short. Error responses are short.
	shortResponseFraction = 0.25
	// shortResponseThreshold is the share of short responses up to which the cost is not
	// raised: it may be chance.
	shortResponseThreshold = 0.15
	// shortResponsePenalty is the cost factor of a target whose responses are all short.
	shortResponsePenalty = 8
)

// passiveHealth holds moving averages over the recent flows of a target.
type passiveHealth struct {
	latencyRatio       float64 // time until a response begins, relative to the average of the pool
	shortResponseShare float64 // share of short responses
	updatedAt          time.Duration
}

// decayFactor returns the fraction of the deviation from normal that is left at now.
func (h *passiveHealth) decayFactor(now time.Duration) float64 {
	return math.Exp(-float64(now-h.updatedAt) / float64(decayTime))
}

// decay applies the decay up to now.
func (h *passiveHealth) decay(now time.Duration) {
	left := h.decayFactor(now)
	h.latencyRatio = 1 + (h.latencyRatio-1)*left
	h.shortResponseShare *= left
	h.updatedAt = now
}

// costFactor returns the cost of the target relative to that of a healthy one.
func (h *passiveHealth) costFactor(now time.Duration) float64 {
	if h.updatedAt == 0 {
		return 1
	}
	left := h.decayFactor(now)
	factor := 1.0
	if latencyRatio := 1 + (h.latencyRatio-1)*left; latencyRatio > latencyRatioThreshold {
		factor = latencyRatio
	}
	return factor * h.shortResponseFactor(now)
}

// shortResponseFactor returns the part of the cost factor that is due to short responses.
func (h *passiveHealth) shortResponseFactor(now time.Duration) float64 {
	shortShare := h.shortResponseShare * h.decayFactor(now)
	if h.updatedAt == 0 || shortShare <= shortResponseThreshold {
		return 1
	}
	return 1 + (shortResponsePenalty-1)*shortShare
}

// baselines holds the moving averages of pools and routes against which targets are
// compared.
type baselines struct {
	responseLatency map[string]float64         // seconds until a response begins, by pool
	responseSize    map[netip.AddrPort]float64 // bytes of a response, by address of the route
}

func newBaselines() baselines {
	return baselines{responseLatency: make(map[string]float64), responseSize: make(map[netip.AddrPort]float64)}
}

// recordLatency updates the health of a target with the time until a response began, or
// until it was clear that none would begin in time.
func (s *Steerer) recordLatency(now time.Duration, st *targetState, latency time.Duration) {
	pool := st.target.Pool
	mean := s.baselines.responseLatency[pool]
	if mean == 0 {
		s.baselines.responseLatency[pool] = latency.Seconds()
		return
	}
	ratio := min(latency.Seconds()/mean, maxLatencyRatio)
	s.baselines.responseLatency[pool] += baselineWeight * mean * (min(ratio, maxBaselineRatio) - 1)
	st.health.prepareUpdate(now)
	st.health.latencyRatio += latencyWeight * (ratio - st.health.latencyRatio)
}

// recordResponseSize updates the health of a target with the bytes received on a flow
// that has ended.
func (s *Steerer) recordResponseSize(now time.Duration, st *targetState, route netip.AddrPort, size uint32) {
	mean, known := s.baselines.responseSize[route]
	if !known {
		s.baselines.responseSize[route] = float64(size)
		return
	}
	short := 0.0
	if float64(size) < shortResponseFraction*mean {
		short = 1
	}
	s.baselines.responseSize[route] += baselineWeight * (float64(size) - mean)
	st.health.prepareUpdate(now)
	st.health.shortResponseShare += shortResponseWeight * (short - st.health.shortResponseShare)
}

// recordRefusal updates the health of a target with a flow that was not established and
// whose caller has not retransmitted the SYN: the caller was told that no process listens
// there. Such a target has no active flows and would otherwise be preferred.
func (s *Steerer) recordRefusal(now time.Duration, st *targetState) {
	st.health.prepareUpdate(now)
	st.health.shortResponseShare += refusalWeight * (1 - st.health.shortResponseShare)
}

// prepareUpdate prepares the averages for the result of a new flow: it sets the values of a
// healthy target if there are none yet, and otherwise applies the decay.
func (h *passiveHealth) prepareUpdate(now time.Duration) {
	if h.updatedAt == 0 {
		*h = passiveHealth{latencyRatio: 1}
		h.updatedAt = max(now, 1)
		return
	}
	h.decay(now)
}
