package admitter

import "time"

const (
	// refreshInterval is the time between two comparisons of the rates of routes. More frequent
	// ones would have no effect on the requests that wait.
	refreshInterval = RetryInterval
	// governingShare is the share of the requests from which a route's objective governs the queues
	// at the targets. Queues that suit a strict objective absorb less of a burst.
	governingShare = 0.1
)

// refresh adds to each route's credit its share of the capacity since the last call, and finds
// the routes whose objectives govern the queues at the targets.
//
// A route's share is its part of the recent work. A route that asks for no more than its share
// has credit, and goes before those that have used theirs up. So a burst of one route takes nothing
// that another one needs, and room for which no route has credit goes by urgency.
func (p *pool) refresh(now time.Duration) {
	elapsed := now - p.refreshedAt
	if p.refreshed && elapsed < refreshInterval {
		return
	}
	if !p.refreshed {
		p.refreshed, elapsed = true, 0
	}
	p.refreshedAt = now
	demand, work := 0.0, 0.0
	for _, r := range p.routes {
		r.demandRate, r.workRate = r.demand.perSecond(now), r.weight.perSecond(now)*p.idleLatencyOf(r).Seconds()
		demand += r.demandRate
		work += r.workRate
	}
	for _, r := range p.routes {
		r.governs = r.demandRate >= governingShare*demand
		if work > 0 {
			r.addCredit(p.capacity*r.workRate/work, elapsed)
		}
	}
}

// addCredit adds the work that a share of the capacity, in slots, does in a time. A share that has
// not been used for longer than the objective is lost: it can help no request to be in time. The
// debt has the same bound.
func (r *routeState) addCredit(share float64, elapsed time.Duration) {
	bound := share * r.terms.ProgressTimeout().Seconds()
	r.credit = max(-bound, min(bound, r.credit+share*elapsed.Seconds()))
}

// reserved returns how many requests of other routes with credit wait. A route without credit must
// leave them room.
func (p *pool) reserved(now time.Duration, route *routeState) float64 {
	if route.credit > 0 {
		return 0
	}
	reserved := 0
	for _, other := range p.routes {
		if other != route && other.credit > 0 && other.waitsFor == PoolFull {
			reserved += other.waiting.at(now)
		}
	}
	return float64(reserved)
}
