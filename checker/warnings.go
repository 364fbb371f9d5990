package checker

import (
	"strconv"

	"almondpick/admitter"
	"almondpick/planner"
)

// minSlots is the smallest number of slots that targets usually have. With fewer connections, slots
// of a target stay unused.
const minSlots = 2

// addWarnings reports what the operator door accepts, but has no effect or contradicts itself.
func (c *check) addWarnings() {
	rules := &c.document.Ruleset
	used := make(map[string]bool, len(rules.Pools))
	for i := range rules.Routes {
		c.checkAddress(i)
		c.checkTimeout(i)
		c.checkSplit(i, used)
	}
	for i := range rules.Pools {
		c.checkPool(i, used)
	}
	c.checkIdleTimeout()
	c.checkVersion()
}

// checkAddress reports routes with an address that is not IPv4. Packets have IPv4 addresses only,
// and those that are mapped into IPv6 are not equal to them.
func (c *check) checkAddress(route int) {
	if ip := c.document.Ruleset.Routes[route].Address.Addr(); ip.IsValid() && !ip.Is4() {
		c.addWarning(planner.RouteLocation(planner.FieldAddress, route), NeverMatches, ip.String()+" is no IPv4 address; packets have no other")
	}
}

// checkTimeout compares the timeout of a route with its objective and with the time for which its
// SYNs may wait.
func (c *check) checkTimeout(route int) {
	r := &c.document.Ruleset.Routes[route]
	at := planner.RouteLocation(planner.FieldTimeout, route)
	if r.CallerTimeout < r.LatencyObjective {
		c.addWarning(at, TimeoutBelowObjective, "the timeout of "+r.CallerTimeout.String()+" is below the objective of "+r.LatencyObjective.String())
	}
	if r.CallerTimeout < admitter.MaxHoldTime {
		c.addWarning(at, TimeoutBelowWait, "a SYN may wait at an instance for "+admitter.MaxHoldTime.String()+
			", so it may use up the timeout of "+r.CallerTimeout.String())
	}
}

// checkSplit reports entries of a split that get nothing, and adds the pools that get flows to
// used.
func (c *check) checkSplit(route int, used map[string]bool) {
	shares := c.document.Ruleset.Routes[route].WeightedPools
	for i, share := range shares {
		if share.Weight == 0 {
			c.addWarning(planner.ShareLocation(planner.FieldShareWeight, route, i), ShareWithoutFlows, "the weight is 0, so the service gets no flows of the route")
			continue
		}
		used[share.Pool] = true
	}
}

// checkPool reports a service that gets no flows, and a limit of connections that is too low.
func (c *check) checkPool(pool int, used map[string]bool) {
	p := &c.document.Ruleset.Pools[pool]
	if !used[p.Name] && !c.hasInvalidPath(planner.RulesetLocation(planner.FieldRoutes)) {
		c.addWarning(planner.PoolLocation(planner.FieldPoolName, pool), UnusedService, "no route sends flows to the service")
	}
	if p.MaxConnections < minSlots {
		c.addWarning(planner.PoolLocation(planner.FieldPoolLimit, pool), TooFewConnections,
			"at most "+strconv.Itoa(p.MaxConnections)+" connections for each target; targets have "+strconv.Itoa(minSlots)+" slots or more")
	}
}

// checkIdleTimeout reports that flows may be dropped while their callers still wait. It names the
// route with the longest timeout only. An idle timeout of 0 is none.
func (c *check) checkIdleTimeout() {
	rules := &c.document.Ruleset
	longest := planner.Route{}
	longer := 0
	for i := range rules.Routes {
		if rules.Routes[i].CallerTimeout <= rules.IdleTimeout {
			continue
		}
		longer++
		if rules.Routes[i].CallerTimeout > longest.CallerTimeout {
			longest = rules.Routes[i]
		}
	}
	if rules.IdleTimeout > 0 && longer > 0 {
		c.addWarning(planner.RulesetLocation(planner.FieldIdleTimeout), IdleBelowTimeout, "the idle timeout of "+rules.IdleTimeout.String()+
			" is shorter than the longest timeout, "+longest.CallerTimeout.String()+" of route "+longest.Name+"; routes with a longer timeout than it: "+strconv.Itoa(longer))
	}
}

// checkVersion reports a version that is not higher than the one in force.
func (c *check) checkVersion() {
	if c.inForce != nil && c.inForce.Version > 0 && c.document.Ruleset.Version <= c.inForce.Version {
		c.addWarning(planner.RulesetLocation(planner.FieldVersion), VersionNotHigher, "version "+strconv.FormatUint(c.document.Ruleset.Version, 10)+
			" is not higher than "+strconv.FormatUint(c.inForce.Version, 10)+", which is in force; it would be acknowledged and change nothing")
	}
}
