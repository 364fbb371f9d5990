package demonstrator

import (
	"context"
	"net"
	"net/netip"

	"almondpick/loader"
	"almondpick/planner"
	"almondpick/server"
)

// startTraffic adds the services, starts targets and callers, and lets them run for
// a while.
func (s *stage) startTraffic() error {
	intents := services()
	for _, i := range intents {
		if err := s.carryOut(i); err != nil {
			return err
		}
	}
	callers, err := loader.ListenCallers()
	if err != nil {
		return err
	}
	if err := s.startTargets(intents, callers); err != nil {
		return err
	}
	set := loader.FlowSettings{Rate: flowRate, Length: flowLength, Pause: flowPause}
	for _, i := range intents {
		a := i.Service.Addresses[0]
		set.Services = append(set.Services, netip.AddrPortFrom(a.IP, a.Port))
	}
	s.flows = loader.NewFlows(set, s.clock, s.ledger, callers)
	if err := s.await("the targets are known everywhere", s.targetsKnown); err != nil {
		return err
	}
	fabric, err := loader.NewFabric(s.entries(), s.clock, s.flows.Deliver)
	if err != nil {
		return err
	}
	s.flows.Start(fabric)
	requests := loader.NewRequests(loader.RequestSettings{
		Services: []string{intents[0].Service.Names[0], intents[1].Service.Names[0]}, Rate: requestRate, Resend: 0.2,
	}, s.clock, s.ledger, fabric)
	done := make(chan struct{})
	go loader.Watch(s.clock, s.ledger, func() [][]*loader.Target { return [][]*loader.Target{s.menus[1:], s.packs} }, done)
	s.cleanup = append(s.cleanup, func() error { close(done); return nil }, fabric.Close, s.flows.Close, requests.Close)
	s.pause(phase)
	return nil
}

func (s *stage) entries() []loader.Entry {
	var out []loader.Entry
	for _, set := range s.sets {
		out = append(out, loader.Entry{Flow: set.FlowAddress, Status: set.StatusAddress, Request: set.RequestAddress})
	}
	return out
}

func (s *stage) startTargets(intents []planner.Intent, callers *net.UDPConn) error {
	const menus, packs, slots = 5, 3, 3
	var status []string
	for _, e := range s.entries() {
		status = append(status, e.Status)
	}
	at := callers.LocalAddr().(*net.UDPAddr).AddrPort()
	for n, i := range intents {
		address := netip.AddrPortFrom(i.Service.Addresses[0].IP, i.Service.Addresses[0].Port).String()
		count := menus
		if n == 1 {
			count = packs
		}
		for range count {
			t, err := loader.NewTarget(loader.TargetSettings{
				Job: i.Service.Jobs[0], Service: i.Service.Names[0], Addresses: []string{address}, DataCentre: "dc1",
				Slots: slots, Work: workTime, Callers: at, Status: status,
			}, s.clock, s.ledger)
			if err != nil {
				return err
			}
			s.cleanup = append(s.cleanup, t.Close)
			if n == 0 {
				s.menus = append(s.menus, t)
			} else {
				s.packs = append(s.packs, t)
			}
		}
	}
	return nil
}

func (s *stage) targetsKnown() bool {
	for _, one := range s.servers {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		w, err := one.Control().ClusterState(ctx)
		cancel()
		if err != nil || len(w.Targets) < len(s.menus)+len(s.packs) {
			return false
		}
	}
	return true
}

// drainTarget drains the first target of the menus while traffic runs.
func (s *stage) drainTarget() error {
	err := s.carryOut(planner.Intent{ID: "drain-1", Action: planner.Drain, Name: s.menus[0].Endpoint().String()})
	s.pause(phase)
	s.log.Info("demo-drained", "target", s.menus[0].Endpoint(), "flows-left", s.menus[0].Open())
	return err
}

// stopInstance stops the last instance as planned.
func (s *stage) stopInstance() error {
	last := len(s.servers) - 1
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := s.servers[last].Stop(ctx)
	s.servers[last] = nil
	s.pause(phase / 2)
	return err
}

// restartInstance starts the stopped instance again from its data folder.
func (s *stage) restartInstance() error {
	last := len(s.servers) - 1
	one, err := server.Start(s.sets[last], s.clock, s.quiet.With("instance", s.sets[last].Name))
	if err != nil {
		return err
	}
	s.servers[last] = one
	err = s.await("the instance is back", one.Ready)
	s.pause(phase)
	return err
}
