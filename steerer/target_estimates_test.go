package steerer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/estimator"
)

// estimating lets the instances of a simulation estimate targets, and returns the simulation.
func estimating(sim *simulation) *simulation {
	for _, s := range sim.instances {
		WithTargetEstimates(estimator.New())(s)
	}
	sim.setViews(loadTargets, true)
	return sim
}

// runSharing is runUntil with a collector, to which all instances report.
func (sim *simulation) runSharing(until time.Duration) {
	c := estimator.NewCollector()
	targets := make(map[string][]estimator.Target)
	for _, t := range sim.instances[0].view.targets {
		targets[t.Pool] = append(targets[t.Pool], estimator.Target{Key: t.estimateKey(), Slots: t.Slots})
	}
	c.SetTargets(targets)
	for sequence := uint64(1); sim.now < until; sequence++ {
		sim.runUntil(sim.now + estimator.ReportInterval)
		for i, s := range sim.instances {
			for pool, reports := range s.TakeReports() {
				c.HandleReport(sim.now, string(rune('a'+i)), 1, sequence, pool, reports[0])
			}
		}
		for pool, summary := range c.TakeSummaries(sim.now) {
			for _, s := range sim.instances {
				s.HandleSummary(sim.now, pool, summary)
			}
		}
	}
}

// Two targets work at half speed. Estimates must give them less, and must not make requests later
// than the passive health checks do.
func TestEstimatedTargetsGetLoadBySpeed(t *testing.T) {
	is := is.New(t)
	sim, alone, without := estimating(newSimulation(false)), estimating(newSimulation(false)), newSimulation(false)
	for _, each := range []*simulation{sim, alone, without} {
		each.rate = 500
		each.targets[0].slowdown, each.targets[1].slowdown = 2, 2
	}
	sim.runSharing(30 * time.Second)
	alone.runUntil(30 * time.Second)
	without.runUntil(30 * time.Second)
	share := func(s *simulation) float64 { return s.objectiveShare(2*time.Second, 29*time.Second) }
	e := sim.instances[0].targetStates[1].estimate
	t.Logf("within the objective: %.4f, unshared %.4f, without estimates %.4f; estimate %.2f; served %d and %d, without %d and %d", share(sim), share(alone),
		share(without), e.Speed, sim.servedByTarget[0], sim.servedByTarget[5], without.servedByTarget[0], without.servedByTarget[5])
	is.True(e.Speed >= 0.35 && e.Speed <= 0.7)
	is.True(share(sim) >= share(without)-0.005)
	is.True(share(alone) >= share(without)-0.005)
	is.True(sim.servedByTarget[0] < sim.servedByTarget[5]*3/4)
}

// Equal targets must be selected as without estimates.
func TestEstimatesOfEqualTargetsCostNothing(t *testing.T) {
	is := is.New(t)
	sim, without := estimating(newSimulation(false)), newSimulation(false)
	sim.runUntil(20 * time.Second)
	without.runUntil(20 * time.Second)
	t.Logf("within the objective: %.4f, without estimates %.4f", sim.objectiveShare(0, 19*time.Second), without.objectiveShare(0, 19*time.Second))
	is.True(sim.objectiveShare(0, 19*time.Second) >= without.objectiveShare(0, 19*time.Second)-0.002)
}

// sharedSpeeds returns a Steerer whose shared evidence says that the target with identity 1 works
// at a quarter of the normal speed.
func sharedSpeeds(t *testing.T) *Steerer {
	t.Helper()
	s := New(WithTargetEstimates(estimator.New()))
	s.SetView(newTestView(2, 4))
	s.HandleSummary(time.Second, "menus", slowSummary(t, s.view.targetsByLabel[1]))
	return s
}

// newTestView returns a view of a pool with n targets that accept new flows.
func newTestView(n, slots int) *View {
	var targets []Target
	for i := range n {
		targets = append(targets, target(uint64(i+1), "menus", func(t *Target) { t.Slots = slots }))
	}
	routes := []Route{{Address: menu, Timeout: loadTimeout, Objective: loadObjective, Shares: []Share{{Pool: "menus", Weight: 1}}}}
	return NewView(1, "dc1", routes, targets).WithSynced(true).WithForwardingInstances(1)
}

// slowSummary returns the summary of a collector that was told that a target is slow.
func slowSummary(t *testing.T, slow *Target) estimator.Summary {
	t.Helper()
	c := estimator.NewCollector()
	reporter := estimator.New()
	targets := map[string][]estimator.Target{"menus": nil}
	for i := range 10 {
		targets["menus"] = append(targets["menus"], estimator.Target{Key: estimator.Key{Label: uint32(i + 1), Incarnation: slow.estimateKey().Incarnation}, Slots: 4})
	}
	c.SetTargets(targets)
	reporter.SetTargets(targets, 1)
	var last estimator.Summary
	sequence := uint64(0)
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		for _, each := range targets["menus"] {
			latency := 50 * time.Millisecond
			if each.Key == slow.estimateKey() {
				latency *= 4
			}
			reporter.Observe(now, "menus", "route", each.Key, latency)
		}
		for pool, reports := range reporter.TakeReports() {
			for _, r := range reports {
				sequence++
				c.HandleReport(now, "a", 1, sequence, pool, r)
			}
		}
		for _, s := range c.TakeSummaries(now) {
			last = s
		}
	}
	if len(last.Entries) == 0 {
		t.Fatal("the collector did not notice the slow target")
	}
	return last
}

// The pool's limit must follow the estimates, and target selection must not leave a slow target
// without flows: nobody would notice its recovery.
func TestSharedEstimatesReplaceSlots(t *testing.T) {
	is := is.New(t)
	s := sharedSpeeds(t)
	s.refreshEstimates(time.Second)
	slow := s.targetStates[1].estimate
	is.True(slow.Speed < 0.5)
	is.True(slow.Confident())
	changes := s.TakeEstimateChanges()
	is.Equal(len(changes), 1)
	is.True(changes[0].Slow)
	is.Equal(changes[0].Target.Identity, uint64(1))
	is.Equal(len(s.TakeEstimateChanges()), 0)
	selected := make(map[uint64]int)
	for range 1000 {
		st, _ := s.selectTarget(time.Second, s.view.route(menu))
		selected[st.target.Identity]++
	}
	t.Logf("estimate %.2f, selected %v", slow.Speed, selected)
	is.True(selected[1] > 100 && selected[1] < 350)
	before := New()
	before.SetView(newTestView(2, 4))
	p := Packet{Flow: flow(1, menu), Flags: SYN}
	s.Decide(time.Second, p)
	before.Decide(time.Second, p)
	is.True(s.PoolLoads(time.Second)[0].Limit < before.PoolLoads(time.Second)[0].Limit)
}

// Once the shared evidence is gone, an instance must go by what it sees itself, and report that the
// target has recovered.
func TestOldSharedEstimatesAreDropped(t *testing.T) {
	is := is.New(t)
	s := sharedSpeeds(t)
	s.refreshEstimates(time.Second)
	s.TakeEstimateChanges()
	s.refreshEstimates(time.Minute)
	changes := s.TakeEstimateChanges()
	is.Equal(len(changes), 1)
	is.True(!changes[0].Slow)
	is.True(!s.targetStates[1].estimate.Confident())
}

// The time for which a request waited for the instance's own link must not count as evidence.
func TestEstimatesLeaveOutTheDelayOfTheLink(t *testing.T) {
	is := is.New(t)
	s := New(WithTargetEstimates(estimator.New()))
	s.SetView(newTestView(1, 4))
	now := time.Second
	s.Decide(now, Packet{Flow: flow(1, menu), Flags: SYN})
	s.Decide(now, Packet{Flow: flow(1, menu), Label: 1, PayloadSize: 100, Ack: 1})
	s.SetQueued(now, flow(1, menu), 1)
	s.SetQueued(now+300*time.Millisecond, flow(1, menu), 0)
	s.Decide(now+340*time.Millisecond, Packet{Flow: flow(1, menu), Label: 1, Ack: 2})
	reports := s.TakeReports()["menus"]
	is.Equal(len(reports), 1)
	is.Equal(reports[0].MeanLatency, uint64(40_000)) // microseconds
}

// A request that got no response because the network path to another data centre failed, or that
// began during the slow start of its target, must not make the target look slow to all instances.
func TestPathFailureAndSlowStartAreNoEvidence(t *testing.T) {
	is := is.New(t)
	s := New(WithTargetEstimates(estimator.New()))
	slowStart := func(t *Target) { t.Slots, t.SlowStartUntil = 4, 2*time.Second }
	remote := func(t *Target) { t.Slots, t.DataCentre = 4, "dc2" }
	routes := []Route{
		{Address: menu, Timeout: loadTimeout, Shares: []Share{{Pool: "menus", Weight: 1}}},
		{Address: packs, Timeout: loadTimeout, Shares: []Share{{Pool: "packs", Weight: 1}}},
	}
	targets := []Target{target(1, "menus", slowStart), target(2, "packs", remote)}
	s.SetView(NewView(1, "dc1", routes, targets).WithSynced(true).WithForwardingInstances(1))
	request := func(now time.Duration, n int, to netip.AddrPort, label Label) {
		s.Decide(now, Packet{Flow: flow(n, to), Flags: SYN})
		s.Decide(now, Packet{Flow: flow(n, to), Label: label, PayloadSize: 100, Ack: 1})
	}
	respond := func(now time.Duration, n int, to netip.AddrPort, label Label) {
		s.Decide(now, Packet{Flow: flow(n, to), Label: label, Ack: 2})
	}
	request(time.Second, 1, menu, 1)
	respond(2500*time.Millisecond, 1, menu, 1)
	is.Equal(len(s.TakeReports()), 0)
	request(3*time.Second, 2, menu, 1)
	respond(3100*time.Millisecond, 2, menu, 1)
	is.Equal(len(s.TakeReports()["menus"]), 1)

	request(3*time.Second, 3, packs, 2)
	s.Decide(3100*time.Millisecond, Packet{Flow: flow(4, packs), Flags: SYN}) // the path has failed
	s.Decide(3300*time.Millisecond, Packet{Flow: flow(4, packs), Flags: SYN, Retransmissions: 1})
	s.Decide(3*time.Second+loadTimeout, Packet{Flow: flow(5, menu), Flags: SYN}) // expires the response
	is.Equal(len(s.TakeReports()["packs"]), 0)
	request(6*time.Second, 6, packs, 2)
	respond(6100*time.Millisecond, 6, packs, 2)
	is.Equal(len(s.TakeReports()["packs"]), 1)
}

// BenchmarkSelectTarget measures the selection among 120 targets.
func BenchmarkSelectTarget(b *testing.B) {
	for name, opts := range map[string][]Option{"without": nil, "with": {WithTargetEstimates(estimator.New())}} {
		b.Run(name, func(b *testing.B) {
			s := New(opts...)
			s.SetView(newTestView(120, 2))
			route := s.view.route(menu)
			for b.Loop() {
				s.selectTarget(time.Second, route)
			}
		})
	}
}
