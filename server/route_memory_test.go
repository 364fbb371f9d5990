package server

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/planner"
	"almondpick/steerer"
)

// manyRoutes is the number of routes of a large configuration.
const manyRoutes = 13400

// routeEntry is an entry instance without network: a steerer, and the builder of its views.
type routeEntry struct {
	views   viewBuilder
	steerer *steerer.Steerer
	random  *rand.Rand
	cluster controller.ClusterState
	flows   uint32
}

// newRouteEntry returns an entry with a target and version 1 of a ruleset.
func newRouteEntry(routes int) *routeEntry {
	e := &routeEntry{steerer: steerer.New(), random: rand.New(rand.NewPCG(1, 1)), cluster: controller.ClusterState{Ready: true}}
	e.cluster.Targets = []announcer.Target{{Announcement: announcer.Announcement{
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Job: "pool-a", Slots: 1 << 16, Identity: 1, Incarnation: 1,
	}}}
	ruleset := planner.Ruleset{Version: 1, Pools: []planner.Pool{{Name: "pool-a"}}, SourceOmitted: true}
	for n := range routes {
		ruleset.Routes = append(ruleset.Routes, newRoute(n, time.Second))
	}
	e.setRuleset(ruleset)
	return e
}

// newRoute returns route number n. Its strings are its own, as those of a decoded route are.
func newRoute(n int, timeout time.Duration) planner.Route {
	return planner.Route{
		Name: fmt.Sprintf("route-%d", n), Address: routeAddress(n), CallerTimeout: timeout, LatencyObjective: time.Second,
		WeightedPools: []planner.WeightedPool{{Pool: fmt.Sprint("pool-", "a"), Weight: 1}},
	}
}

func routeAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

// setRuleset puts a ruleset into force.
func (e *routeEntry) setRuleset(r planner.Ruleset) {
	e.cluster.Config.Ruleset = &r
	e.update()
}

// update builds a new view, as after any change of the cluster.
func (e *routeEntry) update() { e.steerer.SetView(e.views.view(e.cluster)) }

// changeRoutes puts a version with a share of the routes changed into force.
func (e *routeEntry) changeRoutes(share float64) {
	r := *e.cluster.Config.Ruleset
	r.Version++
	r.Routes = slices.Clone(r.Routes)
	for i := range r.Routes {
		if e.random.Float64() < share {
			r.Routes[i] = newRoute(i, time.Second+time.Duration(r.Version)*time.Millisecond)
		}
	}
	e.setRuleset(r)
}

// openFlows opens flows to random routes.
func (e *routeEntry) openFlows(t *testing.T, n int) {
	t.Helper()
	for range n {
		e.flows++
		var caller [4]byte
		binary.BigEndian.PutUint32(caller[:], 100<<24+e.flows)
		flow := steerer.Flow{Caller: netip.AddrPortFrom(netip.AddrFrom4(caller), 40000), Service: routeAddress(e.random.IntN(len(e.cluster.Config.Ruleset.Routes)))}
		if d := e.steerer.Decide(0, steerer.Packet{Flow: flow, Label: 1, Ack: 1, PayloadSize: 100}); d.Action != steerer.Forward {
			t.Fatalf("flow %d: %v %s", e.flows, d.Action, d.Reason)
		}
	}
}

// heapBytes returns the bytes of the live objects on the heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// The memory of an entry must follow the routes in force and the open flows, not the versions and views
// that there have been (incident 13): an open flow must keep no earlier view.
func TestMemoryFollowsTheRoutesInForce(t *testing.T) {
	const (
		versions, changedShare = 50, 0.05
		flowsPerVersion        = 200
	)
	is := is.New(t)
	before := heapBytes()
	e := newRouteEntry(manyRoutes)
	e.openFlows(t, versions*flowsPerVersion)
	atFirst := heapBytes() - before
	runtime.KeepAlive(e)

	e = newRouteEntry(manyRoutes)
	for range versions {
		e.openFlows(t, flowsPerVersion)
		e.changeRoutes(changedShare)
	}
	inTheEnd := heapBytes() - before
	runtime.KeepAlive(e)
	t.Logf("%d bytes with one version, %d after %d", atFirst, inTheEnd, versions)
	is.True(float64(inTheEnd) < 1.1*float64(atFirst))
}

// A change of the targets or the members takes no new routes.
func TestViewsOfARulesetShareItsRoutes(t *testing.T) {
	const views = 100
	is := is.New(t)
	before := heapBytes()
	e := newRouteEntry(manyRoutes)
	e.openFlows(t, views)
	atFirst := heapBytes() - before
	for range views {
		e.openFlows(t, 1)
		e.update()
	}
	inTheEnd := heapBytes() - before
	runtime.KeepAlive(e)
	t.Logf("%d bytes with one view, %d after %d", atFirst, inTheEnd, views)
	is.True(float64(inTheEnd) < 1.1*float64(atFirst))
}
