package planner

import (
	"iter"
	"net/netip"
	"strconv"
)

// Names of the fields of a ruleset, as refusals give them.
const (
	FieldVersion       = "version"
	FieldRoutes        = "routes"
	FieldPools         = "pools"
	FieldLimits        = "limits"
	FieldSource        = "source"
	FieldIdleTimeout   = "idle"
	FieldPoolName      = "pools.name"
	FieldPoolLimit     = "pools.max-connections"
	FieldSlowStart     = "pools.slow-start"
	FieldSlowStartRate = "pools.slow-start-rate"
	FieldAddress       = "routes.address"
	FieldRetryPolicy   = "routes.kind"
	FieldTimeout       = "routes.timeout"
	FieldObjective     = "routes.objective"
	FieldShares        = "routes.shares"
	FieldSharePool     = "routes.shares.pool"
	FieldShareWeight   = "routes.shares.weight"
)

// NoIndex stands for an index that does not apply to the field of a Location.
const NoIndex = -1

// Location is the place of a field in a ruleset. Its indexes are NoIndex where the field is not
// that of a pool, of a route, or of one pool of a route.
type Location struct {
	Field string
	Pool  int
	Route int
	Share int // index in the WeightedPools of the route
}

// RulesetLocation returns the location of a field that the ruleset has once.
func RulesetLocation(field string) Location {
	return Location{Field: field, Pool: NoIndex, Route: NoIndex, Share: NoIndex}
}

// PoolLocation returns the location of a field of a pool.
func PoolLocation(field string, pool int) Location {
	return Location{Field: field, Pool: pool, Route: NoIndex, Share: NoIndex}
}

// RouteLocation returns the location of a field of a route.
func RouteLocation(field string, route int) Location {
	return Location{Field: field, Pool: NoIndex, Route: route, Share: NoIndex}
}

// ShareLocation returns the location of a field of a route's weighted pool.
func ShareLocation(field string, route, share int) Location {
	return Location{Field: field, Pool: NoIndex, Route: route, Share: share}
}

// Violation is a field of a ruleset that Validate refuses.
type Violation struct {
	Location Location
	Refusal  *Refusal
}

// Violations returns all fields that Validate refuses. They are in the order in which Validate
// checks them.
func (r Ruleset) Violations() iter.Seq[Violation] {
	return func(yield func(Violation) bool) {
		v := violationReporter{yield: yield}
		v.checkRuleset(&r)
		pools := v.checkPools(r.Pools)
		v.checkRoutes(r.Routes, pools)
	}
}

// violationReporter checks a ruleset and passes each violation to yield, until yield returns false.
type violationReporter struct {
	yield   func(Violation) bool
	stopped bool
}

func (v *violationReporter) report(at Location, value, allowed string) {
	if v.stopped {
		return
	}
	v.stopped = !v.yield(Violation{
		Location: at,
		Refusal:  &Refusal{Code: CodeBadField, Field: at.Field, Value: value, Allowed: allowed},
	})
}

// checkRuleset checks the fields that the ruleset has once.
func (v *violationReporter) checkRuleset(r *Ruleset) {
	if r.Version == 0 {
		v.report(RulesetLocation(FieldVersion), "0", "1 or more")
	}
	if len(r.Routes) > MaxRoutes {
		v.report(RulesetLocation(FieldRoutes), strconv.Itoa(len(r.Routes)), "at most "+strconv.Itoa(MaxRoutes))
	}
	if len(r.Source) > MaxSourceBytes {
		v.report(RulesetLocation(FieldSource), strconv.Itoa(len(r.Source)), "at most "+strconv.Itoa(MaxSourceBytes)+" bytes")
	}
	if r.IdleTimeout < 0 {
		v.report(RulesetLocation(FieldIdleTimeout), r.IdleTimeout.String(), "0s or more")
	}
}

// checkPools checks the pools and returns their names.
func (v *violationReporter) checkPools(pools []Pool) map[string]bool {
	names := make(map[string]bool, len(pools))
	for i := range pools {
		if v.stopped {
			break
		}
		p := &pools[i]
		if p.Name == "" || names[p.Name] {
			v.report(PoolLocation(FieldPoolName, i), p.Name, "a name that no other pool has")
		}
		v.checkSlowStart(p, i)
		names[p.Name] = true
	}
	return names
}

func (v *violationReporter) checkSlowStart(p *Pool, index int) {
	if p.SlowStart < 0 || p.SlowStart > MaxSlowStart {
		v.report(PoolLocation(FieldSlowStart, index), p.SlowStart.String(), "0s to "+MaxSlowStart.String())
	}
	if !(p.SlowStartRate >= 0 && p.SlowStartRate <= MaxSlowStartRate) {
		v.report(PoolLocation(FieldSlowStartRate, index), strconv.FormatFloat(p.SlowStartRate, 'g', -1, 64), "0 to 1e6 requests a second")
	}
}

// checkRoutes checks the routes, whose pools have to be among the names in pools.
func (v *violationReporter) checkRoutes(routes []Route, pools map[string]bool) {
	usedAddresses := make(map[netip.AddrPort]bool, len(routes))
	for i := range routes {
		if v.stopped {
			break
		}
		r := &routes[i]
		if usedAddresses[r.Address] {
			v.report(RouteLocation(FieldAddress, i), r.Address.String(), "an address that no other route has")
		}
		usedAddresses[r.Address] = true
		v.checkRoute(r, i)
		v.checkShares(r, i, pools)
	}
}

// checkRoute checks the fields of a route other than its weighted pools.
func (v *violationReporter) checkRoute(r *Route, index int) {
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		v.report(RouteLocation(FieldAddress, index), r.Address.String(), "IP:port")
	}
	if r.RetryPolicy >= retryPolicyCount {
		v.report(RouteLocation(FieldRetryPolicy, index), strconv.Itoa(int(r.RetryPolicy)), "idempotent, once, transfer or upload")
	}
	if r.CallerTimeout <= 0 {
		v.report(RouteLocation(FieldTimeout, index), r.CallerTimeout.String(), "more than 0s")
	}
	if r.LatencyObjective < 0 {
		v.report(RouteLocation(FieldObjective, index), r.LatencyObjective.String(), "0s or more")
	}
}

// checkShares checks the weighted pools of a route.
func (v *violationReporter) checkShares(r *Route, index int, pools map[string]bool) {
	if len(r.WeightedPools) == 0 {
		v.report(RouteLocation(FieldShares, index), "none", "one pool or more")
		return
	}
	hasWeight := false
	for i, share := range r.WeightedPools {
		if !pools[share.Pool] {
			v.report(ShareLocation(FieldSharePool, index, i), share.Pool, "a pool of this ruleset")
		}
		if share.Weight < 0 || share.Weight > MaxWeight {
			v.report(ShareLocation(FieldShareWeight, index, i), strconv.Itoa(share.Weight), "0 to "+strconv.Itoa(MaxWeight))
		}
		hasWeight = hasWeight || share.Weight != 0
	}
	if !hasWeight {
		v.report(RouteLocation(FieldShareWeight, index), "0", "a sum of more than 0")
	}
}
