package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// latencyGoal is the latency, as a fraction of the objective, that the limit aims at. The
	// rest is left for the time that a request waits here and for targets with longer queues
	// than the others.
	latencyGoal = 0.6
	// initialDepth is the number of requests in progress for each slot until the latency of an
	// idle pool is known. Instances select targets independently, so fewer would leave some
	// slots idle while others have a queue.
	initialDepth = 2.5
	// minDepth is the lowest number of requests in progress for each slot. With fewer, slots
	// would be idle while requests wait.
	minDepth = 1.0
	// minLimit lets an instance with a small share of a small pool send one request at a time.
	minLimit = 1.0
	// idleLatencyWeight is the weight of a new response in the average latency of an idle pool.
	idleLatencyWeight = 0.02
	// assumedSamples is the weight, in responses, of the initial assumption in the average latency
	// of an idle pool.
	assumedSamples = 5
	// recentLatencyWeight is the weight of a new response in the average of the latest latencies.
	recentLatencyWeight = 0.1
	// congestionThreshold is the queueing delay from which on a pool counts as congested, as a
	// fraction of the time between the latency of the idle pool and the goal.
	congestionThreshold = 0.25
	// slackDeviations is by how many standard deviations of a Poisson distribution the limit is
	// raised while the pool is not congested: this instance may have more callers for a moment
	// while others have fewer.
	slackDeviations = 2.0
	// adjustmentGain is the largest relative change of the adjustment by one response.
	// A single slow response says little, because the work of requests varies.
	adjustmentGain = 0.03
	// relaxation is the factor by which one response reduces an adjustment that is not needed.
	relaxation = 0.98
	// Limits of the adjustment.
	minAdjustment = 0.5
	maxAdjustment = 4.0
	// unknownLatencyDivisor divides a route's timeout into the time for which a SYN waits at most
	// while the latency of the route is not known. The rest is left for the response.
	unknownLatencyDivisor = 2
	// bindingTime is how long the limit counts as binding after it was last reached.
	bindingTime = 100 * time.Millisecond
	// maxUnusedTime is how long a route is kept after its last request.
	maxUnusedTime = time.Minute
)

// pool limits the requests of one instance in progress at one pool of targets. Several instances
// send to the same targets without knowing of each other's requests. If each sent all that it
// receives, a burst or the callers that return after an outage would fill the queues of the
// targets, and then every request would be late. With a limit the excess waits at the
// instances, where it can be put in order.
//
// Steady load below the capacity never reaches the limit. In a burst the limit keeps the queues of
// targets as short as the latency objective needs. Right after a start, when nothing has been
// measured, it begins at the instance's share of the capacity.
type pool struct {
	capacity   float64 // slots of the pool that are this instance's share
	inProgress int
	routes     []*routeState // in the order of their first requests
	byName     map[string]*routeState
	// idleLatency is the average latency of requests while slots are free, over all routes; 0 if
	// unknown.
	idleLatency time.Duration
	idleSamples int // latencies in idleLatency
	// queueDelay is the average of by how much the latest latencies exceeded those while slots
	// are free.
	queueDelay time.Duration
	observed   bool // a latency has been observed
	// adjustment is a factor on the limit. The share is an estimate: the callers of this
	// instance may be more, or fewer, than those of other instances.
	adjustment  float64
	reached     bool          // the limit has been reached at least once
	reachedAt   time.Duration // when the limit was last reached
	refreshed   bool
	refreshedAt time.Duration // when the rates of routes were last compared
}

// newPool returns the state of a pool without slots.
func newPool() *pool {
	return &pool{adjustment: 1, byName: make(map[string]*routeState)}
}

// setCapacity sets the number of slots of the pool and the number of instances that share
// them, this one included.
func (p *pool) setCapacity(slots, instances int) {
	p.capacity = float64(slots) / float64(max(instances, 1))
}

// route returns the state of a route and creates it if there is none.
func (p *pool) route(now time.Duration, terms *Terms) *routeState {
	r := p.byName[terms.Name]
	if r == nil {
		p.removeUnused(now)
		r = newRouteState(now, terms)
		p.byName[terms.Name] = r
		p.routes = append(p.routes, r)
	}
	r.terms = terms
	return r
}

// removeUnused forgets routes that have not been used for long.
func (p *pool) removeUnused(now time.Duration) {
	p.routes = slices.DeleteFunc(p.routes, func(r *routeState) bool {
		unused := r.inProgress == 0 && now-r.usedAt > maxUnusedTime
		if unused {
			delete(p.byName, r.terms.Name)
		}
		return unused
	})
}

// begin counts a request that is sent to a target.
func (p *pool) begin(now time.Duration, terms *Terms) {
	p.inProgress++
	r := p.route(now, terms)
	r.inProgress++
	r.credit -= p.idleLatencyOf(r).Seconds()
	r.usedAt = now
}

// end removes a request that begin counted: its response has begun, or it has been given up.
func (p *pool) end(now time.Duration, terms *Terms) {
	p.inProgress--
	r := p.route(now, terms)
	r.inProgress--
	r.usedAt = now
}

// limit returns how many requests may be in progress.
func (p *pool) limit(now time.Duration) float64 {
	_, depth := p.strictest(now)
	return max(minLimit, p.capacity*max(minDepth, depth*p.adjustment))
}

// strictest returns the route whose objective needs the shortest queues at the targets, and the
// requests in progress for each slot that suit it. Routes with few of the requests are left
// out: all others would wait for them. The route is nil if none has an objective.
func (p *pool) strictest(now time.Duration) (*routeState, float64) {
	p.refresh(now)
	var strictest *routeState
	depth := initialDepth
	for _, r := range p.routes {
		if r.terms.Objective <= 0 || !r.governs {
			continue
		}
		if d := p.depthOf(r); strictest == nil || d < depth {
			strictest, depth = r, d
		}
	}
	return strictest, depth
}

// depthOf returns the requests in progress for each slot with which the responses of the route meet
// the latency goal. All but one of them are queued, each for the work of an average request.
func (p *pool) depthOf(r *routeState) float64 {
	if r.idleRatio == 0 || p.idleLatency == 0 {
		return initialDepth
	}
	goal := latencyGoal * float64(r.terms.Objective)
	return 1 + (goal-float64(r.idleLatency()))/float64(p.idleLatency)
}

// idleLatencyOf returns the latency of the route's requests while slots are free, or that of all
// routes if it is not known.
func (p *pool) idleLatencyOf(r *routeState) time.Duration {
	if r.idleRatio > 0 {
		return r.idleLatency()
	}
	return p.idleLatency
}

// hasRoom reports whether another request of the route may be sent now.
func (p *pool) hasRoom(now time.Duration, terms *Terms) bool {
	limit := p.limit(now)
	if !p.congested(now) {
		limit += slackDeviations * math.Sqrt(limit)
	}
	if float64(p.inProgress) >= limit {
		p.reached, p.reachedAt = true, now
		return false
	}
	return float64(p.inProgress)+p.reserved(now, p.route(now, terms)) < limit
}

// latestWait returns how long a SYN of the route may have waited so that its response still comes
// before the caller gives up.
func (p *pool) latestWait(terms *Terms) time.Duration {
	r := p.byName[terms.Name]
	if r == nil || r.idleRatio == 0 {
		return min(terms.Timeout/unknownLatencyDivisor, MaxHoldTime)
	}
	return min(terms.Timeout-r.idleLatency()-max(p.queueDelay, 0), MaxHoldTime)
}

// timeFor returns the least time in which the pool takes n requests, 0 if that is not known.
func (p *pool) timeFor(now time.Duration, n int) time.Duration {
	latency := p.idleLatency + max(p.queueDelay, 0)
	return time.Duration(float64(n) * float64(latency) / p.limit(now))
}

// observe records the latency of a request of the route whose response has just begun. Latencies
// above the goal of the strictest route lower the limit. Those below it raise the limit only
// while it is reached, because the latency of a pool with free slots says nothing about how
// many more requests it can take. Routes without an objective are not taken into account.
func (p *pool) observe(now, latency time.Duration, terms *Terms) {
	if terms.Objective <= 0 {
		return
	}
	r := p.route(now, terms)
	r.usedAt = now
	p.observeIdle(r, latency)
	p.observeDelay(latency - r.idleLatency())
	strictest, _ := p.strictest(now)
	if strictest == nil {
		strictest = r
	}
	// The latency that a request of the strictest route would have had.
	ratio := strictest.idleRatio + float64(latency-r.idleLatency())/float64(strictest.terms.Objective)
	if strictest.idleRatio == 0 {
		ratio = float64(latency) / float64(strictest.terms.Objective)
	}
	p.adjust(now, ratio)
}

// adjust changes the adjustment by a latency, as a fraction of the objective.
func (p *pool) adjust(now time.Duration, ratio float64) {
	deviation := max(-1, min(1, (latencyGoal-ratio)/latencyGoal))
	if deviation > 0 && p.adjustment >= 1 && !p.binding(now) {
		p.adjustment = max(1, p.adjustment*relaxation)
		return
	}
	p.adjustment *= math.Exp(adjustmentGain * deviation)
	p.adjustment = max(minAdjustment, min(maxAdjustment, p.adjustment))
}

// observeIdle updates the average latencies while slots are free, if this instance uses less than
// its share of the slots.
func (p *pool) observeIdle(r *routeState, latency time.Duration) {
	if float64(p.inProgress) > p.capacity {
		return
	}
	if r.idleSamples == 0 {
		r.idleRatio = latencyGoal / initialDepth
	}
	if p.idleSamples == 0 {
		p.idleLatency = time.Duration(latencyGoal / initialDepth * float64(r.terms.Objective))
	}
	r.idleSamples++
	p.idleSamples++
	r.idleRatio += idleWeight(r.idleSamples) * (min(float64(latency)/float64(r.terms.Objective), 1) - r.idleRatio)
	p.idleLatency += time.Duration(idleWeight(p.idleSamples) * float64(min(latency, r.terms.Objective)-p.idleLatency))
}

// idleWeight returns the weight of the nth latency in an average that began with an assumption.
func idleWeight(n int) float64 {
	return max(idleLatencyWeight, 1/float64(n+assumedSamples))
}

// observeDelay updates the average of the latest delays at the targets.
func (p *pool) observeDelay(delay time.Duration) {
	if !p.observed {
		p.observed, p.queueDelay = true, delay
		return
	}
	p.queueDelay += time.Duration(recentLatencyWeight * float64(delay-p.queueDelay))
}

// congested reports whether requests wait at the targets, or whether that is unknown because no
// response has been observed.
func (p *pool) congested(now time.Duration) bool {
	strictest, _ := p.strictest(now)
	if !p.observed || strictest == nil || strictest.idleRatio == 0 {
		return true
	}
	objective := float64(strictest.terms.Objective)
	return float64(p.queueDelay) > congestionThreshold*(latencyGoal-strictest.idleRatio)*objective
}

// binding reports whether the limit has been reached lately.
func (p *pool) binding(now time.Duration) bool {
	return p.reached && now-p.reachedAt <= bindingTime
}
