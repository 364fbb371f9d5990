package server

import (
	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/steerer"
)

// labelView returns what the steerer decides by.
func labelView(w controller.ClusterState) *steerer.View {
	rules := w.Config.Rules
	if rules == nil {
		return steerer.NewView(0, w.Self.DataCentre, nil, nil)
	}
	routes := make([]steerer.Route, 0, len(rules.Routes))
	for _, r := range rules.Routes {
		one := steerer.Route{Name: r.Name, Class: r.Kind.String(), Address: r.Address, Timeout: r.Timeout}
		for _, s := range r.Shares {
			one.Shares = append(one.Shares, steerer.Share{Pool: s.Pool, Weight: s.Weight})
		}
		routes = append(routes, one)
	}
	targets := make([]steerer.Target, 0, len(w.Targets))
	for _, t := range w.Targets {
		one := steerer.Target{
			Identity: t.Identity, Incarnation: t.Incarnation, Endpoint: t.Endpoint, DataCentre: t.DataCentre,
			Pool: t.Job, Slots: t.Slots, Fit: fit(w, t), Gone: t.State == announcer.Gone, Seen: t.Seen,
		}
		if t.State == announcer.Cold {
			one.ColdUntil = t.Since + t.ColdFor
		}
		targets = append(targets, one)
	}
	return steerer.NewView(rules.Version, w.Self.DataCentre, routes, targets).WithComplete(w.Ready)
}
