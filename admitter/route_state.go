package admitter

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time constant of the arrival rate that counts as the present demand of a
	// route.
	demandPeriod = 2 * time.Second
	// weightPeriod is the time constant of the arrival rate by which routes share a pool. It is
	// longer than a burst, so that a burst does not earn a route a larger share.
	weightPeriod = 15 * time.Second
	// minRateTime keeps the first events from counting as an extreme rate.
	minRateTime = 100 * time.Millisecond
)

// routeState is what this instance knows of the requests of one route at one pool.
type routeState struct {
	terms      *Terms
	inProgress int
	waiting    waitCount
	waitsFor   Reason        // the load that a request was last told to wait for
	usedAt     time.Duration // when a request last asked or ended
	// idleRatio is the average latency, as a fraction of the objective, while slots are free; 0 if
	// unknown.
	idleRatio   float64
	idleSamples int  // latencies in idleRatio
	demand      rate // of requests, lately
	weight      rate // of requests, over a longer time
	demandRate  float64
	workRate    float64 // slots that the requests need, over a longer time
	governs     bool    // its objective is taken into account for the queues at the targets
	// credit is the work, in seconds of a slot, that the route may still have done before those that
	// have credit go before it.
	credit float64
	// ahead counts the SYNs that were told to wait at the time passAt.
	ahead  int
	passAt time.Duration
}

// newRouteState returns the state of a route whose first request comes now.
func newRouteState(now time.Duration, terms *Terms) *routeState {
	return &routeState{terms: terms, usedAt: now, governs: true, demand: newRate(now, demandPeriod), weight: newRate(now, weightPeriod)}
}

// arrive counts a request that has just been received.
func (r *routeState) arrive(now time.Duration) {
	r.usedAt = now
	r.demand.add(now)
	r.weight.add(now)
}

// wait counts a request that waits for a load.
func (r *routeState) wait(now time.Duration, reason Reason) {
	r.usedAt, r.waitsFor = now, reason
	r.waiting.add(now)
}

// idleLatency returns the latency of the route's requests while slots are free, 0 if unknown.
func (r *routeState) idleLatency() time.Duration {
	return time.Duration(r.idleRatio * float64(r.terms.Objective))
}

// rate is the rate of events, averaged with exponentially decreasing weights.
type rate struct {
	period    time.Duration // time constant
	count     float64       // sum of the weights
	updatedAt time.Duration
	startedAt time.Duration
}

func newRate(now, period time.Duration) rate {
	return rate{period: period, updatedAt: now, startedAt: now}
}

// add counts an event.
func (r *rate) add(now time.Duration) {
	r.count = r.count*decay(now-r.updatedAt, r.period) + 1
	r.updatedAt = now
}

// perSecond returns the rate. Of a shorter time than the period, it is the average over that time.
func (r *rate) perSecond(now time.Duration) float64 {
	seen := 1 - decay(max(now-r.startedAt, minRateTime), r.period)
	return r.count * decay(now-r.updatedAt, r.period) / (r.period.Seconds() * seen)
}

// decay returns the weight that is left after a time.
func decay(elapsed, period time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / period.Seconds())
}
