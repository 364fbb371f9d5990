package admitter

import "time"

// poolLoad is the load of all pools.
type poolLoad struct {
	slots     map[string]int
	instances int
	pools     map[string]*pool
}

func newPoolLoad() *poolLoad {
	return &poolLoad{pools: make(map[string]*pool)}
}

// setCapacities sets the slots of each pool and the number of instances that share them.
func (l *poolLoad) setCapacities(slots map[string]int, instances int) {
	l.slots, l.instances = slots, instances
	for name, p := range l.pools {
		p.setCapacity(slots[name], instances)
	}
}

// pool returns the state of a pool and creates it if there is none.
func (l *poolLoad) pool(name string) *pool {
	p := l.pools[name]
	if p == nil {
		p = newPool()
		p.setCapacity(l.slots[name], l.instances)
		l.pools[name] = p
	}
	return p
}

// Reason implements Load.
func (l *poolLoad) Reason() Reason { return PoolFull }

// HasRoom implements Load.
func (l *poolLoad) HasRoom(now time.Duration, r *Request) bool {
	return l.pool(r.Pool).hasRoom(now, r.Route)
}

// Usage implements Load.
func (l *poolLoad) Usage(now time.Duration, r *Request) (inProgress int, limit float64) {
	p := l.pool(r.Pool)
	return p.inProgress, p.limit(now)
}

// Begin implements Load.
func (l *poolLoad) Begin(now time.Duration, pool string, route *Terms) {
	l.pool(pool).begin(now, route)
}

// End implements Load.
func (l *poolLoad) End(now time.Duration, pool string, route *Terms) { l.pool(pool).end(now, route) }

// TimeFor implements Load.
func (l *poolLoad) TimeFor(now time.Duration, r *Request, n int) time.Duration {
	return l.pool(r.Pool).timeFor(now, n)
}

// latestWait returns how long a SYN may have waited so that its response still comes in time for its
// caller.
func (l *poolLoad) latestWait(r *Request) time.Duration { return l.pool(r.Pool).latestWait(r.Route) }

// countAhead counts the SYN among those of its route that are to wait at this time, and returns how
// many these are. The newest SYNs go first, so it returns 0 for one that has just come and does not
// count it.
func (l *poolLoad) countAhead(now time.Duration, r *Request) int {
	if !r.Asked {
		return 0
	}
	route := l.pool(r.Pool).route(now, r.Route)
	if route.passAt != now {
		route.passAt, route.ahead = now, 0
	}
	route.ahead++
	return route.ahead
}

// record notes the arrival of a request, and whether it waits. It returns how many requests of the
// route do.
func (l *poolLoad) record(now time.Duration, r *Request, v *Verdict) int {
	route := l.pool(r.Pool).route(now, r.Route)
	if !r.Asked && r.Waited == 0 {
		route.arrive(now)
	}
	switch {
	case v.Decision == Wait:
		route.wait(now, v.Reason)
	case r.Asked:
		route.waiting.remove()
	}
	return route.waiting.at(now)
}

// observe records the latency of a request whose response has just begun.
func (l *poolLoad) observe(now time.Duration, pool string, route *Terms, latency time.Duration) {
	l.pool(pool).observe(now, latency, route)
}

// usages returns the load of every pool that has been used.
func (l *poolLoad) usages(now time.Duration) []PoolLoad {
	loads := make([]PoolLoad, 0, len(l.pools))
	for name, p := range l.pools {
		loads = append(loads, PoolLoad{Pool: name, InProgress: p.inProgress, Limit: p.limit(now)})
	}
	return loads
}
