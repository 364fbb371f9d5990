// Package dispatcher assigns requests to the slots of targets; a slot is the right to run
// one request on a target. A Pool only decides and uses no clock, socket or goroutine: its
// caller submits requests, sends those that the Pool assigns to a target, and reports how
// they ended.
//
// One instance dispatches for each pool of targets: the one that ranks first for the name
// of the pool. The other instances forward their requests to that instance. A single queue
// over all slots leaves no slot unused while a request waits, which several queues with a
// part of the slots each cannot guarantee; docs/MEASUREMENTS.md has the measurements of
// the alternatives.
package dispatcher

import (
	"math"
	"slices"
	"time"
)

// RequestID identifies a request within a pool.
type RequestID uint64

// Target describes a target of a pool, as passed to SetTargets.
type Target struct {
	Name      string
	Slots     int
	Eligible  bool // may be given new requests
	SlowStart bool // starts with one slot; the others follow over slowStartWindow
}

// Request is a request that needs a slot.
type Request struct {
	ID          RequestID
	Tenant      string
	Deadline    time.Duration // when the request leaves the queue if it has no slot
	AvoidTarget string        // the target of an earlier failed attempt; used only if no other has a free slot
}

// Result is how a request on a target ended.
type Result uint8

// The results.
const (
	ResultOK               Result = iota
	ResultShed                    // the target rejected the request without running it
	ResultError                   // the target responded with an error
	ResultConnectionFailed        // the connection failed
)

// Admission is the result of Submit and Retry.
type Admission uint8

// The admission results.
const (
	Started Admission = iota // has a slot now
	Queued                   // waits for a slot until its deadline
	Refused                  // gets no slot
)

// Assignment tells the caller of a Pool to send a request to a target.
type Assignment struct {
	RequestID RequestID
	Target    string
}

// Limits and durations of a pool.
const (
	maxQueuedPerTenant         = 4096
	consecutiveFailuresToEject = 3
	baseEjectionTime           = time.Second
	maxEjectionTime            = 30 * time.Second
	panicThreshold             = 0.5 // share of the eligible targets; above it ejections are ignored
	slowStartWindow            = 10 * time.Second
	shedBackoff                = 100 * time.Millisecond
	retryBudgetPerRequest      = 0.1 // retries that each submitted request adds to the budget
	maxRetryBudget             = 10
	runTimeSmoothing           = 0.05 // weight of a new sample in the moving average
	initialRunTime             = 50 * time.Millisecond
)

// targetState is the state that a pool keeps for a target.
type targetState struct {
	Target
	runningRequests     int
	startsPerSlot       float64 // assigned requests divided by slots, to spread requests evenly
	consecutiveFailures int
	ejectedUntil        time.Duration // until then the target gets no requests, except in panic mode
	ejectionTime        time.Duration // length of the last ejection; zero after a success
	pausedUntil         time.Duration // until then a target that shed a request gets no other
	slowStartBegan      time.Duration // of the target's current incarnation
}

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	tenant   string
	requests []Request
}

// Pool manages the slots of a set of targets and the queue of requests for them. All times
// are durations since a start that the caller chooses. A Pool is not safe for concurrent use.
type Pool struct {
	targets        []*targetState
	tenantQueues   []*tenantQueue // non-empty queues, in the order of service
	queuedRequests int
	meanRunSeconds float64     // exponentially weighted moving average
	retryBudget    float64     // retries that may be made now
	expiredIDs     []RequestID // dequeued after their deadline, not yet returned by Expire
}

// NewPool returns a pool without targets.
func NewPool() *Pool {
	return &Pool{meanRunSeconds: initialRunTime.Seconds(), retryBudget: maxRetryBudget}
}

// QueuedRequests returns the number of requests in the queue.
func (p *Pool) QueuedRequests() int {
	return p.queuedRequests
}

// SetTargets replaces the set of targets and returns the queued requests that can start
// now. A target that is removed or not eligible keeps the requests that it is running.
func (p *Pool) SetTargets(now time.Duration, targets []Target) []Assignment {
	existing := make(map[string]*targetState, len(p.targets))
	for _, t := range p.targets {
		existing[t.Name] = t
		t.Eligible = false
	}
	for _, t := range targets {
		state := existing[t.Name]
		if state == nil {
			state = &targetState{slowStartBegan: now, startsPerSlot: p.minStartsPerSlot()}
			p.targets = append(p.targets, state)
		}
		if t.SlowStart && !state.SlowStart {
			state.slowStartBegan = now
		}
		state.Target = t
	}
	kept := p.targets[:0]
	for _, t := range p.targets {
		if t.Eligible || t.runningRequests > 0 {
			kept = append(kept, t)
		}
	}
	p.targets = kept
	return p.startQueued(now)
}

// minStartsPerSlot returns the smallest startsPerSlot, from which a new target starts so
// that it is level with the others.
func (p *Pool) minStartsPerSlot() float64 {
	minimum := math.Inf(1)
	for _, t := range p.targets {
		minimum = min(minimum, t.startsPerSlot)
	}
	if math.IsInf(minimum, 1) {
		return 0
	}
	return minimum
}

// usableSlots returns how many requests the target may run at a time now.
func (t *targetState) usableSlots(now time.Duration) int {
	if !t.SlowStart {
		return t.Slots
	}
	elapsedShare := float64(now-t.slowStartBegan) / float64(slowStartWindow)
	return max(1, min(t.Slots, int(elapsedShare*float64(t.Slots))))
}

func (t *targetState) hasFreeSlot(now time.Duration) bool {
	return t.Eligible && t.runningRequests < t.usableSlots(now) && now >= t.pausedUntil
}

// Submit requests a slot. A later call returns the assignment of a queued request, or
// Expire returns its ID. Each submitted request adds to the retry budget.
func (p *Pool) Submit(now time.Duration, request Request) (Admission, Assignment) {
	p.retryBudget = min(maxRetryBudget, p.retryBudget+retryBudgetPerRequest)
	return p.admit(now, request)
}

// admit assigns a slot to the request or queues it. The request is refused if its tenant's
// queue is full or the estimated wait exceeds the deadline.
func (p *Pool) admit(now time.Duration, request Request) (Admission, Assignment) {
	if p.queuedRequests == 0 {
		if t := p.chooseTarget(now, request.AvoidTarget); t != nil {
			return Started, p.assign(t, request)
		}
	}
	if p.queuedFor(request.Tenant) >= maxQueuedPerTenant || now+p.EstimateWait(now, request.Tenant) > request.Deadline {
		return Refused, Assignment{}
	}
	p.enqueue(request)
	return Queued, Assignment{}
}

// EstimateWait estimates how long a new request of the tenant would wait for a slot, for
// admission and for Retry-After. Tenants are served in turn, so the estimate multiplies
// the length of the tenant's own queue by the number of tenants with queued requests.
func (p *Pool) EstimateWait(now time.Duration, tenant string) time.Duration {
	slots := 0
	for _, t := range p.targets {
		if t.Eligible {
			slots += t.usableSlots(now)
		}
	}
	if slots == 0 {
		return 0 // unknown: a target may become eligible before the deadline
	}
	queuedForTenant := p.queuedFor(tenant)
	waitingTenants := len(p.tenantQueues)
	if queuedForTenant == 0 {
		waitingTenants++
	}
	requestsAhead := min(queuedForTenant*waitingTenants, p.queuedRequests)
	return time.Duration(p.meanRunSeconds * float64(requestsAhead) / float64(slots) * float64(time.Second))
}

// queuedFor returns the number of queued requests of a tenant.
func (p *Pool) queuedFor(tenant string) int {
	for _, q := range p.tenantQueues {
		if q.tenant == tenant {
			return len(q.requests)
		}
	}
	return 0
}

func (p *Pool) assign(t *targetState, request Request) Assignment {
	t.runningRequests++
	t.startsPerSlot += 1 / float64(max(1, t.Slots))
	return Assignment{RequestID: request.ID, Target: t.Name}
}

// chooseTarget returns the least loaded target with a free slot, or nil. Ejected targets
// count only in panic mode, and avoidTarget only when no other target has a free slot.
func (p *Pool) chooseTarget(now time.Duration, avoidTarget string) *targetState {
	panicMode := p.inPanicMode(now)
	var best, avoidedTarget *targetState
	for _, t := range p.targets {
		if !t.hasFreeSlot(now) || (now < t.ejectedUntil && !panicMode) {
			continue
		}
		if t.Name == avoidTarget {
			avoidedTarget = t
			continue
		}
		if best == nil || lessLoaded(t, best) {
			best = t
		}
	}
	if best == nil {
		return avoidedTarget
	}
	return best
}

// lessLoaded reports whether a has a smaller share of its slots in use than b. Equal
// shares are ordered by startsPerSlot.
func lessLoaded(a, b *targetState) bool {
	loadA := a.runningRequests * b.Slots
	loadB := b.runningRequests * a.Slots
	if loadA != loadB {
		return loadA < loadB
	}
	return a.startsPerSlot < b.startsPerSlot
}

// inPanicMode reports whether the share of ejected targets exceeds panicThreshold. The
// fault is then more likely on this instance than on the targets, so ejections are ignored.
func (p *Pool) inPanicMode(now time.Duration) bool {
	eligible, ejected := 0, 0
	for _, t := range p.targets {
		if !t.Eligible {
			continue
		}
		eligible++
		if now < t.ejectedUntil {
			ejected++
		}
	}
	return float64(ejected) > panicThreshold*float64(eligible)
}

func (p *Pool) enqueue(request Request) {
	p.queuedRequests++
	for _, q := range p.tenantQueues {
		if q.tenant == request.Tenant {
			q.requests = append(q.requests, request)
			return
		}
	}
	p.tenantQueues = append(p.tenantQueues, &tenantQueue{tenant: request.Tenant, requests: []Request{request}})
}

// dequeue removes and returns the next request. Tenants are served round-robin, so a
// tenant that floods the pool delays only its own requests.
func (p *Pool) dequeue() Request {
	q := p.tenantQueues[0]
	request := q.requests[0]
	q.requests = q.requests[1:]
	p.queuedRequests--
	p.tenantQueues = p.tenantQueues[1:]
	if len(q.requests) > 0 {
		p.tenantQueues = append(p.tenantQueues, q)
	}
	return request
}

// startQueued assigns queued requests while slots are free. Requests past their deadline
// go to expiredIDs instead.
func (p *Pool) startQueued(now time.Duration) []Assignment {
	var assignments []Assignment
	for p.queuedRequests > 0 {
		if now > p.tenantQueues[0].requests[0].Deadline {
			p.expiredIDs = append(p.expiredIDs, p.dequeue().ID)
			continue
		}
		t := p.chooseTarget(now, p.tenantQueues[0].requests[0].AvoidTarget)
		if t == nil {
			break
		}
		assignments = append(assignments, p.assign(t, p.dequeue()))
	}
	return assignments
}

// Finish records the end of a request on a target and returns the queued requests that can
// start now.
func (p *Pool) Finish(now time.Duration, target string, result Result, runTime time.Duration) []Assignment {
	for _, t := range p.targets {
		if t.Name == target {
			t.runningRequests--
			p.recordResult(now, t, result, runTime)
			break
		}
	}
	return p.startQueued(now)
}

// recordResult updates the state of the target. Only successful requests count for the
// mean run time.
func (p *Pool) recordResult(now time.Duration, t *targetState, result Result, runTime time.Duration) {
	switch result {
	case ResultOK:
		t.consecutiveFailures = 0
		t.ejectionTime = 0
		p.meanRunSeconds += runTimeSmoothing * (runTime.Seconds() - p.meanRunSeconds)
	case ResultShed:
		t.pausedUntil = now + shedBackoff
	case ResultError, ResultConnectionFailed:
		t.consecutiveFailures++
		if t.consecutiveFailures >= consecutiveFailuresToEject {
			p.ejectTarget(now, t)
		}
	}
}

// ejectTarget ejects a target for baseEjectionTime, or for twice as long as the last time,
// up to maxEjectionTime, if no request has succeeded since.
func (p *Pool) ejectTarget(now time.Duration, t *targetState) {
	t.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*t.ejectionTime))
	t.ejectedUntil = now + t.ejectionTime
	t.consecutiveFailures = consecutiveFailuresToEject - 1 // the next failure ejects the target again
}

// Retry requests a slot for another attempt of a request that did not run or is
// idempotent. The request is refused when the retry budget is used up.
func (p *Pool) Retry(now time.Duration, request Request) (Admission, Assignment) {
	if p.retryBudget < 1 {
		return Refused, Assignment{}
	}
	p.retryBudget--
	return p.admit(now, request)
}

// Cancel removes a request from the queue, or from the expired requests that Expire has not
// returned yet. It returns false if the request is neither.
func (p *Pool) Cancel(id RequestID) bool {
	if i := slices.Index(p.expiredIDs, id); i >= 0 {
		p.expiredIDs = slices.Delete(p.expiredIDs, i, i+1)
		return true
	}
	for i, q := range p.tenantQueues {
		for j, request := range q.requests {
			if request.ID != id {
				continue
			}
			q.requests = append(q.requests[:j], q.requests[j+1:]...)
			p.queuedRequests--
			if len(q.requests) == 0 {
				p.tenantQueues = append(p.tenantQueues[:i], p.tenantQueues[i+1:]...)
			}
			return true
		}
	}
	return false
}

// Expire removes and returns the requests whose deadline has passed. It also returns
// the requests that can start now because a backoff or an ejection has ended.
func (p *Pool) Expire(now time.Duration) ([]RequestID, []Assignment) {
	expired := p.expiredIDs
	p.expiredIDs = nil
	for _, q := range p.tenantQueues {
		for _, request := range q.requests {
			if now > request.Deadline {
				expired = append(expired, request.ID)
			}
		}
	}
	for _, id := range expired {
		p.Cancel(id) // returns false for those that startQueued has dequeued already
	}
	return expired, p.startQueued(now)
}
