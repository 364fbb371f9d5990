package estimator

import (
	"math"
	"time"
)

const (
	// ReportInterval is the interval between the reports of an instance.
	ReportInterval = 500 * time.Millisecond
	// summaryInterval is the interval between summaries while nothing changes.
	summaryInterval = 5 * time.Second
	// minSummaryInterval is the least interval between summaries.
	minSummaryInterval = time.Second
	// summaryChange is the factor by which the speed of a target has to change for a new summary.
	summaryChange = 1.5
	// collectTime is for how long reports are collected before the first summary. The estimates
	// of a Collector that has just taken over rest on too little before.
	collectTime = 2 * time.Second
	// senderRetention is how long the sequence number of an instance is kept.
	senderRetention = time.Minute
)

// Collector estimates the speeds of targets from the reports of many instances.
type Collector struct {
	pools   map[string]*collectedPool
	senders map[sender]receivedReport
}

// collectedPool is the evidence of one pool.
type collectedPool struct {
	pool      *pool
	since     time.Duration // of the first of the recent reports
	lastAt    time.Duration // of the last report
	nextAt    time.Duration // earliest time of the next summary
	expiresAt time.Duration // time of the next summary if nothing changes
	last      map[Key]float64
}

// sender is an instance that reports about a pool.
type sender struct {
	instance, pool string
}

// receivedReport identifies the newest report of a sender.
type receivedReport struct {
	incarnation, sequence uint64
	at                    time.Duration
}

// NewCollector returns a Collector without targets.
func NewCollector() *Collector {
	return &Collector{pools: make(map[string]*collectedPool), senders: make(map[sender]receivedReport)}
}

// SetTargets replaces the targets, by pool.
func (c *Collector) SetTargets(targets map[string][]Target) {
	setTargets(c.pools, targets, newCollectedPool)
}

func newCollectedPool() *collectedPool { return &collectedPool{pool: newPool()} }

func (p *collectedPool) setTargets(targets []Target) { p.pool.setTargets(targets) }

// HandleReport adds the evidence of an instance. It returns false for a report that has been
// received before, or that is older than one that has.
func (c *Collector) HandleReport(now time.Duration, instance string, incarnation, sequence uint64, poolName string, r Report) bool {
	p := c.pools[poolName]
	if p == nil {
		return false
	}
	from := sender{instance, poolName}
	old, known := c.senders[from]
	if known && (incarnation < old.incarnation || (incarnation == old.incarnation && sequence <= old.sequence)) {
		return false
	}
	c.senders[from] = receivedReport{incarnation, sequence, now}
	if now-p.lastAt > sharedRetention || p.lastAt == 0 {
		p.since = now
	}
	p.lastAt = max(now, 1)
	r.eachEntry(func(k Key, o observations) { p.pool.add(now, k, o, 1) })
	return true
}

// TakeSummaries returns the summaries that are due, by pool: those of pools about which instances
// report, when the speed of a target has changed, and from time to time.
func (c *Collector) TakeSummaries(now time.Duration) map[string]Summary {
	summaries := make(map[string]Summary)
	for name, p := range c.pools {
		p.pool.refresh(now)
		if speeds, due := p.takeDue(now); due {
			summaries[name] = newSummary(speeds)
		}
	}
	for s, r := range c.senders {
		if now-r.at > senderRetention {
			delete(c.senders, s)
		}
	}
	return summaries
}

// takeDue returns the speeds of the targets that deviate, and whether a summary of them is due. If it
// is, takeDue schedules the next one.
func (p *collectedPool) takeDue(now time.Duration) (map[Key]float64, bool) {
	if p.lastAt == 0 || now-p.lastAt > minSummaryInterval+ReportInterval || now-p.since < collectTime || now < p.nextAt {
		return nil, false
	}
	speeds := p.pool.deviations()
	if now < p.expiresAt && !changed(p.last, speeds) {
		return nil, false
	}
	p.last, p.nextAt, p.expiresAt = speeds, now+minSummaryInterval, now+summaryInterval
	return speeds, true
}

// deviations returns the speeds of the targets that deviate.
func (p *pool) deviations() map[Key]float64 {
	speeds := make(map[Key]float64)
	for k, t := range p.targets {
		if t.estimate.Deviates() {
			speeds[k] = t.estimate.Speed
		}
	}
	return speeds
}

// changed reports whether a target deviates anew or no longer, or its speed has changed by
// summaryChange.
func changed(before, after map[Key]float64) bool {
	if len(before) != len(after) {
		return true
	}
	for k, speed := range after {
		old, ok := before[k]
		if !ok || math.Abs(math.Log(speed/old)) > math.Log(summaryChange) {
			return true
		}
	}
	return false
}
