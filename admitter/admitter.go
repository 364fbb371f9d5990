// Package admitter decides which requests an instance sends to targets now, which wait and in
// which order, and which are refused. Package steerer calls Ask for each request; package diverter
// queues, refuses or drops packets by the Verdict.
//
// An Admitter has no clock and no goroutine, and is not safe for concurrent use. Parameters named
// now are times since any fixed moment.
package admitter

import "time"

// Load is a resource of limited capacity that requests need. An Admitter consults its loads in turn;
// a request is admitted if all of them have room.
type Load interface {
	// Reason returns the reason of a request that waits for the load.
	Reason() Reason
	// HasRoom reports whether the load has room for the request now.
	HasRoom(now time.Duration, r *Request) bool
	// Usage returns how many requests are in progress at the part of the load that the request
	// needs, and how many may be.
	Usage(now time.Duration, r *Request) (inProgress int, limit float64)
	// TimeFor returns the least time in which the load takes n requests like r, 0 if that is not
	// known.
	TimeFor(now time.Duration, r *Request, n int) time.Duration
	// Begin counts a request that is sent to a target.
	Begin(now time.Duration, pool string, route *Terms)
	// End removes a request that Begin counted: its response has begun, or it has been given up.
	End(now time.Duration, pool string, route *Terms)
}

// Admitter decides about the requests of one instance. Its state is soft: after a restart the
// limits begin at the instance's share of each pool.
type Admitter struct {
	pools *poolLoad
	link  *linkLoad // nil if the link has no limit
	loads []Load
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithLoad adds a load, which is consulted after those that were added before.
func WithLoad(l Load) Option {
	return func(a *Admitter) { a.loads = append(a.loads, l) }
}

// WithLinkRate limits the flows with many bytes to what the instance's own link carries, at a rate
// in bits per second. With a rate of 0, the default, there is no limit.
func WithLinkRate(bitsPerSecond float64) Option {
	return func(a *Admitter) {
		if bitsPerSecond <= 0 {
			return
		}
		a.link = newLinkLoad(bitsPerSecond)
		a.loads = append(a.loads, a.link)
	}
}

// New returns an Admitter that knows no pool. Until SetPools names its slots, a pool takes one
// request at a time.
func New(opts ...Option) *Admitter {
	pools := newPoolLoad()
	a := &Admitter{pools: pools, loads: []Load{pools}}
	for _, o := range opts {
		o(a)
	}
	return a
}

// SetPools sets the number of slots of each pool, and the number of instances that share them,
// this one included. The map must not be changed afterwards.
func (a *Admitter) SetPools(slots map[string]int, instances int) {
	a.pools.setCapacities(slots, instances)
}

// Ask returns whether a request is sent now, waits or is given up. It does not count the request
// as in progress: the caller calls Begin once it sends the request.
func (a *Admitter) Ask(now time.Duration, r Request) Verdict {
	if r.CallerSilent() {
		return Verdict{Decision: Discard, Reason: CallerSilent}
	}
	if r.CanRefuse && r.waitedTooLong() {
		return Verdict{Decision: Refuse, Reason: WaitedTooLong, Pool: r.Pool}
	}
	if r.Pool == "" {
		return Verdict{Decision: r.waitOrDiscard(), Reason: NoPool}
	}
	if r.Moved {
		return Verdict{Decision: Admit, Pool: r.Pool}
	}
	v := a.consultLoads(now, &r)
	v.Waiting = a.pools.record(now, &r, &v)
	return v
}

// consultLoads returns the verdict on a request by the first load without room for it.
func (a *Admitter) consultLoads(now time.Duration, r *Request) Verdict {
	for _, l := range a.loads {
		if l.HasRoom(now, r) {
			continue
		}
		inProgress, limit := l.Usage(now, r)
		v := Verdict{Decision: r.waitOrDiscard(), Reason: l.Reason(), Pool: r.Pool, InProgress: inProgress, Limit: limit}
		if v.Decision == Wait && r.CanRefuse && a.unanswerable(now, r, l) {
			v.Decision = Refuse
		}
		return v
	}
	return Verdict{Decision: Admit, Pool: r.Pool}
}

// unanswerable reports whether a SYN that waits for a load can no longer be answered before its
// caller gives up, even if the load took only requests of its route from now on.
func (a *Admitter) unanswerable(now time.Duration, r *Request, l Load) bool {
	ahead := a.pools.countAhead(now, r)
	return r.Waited+l.TimeFor(now, r, ahead) > a.pools.latestWait(r)
}

// Begin counts a request of the route that is sent to a target of the pool.
func (a *Admitter) Begin(now time.Duration, pool string, route *Terms) {
	for _, l := range a.loads {
		l.Begin(now, pool, route)
	}
}

// End removes a request that Begin counted: its response has begun, or it has been given up.
func (a *Admitter) End(now time.Duration, pool string, route *Terms) {
	for _, l := range a.loads {
		l.End(now, pool, route)
	}
}

// Observe records the latency of a request whose response has just begun.
func (a *Admitter) Observe(now time.Duration, pool string, route *Terms, latency time.Duration) {
	a.pools.observe(now, pool, route, latency)
}

// ObserveBytes records how many bytes a caller has sent on a flow, or with a request on a flow that
// stays open.
func (a *Admitter) ObserveBytes(route *Terms, bytes int) {
	if a.link != nil {
		a.link.observe(route, bytes)
	}
}

// PoolLoad is the load of a pool by this instance.
type PoolLoad struct {
	Pool       string
	InProgress int
	Limit      float64 // requests that may be in progress
}

// PoolLoads returns the load of every pool to which this instance has sent requests.
func (a *Admitter) PoolLoads(now time.Duration) []PoolLoad {
	return a.pools.usages(now)
}
