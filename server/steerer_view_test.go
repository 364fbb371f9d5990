package server

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/planner"
	"almondpick/steerer"
)

// The identities of two targets may end in the same label. A target whose job was never named has
// no flows, and must not take the label of one that may have some.
func TestTargetOfAnUnnamedJobTakesNoLabel(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	cluster := controller.ClusterState{Ready: true}
	cluster.Config.Ruleset = &planner.Ruleset{Version: 1, Pools: []planner.Pool{{Name: "menus"}}, Routes: []planner.Route{{
		Address: address, CallerTimeout: time.Second, WeightedPools: []planner.WeightedPool{{Pool: "menus", Weight: 1}},
	}}}
	good := announcer.Announcement{Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Job: "menus", Slots: 1, Identity: 0x0100000007, Incarnation: 5}
	odd := announcer.Announcement{Endpoint: netip.MustParseAddrPort("10.0.0.2:80"), Job: "legacy-print", Slots: 1, Identity: 0x0200000007}
	cluster.Targets = []announcer.Target{{Announcement: good}, {Announcement: odd}}

	s := steerer.New()
	s.SetView(newSteererView(cluster))
	caller := netip.MustParseAddrPort("100.64.0.7:40001")
	decision := s.Decide(0, steerer.Packet{Flow: steerer.Flow{Caller: caller, Service: address}, Flags: steerer.SYN})
	is.Equal(decision.Action, steerer.Forward)
	is.Equal(decision.Target.Identity, good.Identity)
}
