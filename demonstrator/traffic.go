package demonstrator

import (
	"context"
	"net"
	"net/netip"

	"almondpick/loader"
	"almondpick/planner"
	"almondpick/server"
)

// startTraffic adds the services, starts targets and callers, and lets traffic run for one
// phase.
func (d *demonstration) startTraffic() error {
	intents := serviceIntents()
	for _, intent := range intents {
		if err := d.applyIntent(intent); err != nil {
			return err
		}
	}
	callerSocket, err := loader.ListenForReplies()
	if err != nil {
		return err
	}
	if err := d.startTargets(intents, callerSocket); err != nil {
		return err
	}
	flowSettings := loader.FlowGeneratorSettings{FlowsPerSecond: flowsPerSecond, MeanFlowDuration: meanFlowDuration, ThinkTime: flowThinkTime}
	for _, intent := range intents {
		address := intent.Service.Addresses[0]
		flowSettings.ServiceAddresses = append(flowSettings.ServiceAddresses, netip.AddrPortFrom(address.IP, address.Port))
	}
	d.flowGenerator = loader.NewFlowGenerator(flowSettings, d.clock, d.collector, callerSocket)
	if err := d.waitUntil("all instances know all targets", d.targetsKnown); err != nil {
		return err
	}
	fabric, err := loader.StartFabric(d.instanceAddresses(), d.clock, d.flowGenerator.Deliver)
	if err != nil {
		return err
	}
	d.flowGenerator.Start(fabric)
	requestGenerator := loader.StartRequestGenerator(loader.RequestGeneratorSettings{
		HostNames: []string{intents[0].Service.Names[0], intents[1].Service.Names[0]}, RequestsPerSecond: requestsPerSecond, ResendShare: 0.2,
	}, d.clock, d.collector, fabric)
	done := make(chan struct{})
	// The imbalance leaves out the first menu target, because drainTarget drains it.
	go loader.SampleImbalance(d.clock, d.collector, func() [][]*loader.Target { return [][]*loader.Target{d.menuTargets[1:], d.packTargets} }, done)
	d.cleanups = append(d.cleanups, func() error { close(done); return nil }, fabric.Close, d.flowGenerator.Close, requestGenerator.Close)
	d.sleep(phaseDuration)
	return nil
}

func (d *demonstration) instanceAddresses() []loader.InstanceAddresses {
	var addresses []loader.InstanceAddresses
	for _, settings := range d.instanceSettings {
		addresses = append(addresses, loader.InstanceAddresses{FlowAddress: settings.FlowAddress, StatusAddress: settings.StatusAddress, RequestAddress: settings.RequestAddress})
	}
	return addresses
}

// startTargets starts the targets of both services, which reply to callers on
// callerSocket.
func (d *demonstration) startTargets(intents []planner.Intent, callerSocket *net.UDPConn) error {
	const menuTargetCount, packTargetCount, slotsPerTarget = 5, 3, 3
	var statusAddresses []string
	for _, instance := range d.instanceAddresses() {
		statusAddresses = append(statusAddresses, instance.StatusAddress)
	}
	callerAddress := callerSocket.LocalAddr().(*net.UDPAddr).AddrPort()
	for serviceIndex, intent := range intents {
		serviceAddress := netip.AddrPortFrom(intent.Service.Addresses[0].IP, intent.Service.Addresses[0].Port).String()
		targetCount := menuTargetCount
		if serviceIndex == 1 {
			targetCount = packTargetCount
		}
		for range targetCount {
			t, err := loader.StartTarget(loader.TargetSettings{
				Job: intent.Service.Jobs[0], HostName: intent.Service.Names[0], ServiceAddresses: []string{serviceAddress}, DataCentre: "dc1",
				Slots: slotsPerTarget, MeanProcessingTime: meanProcessingTime, CallerAddress: callerAddress, StatusAddresses: statusAddresses,
			}, d.clock, d.collector)
			if err != nil {
				return err
			}
			d.cleanups = append(d.cleanups, t.Close)
			if serviceIndex == 0 {
				d.menuTargets = append(d.menuTargets, t)
			} else {
				d.packTargets = append(d.packTargets, t)
			}
		}
	}
	return nil
}

// targetsKnown reports whether every instance knows all targets.
func (d *demonstration) targetsKnown() bool {
	for _, srv := range d.servers {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		state, err := srv.Controller().ClusterState(ctx)
		cancel()
		if err != nil || len(state.Targets) < len(d.menuTargets)+len(d.packTargets) {
			return false
		}
	}
	return true
}

// drainTarget drains the first target of the service "menus" while traffic runs.
func (d *demonstration) drainTarget() error {
	err := d.applyIntent(planner.Intent{ID: "drain-1", Action: planner.Drain, Name: d.menuTargets[0].Endpoint().String()})
	d.sleep(phaseDuration)
	d.log.Info("demo-drained", "target", d.menuTargets[0].Endpoint(), "flows-left", d.menuTargets[0].OpenFlowCount())
	return err
}

// stopInstance stops the last instance gracefully.
func (d *demonstration) stopInstance() error {
	lastIndex := len(d.servers) - 1
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := d.servers[lastIndex].Stop(ctx)
	d.servers[lastIndex] = nil
	d.sleep(phaseDuration / 2)
	return err
}

// restartInstance starts the stopped instance again from its data folder.
func (d *demonstration) restartInstance() error {
	lastIndex := len(d.servers) - 1
	srv, err := server.Start(d.instanceSettings[lastIndex], d.clock, d.instanceLog.With("instance", d.instanceSettings[lastIndex].Name))
	if err != nil {
		return err
	}
	d.servers[lastIndex] = srv
	err = d.waitUntil("the restarted instance is ready", srv.Ready)
	d.sleep(phaseDuration)
	return err
}
