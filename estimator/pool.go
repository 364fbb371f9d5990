package estimator

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimates of a pool.
const (
	refreshInterval = 250 * time.Millisecond
	// rateTime is the time constant of the average rates and of the average latency.
	rateTime = 2 * time.Second
	// referenceTime is the time constant of the averages that the normal work time is taken from.
	referenceTime = 10 * time.Second
	// rateShrinkage is the number of responses in rateTime with which a target's own rate counts
	// as much as the average of the pool.
	rateShrinkage = 4.0
	// minReferenceCount and minReferenceTargets are how many responses of a target, and how many
	// such targets, are needed to compare targets with their median.
	minReferenceCount   = 8.0
	minReferenceTargets = 5
	// A target deviates from normal when its speed falls to deviationThreshold, until it has risen
	// above recoveryThreshold. Smaller differences may be chance.
	deviationThreshold = 0.75
	recoveryThreshold  = 0.85
	// minDeviation is the probability from which on a target is believed to be slow. If the evidence
	// were independent, one of two hundred normal targets would be taken for a slow one.
	minDeviation = 0.995
	// halfConfidenceCount is the number of recent responses at which the confidence in an estimate is
	// half of what their likelihood says.
	halfConfidenceCount = 4.0
)

// decaying is a sum over the past with exponentially decaying weights.
type decaying struct {
	sum float64
	at  time.Duration
}

func (d *decaying) value(now, timeConstant time.Duration) float64 {
	return d.sum * math.Exp(-float64(max(0, now-d.at))/float64(timeConstant))
}

func (d *decaying) add(now, timeConstant time.Duration, x float64) {
	d.sum, d.at = d.value(now, timeConstant)+x, max(now, d.at)
}

// targetState is the evidence of one target.
type targetState struct {
	slots      int
	filter     *filter
	recent     decaying // responses, over rateTime
	count      decaying // responses, over referenceTime
	seconds    decaying // latencies, over referenceTime
	observedAt time.Duration
	estimate   Estimate
}

// pool estimates the speeds of the targets of one pool.
type pool struct {
	targets   map[Key]*targetState
	recent    decaying // responses of all targets, over rateTime
	ratio     decaying // sum of ratios, over rateTime
	mean      decaying // sum of averages, over rateTime
	scale     float64  // responses of all instances for each response that is observed
	reference float64  // work time of a normal target in seconds, 0 if unknown
	refreshAt time.Duration
	deviating int
}

func newPool() *pool {
	return &pool{targets: make(map[Key]*targetState), scale: 1}
}

// setTargets replaces the targets. Known ones keep their evidence.
func (p *pool) setTargets(targets []Target) {
	next := make(map[Key]*targetState, len(targets))
	for _, t := range targets {
		state := p.targets[t.Key]
		if state == nil {
			state = &targetState{filter: newFilter(0), estimate: newEstimate(1, t.Slots)}
		}
		if state.slots != t.Slots {
			state.slots = t.Slots
			confidence := state.estimate.Confidence
			state.estimate = newEstimate(state.estimate.Speed, t.Slots)
			state.estimate.Confidence = confidence
		}
		next[t.Key] = state
	}
	p.targets = next
}

// setTargets replaces the targets of all pools, by name. It removes the pools without targets and
// creates those that are missing.
func setTargets[P interface{ setTargets(targets []Target) }](pools map[string]P, targets map[string][]Target, newPool func() P) {
	for name := range pools {
		if len(targets[name]) == 0 {
			delete(pools, name)
		}
	}
	for name, list := range targets {
		if _, ok := pools[name]; !ok {
			pools[name] = newPool()
		}
		pools[name].setTargets(list)
	}
}

func (p *pool) slots(target Key) int {
	if t := p.targets[target]; t != nil {
		return t.slots
	}
	return 1
}

// add records responses of a target. scale is how many responses all instances observe for each
// one that is recorded here.
func (p *pool) add(now time.Duration, target Key, o observations, scale float64) {
	t := p.targets[target]
	if t == nil || o.count == 0 {
		return
	}
	p.scale = scale
	n := float64(o.count)
	p.recent.add(now, rateTime, n)
	p.ratio.add(now, rateTime, o.ratio)
	p.mean.add(now, rateTime, o.mean)
	t.recent.add(now, rateTime, n)
	t.count.add(now, referenceTime, n)
	t.seconds.add(now, referenceTime, o.ratio*o.mean/n)
	t.observedAt = now
	if p.reference == 0 {
		return
	}
	rate, mean := p.rate(now, t), p.mean.sum/p.recent.sum
	t.filter.advance(now)
	t.filter.update(o.count, o.ratio, p.evidenceWeight(t.slots), func(slowness float64) float64 {
		work := slowness * p.reference
		return work * latencyFactor(rate*work/float64(max(t.slots, 1)), t.slots) / mean
	})
}

// rate returns the responses per second of a target, over all instances. With little evidence it
// is close to the average of the pool.
func (p *pool) rate(now time.Duration, t *targetState) float64 {
	average := p.recent.value(now, rateTime) / float64(max(len(p.targets), 1))
	own := t.recent.value(now, rateTime)
	return p.scale * average / rateTime.Seconds() * (own + rateShrinkage) / (average + rateShrinkage)
}

// evidenceWeight returns the weight of a response. Requests that wait in the same queue have similar
// latencies, so a response says the less, the more of its latency is waiting, and the more others
// waited with it.
func (p *pool) evidenceWeight(slots int) float64 {
	rate := p.scale * p.recent.sum / rateTime.Seconds() / float64(max(len(p.targets), 1))
	factor := latencyFactor(rate*p.reference/float64(max(slots, 1)), slots)
	return evidenceWeight / (factor * factor)
}

// refresh recomputes the estimates every refreshInterval, and reports whether it did.
func (p *pool) refresh(now time.Duration) bool {
	if now < p.refreshAt {
		return false
	}
	p.refreshAt = now + refreshInterval
	p.updateReference(now)
	p.deviating = 0
	for _, t := range p.targets {
		t.refresh(now)
		if t.estimate.Deviates() {
			p.deviating++
		}
	}
	return true
}

// updateReference sets the work time of a normal target: the median over the targets, because some
// of them may deviate.
func (p *pool) updateReference(now time.Duration) {
	var works []float64
	for _, t := range p.targets {
		count := t.count.value(now, referenceTime)
		if count >= minReferenceCount {
			works = append(works, workTime(t.seconds.value(now, referenceTime)/count, p.rate(now, t), t.slots))
		}
	}
	if len(works) >= minReferenceTargets {
		slices.Sort(works)
		p.reference = works[len(works)/2]
	}
}

// refresh recomputes the estimate of a target.
func (t *targetState) refresh(now time.Duration) {
	t.filter.advance(now)
	speed, deviation := t.filter.speed()
	speed = min(speed, 1)
	confidence := deviation
	if !t.deviates(speed, deviation) {
		speed, confidence = 1, 1-deviation
	}
	count := t.count.value(now, referenceTime)
	t.estimate = newEstimate(speed, t.slots)
	t.estimate.Confidence = confidence * count / (count + halfConfidenceCount)
}

// deviates reports whether the target deviates from normal by a speed and its probability, or still
// does so.
func (t *targetState) deviates(speed, deviation float64) bool {
	if t.estimate.Deviates() {
		return speed <= recoveryThreshold
	}
	return speed <= deviationThreshold && deviation >= minDeviation
}

// estimate returns the estimate of a target.
func (p *pool) estimate(now time.Duration, target Key) Estimate {
	t := p.targets[target]
	if t == nil {
		return newEstimate(1, 1)
	}
	e := t.estimate
	e.Age = now - t.observedAt
	return e
}
