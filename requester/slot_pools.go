package requester

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"almondpick/dispatcher"
)

// slotPools passes the slots that dispatcher.Pool assigns to the goroutines that wait for
// them.
type slotPools struct {
	mu          sync.Mutex           // guards poolByName with its pools, and lastID
	now         func() time.Duration // since Proxy.startedAt
	poolByName  map[string]*slotPool
	lastID      dispatcher.RequestID
	waiterAdded chan struct{} // wakes Proxy.expireLoop
}

// slotPool is a dispatcher.Pool with the goroutines that wait for its slots.
type slotPool struct {
	*dispatcher.Pool
	waiters map[dispatcher.RequestID]chan string // receives the target's name; closed on expiry
}

func newSlotPools(now func() time.Duration) *slotPools {
	return &slotPools{now: now, poolByName: make(map[string]*slotPool), waiterAdded: make(chan struct{}, 1)}
}

// poolName returns the name of the pool for a set of jobs, which does not depend on their
// order.
func poolName(jobs []string) string {
	sorted := slices.Sorted(slices.Values(jobs))
	return strings.Join(sorted, ",")
}

// setTargets replaces the targets of all pools. Pools that are not in targetsByPool are left
// without targets.
func (p *slotPools) setTargets(targetsByPool map[string][]dispatcher.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, targets := range targetsByPool {
		pool := p.poolByName[name]
		if pool == nil {
			pool = &slotPool{Pool: dispatcher.NewPool(), waiters: make(map[dispatcher.RequestID]chan string)}
			p.poolByName[name] = pool
		}
		pool.notifyWaiters(pool.SetTargets(p.now(), targets))
	}
	for name, pool := range p.poolByName {
		if _, ok := targetsByPool[name]; !ok {
			pool.SetTargets(p.now(), nil)
		}
	}
}

// notifyWaiters passes the assigned targets to the goroutines that wait for them.
func (p *slotPool) notifyWaiters(assignments []dispatcher.Assignment) {
	for _, assignment := range assignments {
		p.waiters[assignment.RequestID] <- assignment.Target
		delete(p.waiters, assignment.RequestID)
	}
}

// expireWaiters ends the wait of requests whose deadline has passed, and reports whether
// other requests still wait.
func (p *slotPools) expireWaiters() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	requestsWait := false
	for _, pool := range p.poolByName {
		expired, assignments := pool.Expire(p.now())
		for _, id := range expired {
			close(pool.waiters[id])
			delete(pool.waiters, id)
		}
		pool.notifyWaiters(assignments)
		requestsWait = requestsWait || len(pool.waiters) > 0
	}
	return requestsWait
}

// slot is the right to run one request on a target.
type slot struct {
	pools       *slotPools
	pool        *slotPool
	target      string
	acquiredAt  time.Duration
	releaseOnce sync.Once
}

// release returns the slot to its pool with the result of the request. Only the first call
// has an effect.
func (s *slot) release(result dispatcher.Result) {
	s.releaseOnce.Do(func() {
		s.pools.mu.Lock()
		defer s.pools.mu.Unlock()
		now := s.pools.now()
		s.pool.notifyWaiters(s.pool.Finish(now, s.target, result, now-s.acquiredAt))
	})
}

// acquire waits for a slot of the named pool. Its error is a *Problem with the outcome
// "not-run", or the error of ctx. A non-empty avoidTarget marks a retry, which uses the
// retry budget, and names the target of the failed attempt.
func (p *slotPools) acquire(ctx context.Context, name, tenant, avoidTarget string, deadline time.Duration) (*slot, error) {
	p.mu.Lock()
	pool := p.poolByName[name]
	if pool == nil {
		p.mu.Unlock()
		return nil, noTarget()
	}
	p.lastID++
	request := dispatcher.Request{ID: p.lastID, Tenant: tenant, Deadline: deadline, AvoidTarget: avoidTarget}
	submit := pool.Submit
	if avoidTarget != "" {
		submit = pool.Retry
	}
	admission, assignment := submit(p.now(), request)
	if admission == dispatcher.Started {
		defer p.mu.Unlock()
		return p.newSlot(pool, assignment.Target), nil
	}
	if admission == dispatcher.Refused {
		defer p.mu.Unlock()
		return nil, overloaded(pool.EstimateWait(p.now(), tenant))
	}
	assigned := make(chan string, 1)
	pool.waiters[request.ID] = assigned
	p.mu.Unlock()
	select {
	case p.waiterAdded <- struct{}{}:
	default: // expireLoop is already going to wake up
	}
	return p.awaitSlot(ctx, pool, request, assigned)
}

// noTarget returns the problem for a request that no target can serve at present.
func noTarget() *Problem {
	return newProblem("no-target", "No target serves this at present", 503, OutcomeNotRun)
}

func (p *slotPools) newSlot(pool *slotPool, target string) *slot {
	return &slot{pools: p, pool: pool, target: target, acquiredAt: p.now()}
}

// awaitSlot waits until a queued request has a slot, expires, or ctx ends.
func (p *slotPools) awaitSlot(ctx context.Context, pool *slotPool, request dispatcher.Request, assigned chan string) (*slot, error) {
	select {
	case target, ok := <-assigned:
		p.mu.Lock()
		defer p.mu.Unlock()
		if !ok {
			return nil, overloaded(pool.EstimateWait(p.now(), request.Tenant))
		}
		return p.newSlot(pool, target), nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool.Cancel(request.ID) {
		delete(pool.waiters, request.ID)
		return nil, ctx.Err()
	}
	target, ok := <-assigned
	if ok {
		pool.notifyWaiters(pool.Finish(p.now(), target, dispatcher.ResultOK, 0))
	}
	return nil, ctx.Err()
}

// queuedRequests returns the number of queued requests in each pool.
func (p *slotPools) queuedRequests() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	queued := make(map[string]int, len(p.poolByName))
	for name, pool := range p.poolByName {
		queued[name] = pool.QueuedRequests()
	}
	return queued
}
