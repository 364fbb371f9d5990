package requester

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"almondpick/dispatcher"
)

// pools drives the dispatcher's pools: it hands out slots to waiting goroutines.
type pools struct {
	mu     sync.Mutex
	now    func() time.Duration
	byName map[string]*pool
	nextID dispatcher.RequestID
	roused chan struct{} // work has begun to wait
}

type pool struct {
	*dispatcher.Pool
	waiting map[dispatcher.RequestID]chan string // receives the target, or is closed
	targets []dispatcher.Target
}

func newPools(now func() time.Duration) *pools {
	return &pools{now: now, byName: make(map[string]*pool), roused: make(chan struct{}, 1)}
}

// poolName returns the name of the pool that serves a set of jobs.
func poolName(jobs []string) string {
	sorted := slices.Sorted(slices.Values(jobs))
	return strings.Join(sorted, ",")
}

// set brings the pools up to date.
func (p *pools) set(targets map[string][]dispatcher.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, list := range targets {
		one := p.byName[name]
		if one == nil {
			one = &pool{Pool: dispatcher.NewPool(), waiting: make(map[dispatcher.RequestID]chan string)}
			p.byName[name] = one
		}
		one.targets = list
		one.wake(one.SetTargets(p.now(), list))
	}
	for name, one := range p.byName {
		if _, ok := targets[name]; !ok {
			one.targets = nil
			one.SetTargets(p.now(), nil)
		}
	}
}

// wake passes the targets to the goroutines that wait for them.
func (p *pool) wake(starts []dispatcher.Assignment) {
	for _, s := range starts {
		p.waiting[s.RequestID] <- s.Target
		delete(p.waiting, s.RequestID)
	}
}

// expire ends the waiting that has become pointless, and tells whether work still waits.
func (p *pools) expire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := false
	for _, one := range p.byName {
		late, starts := one.Expire(p.now())
		for _, id := range late {
			close(one.waiting[id])
			delete(one.waiting, id)
		}
		one.wake(starts)
		waits = waits || len(one.waiting) > 0
	}
	return waits
}

// slot is the right to run work on a target.
type slot struct {
	pools  *pools
	pool   *pool
	target string
	begun  time.Duration
	once   sync.Once
}

// finish gives the slot back.
func (s *slot) finish(r dispatcher.Result) {
	s.once.Do(func() {
		s.pools.mu.Lock()
		defer s.pools.mu.Unlock()
		now := s.pools.now()
		s.pool.wake(s.pool.Finish(now, s.target, r, now-s.begun))
	})
}

// acquire waits for a slot of the named pool. Its error is a *Problem with the
// outcome not-run, or that of ctx. avoid names a target that an earlier try failed
// on; a retry is paid from the budget.
func (p *pools) acquire(ctx context.Context, name, tenant, avoid string, deadline time.Duration) (*slot, error) {
	p.mu.Lock()
	one := p.byName[name]
	if one == nil {
		p.mu.Unlock()
		return nil, noTarget()
	}
	p.nextID++
	w := dispatcher.Request{ID: p.nextID, Tenant: tenant, Deadline: deadline, AvoidTarget: avoid}
	submit := one.Submit
	if avoid != "" {
		submit = one.Retry
	}
	verdict, start := submit(p.now(), w)
	if verdict == dispatcher.Started {
		defer p.mu.Unlock()
		return p.slot(one, start.Target), nil
	}
	if verdict == dispatcher.Refused {
		defer p.mu.Unlock()
		return nil, refused(one.EstimateWait(p.now(), tenant))
	}
	ready := make(chan string, 1)
	one.waiting[w.ID] = ready
	p.mu.Unlock()
	select {
	case p.roused <- struct{}{}:
	default: // whoever ends the waiting is awake
	}
	return p.await(ctx, one, w, ready)
}

func noTarget() *Problem {
	return problem("no-target", "No target serves this at present", 503, OutcomeNotRun)
}

func (p *pools) slot(one *pool, target string) *slot {
	return &slot{pools: p, pool: one, target: target, begun: p.now()}
}

func (p *pools) await(ctx context.Context, one *pool, w dispatcher.Request, ready chan string) (*slot, error) {
	select {
	case target, ok := <-ready:
		p.mu.Lock()
		defer p.mu.Unlock()
		if !ok {
			return nil, refused(one.EstimateWait(p.now(), w.Tenant))
		}
		return p.slot(one, target), nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if one.Cancel(w.ID) {
		delete(one.waiting, w.ID)
		return nil, ctx.Err()
	}
	target, ok := <-ready
	if ok {
		one.wake(one.Finish(p.now(), target, dispatcher.ResultOK, 0))
	}
	return nil, ctx.Err()
}

// waitingWork returns how much work waits in each pool.
func (p *pools) waitingWork() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int, len(p.byName))
	for name, one := range p.byName {
		out[name] = one.QueuedRequests()
	}
	return out
}
