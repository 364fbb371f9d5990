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
	"almondpick/warmer"
)

// newSteererView returns the first view that an instance builds.
func newSteererView(cluster controller.ClusterState) *steerer.View {
	return new(viewBuilder).view(cluster)
}

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

// The rate of a slow start and the forwarding instances must reach the steerer: without them it
// sends targets in slow start either too much or nothing.
func TestSlowStartReachesTheSteerer(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("198.18.0.1:443")
	cluster := controller.ClusterState{
		Ready: true, TakenAt: time.Second, ForwardingInstances: 1, ForwardingNames: []string{"10.0.0.9"}, FleetSize: 1, MajorityReached: true,
	}
	cluster.Config.Ruleset = &planner.Ruleset{Version: 1, Pools: []planner.Pool{{Name: "menus", SlowStartRate: 4}}, Routes: []planner.Route{{
		Address: address, CallerTimeout: time.Second, WeightedPools: []planner.WeightedPool{{Pool: "menus", Weight: 1}},
	}}}
	starting := announcer.Announcement{Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Job: "menus", Slots: 1000, Identity: 7, State: announcer.SlowStart}
	cluster.Targets = []announcer.Target{{Announcement: starting, SlowStartUntil: time.Minute}}

	s := steerer.New(steerer.WithWarmer(warmer.New("10.0.0.9")))
	s.SetView(newSteererView(cluster))
	placed := 0
	for n := range 500 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(n+1))
		decision := s.Decide(4*time.Second+time.Duration(n)*10*time.Millisecond, steerer.Packet{Flow: steerer.Flow{Caller: caller, Service: address}, Flags: steerer.SYN})
		if decision.ToSlowStart {
			placed++
		}
	}
	last := s.Decide(time.Minute+slowStartMargin-1, steerer.Packet{Flow: steerer.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:9"), Service: address}, Flags: steerer.SYN})
	is.True(last.ToSlowStart || last.Reason == steerer.SlowStart) // the clocks of an instance may differ by the margin
	is.True(placed >= 10)                                         // half of the rate
	is.True(placed <= 20)                                         // the rate
}
