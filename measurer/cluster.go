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
	memberAbsent memberState = iota
	memberServing
	memberDraining
	memberUnreachable
)

// targetState is what is true, or believed, of a target.
type targetState uint8

const (
	targetAbsent targetState = iota
	targetServing
	targetDraining
	targetFailed
)

// belief is what one instance holds to be true.
type clusterState struct {
	members        []memberState
	targets        []targetState
	defaultTargets []defaultTargets
}

// base is the base set of one service.
type defaultTargets struct {
	current []int
	next    []int
}

func (state clusterState) clone() clusterState {
	return clusterState{members: slices.Clone(state.members), targets: slices.Clone(state.targets), defaultTargets: slices.Clone(state.defaultTargets)}
}

// instance is one instance of the simulated deployment.
type instance struct {
	id                    picker.MemberID
	dataCentre            int
	flowPicker            flowPicker
	known                 clusterState
	running               bool
	receivesFabricTraffic bool // the fabric hands it packets
	nextSyncAt            time.Duration
	controlBytes          float64 // of control, sent
	incarnation           int     // counts restarts, so that news for an earlier life is dropped
}

// target is one target.
type target struct {
	name       string
	endpoint   netip.AddrPort
	service    int
	dataCentre int
	alive      bool
	openFlows  int
}

// world is the deployment as it is.
type cluster struct {
	deployment       Deployment
	actual           clusterState
	instances        []*instance
	targets          []*target
	targetByEndpoint map[netip.AddrPort]int
	partition        []int // of each data centre; different sides do not reach each other
}

func newCluster(d Deployment, spareTargets int) *cluster {
	c := &cluster{deployment: d, targetByEndpoint: make(map[netip.AddrPort]int), partition: make([]int, d.DataCentres)}
	for i := range d.Instances {
		c.instances = append(c.instances, &instance{
			id: picker.NewMemberID(fmt.Sprintf("i%d", i+1)), dataCentre: i % d.DataCentres,
		})
		c.actual.members = append(c.actual.members, memberServing)
	}
	for n, s := range d.Services {
		var defaults defaultTargets
		for i := range s.Targets + spareTargets {
			endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), byte(i >> 8), byte(i)}), 6081)
			initialState := targetServing
			if i >= s.Targets {
				initialState = targetAbsent
			} else {
				defaults.current = append(defaults.current, len(c.targets))
			}
			c.targetByEndpoint[endpoint] = len(c.targets)
			c.targets = append(c.targets, &target{
				name: endpoint.String(), endpoint: endpoint, service: n, dataCentre: i % d.DataCentres, alive: initialState == targetServing,
			})
			c.actual.targets = append(c.actual.targets, initialState)
		}
		c.actual.defaultTargets = append(c.actual.defaultTargets, defaults)
	}
	return c
}

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 443)
}

// reach tells whether two data centres reach each other.
func (c *cluster) reachable(a, b int) bool {
	return c.partition[a] == c.partition[b]
}

// members returns the members that an instance believes in.
func (c *cluster) pickerMembers(state clusterState) []picker.Member {
	var out []picker.Member
	for i, s := range state.members {
		if s == memberAbsent {
			continue
		}
		inst := c.instances[i]
		out = append(out, picker.Member{
			ID: inst.id, DataCentre: fmt.Sprintf("dc%d", inst.dataCentre), Draining: s == memberDraining, Unreachable: s == memberUnreachable,
		})
	}
	return out
}

// services returns the services that an instance believes in.
func (c *cluster) pickerServices(state clusterState, p Policy) []picker.Service {
	var out []picker.Service
	for n, s := range c.deployment.Services {
		address := serviceAddress(n)
		service := picker.Service{
			Name: s.Name, Epsilon: s.Epsilon, IdleTimeouts: picker.DefaultIdleTimeouts(),
			Addresses:      []picker.ServiceAddress{{Addr: address.Addr().As16(), Port: address.Port(), Protocol: parser.ProtocolTCP}},
			DefaultTargets: c.targetNames(state.defaultTargets[n].current), NextDefaultTargets: c.targetNames(state.defaultTargets[n].next),
		}
		if p == NoSecondChoice {
			service.Epsilon = -1
		}
		for i, t := range c.targets {
			if t.service == n && state.targets[i] != targetAbsent {
				service.Targets = append(service.Targets, picker.Target{
					Name: t.name, Endpoint: t.endpoint, DataCentre: fmt.Sprintf("dc%d", t.dataCentre),
					AcceptsNewFlows: state.targets[i] == targetServing, Failed: state.targets[i] == targetFailed, Weight: 1,
				})
			}
		}
		out = append(out, service)
	}
	return out
}

func (c *cluster) targetNames(indexes []int) []string {
	var out []string
	for _, i := range indexes {
		out = append(out, c.targets[i].name)
	}
	return out
}

// serving returns the targets of a service that truly take new flows.
func (c *cluster) servingTargets(service int) []int {
	var out []int
	for i, t := range c.targets {
		if t.service == service && c.actual.targets[i] == targetServing && t.alive {
			out = append(out, i)
		}
	}
	return out
}

// Times in which news and deaths become known in the simulation.
const (
	minPropagationDelay           = 50 * time.Millisecond
	maxPropagationDelay           = 800 * time.Millisecond
	minInstanceFailureDetection   = 1200 * time.Millisecond
	maxInstanceFailureDetection   = 2200 * time.Millisecond
	maxDeparturePropagation       = 200 * time.Millisecond
	minTargetFailureDetection     = 3 * time.Second // until a silent target is believed lost
	maxTargetFailureDetection     = 4 * time.Second
	minUnreachableTargetDetection = 5 * time.Second // until the targets of an unreachable home are
	maxUnreachableTargetDetection = 6 * time.Second
	fabricHealthCheckDelay        = 300 * time.Millisecond // of the fabric
	defaultTargetsChangeDelay     = 30 * time.Second
	defaultTargetsSettleTime      = 5 * time.Second
	instanceStopDelay             = 2 * time.Second // a planned stop closes the flow door
	restartDelay                  = time.Second
)
