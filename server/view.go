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

// coldWeight is the share of a full load that a target gets while it is cold.
const coldWeight = 0.25

// flowMembers returns the members of the fabric group of the instance, itself
// included.
func flowMembers(w controller.World) []forwarder.Member {
	self := gossiper.Member{Instance: w.Self}
	var out []forwarder.Member
	for _, m := range append([]gossiper.Member{self}, w.Members...) {
		at, err := netip.ParseAddrPort(m.PeerAddress)
		if err != nil || m.FabricGroup != w.Self.FabricGroup || w.Config.RetiredInstances[m.Name] || (!m.Alive() && !m.Serving) {
			continue // another group's, or one that has left
		}
		out = append(out, forwarder.Member{
			Member:   picker.Member{ID: picker.NewMemberID(m.Name), DataCentre: m.DataCentre, Draining: !m.Serving, Unreachable: !m.Alive()},
			Name:     m.Name,
			PeerAddr: at,
		})
	}
	return out
}

// flowServices returns the services as the picker wants them.
func flowServices(w controller.World) []picker.Service {
	var out []picker.Service
	for _, s := range w.Config.Services {
		one := picker.Service{
			Name:               s.Name,
			Tenant:             s.Tenant,
			Class:              s.Class,
			Epsilon:            s.Epsilon,
			DefaultTargets:     w.Config.BaseSets[s.Name].Targets,
			NextDefaultTargets: w.Config.BaseSets[s.Name].Next,
			IdleTimeouts:       picker.DefaultIdleTimeouts(),
		}
		one.IdleTimeouts.Established = s.IdleTimeout
		for _, a := range s.Addresses {
			one.Addresses = append(one.Addresses, flowAddress(a))
		}
		for _, t := range w.Targets {
			if slices.Contains(s.Jobs, t.Job) {
				one.Targets = append(one.Targets, flowTarget(w, t))
			}
		}
		out = append(out, one)
	}
	return out
}

func flowAddress(a planner.Address) picker.ServiceAddress {
	protocol := parser.ProtocolTCP
	if a.Protocol == planner.UDP {
		protocol = parser.ProtocolUDP
	}
	return picker.ServiceAddress{Addr: a.IP.As16(), Port: a.Port, Protocol: protocol}
}

func flowTarget(w controller.World, t announcer.Target) picker.Target {
	weight := 1.0
	if t.State == announcer.SlowStart {
		weight = coldWeight
	}
	return picker.Target{
		Name:            t.Name(),
		Endpoint:        t.Endpoint,
		DataCentre:      t.DataCentre,
		AcceptsNewFlows: fit(w, t),
		Failed:          t.Unreachable,
		Weight:          weight,
	}
}

func fit(w controller.World, t announcer.Target) bool {
	if len(w.Config.DrainedTargets) > 0 && w.Config.DrainedTargets[t.Name()] {
		return false
	}
	return t.AcceptsNewWork(w.At)
}

// requestView returns what the request door decides by.
func requestView(w controller.World) requester.View {
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
			Target:         dispatcher.Target{Name: t.Name(), Slots: t.Slots, Eligible: fit(w, t), SlowStart: t.State == announcer.SlowStart},
			Job:            t.Job,
			RequestAddress: t.RequestAddress,
		})
	}
	doors := map[string]string{w.Self.Name: w.Self.RequestAddress}
	if w.Self.Serving {
		v.Peers = append(v.Peers, requester.Peer{Name: w.Self.Name, RequestAddress: w.Self.RequestAddress})
	}
	for _, m := range w.Members {
		if !m.Alive() {
			continue
		}
		doors[m.Name] = m.RequestAddress
		if m.Serving {
			v.Peers = append(v.Peers, requester.Peer{Name: m.Name, RequestAddress: m.RequestAddress})
		}
	}
	for owner, name := range w.Issuers {
		if door, ok := doors[name]; ok {
			v.IssuerAddresses[owner] = door
		}
	}
	return v
}
