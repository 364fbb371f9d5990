package server

import (
	"net/netip"
	"slices"

	"almondpick/announcer"
	"almondpick/controller"
	"almondpick/dispatcher"
	"almondpick/forwarder"
	"almondpick/gossiper"
	"almondpick/parser"
	"almondpick/picker"
	"almondpick/planner"
	"almondpick/requester"
)

// slowStartWeight is the weight of a target in slow start; that of other targets is 1.
const slowStartWeight = 0.25

// newForwarderMembers returns the members of the instance's fabric group, the instance
// itself included, without retired instances and those that are neither alive nor serving.
func newForwarderMembers(cluster controller.ClusterState) []forwarder.Member {
	self := gossiper.Member{Instance: cluster.Self}
	var out []forwarder.Member
	for _, m := range append([]gossiper.Member{self}, cluster.Members...) {
		peerAddress, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil || m.FabricGroup != cluster.Self.FabricGroup || cluster.Config.RetiredInstances[m.Name] || (!m.Alive() && !m.Serving) {
			continue // without a valid address, of another fabric group, retired, or gone
		}
		out = append(out, forwarder.Member{
			Member:   picker.Member{ID: picker.NewMemberID(m.Name), DataCentre: m.DataCentre, Draining: !m.Serving, Unreachable: !m.Alive()},
			Name:     m.Name,
			PeerAddr: peerAddress,
		})
	}
	return out
}

// newPickerServices converts the services, with their targets, to those of the picker.
func newPickerServices(cluster controller.ClusterState) []picker.Service {
	var out []picker.Service
	for _, s := range cluster.Config.Services {
		service := picker.Service{
			Name:               s.Name,
			Tenant:             s.Tenant,
			Class:              s.Class,
			Epsilon:            s.Epsilon,
			DefaultTargets:     cluster.Config.DefaultTargetSets[s.Name].Targets,
			NextDefaultTargets: cluster.Config.DefaultTargetSets[s.Name].Next,
			IdleTimeouts:       picker.DefaultIdleTimeouts(),
		}
		service.IdleTimeouts.Established = s.IdleTimeout
		for _, a := range s.Addresses {
			service.Addresses = append(service.Addresses, newPickerAddress(a))
		}
		for _, t := range cluster.Targets {
			if slices.Contains(s.Jobs, t.Job) {
				service.Targets = append(service.Targets, newPickerTarget(cluster, t))
			}
		}
		out = append(out, service)
	}
	return out
}

func newPickerAddress(a planner.Address) picker.ServiceAddress {
	protocol := parser.ProtocolTCP
	if a.Protocol == planner.UDP {
		protocol = parser.ProtocolUDP
	}
	return picker.ServiceAddress{Addr: a.IP.As16(), Port: a.Port, Protocol: protocol}
}

func newPickerTarget(cluster controller.ClusterState, t announcer.Target) picker.Target {
	weight := 1.0
	if t.State == announcer.SlowStart {
		weight = slowStartWeight
	}
	return picker.Target{
		Name:            t.Name(),
		Endpoint:        t.Endpoint,
		DataCentre:      t.DataCentre,
		AcceptsNewFlows: acceptsNewWork(cluster, t),
		Failed:          t.Unreachable,
		Weight:          weight,
	}
}

// acceptsNewWork reports whether a target is given new flows and requests: it accepts new
// work, an operator has not drained it, and its data centre is not evacuated.
func acceptsNewWork(cluster controller.ClusterState, t announcer.Target) bool {
	return !cluster.Config.Evacuated(t.DataCentre) && acceptsNewWorkUnlessEvacuated(cluster, t)
}

// acceptsNewWorkUnlessEvacuated is acceptsNewWork without regard to evacuations.
func acceptsNewWorkUnlessEvacuated(cluster controller.ClusterState, t announcer.Target) bool {
	if len(cluster.Config.DrainedTargets) > 0 && cluster.Config.DrainedTargets[t.Name()] {
		return false
	}
	return t.AcceptsNewWork(cluster.TakenAt)
}

// evacuations returns whether the evacuation is in force, for each data centre that is or was
// evacuated. cluster is nil before the first state.
func evacuations(cluster *controller.ClusterState) map[string]bool {
	if cluster == nil {
		return nil
	}
	inForce := make(map[string]bool, len(cluster.Config.Evacuations))
	for dataCentre, e := range cluster.Config.Evacuations {
		inForce[dataCentre] = e.InForce
	}
	return inForce
}

// newProxyView returns the view by which the request proxy routes.
func newProxyView(cluster controller.ClusterState) requester.View {
	v := requester.View{RequestAddress: cluster.Self.RequestAddress, IssuerAddresses: make(map[string]string)}
	for _, s := range cluster.Config.Services {
		v.Services = append(v.Services, requester.Service{
			Name: s.Name, HostNames: s.Names, Jobs: s.Jobs, Tenant: s.Tenant, Class: s.Class,
			IdempotentMethods: s.IdempotentMethods, SlotWaitTimeout: s.SlotWaitTimeout,
		})
	}
	for _, t := range cluster.Targets {
		if !t.RequestAddress.IsValid() || t.Slots < 1 {
			continue
		}
		v.Targets = append(v.Targets, requester.Target{
			Target:         dispatcher.Target{Name: t.Name(), Slots: t.Slots, Eligible: acceptsNewWork(cluster, t), SlowStart: t.State == announcer.SlowStart},
			Job:            t.Job,
			RequestAddress: t.RequestAddress,
		})
	}
	requestAddresses := map[string]string{cluster.Self.Name: cluster.Self.RequestAddress}
	if cluster.Self.Serving {
		v.Peers = append(v.Peers, requester.Peer{Name: cluster.Self.Name, RequestAddress: cluster.Self.RequestAddress})
	}
	for _, m := range cluster.Members {
		if !m.Alive() {
			continue
		}
		requestAddresses[m.Name] = m.RequestAddress
		if m.Serving {
			v.Peers = append(v.Peers, requester.Peer{Name: m.Name, RequestAddress: m.RequestAddress})
		}
	}
	for issuerID, instance := range cluster.KeyTableHolders {
		if address, ok := requestAddresses[instance]; ok {
			v.IssuerAddresses[issuerID] = address
		}
	}
	return v
}
