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
func flowMembers(w controller.ClusterState) []forwarder.Member {
	self := gossiper.Member{Instance: w.Self}
	var out []forwarder.Member
	for _, m := range append([]gossiper.Member{self}, w.Members...) {
		at, err := netip.ParseAddrPort(m.Peer)
		if err != nil || m.Group != w.Self.Group || w.Config.Retired[m.Name] || (!m.Alive() && !m.Serving) {
			continue // another group's, or one that has left
		}
		out = append(out, forwarder.Member{
			Member: picker.Member{ID: picker.NewMemberID(m.Name), DataCentre: m.DataCentre, Leaving: !m.Serving, Lost: !m.Alive()},
			Name:   m.Name,
			Peer:   at,
		})
	}
	return out
}

// flowServices returns the services as the picker wants them.
func flowServices(w controller.ClusterState) []picker.Service {
	var out []picker.Service
	for _, s := range w.Config.Services {
		one := picker.Service{
			Name:    s.Name,
			Tenant:  s.Tenant,
			Class:   s.Class,
			Epsilon: s.Epsilon,
			Base:    w.Config.Bases[s.Name].Targets,
			Next:    w.Config.Bases[s.Name].Next,
			Idle:    picker.DefaultIdle(),
		}
		one.Idle.Established = s.Idle
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

func flowAddress(a planner.Address) picker.Address {
	protocol := parser.ProtocolTCP
	if a.Protocol == planner.UDP {
		protocol = parser.ProtocolUDP
	}
	return picker.Address{Addr: a.IP.As16(), Port: a.Port, Protocol: protocol}
}

func flowTarget(w controller.ClusterState, t announcer.Target) picker.Target {
	weight := 1.0
	if t.State == announcer.Cold {
		weight = coldWeight
	}
	return picker.Target{
		Name:       t.Name(),
		Endpoint:   t.Endpoint,
		DataCentre: t.DataCentre,
		Fit:        fit(w, t),
		Dead:       t.Lost,
		Weight:     weight,
	}
}

func fit(w controller.ClusterState, t announcer.Target) bool {
	if len(w.Config.Drained) > 0 && w.Config.Drained[t.Name()] {
		return false
	}
	return t.Fit(w.TakenAt)
}

// requestView returns what the request door decides by.
func requestView(w controller.ClusterState) requester.View {
	v := requester.View{Request: w.Self.Request, Issuers: make(map[string]string)}
	for _, s := range w.Config.Services {
		v.Services = append(v.Services, requester.Service{
			Name: s.Name, Names: s.Names, Jobs: s.Jobs, Tenant: s.Tenant, Class: s.Class,
			Repeatable: s.Repeatable, MaxWait: s.MaxWait,
		})
	}
	for _, t := range w.Targets {
		if !t.Request.IsValid() || t.Slots < 1 {
			continue
		}
		v.Targets = append(v.Targets, requester.Target{
			Target:  dispatcher.Target{Name: t.Name(), Slots: t.Slots, Fit: fit(w, t), Cold: t.State == announcer.Cold},
			Job:     t.Job,
			Request: t.Request,
		})
	}
	doors := map[string]string{w.Self.Name: w.Self.Request}
	if w.Self.Serving {
		v.Peers = append(v.Peers, requester.Peer{Name: w.Self.Name, Request: w.Self.Request})
	}
	for _, m := range w.Members {
		if !m.Alive() {
			continue
		}
		doors[m.Name] = m.Request
		if m.Serving {
			v.Peers = append(v.Peers, requester.Peer{Name: m.Name, Request: m.Request})
		}
	}
	for owner, name := range w.TicketHolders {
		if door, ok := doors[name]; ok {
			v.Issuers[owner] = door
		}
	}
	return v
}
