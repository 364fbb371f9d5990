package server

import (
	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/steerer"
)

// labelView returns what the steerer decides by.
func labelView(w controller.World) *steerer.View {
	rules := w.Config.Ruleset
	if rules == nil {
		return steerer.NewView(0, w.Self.DataCentre, nil, nil)
	}
	routes := make([]steerer.Route, 0, len(rules.Routes))
	for _, r := range rules.Routes {
		one := steerer.Route{Name: r.Name, Class: r.RetryPolicy.String(), Address: r.Address, Timeout: r.CallerTimeout}
		for _, s := range r.WeightedPools {
			one.Shares = append(one.Shares, steerer.Share{Pool: s.Pool, Weight: s.Weight})
		}
		routes = append(routes, one)
	}
	targets := make([]steerer.Target, 0, len(w.Targets))
	for _, t := range w.Targets {
		one := steerer.Target{
			Identity: t.Identity, Incarnation: t.Incarnation, Endpoint: t.Endpoint, DataCentre: t.DataCentre,
			Pool: t.Job, Slots: t.Slots, AcceptsNewFlows: fit(w, t), Deregistered: t.State == announcer.Deregistered, LastSeen: t.LastSeen,
		}
		if t.State == announcer.SlowStart {
			one.SlowStartUntil = t.StateSince + t.SlowStartRemaining
		}
		targets = append(targets, one)
	}
	return steerer.NewView(rules.Version, w.Self.DataCentre, routes, targets).WithSynced(w.Ready)
}
