package server

import (
	"time"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/planner"
	"almondpick/steerer"
	"almondpick/warmer"
)

// slowStartMargin is added to the end of the slow start of a target with a known rate. The controller's
// clock starts later than the steerer's, by the time that the instance takes to start; without the
// margin the steerer would end the slow start early.
const slowStartMargin = 250 * time.Millisecond

// viewBuilder builds the views by which the steerer decides. Successive views share the routes that
// have not changed; as long as the ruleset stays, they share the whole table.
type viewBuilder struct {
	ruleset *planner.Ruleset // of the table
	table   *steerer.RouteTable
}

// routeTable returns the routes of a ruleset as the steerer knows them.
func (b *viewBuilder) routeTable(ruleset *planner.Ruleset) *steerer.RouteTable {
	switch {
	case b.table == nil:
		b.table = steerer.NewRouteTable(newSteererRoutes(ruleset))
	case b.ruleset != ruleset:
		b.table = b.table.WithRoutes(newSteererRoutes(ruleset))
	}
	b.ruleset = ruleset
	return b.table
}

// newSteererRoutes returns the routes of a ruleset as the steerer knows them.
func newSteererRoutes(ruleset *planner.Ruleset) []steerer.Route {
	routes := make([]steerer.Route, 0, len(ruleset.Routes))
	for _, r := range ruleset.Routes {
		route := steerer.Route{
			Name: r.Name, Class: r.RetryPolicy.String(), Address: r.Address, Timeout: r.CallerTimeout,
			Objective: r.LatencyObjective, Priority: r.Priority, Shares: make([]steerer.Share, 0, len(r.WeightedPools)),
		}
		for _, s := range r.WeightedPools {
			route.Shares = append(route.Shares, steerer.Share{Pool: s.Pool, Weight: s.Weight})
		}
		routes = append(routes, route)
	}
	return routes
}

// view returns the view of a state of the cluster.
func (b *viewBuilder) view(cluster controller.ClusterState) *steerer.View {
	ruleset := cluster.Config.Ruleset
	if ruleset == nil {
		return steerer.NewView(0, cluster.Self.DataCentre, nil, nil)
	}
	targets := make([]steerer.Target, 0, len(cluster.Targets))
	for _, t := range cluster.Targets {
		if t.JobUnnamed() && !ruleset.HasPool(t.Job) {
			continue // it has no flows, and takes no label from a target that may have some
		}
		targets = append(targets, newSteererTarget(cluster, t))
	}
	view := steerer.NewView(ruleset.Version, cluster.Self.DataCentre, nil, targets).WithRouteTable(b.routeTable(ruleset)).
		WithSynced(cluster.Ready).WithForwardingInstances(cluster.ForwardingInstances)
	if !ruleset.HasSlowStartRate() {
		return view
	}
	return view.WithForwarders(cluster.TakenAt, warmer.Members{
		Names: cluster.ForwardingNames, FleetSize: cluster.FleetSize, Connected: cluster.MajorityReached,
	})
}

// newSteererTarget returns a target as the steerer knows it. The cluster has a ruleset.
func newSteererTarget(cluster controller.ClusterState, t announcer.Target) steerer.Target {
	acceptsNewFlows, evacuated := acceptsNewWorkUnlessEvacuated(cluster, t), cluster.Config.Evacuated(t.DataCentre)
	target := steerer.Target{
		Identity: t.Identity, Incarnation: t.Incarnation, Endpoint: t.Endpoint, DataCentre: t.DataCentre,
		Pool: t.Job, Slots: t.Slots, AcceptsNewFlows: acceptsNewFlows && !evacuated, Evacuated: acceptsNewFlows && evacuated,
		Deregistered: t.State == announcer.Deregistered, LastSeen: t.LastSeen,
	}
	if t.State == announcer.SlowStart {
		target.SlowStartUntil = t.SlowStartUntil
		target.SlowStartRate = cluster.Config.Ruleset.SlowStartRate(t.Job)
	}
	if target.SlowStartRate > 0 {
		target.SlowStartUntil += slowStartMargin
	}
	return target
}
