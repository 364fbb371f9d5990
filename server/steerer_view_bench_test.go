package server

import (
	"net/netip"
	"testing"
	"time"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/planner"
	"almondpick/steerer"
)

// BenchmarkNewSteererView measures an update of the steerer's view with 3,000 targets and
// 240 routes.
func BenchmarkNewSteererView(b *testing.B) {
	const targets, routes = 3000, 240
	cluster := controller.ClusterState{Ready: true, TakenAt: time.Second, Config: planner.Config{Ruleset: &planner.Ruleset{Version: 1}}}
	for n := range routes {
		cluster.Config.Ruleset.Routes = append(cluster.Config.Ruleset.Routes, planner.Route{
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
			WeightedPools: []planner.WeightedPool{{Pool: "pool-a", Weight: 1}},
		})
	}
	for n := range targets {
		cluster.Targets = append(cluster.Targets, announcer.Target{Announcement: announcer.Announcement{
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 8080),
			Job:      "pool-a", Slots: 2, Identity: uint64(n + 1), Incarnation: uint64(1000 + n),
		}})
	}
	s, views := steerer.New(), viewBuilder{}
	b.ReportAllocs()
	for b.Loop() {
		s.SetView(views.view(cluster))
	}
}
