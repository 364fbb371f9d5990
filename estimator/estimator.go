// Package estimator estimates the speed and the concurrency of each target of a pool. The evidence
// is the latency of responses, which is compared with that of the other targets. An Estimator
// estimates from what one instance observes. A Collector estimates from the reports of many
// instances; its summaries take the place of an Estimator's own estimates.
//
// The types have no clock, socket or goroutine, and are not safe for concurrent use. Parameters
// named now are times since any fixed moment.
package estimator

import "time"

const (
	// sharedRetention is how long a summary is used. It is several times summaryInterval, so that
	// a lost summary has no effect.
	sharedRetention = 3 * summaryInterval
	// classAverageCount is the number of responses over which the latency of a class is averaged.
	classAverageCount = 50
	// maxRatio is the highest ratio that is recorded for one response. The work of requests
	// varies, and a long request must not make its target look slow.
	maxRatio = 4.0
	// minConfidence is the confidence from which on an estimate by the evidence of one instance
	// replaces what else is known of a target.
	minConfidence = 0.75
)

// Key identifies one incarnation of a target within its pool.
type Key struct {
	Label       uint32 // the low 32 bits of the identity
	Incarnation uint8  // the low 8 bits of the incarnation: evidence of an earlier process does not count
}

// Target describes a target of a pool.
type Target struct {
	Key   Key
	Slots int // requests that the target works on at a time
}

// Estimate is the estimated speed and concurrency of a target.
type Estimate struct {
	// Speed is the capacity of the target relative to a normal target of its pool with as many
	// slots, 1 at most. It is exactly 1 unless the target is significantly slower. A target that is
	// faster than the others has shorter queues anyway; to take a normal one for faster would
	// overload it.
	Speed float64
	// Concurrency is the number of requests in progress from which on the latency of the target
	// rises, between 1 and its slots.
	Concurrency float64
	Confidence  float64       // from 0, nothing is known, to 1
	Age         time.Duration // of the evidence
	Shared      bool          // rests on the evidence of many instances
}

// Confident reports whether the estimate rests on enough evidence to replace what else is known.
func (e Estimate) Confident() bool { return e.Shared || e.Confidence >= minConfidence }

// Deviates reports whether the target is significantly slower than the normal ones of its pool.
func (e Estimate) Deviates() bool { return e.Speed != 1 }

// newEstimate returns the estimate of a target with the given slots. The evidence does not tell
// whether a target works slowly or slows down before its slots are full, so a low speed is taken for a
// low concurrency as far as that goes.
func newEstimate(speed float64, slots int) Estimate {
	limit := float64(max(slots, 1))
	return Estimate{Speed: speed, Concurrency: max(1, min(limit, speed*limit))}
}

// Estimator estimates for one instance.
type Estimator struct {
	pools     map[string]*instancePool
	instances int
}

// instancePool is what an instance knows of one pool.
type instancePool struct {
	own      *pool
	classes  map[string]*classAverage
	pending  map[Key]observations // since the last report
	shared   map[Key]float64      // speeds by the last summary
	sharedAt time.Duration
	known    bool // a summary has been received
}

// classAverage is the average latency of one class of requests at a pool.
type classAverage struct {
	seconds float64
	count   int
}

// observations are responses that were observed at one target.
type observations struct {
	count int
	ratio float64 // sum of the ratios between latencies and the averages of their classes
	mean  float64 // sum of the averages of the classes, in seconds
}

// New returns an Estimator without targets.
func New() *Estimator {
	return &Estimator{pools: make(map[string]*instancePool), instances: 1}
}

// SetTargets replaces the targets, by pool, and the number of instances that send to them, this
// one included.
func (e *Estimator) SetTargets(targets map[string][]Target, instances int) {
	e.instances = max(instances, 1)
	setTargets(e.pools, targets, newInstancePool)
}

func newInstancePool() *instancePool {
	return &instancePool{own: newPool(), classes: make(map[string]*classAverage), pending: make(map[Key]observations)}
}

func (p *instancePool) setTargets(targets []Target) { p.own.setTargets(targets) }

// Observe records the latency of a response. Requests of one class do about the same work.
func (e *Estimator) Observe(now time.Duration, poolName, class string, target Key, latency time.Duration) {
	p := e.pools[poolName]
	if p == nil || latency < 0 {
		return
	}
	c := p.classes[class]
	if c == nil {
		c = &classAverage{}
		p.classes[class] = c
	}
	o := c.observe(latency.Seconds())
	p.own.add(now, target, o, float64(e.instances))
	pending := p.pending[target]
	p.pending[target] = observations{pending.count + o.count, pending.ratio + o.ratio, pending.mean + o.mean}
}

// observe returns the observation of a latency, and averages it.
func (c *classAverage) observe(seconds float64) observations {
	ratio := 1.0
	if c.seconds > 0 {
		ratio = min(seconds/c.seconds, maxRatio)
	}
	c.count = min(c.count+1, classAverageCount)
	if c.seconds == 0 {
		c.seconds = seconds
	}
	o := observations{count: 1, ratio: ratio, mean: c.seconds}
	c.seconds += c.seconds * (ratio - 1) / float64(c.count)
	return o
}

// Refresh recomputes the estimates if that is due, and reports whether it was.
func (e *Estimator) Refresh(now time.Duration) bool {
	refreshed := false
	for _, p := range e.pools {
		refreshed = p.own.refresh(now) || refreshed
	}
	return refreshed
}

// Estimate returns the estimate of a target: by the shared evidence if there is a recent summary,
// and by that of this instance otherwise.
func (e *Estimator) Estimate(now time.Duration, poolName string, target Key) Estimate {
	p := e.pools[poolName]
	if p == nil {
		return Estimate{Speed: 1, Concurrency: 1}
	}
	if !p.sharedIsRecent(now) {
		return p.own.estimate(now, target)
	}
	speed, ok := p.shared[target]
	if !ok {
		speed = 1
	}
	estimate := newEstimate(speed, p.own.slots(target))
	estimate.Confidence, estimate.Age, estimate.Shared = 1, now-p.sharedAt, true
	return estimate
}

// sharedIsRecent reports whether the last summary is used.
func (p *instancePool) sharedIsRecent(now time.Duration) bool {
	return p.known && now-p.sharedAt <= sharedRetention
}

// Deviates reports whether any target of the pool deviates from normal.
func (e *Estimator) Deviates(now time.Duration, poolName string) bool {
	p := e.pools[poolName]
	if p == nil {
		return false
	}
	if p.sharedIsRecent(now) {
		return len(p.shared) > 0
	}
	return p.own.deviating > 0
}

// HandleSummary replaces the shared estimates of a pool.
func (e *Estimator) HandleSummary(now time.Duration, poolName string, s Summary) {
	if p := e.pools[poolName]; p != nil {
		p.shared, p.sharedAt, p.known = s.speeds(), now, true
	}
}

// TakeReports returns the observations since the last call, by pool. Those that cannot be
// delivered are lost: evidence must not arrive late.
func (e *Estimator) TakeReports() map[string][]Report {
	reports := make(map[string][]Report)
	for name, p := range e.pools {
		if len(p.pending) > 0 {
			reports[name] = newReports(p.pending)
			clear(p.pending)
		}
	}
	return reports
}
