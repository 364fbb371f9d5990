package steerer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// evacuated makes a target one of an evacuated data centre.
func evacuated(t *Target) { t.AcceptsNewFlows, t.Evacuated = false, true }

// afterRetransmission is when the second SYN of a caller arrives.
const afterRetransmission = 200 * time.Millisecond

// An open flow must stay at its target; only new flows go to another data centre.
func TestOpenFlowsStayAtEvacuatedTargets(t *testing.T) {
	is := is.New(t)
	s := newSteerer(view(1, target(1, "menus")))
	opened := s.Decide(0, synPacket(1, menu, 0))
	is.Equal(opened.Action, Forward)
	s.Decide(time.Millisecond, Packet{Flow: flow(1, menu), Label: 1, Ack: 5, PayloadSize: 10})
	s.SetView(view(1, target(1, "menus", evacuated), target(2, "menus", inDataCentre("dc2"))))
	later := s.Decide(2*time.Millisecond, Packet{Flow: flow(1, menu), Label: 1, Ack: 5, PayloadSize: 10})
	is.Equal(later.Action, Forward)
	is.Equal(later.Target.Identity, uint64(1))
	// A duplicate of the SYN that the network delivers late must not move the flow either.
	is.Equal(s.Decide(3*time.Millisecond, synPacket(1, menu, 1)).Target.Identity, uint64(1))
	is.Equal(s.Decide(4*time.Millisecond, synPacket(2, menu, 0)).Target.Identity, uint64(2))
}

// The second SYN of a flow that has not opened must go elsewhere, whether this instance or another
// one forwarded the first, and whether or not the target answers other callers.
func TestRetransmittedSYNLeavesTheEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	before, after := view(1, target(1, "menus")), func() *View {
		return view(1, target(1, "menus", evacuated), target(2, "menus", inDataCentre("dc2")))
	}
	first, other := newSteerer(before), newSteerer(after())
	is.Equal(first.Decide(0, synPacket(1, menu, 0)).Target.Identity, uint64(1))
	is.Equal(first.Decide(0, synPacket(9, menu, 0)).Target.Identity, uint64(1))
	first.Decide(time.Millisecond, Packet{Flow: flow(9, menu), Label: 1, Ack: 5}) // the target answers
	first.SetView(after())
	moved := first.Decide(afterRetransmission, synPacket(1, menu, 1))
	is.Equal(moved.Target.Identity, uint64(2))
	is.Equal(moved.Reason, RetransmissionMoved)
	is.Equal(other.Decide(afterRetransmission, synPacket(1, menu, 1)).Target.Identity, uint64(2))
}

// A SYN that waits while its pool is busy must not go to a target that is evacuated meanwhile.
func TestHeldSYNLeavesTheEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	s := newSteerer(view(1, target(1, "menus"), target(2, "menus", inDataCentre("dc2"))))
	n := 0
	for ; s.Decide(0, synPacket(n, menu, 0)).Action == Forward; n++ {
		is.True(n < 1000)
	}
	s.SetView(view(1, target(1, "menus", evacuated), target(2, "menus", inDataCentre("dc2"))))
	held := synPacket(n, menu, 0)
	held.HeldFor = handshakeLoadTimeout + expiryInterval
	got := s.Decide(held.HeldFor, held)
	is.Equal(got.Action, Forward)
	is.Equal(got.Target.Identity, uint64(2))
}

// Moving SYNs away must not eject the evacuated targets or their data centre: they get flows again
// as soon as the evacuation is withdrawn.
func TestEvacuationEjectsNobody(t *testing.T) {
	is := is.New(t)
	remote := inDataCentre("dc2")
	s := newSteerer(view(1, target(1, "menus", remote)))
	s.Decide(0, synPacket(1, menu, 0))
	s.SetView(view(1, target(1, "menus", remote, evacuated), target(2, "menus")))
	is.Equal(s.Decide(afterRetransmission, synPacket(1, menu, 1)).Target.Identity, uint64(2))
	is.True(!s.targetStates[1].ejected(afterRetransmission))
	is.True(!s.dataCentreEjected(afterRetransmission, "dc2"))
}

// Where nothing else is left the order is obeyed: new flows and retransmitted SYNs are refused at
// once and with the reason. A pool without targets keeps its own reason.
func TestRefusedWhenEverythingIsEvacuated(t *testing.T) {
	is := is.New(t)
	s := newSteerer(view(1, target(1, "menus")))
	s.Decide(0, synPacket(1, menu, 0))
	s.SetView(view(1, target(1, "menus", evacuated), target(2, "menus", evacuated, inDataCentre("dc2")), target(3, "packs", draining)))
	for n, retransmissions := range []uint32{0, 1} {
		got := s.Decide(afterRetransmission, synPacket(n, menu, retransmissions))
		is.Equal(got.Action, Reset)
		is.Equal(got.Reason, Evacuated)
	}
	is.Equal(s.Decide(afterRetransmission, synPacket(3, packs, 0)).Reason, NoTarget)
	s.SetView(view(1, target(1, "menus"), target(2, "menus", evacuated)))
	is.Equal(s.Decide(afterRetransmission, synPacket(4, menu, 0)).Target.Identity, uint64(1))
}

// An instance that may not know all targets yet must not refuse: others may be left.
func TestEvacuatedPoolIsHeldUntilSynced(t *testing.T) {
	is := is.New(t)
	s := newSteerer(view(1, target(1, "menus", evacuated)).WithSynced(false))
	got := s.Decide(0, synPacket(1, menu, 0))
	is.Equal(got.Action, Hold)
	is.Equal(got.Reason, Evacuated)
}

// Open flows at evacuated targets go on as before, even if the whole pool is evacuated, and take no
// capacity of the other targets from new flows.
func TestOpenFlowsOfEvacuatedTargetsHaveTheirOwnLimit(t *testing.T) {
	is := is.New(t)
	many := func(t *Target) { t.Slots = 100 }
	s := newSteerer(view(1, target(1, "menus", many)))
	const open = 60
	request := func(n int) Packet { return Packet{Flow: flow(n, menu), Label: 1, Ack: 5, PayloadSize: 10} }
	s.SetView(view(1, target(1, "menus", many, evacuated)))
	for n := range open {
		is.Equal(s.Decide(0, request(n)).Action, Forward)
	}
	s.SetView(view(1, target(1, "menus", many, evacuated), target(2, "menus", inDataCentre("dc2"))))
	is.Equal(s.Decide(0, synPacket(1000, menu, 0)).Target.Identity, uint64(2))
	s.SetView(view(1, target(1, "menus", many), target(2, "menus", inDataCentre("dc2"))))
	s.Decide(time.Minute, Packet{})            // all requests have expired
	is.Equal(len(s.PoolLoads(time.Minute)), 2) // the evacuated targets are a pool of their own
	for _, load := range s.PoolLoads(time.Minute) {
		is.Equal(load.InProgress, 0)
	}
}

// A pool that is evacuated as a whole leaves its share of a route to the others.
func TestEvacuatedPoolLeavesItsShareToOthers(t *testing.T) {
	is := is.New(t)
	routes := []Route{{Name: "r", Address: menu, Timeout: time.Second, Shares: []Share{{Pool: "a", Weight: 9}, {Pool: "b", Weight: 1}, {Pool: "c"}}}}
	targets := []Target{target(1, "a", evacuated), target(2, "b"), target(3, "c")}
	s := newSteerer(NewView(1, "dc1", routes, targets).WithSynced(true))
	for n := range 50 {
		now := time.Duration(n) * time.Second
		is.Equal(s.Decide(now, synPacket(n, menu, 0)).Target.Identity, uint64(2))
	}
}

// New flows must not go to a pool with the weight 0, whatever its place in the route and however few
// other pools are left (incident 10): they are refused, with the reason.
func TestPoolWithoutWeightGetsNoFlows(t *testing.T) {
	live, next := Share{Pool: "live", Weight: 100}, Share{Pool: "next"}
	inForce := []Target{target(1, "live", evacuated), target(2, "live", evacuated), target(3, "next"), target(4, "next")}
	for _, tt := range []struct {
		name    string
		shares  []Share
		targets []Target
		reason  Reason
	}{
		{"weight 0 first", []Share{next, live}, inForce, Evacuated},
		{"weight 0 last", []Share{live, next}, inForce, Evacuated},
		{"weight 0 on both sides", []Share{next, live, next}, inForce, Evacuated},
		{"no evacuation and no target", []Share{next, live}, []Target{target(3, "next")}, NoTarget},
		// Validate refuses such routes; a view is built of whatever is stored.
		{"weight 0 only", []Share{next}, inForce, NoTarget},
		{"weights 0 only", []Share{next, {Pool: "live"}}, []Target{target(1, "live"), target(3, "next")}, NoTarget},
		{"no pools", nil, inForce, NoTarget},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			routes := []Route{{Name: "r", Address: menu, Timeout: time.Second, Shares: tt.shares}}
			s := newSteerer(NewView(1, "dc1", routes, tt.targets).WithSynced(true))
			for n := range 20 {
				got := s.Decide(0, synPacket(n, menu, 0))
				is.Equal(got.Action, Reset)
				is.Equal(got.Reason, tt.reason)
			}
		})
	}
}

// The weights of a route must not add up over the views that are built of it, since a draw above
// their sum belongs to no pool (incident 10).
func TestViewsOfTheSameRoutesKeepItsWeights(t *testing.T) {
	is := is.New(t)
	routes := []Route{{Name: "r", Address: menu, Timeout: time.Second, Shares: []Share{{Pool: "next"}, {Pool: "live", Weight: 1}, {Pool: "old", Weight: 1}}}}
	targets := []Target{target(1, "live"), target(2, "old"), target(3, "next")}
	NewView(1, "dc1", routes, targets)
	s := newSteerer(NewView(2, "dc1", routes, targets).WithSynced(true))
	for n := range 50 {
		got := s.Decide(time.Duration(n)*time.Second, synPacket(n, menu, 0))
		is.Equal(got.Action, Forward)
		is.True(got.Target.Pool != "next")
	}
}
