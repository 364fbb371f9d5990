// Package dispatcher shares the slots of targets among waiting requests. A Pool
// decides and holds no clock, socket or goroutine: a driver submits work, starts
// what it is told to start, and reports how it ended.
//
// For each pool of targets one instance dispatches, the first in rank for the
// pool's name; the others pass requests to it. One queue over all slots wastes no
// slot while anything waits, which several queues with parts of the slots cannot
// promise; docs/MEASUREMENTS.md has the figures of the ways that were weighed.
package dispatcher

import (
	"math"
	"slices"
	"time"
)

// ID names one piece of work in a pool.
type RequestID uint64

// Target is a target of the pool as its owner sees it.
type Target struct {
	Name      string
	Slots     int
	Eligible  bool
	SlowStart bool // begins with one slot and gains the others step by step
}

// Work is one request.
type Request struct {
	ID          RequestID
	Tenant      string
	Deadline    time.Duration // when waiting is no longer worth it
	AvoidTarget string        // the target that an earlier try failed on
}

// Result tells how work on a target ended.
type Result uint8

// The results.
const (
	ResultOK               Result = iota
	ResultShed                    // the target said that it did not run the work
	ResultError                   // the target answered with a failure of its own
	ResultConnectionFailed        // the connection failed
)

// Verdict is the answer to submitted work.
type Admission uint8

// The verdicts.
const (
	Started Admission = iota
	Queued
	Refused
)

// Start tells the driver to run work on a target.
type Assignment struct {
	RequestID RequestID
	Target    string
}

// Limits and times of a pool.
const (
	maxQueue      = 4096 // pieces of work
	ejectAfter    = 3    // failures in a row
	ejectFirst    = time.Second
	ejectMost     = 30 * time.Second
	ejectShare    = 0.5 // of the targets at most
	rampTime      = 10 * time.Second
	shedPause     = 100 * time.Millisecond
	retryPerWork  = 0.1 // retries earned by each piece of work
	retryMost     = 10
	smoothing     = 0.05
	firstEstimate = 50 * time.Millisecond
)

// slotState is what a pool knows of a target.
type slotState struct {
	Target
	running  int
	started  float64 // work given to it, for an even spread
	failures int
	ejected  time.Duration // until then it gets no work
	backoff  time.Duration
	paused   time.Duration // after it shed work
	since    time.Duration // of its present incarnation, for the ramp
}

// tenantQueue is the waiting work of one tenant.
type tenantQueue struct {
	name string
	work []Request
}

// Pool is the slots of one set of targets with the work that waits for them.
type Pool struct {
	targets []*slotState
	queues  []*tenantQueue // those with waiting work, the next to be served first
	waiting int
	mean    float64 // seconds that work takes
	retries float64
	late    []RequestID // taken out of the queue after their deadline
	stats   Stats
}

// Stats are the running totals of a pool.
type Stats struct {
	Submitted, Started, Refused, Expired, Shed, Retried, Ejections uint64
}

// NewPool returns a pool without targets.
func NewPool() *Pool {
	return &Pool{mean: firstEstimate.Seconds(), retries: retryMost}
}

// Stats returns the running totals.
func (p *Pool) Stats() Stats {
	return p.stats
}

// Waiting returns how much work waits.
func (p *Pool) QueuedRequests() int {
	return p.waiting
}

// SetTargets brings the targets up to date and returns what can start now. A
// target that is gone or unfit finishes what it runs.
func (p *Pool) SetTargets(now time.Duration, targets []Target) []Assignment {
	known := make(map[string]*slotState, len(p.targets))
	for _, t := range p.targets {
		known[t.Name] = t
		t.Eligible = false
	}
	for _, t := range targets {
		s := known[t.Name]
		if s == nil {
			s = &slotState{since: now, started: p.leastStarted()}
			p.targets = append(p.targets, s)
		}
		if t.SlowStart && !s.SlowStart {
			s.since = now
		}
		s.Target = t
	}
	kept := p.targets[:0]
	for _, t := range p.targets {
		if t.Eligible || t.running > 0 {
			kept = append(kept, t)
		}
	}
	p.targets = kept
	return p.fill(now)
}

// leastStarted lets a new target begin level with the others.
func (p *Pool) leastStarted() float64 {
	least := math.Inf(1)
	for _, t := range p.targets {
		least = min(least, t.started)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// slots returns how much work the target may run now.
func (t *slotState) slots(now time.Duration) int {
	if !t.SlowStart {
		return t.Slots
	}
	share := float64(now-t.since) / float64(rampTime)
	return max(1, min(t.Slots, int(share*float64(t.Slots))))
}

func (t *slotState) free(now time.Duration) bool {
	return t.Eligible && t.running < t.slots(now) && now >= t.paused
}

// Submit asks for a slot. Queued work starts later, by the answer of another call,
// or is returned by Expire.
func (p *Pool) Submit(now time.Duration, w Request) (Admission, Assignment) {
	p.stats.Submitted++
	p.retries = min(retryMost, p.retries+retryPerWork)
	return p.place(now, w)
}

func (p *Pool) place(now time.Duration, w Request) (Admission, Assignment) {
	if p.waiting == 0 {
		if t := p.choose(now, w.AvoidTarget); t != nil {
			return Started, p.start(t, w)
		}
	}
	if p.queueOf(w.Tenant) >= maxQueue || now+p.EstimateWait(now, w.Tenant) > w.Deadline {
		p.stats.Refused++
		return Refused, Assignment{}
	}
	p.enqueue(w)
	return Queued, Assignment{}
}

// Wait estimates how long new work of a tenant would wait, for a Retry-After. Tenants
// are served in turn, so only the tenant's own queue counts, once for each tenant that
// has work waiting.
func (p *Pool) EstimateWait(now time.Duration, tenant string) time.Duration {
	slots := 0
	for _, t := range p.targets {
		if t.Eligible {
			slots += t.slots(now)
		}
	}
	if slots == 0 {
		return 0 // unknown: a target may come back before the deadline
	}
	own := p.queueOf(tenant)
	tenants := len(p.queues)
	if own == 0 {
		tenants++
	}
	ahead := min(own*tenants, p.waiting)
	return time.Duration(p.mean * float64(ahead) / float64(slots) * float64(time.Second))
}

// queueOf returns how much work of a tenant waits.
func (p *Pool) queueOf(tenant string) int {
	for _, q := range p.queues {
		if q.name == tenant {
			return len(q.work)
		}
	}
	return 0
}

func (p *Pool) start(t *slotState, w Request) Assignment {
	t.running++
	t.started += 1 / float64(max(1, t.Slots))
	p.stats.Started++
	return Assignment{RequestID: w.ID, Target: t.Name}
}

// choose returns the target that has been given the least work for its slots,
// among those with a free slot; an ejected one only when too many are ejected.
func (p *Pool) choose(now time.Duration, avoid string) *slotState {
	panicking := p.panicking(now)
	var best, avoided *slotState
	for _, t := range p.targets {
		if !t.free(now) || (now < t.ejected && !panicking) {
			continue
		}
		if t.Name == avoid {
			avoided = t
			continue
		}
		if best == nil || less(t, best) {
			best = t
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// less prefers the target with the smaller share of its slots in use, then the one
// that was given less work.
func less(a, b *slotState) bool {
	x := a.running * b.Slots
	y := b.running * a.Slots
	if x != y {
		return x < y
	}
	return a.started < b.started
}

// panicking tells whether so many targets are ejected that the observer is more
// likely at fault than they are.
func (p *Pool) panicking(now time.Duration) bool {
	fit, out := 0, 0
	for _, t := range p.targets {
		if !t.Eligible {
			continue
		}
		fit++
		if now < t.ejected {
			out++
		}
	}
	return float64(out) > ejectShare*float64(fit)
}

func (p *Pool) enqueue(w Request) {
	p.waiting++
	for _, q := range p.queues {
		if q.name == w.Tenant {
			q.work = append(q.work, w)
			return
		}
	}
	p.queues = append(p.queues, &tenantQueue{name: w.Tenant, work: []Request{w}})
}

// dequeue takes the next work, tenant by tenant, so that one that floods the pool
// waits behind itself and not before the others.
func (p *Pool) dequeue() Request {
	q := p.queues[0]
	w := q.work[0]
	q.work = q.work[1:]
	p.waiting--
	p.queues = p.queues[1:]
	if len(q.work) > 0 {
		p.queues = append(p.queues, q)
	}
	return w
}

// fill starts waiting work while slots are free.
func (p *Pool) fill(now time.Duration) []Assignment {
	var out []Assignment
	for p.waiting > 0 {
		if now > p.queues[0].work[0].Deadline {
			p.late = append(p.late, p.dequeue().ID)
			continue
		}
		t := p.choose(now, p.queues[0].work[0].AvoidTarget)
		if t == nil {
			break
		}
		out = append(out, p.start(t, p.dequeue()))
	}
	return out
}

// Finish notes the end of work on a target and returns what can start now.
func (p *Pool) Finish(now time.Duration, target string, r Result, took time.Duration) []Assignment {
	for _, t := range p.targets {
		if t.Name == target {
			t.running--
			p.judge(now, t, r, took)
			break
		}
	}
	return p.fill(now)
}

func (p *Pool) judge(now time.Duration, t *slotState, r Result, took time.Duration) {
	switch r {
	case ResultOK:
		t.failures = 0
		t.backoff = 0
		p.mean += smoothing * (took.Seconds() - p.mean)
	case ResultShed:
		p.stats.Shed++
		t.paused = now + shedPause
	case ResultError, ResultConnectionFailed:
		t.failures++
		if t.failures >= ejectAfter {
			p.eject(now, t)
		}
	}
}

func (p *Pool) eject(now time.Duration, t *slotState) {
	t.backoff = min(ejectMost, max(ejectFirst, 2*t.backoff))
	t.ejected = now + t.backoff
	t.failures = ejectAfter - 1 // one more failure ejects it again
	p.stats.Ejections++
}

// Retry asks for another slot for work that did not run, or may be repeated. It is
// refused when the budget for retries is spent.
func (p *Pool) Retry(now time.Duration, w Request) (Admission, Assignment) {
	if p.retries < 1 {
		p.stats.Refused++
		return Refused, Assignment{}
	}
	p.retries--
	p.stats.Retried++
	return p.place(now, w)
}

// Cancel takes waiting work out of the queue. It is false when the work does not
// wait.
func (p *Pool) Cancel(id RequestID) bool {
	if i := slices.Index(p.late, id); i >= 0 {
		p.late = slices.Delete(p.late, i, i+1)
		return true
	}
	for i, q := range p.queues {
		for j, w := range q.work {
			if w.ID != id {
				continue
			}
			q.work = append(q.work[:j], q.work[j+1:]...)
			p.waiting--
			if len(q.work) == 0 {
				p.queues = append(p.queues[:i], p.queues[i+1:]...)
			}
			return true
		}
	}
	return false
}

// Expire returns the waiting work whose deadline has passed, and what can start
// now because a pause or an ejection has ended.
func (p *Pool) Expire(now time.Duration) ([]RequestID, []Assignment) {
	late := p.late
	p.late = nil
	for _, q := range p.queues {
		for _, w := range q.work {
			if now > w.Deadline {
				late = append(late, w.ID)
			}
		}
	}
	for _, id := range late {
		p.Cancel(id) // false for what fill has taken out already
		p.stats.Expired++
	}
	return late, p.fill(now)
}
