package estimator

import (
	"math"
	"time"
)

// Parameters of the filter.
const (
	// levelsPerDoubling, slowestDoublings and fastestDoublings define the levels of slowness: from
	// a quarter to eight times the work time of a normal target.
	levelsPerDoubling = 2
	slowestDoublings  = 3
	fastestDoublings  = 2
	levelCount        = levelsPerDoubling*(slowestDoublings+fastestDoublings) + 1
	normalLevel       = levelsPerDoubling * fastestDoublings
	// normalPrior is the probability that a target of which nothing is known is normal. Most are.
	normalPrior = 0.95
	// changeTime is the mean time after which the slowness of a target is taken to have changed
	// without evidence.
	changeTime = time.Minute
	// evidenceWeight is the weight in the likelihood of a response that did not wait at the target.
	// The work of requests varies more than the exponential distribution allows for.
	evidenceWeight = 0.7
)

// filter is the probability of each level of slowness of one target, by Bayes' rule. The latency of
// a response is taken to be exponentially distributed, for which the number and the sum of the
// latencies say all there is to know, so that evidence of several instances adds up. The levels may
// change at any time, at random, so that old evidence loses its weight.
type filter struct {
	probability [levelCount]float64
	updatedAt   time.Duration
}

// slowness holds the work time of each level relative to that of a normal target.
var slowness = newSlowness()

func newSlowness() (s [levelCount]float64) {
	for i := range s {
		s[i] = math.Exp2(float64(i-normalLevel) / levelsPerDoubling)
	}
	return s
}

// prior returns the probability of a level without evidence.
func prior(level int) float64 {
	if level == normalLevel {
		return normalPrior
	}
	return (1 - normalPrior) / (levelCount - 1)
}

func newFilter(now time.Duration) *filter {
	f := &filter{updatedAt: now}
	for i := range f.probability {
		f.probability[i] = prior(i)
	}
	return f
}

// advance accounts for changes up to now.
func (f *filter) advance(now time.Duration) {
	changed := 1 - math.Exp(-float64(max(0, now-f.updatedAt))/float64(changeTime))
	f.updatedAt = max(now, f.updatedAt)
	for i := range f.probability {
		f.probability[i] += changed * (prior(i) - f.probability[i])
	}
}

// update applies the evidence of some responses with the given sum of ratios. expected returns the
// mean ratio at a slowness. weight is that of each response.
func (f *filter) update(count int, ratio, weight float64, expected func(slowness float64) float64) {
	var logs [levelCount]float64
	highest := math.Inf(-1)
	for i, s := range slowness {
		mean := expected(s)
		mean *= 1 - math.Exp(-maxRatio/mean) // the ratios are limited
		logs[i] = math.Log(f.probability[i]) - weight*(float64(count)*math.Log(mean)+ratio/mean)
		highest = max(highest, logs[i])
	}
	total := 0.0
	for i := range logs {
		f.probability[i] = math.Exp(logs[i] - highest)
		total += f.probability[i]
	}
	for i := range f.probability {
		f.probability[i] /= total
	}
}

// speed returns the speed of the target by the mean of the logarithm of its slowness, and the
// probability that the target deviates from normal in that direction.
func (f *filter) speed() (speed, deviation float64) {
	mean := 0.0
	for i, p := range f.probability {
		mean += p * float64(i)
	}
	for i, p := range f.probability {
		if i != normalLevel && (i > normalLevel) == (mean > normalLevel) {
			deviation += p
		}
	}
	return math.Exp2((normalLevel - mean) / levelsPerDoubling), deviation
}
