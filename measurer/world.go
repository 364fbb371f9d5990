package measurer

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"almondpick/parser"
	"almondpick/picker"
)

// memberState is what is true, or believed, of an instance.
type memberState uint8

const (
	memberGone memberState = iota
	memberServing
	memberLeaving
	memberLost
)

// targetState is what is true, or believed, of a target.
type targetState uint8

const (
	targetAbsent targetState = iota
	targetServing
	targetDraining
	targetLost
)

// belief is what one instance holds to be true.
type belief struct {
	members []memberState
	targets []targetState
	bases   []base
}

// base is the base set of one service.
type base struct {
	targets []int
	next    []int
}

func (b belief) clone() belief {
	return belief{members: slices.Clone(b.members), targets: slices.Clone(b.targets), bases: slices.Clone(b.bases)}
}

// instance is one instance of the simulated deployment.
type instance struct {
	id         picker.MemberID
	dataCentre int
	decider    decider
	believes   belief
	running    bool
	fabric     bool // the fabric hands it packets
	nextSync   time.Duration
	bytes      float64 // of control, sent
	life       int     // counts restarts, so that news for an earlier life is dropped
}

// target is one target.
type target struct {
	name       string
	endpoint   netip.AddrPort
	service    int
	dataCentre int
	alive      bool
	open       int
}

// world is the deployment as it is.
type world struct {
	size      Deployment
	truth     belief
	instances []*instance
	targets   []*target
	byAddress map[netip.AddrPort]int
	side      []int // of each data centre; different sides do not reach each other
}

func newWorld(d Deployment, spare int) *world {
	w := &world{size: d, byAddress: make(map[netip.AddrPort]int), side: make([]int, d.DataCentres)}
	for i := range d.Instances {
		w.instances = append(w.instances, &instance{
			id: picker.NewMemberID(fmt.Sprintf("i%d", i+1)), dataCentre: i % d.DataCentres,
		})
		w.truth.members = append(w.truth.members, memberServing)
	}
	for n, s := range d.Services {
		var b base
		for i := range s.Targets + spare {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), byte(i >> 8), byte(i)}), 6081)
			state := targetServing
			if i >= s.Targets {
				state = targetAbsent
			} else {
				b.targets = append(b.targets, len(w.targets))
			}
			w.byAddress[at] = len(w.targets)
			w.targets = append(w.targets, &target{
				name: at.String(), endpoint: at, service: n, dataCentre: i % d.DataCentres, alive: state == targetServing,
			})
			w.truth.targets = append(w.truth.targets, state)
		}
		w.truth.bases = append(w.truth.bases, b)
	}
	return w
}

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 443)
}

// reach tells whether two data centres reach each other.
func (w *world) reach(a, b int) bool {
	return w.side[a] == w.side[b]
}

// members returns the members that an instance believes in.
func (w *world) members(b belief) []picker.Member {
	var out []picker.Member
	for i, s := range b.members {
		if s == memberGone {
			continue
		}
		one := w.instances[i]
		out = append(out, picker.Member{
			ID: one.id, DataCentre: fmt.Sprintf("dc%d", one.dataCentre), Draining: s == memberLeaving, Unreachable: s == memberLost,
		})
	}
	return out
}

// services returns the services that an instance believes in.
func (w *world) services(b belief, p Policy) []picker.Service {
	var out []picker.Service
	for n, s := range w.size.Services {
		at := serviceAddress(n)
		one := picker.Service{
			Name: s.Name, Epsilon: s.Epsilon, IdleTimeouts: picker.DefaultIdleTimeouts(),
			Addresses:      []picker.ServiceAddress{{Addr: at.Addr().As16(), Port: at.Port(), Protocol: parser.ProtocolTCP}},
			DefaultTargets: w.names(b.bases[n].targets), NextDefaultTargets: w.names(b.bases[n].next),
		}
		if p == NoSecondChoice {
			one.Epsilon = -1
		}
		for i, t := range w.targets {
			if t.service == n && b.targets[i] != targetAbsent {
				one.Targets = append(one.Targets, picker.Target{
					Name: t.name, Endpoint: t.endpoint, DataCentre: fmt.Sprintf("dc%d", t.dataCentre),
					AcceptsNewFlows: b.targets[i] == targetServing, Failed: b.targets[i] == targetLost, Weight: 1,
				})
			}
		}
		out = append(out, one)
	}
	return out
}

func (w *world) names(list []int) []string {
	var out []string
	for _, i := range list {
		out = append(out, w.targets[i].name)
	}
	return out
}

// serving returns the targets of a service that truly take new flows.
func (w *world) serving(service int) []int {
	var out []int
	for i, t := range w.targets {
		if t.service == service && w.truth.targets[i] == targetServing && t.alive {
			out = append(out, i)
		}
	}
	return out
}

// Times in which news and deaths become known in the simulation.
const (
	newsLeast    = 50 * time.Millisecond
	newsMost     = 800 * time.Millisecond
	deathLeast   = 1200 * time.Millisecond
	deathMost    = 2200 * time.Millisecond
	departMost   = 200 * time.Millisecond
	lostLeast    = 3 * time.Second // until a silent target is believed lost
	lostMost     = 4 * time.Second
	cutLeast     = 5 * time.Second // until the targets of an unreachable home are
	cutMost      = 6 * time.Second
	healthLag    = 300 * time.Millisecond // of the fabric
	baseLag      = 30 * time.Second
	baseSettle   = 5 * time.Second
	leaveAfter   = 2 * time.Second // a planned stop closes the flow door
	restartPause = time.Second
)
