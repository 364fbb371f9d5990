package steerer

import (
	"net/netip"
	"slices"
	"time"

	"almondpick/admitter"
)

// RouteTable is an immutable set of routes. Each route is allocated apart: a flow that refers to its
// route keeps no other one in memory, whatever has become of the table.
type RouteTable struct {
	routes map[netip.AddrPort]*Route
}

// NewRouteTable returns a table of copies of the routes.
func NewRouteTable(routes []Route) *RouteTable {
	return (&RouteTable{}).WithRoutes(routes)
}

// WithRoutes returns a table of the given routes in place of those of t. Both share the routes that are
// the same in all fields.
func (t *RouteTable) WithRoutes(routes []Route) *RouteTable {
	next := &RouteTable{routes: make(map[netip.AddrPort]*Route, len(routes))}
	for i := range routes {
		r := t.routes[routes[i].Address]
		if r == nil || !r.equal(&routes[i]) {
			clone := routes[i]
			clone.terms = clone.newTerms()
			r = &clone
		}
		next.routes[r.Address] = r
	}
	return next
}

// Share is the weight of one pool among the pools of a route.
type Share struct {
	Pool   string
	Weight int
}

// Route maps a service address to the pools that get its new flows.
type Route struct {
	Name      string
	Class     string // class of the route's requests, for metrics
	Address   netip.AddrPort
	Timeout   time.Duration // time after which callers give up a request
	Objective time.Duration // latency within which callers want a response, 0 if none is known
	Priority  int           // 0 is the highest
	Shares    []Share
	terms     *admitter.Terms
}

// Terms returns what the route asks of its requests.
func (r *Route) Terms() *admitter.Terms {
	if r.terms != nil {
		return r.terms
	}
	return r.newTerms()
}

// newTerms returns the terms of the route. A route without a name goes by its address.
func (r *Route) newTerms() *admitter.Terms {
	t := &admitter.Terms{Name: r.Name, Objective: r.Objective, Timeout: r.Timeout, Priority: r.Priority}
	if t.Name == "" {
		t.Name = r.Address.String()
	}
	return t
}

// usesPool reports whether a pool is one of the route, whatever its weight. Flows that were opened there
// go on.
func (r *Route) usesPool(pool string) bool {
	for i := range r.Shares {
		if r.Shares[i].Pool == pool {
			return true
		}
	}
	return false
}

// equal reports whether all fields of two routes are the same.
func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Class == other.Class && r.Address == other.Address && r.Timeout == other.Timeout &&
		r.Objective == other.Objective && r.Priority == other.Priority && slices.Equal(r.Shares, other.Shares)
}
