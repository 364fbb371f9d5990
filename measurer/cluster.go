package measurer

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"almondpick/parser"
	"almondpick/picker"
)

// memberState is the state of an instance, either actual or as another instance knows it.
type memberState uint8

const (
	memberAbsent memberState = iota
	memberServing
	memberDraining
	memberUnreachable
)

// targetState is the state of a target, either actual or as an instance knows it.
type targetState uint8

const (
	targetAbsent targetState = iota
	targetServing
	targetDraining
	targetFailed
)

// clusterState is the state of a cluster, either actual or as an instance knows it.
type clusterState struct {
	members        []memberState    // by index in cluster.instances
	targets        []targetState    // by index in cluster.targets
	defaultTargets []defaultTargets // by index in Deployment.Services
}

// defaultTargets holds the default targets of a service, as indexes in cluster.targets.
type defaultTargets struct {
	current []int
	next    []int // while current is being replaced, the set that replaces it
}

func (state clusterState) clone() clusterState {
	return clusterState{members: slices.Clone(state.members), targets: slices.Clone(state.targets), defaultTargets: slices.Clone(state.defaultTargets)}
}

// instance is a simulated instance.
type instance struct {
	id                    picker.MemberID
	dataCentre            int
	flowPicker            flowPicker
	known                 clusterState // the state of the cluster as the instance knows it
	running               bool
	receivesFabricTraffic bool // is in the fabric's rotation
	nextSyncAt            time.Duration
	controlBytes          float64 // sent since the start of the run
	incarnation           int     // incremented at each start; callbacks for an earlier one do nothing
}

// target is a simulated target.
type target struct {
	name       string
	endpoint   netip.AddrPort
	service    int // index in Deployment.Services
	dataCentre int
	alive      bool
	openFlows  int
}

// cluster holds the actual state of the simulated deployment.
type cluster struct {
	deployment       Deployment
	actual           clusterState
	instances        []*instance
	targets          []*target
	targetByEndpoint map[netip.AddrPort]int
	partition        []int // by data centre; data centres in different partitions cannot reach each other
}

// newCluster returns a cluster in which all instances serve. Each service has spareTargets
// more targets than d says, which are absent.
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

// reachable reports whether data centres a and b can reach each other.
func (c *cluster) reachable(a, b int) bool {
	return c.partition[a] == c.partition[b]
}

// pickerMembers returns the members of a state for a picker.View.
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

// pickerServices returns the services of a state for a picker.View.
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

// servingTargets returns the indexes of the targets of a service that actually accept new
// flows.
func (c *cluster) servingTargets(service int) []int {
	var out []int
	for i, t := range c.targets {
		if t.service == service && c.actual.targets[i] == targetServing && t.alive {
			out = append(out, i)
		}
	}
	return out
}

// Delays of the simulation. From a minimum and a maximum each instance draws its own delay.
const (
	minPropagationDelay           = 50 * time.Millisecond // until an instance learns a planned change
	maxPropagationDelay           = 800 * time.Millisecond
	minInstanceFailureDetection   = 1200 * time.Millisecond
	maxInstanceFailureDetection   = 2200 * time.Millisecond
	maxDeparturePropagation       = 200 * time.Millisecond // until an instance learns that a stopped one has departed
	minTargetFailureDetection     = 3 * time.Second        // until a target that does not respond counts as failed
	maxTargetFailureDetection     = 4 * time.Second
	minUnreachableTargetDetection = 5 * time.Second // until the targets in an unreachable data centre count as failed
	maxUnreachableTargetDetection = 6 * time.Second
	fabricHealthCheckDelay        = 300 * time.Millisecond // until the fabric takes an instance out of its rotation
	defaultTargetsChangeDelay     = 30 * time.Second       // from a change of targets to that of the default targets
	defaultTargetsSettleTime      = 5 * time.Second        // least time between the two steps of changeDefaultTargets
	instanceStopDelay             = 2 * time.Second        // least time from the start of a planned stop until the flow socket closes
	restartDelay                  = time.Second            // from the end of a planned stop to the start
)
