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

// slowStartWeight is the share of a full load that a target in slow start gets.
const slowStartWeight = 0.25

// newForwarderMembers returns the members of the instance's fabric group, the instance
// itself included, without retired instances and those that are neither alive nor serving.
func newForwarderMembers(w controller.ClusterState) []forwarder.Member {
	self := gossiper.Member{Instance: w.Self}
	var out []forwarder.Member
	for _, m := range append([]gossiper.Member{self}, w.Members...) {
		peerAddress, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil || m.FabricGroup != w.Self.FabricGroup || w.Config.RetiredInstances[m.Name] || (!m.Alive() && !m.Serving) {
			continue // of another fabric group, retired, or gone
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
func newPickerServices(w controller.ClusterState) []picker.Service {
	var out []picker.Service
	for _, s := range w.Config.Services {
		service := picker.Service{
			Name:               s.Name,
			Tenant:             s.Tenant,
			Class:              s.Class,
			Epsilon:            s.Epsilon,
			DefaultTargets:     w.Config.BaseSets[s.Name].Targets,
			NextDefaultTargets: w.Config.BaseSets[s.Name].Next,
			IdleTimeouts:       picker.DefaultIdleTimeouts(),
		}
		service.IdleTimeouts.Established = s.IdleTimeout
		for _, a := range s.Addresses {
			service.Addresses = append(service.Addresses, newPickerAddress(a))
		}
		for _, t := range w.Targets {
			if slices.Contains(s.Jobs, t.Job) {
				service.Targets = append(service.Targets, newPickerTarget(w, t))
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

func newPickerTarget(w controller.ClusterState, t announcer.Target) picker.Target {
	weight := 1.0
	if t.State == announcer.SlowStart {
		weight = slowStartWeight
	}
	return picker.Target{
		Name:            t.Name(),
		Endpoint:        t.Endpoint,
		DataCentre:      t.DataCentre,
		AcceptsNewFlows: acceptsNewFlows(w, t),
		Failed:          t.Unreachable,
		Weight:          weight,
	}
}

// acceptsNewFlows reports whether a target is given new flows and requests.
func acceptsNewFlows(w controller.ClusterState, t announcer.Target) bool {
	if len(w.Config.DrainedTargets) > 0 && w.Config.DrainedTargets[t.Name()] {
		return false
	}
	return t.AcceptsNewWork(w.TakenAt)
}

// newProxyView returns the view of the control state from which the request proxy decides.
func newProxyView(w controller.ClusterState) requester.View {
	v := requester.View{RequestAddress: w.Self.RequestAddress, IssuerAddresses: make(map[string]string)}
	for _, s := range w.Config.Services {
		v.Services = append(v.Services, requester.Service{
			Name: s.Name, HostNames: s.Names, Jobs: s.Jobs, Tenant: s.Tenant, Class: s.Class,
			IdempotentMethods: s.IdempotentMethods, MaxWait: s.SlotWaitTimeout,
		})
	}
	for _, t := range w.Targets {
		if !t.RequestAddress.IsValid() || t.Slots < 1 {
			continue
		}
		v.Targets = append(v.Targets, requester.Target{
			Target:         dispatcher.Target{Name: t.Name(), Slots: t.Slots, Eligible: acceptsNewFlows(w, t), SlowStart: t.State == announcer.SlowStart},
			Job:            t.Job,
			RequestAddress: t.RequestAddress,
		})
	}
	requestAddresses := map[string]string{w.Self.Name: w.Self.RequestAddress}
	if w.Self.Serving {
		v.Peers = append(v.Peers, requester.Peer{Name: w.Self.Name, RequestAddress: w.Self.RequestAddress})
	}
	for _, m := range w.Members {
		if !m.Alive() {
			continue
		}
		requestAddresses[m.Name] = m.RequestAddress
		if m.Serving {
			v.Peers = append(v.Peers, requester.Peer{Name: m.Name, RequestAddress: m.RequestAddress})
		}
	}
	for issuerID, instance := range w.KeyTableHolders {
		if address, ok := requestAddresses[instance]; ok {
			v.IssuerAddresses[issuerID] = address
		}
	}
	return v
}
