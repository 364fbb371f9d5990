package measurer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"almondpick/messenger"
)

// scenario is one course of events.
type flowScenario struct {
	name                 string
	expectsNoBrokenFlows bool // nothing may break
	minWarmUp            time.Duration
	duration             time.Duration
	schedule             func(*flowSim)
}

const (
	defaultWarmUp = 30 * time.Second
	firstChangeAt = 40 * time.Second
)

// flowScenarios lists the scenarios of the flow door.
func flowScenarios() []flowScenario {
	return []flowScenario{
		{name: "steady", expectsNoBrokenFlows: true, duration: 90 * time.Second, schedule: func(*flowSim) {}},
		{name: "target-drain", expectsNoBrokenFlows: true, duration: 110 * time.Second, schedule: scheduleTargetDrain},
		{name: "target-join", expectsNoBrokenFlows: true, duration: 110 * time.Second, schedule: scheduleTargetJoin},
		{name: "target-death", duration: 90 * time.Second, schedule: scheduleTargetDeath},
		{name: "instance-stop", expectsNoBrokenFlows: true, duration: 90 * time.Second, schedule: scheduleInstanceStop},
		{name: "instance-join", expectsNoBrokenFlows: true, duration: 90 * time.Second, schedule: scheduleInstanceJoin},
		{name: "instance-death", duration: 90 * time.Second, schedule: func(s *flowSim) { s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) }) }},
		{name: "rolling-restart", expectsNoBrokenFlows: true, duration: 120 * time.Second, schedule: scheduleRollingRestart},
		{name: "uneven-updates", expectsNoBrokenFlows: true, duration: 120 * time.Second, schedule: scheduleUnevenUpdates},
		{name: "data-centre-partition", duration: 100 * time.Second, schedule: schedulePartition},
		{name: "second-loss", duration: 90 * time.Second, schedule: scheduleSecondLoss},
		{name: "morning-burst", expectsNoBrokenFlows: true, duration: 180 * time.Second, schedule: scheduleMorningBurst},
		{name: "short-flows", duration: 90 * time.Second, schedule: scheduleShortFlows},
		{name: "fleet", duration: 60 * time.Second, schedule: func(s *flowSim) { s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) }) }},
	}
}

// Scenarios lists the names of the scenarios, those of flows first.
func Scenarios() []string {
	var names []string
	for _, s := range flowScenarios() {
		names = append(names, s.name)
	}
	for _, s := range slotScenarios() {
		names = append(names, s.name)
	}
	for _, s := range gossipScenarios() {
		names = append(names, s.name)
	}
	return names
}

// Planned tells whether nothing may break in the named scenario.
func ExpectsNoBrokenFlows(name string) bool {
	for _, s := range flowScenarios() {
		if s.name == name {
			return s.expectsNoBrokenFlows
		}
	}
	return false
}

// UnknownError reports a name that does not exist.
type UnknownNameError struct {
	Kind    string
	Name    string
	Allowed []string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return "unknown " + e.Kind + " " + strconv.Quote(e.Name)
}

// Run plays a scenario through. It returns an *UnknownError.
func Run(settings Settings) (Report, error) {
	if settings.Deployment == "" {
		settings.Deployment = CsendesAsztal
	}
	if settings.Scenario == Fleet {
		settings.Deployment = Fleet
	}
	deployments := Deployments()
	index := slices.IndexFunc(deployments, func(d Deployment) bool { return d.Name == settings.Deployment })
	if index < 0 {
		return Report{}, &UnknownNameError{Kind: "deployment", Name: settings.Deployment}
	}
	settings = settings.withDefaults()
	for _, c := range slotScenarios() {
		if c.name == settings.Scenario {
			return runSlotScenario(settings, c, deployments[index])
		}
	}
	for _, c := range gossipScenarios() {
		if c.name == settings.Scenario {
			return runGossipScenario(settings, c)
		}
	}
	for _, c := range flowScenarios() {
		if c.name != settings.Scenario {
			continue
		}
		if !slices.Contains(Policies(), settings.Policy) {
			return Report{}, &UnknownNameError{Kind: "policy", Name: string(settings.Policy)}
		}
		return runFlowScenario(settings, c, deployments[index]), nil
	}
	return Report{}, &UnknownNameError{Kind: "scenario", Name: settings.Scenario, Allowed: Scenarios()}
}

// Baselines lists the policies that a scenario can be compared with.
func PoliciesFor(scenario string) []Policy {
	if strings.HasPrefix(scenario, "slots-") {
		return SlotPolicies()
	}
	return Policies()
}

func (s Settings) withDefaults() Settings {
	if s.ReplicationBudget == 0 {
		s.ReplicationBudget = defaultReplicationBudget
	}
	if s.ConnectionScale == 0 {
		s.ConnectionScale = 1
	}
	return s
}

func runFlowScenario(settings Settings, c flowScenario, d Deployment) Report {
	s := newFlowSim(settings, d)
	s.report.BrokenFlowsByCause = make(map[string]int)
	s.measuredSince = max(c.minWarmUp, defaultWarmUp)
	c.schedule(s)
	duration := c.duration
	if settings.Duration > 0 {
		duration = settings.Duration
	}
	s.run(duration)
	return s.finalReport()
}

func (s *flowSim) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// spread lets every running instance learn a change after a while of its own.
func (s *flowSim) propagate(minDelay, maxDelay time.Duration, change func(*clusterState)) {
	change(&s.actual)
	for i, inst := range s.instances {
		incarnation := inst.incarnation
		s.scheduleAt(s.now+s.randomDuration(minDelay, maxDelay), func() {
			if inst.incarnation != incarnation {
				return
			}
			change(&inst.known)
			s.updateView(i)
		})
	}
}

// setTarget spreads a change of what a target says of itself.
func (s *flowSim) changeTargetState(t int, newState targetState, minDelay, maxDelay time.Duration) {
	s.propagate(minDelay, maxDelay, func(state *clusterState) { state.targets[t] = newState })
	s.scheduleAt(s.now+defaultTargetsChangeDelay, func() { s.changeDefaultTargets(s.targets[t].service) })
}

// moveBase moves the base set of a service to the targets that are fit, in two steps.
func (s *flowSim) changeDefaultTargets(service int) {
	next := s.servingTargets(service)
	if slices.Equal(next, s.actual.defaultTargets[service].current) {
		return
	}
	current := s.actual.defaultTargets[service].current
	s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) {
		state.defaultTargets[service] = defaultTargets{current: current, next: next}
	})
	s.scheduleAt(s.now+max(defaultTargetsSettleTime, 2*s.maxPropagation), func() {
		s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) { state.defaultTargets[service] = defaultTargets{current: next} })
	})
}

// kill ends an instance without warning.
func (s *flowSim) crashInstance(i int) {
	s.instances[i].running = false
	s.lastFailureAt = s.now
	s.scheduleAt(s.now+fabricHealthCheckDelay, func() { s.instances[i].receivesFabricTraffic = false })
	s.propagate(minInstanceFailureDetection, maxInstanceFailureDetection, func(state *clusterState) { state.members[i] = memberUnreachable })
}

// stop ends an instance as planned, in the order of the server's Stop.
func (s *flowSim) stopInstance(i int) {
	inst := s.instances[i]
	s.actual.members[i] = memberDraining
	inst.known.members[i] = memberDraining
	s.updateView(i)
	s.scheduleAt(s.now+fabricHealthCheckDelay, func() { inst.receivesFabricTraffic = false })
	s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) { state.members[i] = memberDraining })
	incarnation := inst.incarnation
	s.scheduleAt(s.now+time.Second, func() {
		for n := range 5 {
			s.scheduleAt(s.now+time.Duration(n)*tickInterval, func() {
				if inst.running && inst.incarnation == incarnation {
					inst.flowPicker.PublishAll()
					s.sendSyncs(i, messenger.MaxSyncRecords)
				}
			})
		}
	})
	s.scheduleAt(s.now+max(instanceStopDelay, 2*s.maxPropagation), func() {
		if inst.incarnation != incarnation {
			return
		}
		inst.running = false
		s.propagate(minPropagationDelay, maxDeparturePropagation, func(state *clusterState) { state.members[i] = memberAbsent })
	})
}

// join starts an instance anew.
func (s *flowSim) joinInstance(i int) {
	s.actual.members[i] = memberServing
	s.startInstance(i)
	s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) { state.members[i] = memberServing })
}

func scheduleTargetDrain(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() {
		s.excludedTargets[0] = true
		s.changeTargetState(0, targetDraining, minPropagationDelay, s.maxPropagation)
	})
}

// spare returns the target of a service that is not there from the beginning.
func (s *flowSim) spareTarget(service int) int {
	for i, t := range s.targets {
		if t.service == service && s.actual.targets[i] == targetAbsent {
			return i
		}
	}
	return -1
}

func scheduleTargetJoin(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() { s.joinTarget(s.spareTarget(0)) })
}

// joinTarget lets a target announce itself. It counts for the balance once one mean
// length of a flow has passed.
func (s *flowSim) joinTarget(t int) {
	s.excludedTargets[t] = true
	s.targets[t].alive = true
	s.changeTargetState(t, targetServing, minPropagationDelay, s.maxPropagation)
	s.scheduleAt(s.now+s.deployment.MeanFlowDuration, func() { delete(s.excludedTargets, t) })
}

func scheduleTargetDeath(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() {
		s.targets[0].alive = false
		s.changeTargetState(0, targetFailed, minTargetFailureDetection, maxTargetFailureDetection)
	})
}

func scheduleInstanceStop(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() { s.stopInstance(2) })
}

func scheduleInstanceJoin(s *flowSim) {
	s.scheduleAt(0, func() {
		s.instances[2].running, s.instances[2].receivesFabricTraffic = false, false
		s.actual.members[2] = memberAbsent
		for i, inst := range s.instances {
			inst.known.members[2] = memberAbsent
			s.updateView(i)
		}
	})
	s.scheduleAt(firstChangeAt, func() { s.joinInstance(2) })
}

func scheduleRollingRestart(s *flowSim) {
	at := firstChangeAt
	for i := range s.instances {
		s.scheduleAt(at, func() { s.stopInstance(i) })
		s.scheduleAt(at+instanceStopDelay+restartDelay, func() { s.joinInstance(i) })
		at += instanceStopDelay + 2*restartDelay + 4*time.Second
	}
}

// playUneven lets news take up to four seconds, while a target drains, another joins
// and an instance stops and comes back.
func scheduleUnevenUpdates(s *flowSim) {
	const maxDelay = 4 * time.Second
	s.maxPropagation = maxDelay
	s.scheduleAt(firstChangeAt, func() {
		s.excludedTargets[0] = true
		s.changeTargetState(0, targetDraining, minPropagationDelay, maxDelay)
	})
	s.scheduleAt(firstChangeAt+time.Second, func() { s.joinTarget(s.spareTarget(0)) })
	s.scheduleAt(firstChangeAt+2*time.Second, func() { s.stopInstance(2) })
	s.scheduleAt(firstChangeAt+20*time.Second, func() { s.joinInstance(2) })
}

// playPartition cuts the first data centre off from the others for half a minute.
func schedulePartition(s *flowSim) {
	const partitionDuration = 30 * time.Second
	s.scheduleAt(firstChangeAt, func() {
		s.partition[0] = 1
		s.propagateReachability(minInstanceFailureDetection, maxInstanceFailureDetection, minUnreachableTargetDetection, maxUnreachableTargetDetection)
	})
	s.scheduleAt(firstChangeAt+partitionDuration, func() {
		s.partition[0] = 0
		s.propagateReachability(minPropagationDelay, s.maxPropagation, minPropagationDelay, s.maxPropagation)
	})
}

// spreadSides lets every instance find out whom it reaches.
func (s *flowSim) propagateReachability(minMemberDelay, maxMemberDelay, minTargetDelay, maxTargetDelay time.Duration) {
	for i, inst := range s.instances {
		incarnation := inst.incarnation
		s.scheduleAt(s.now+s.randomDuration(minMemberDelay, maxMemberDelay), func() {
			if inst.incarnation != incarnation {
				return
			}
			s.updateKnownMembers(inst)
			s.updateView(i)
		})
		s.scheduleAt(s.now+s.randomDuration(minTargetDelay, maxTargetDelay), func() {
			if inst.incarnation != incarnation {
				return
			}
			s.updateKnownTargets(inst)
			s.updateView(i)
		})
	}
}

func (s *flowSim) updateKnownMembers(inst *instance) {
	for j, other := range s.instances {
		inst.known.members[j] = memberUnreachable
		if s.actual.members[j] != memberAbsent && s.reachable(inst.dataCentre, other.dataCentre) {
			inst.known.members[j] = s.actual.members[j]
		}
	}
}

func (s *flowSim) updateKnownTargets(inst *instance) {
	for j, t := range s.targets {
		inst.known.targets[j] = s.actual.targets[j]
		if s.actual.targets[j] == targetServing && !s.reachable(inst.dataCentre, t.dataCentre) {
			inst.known.targets[j] = targetFailed
		}
	}
}

// playSecondLoss loses a second instance right after the first one's flows have found
// new owners.
func scheduleSecondLoss(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) })
	s.scheduleAt(firstChangeAt+maxInstanceFailureDetection+time.Second, func() { s.crashInstance(5) })
}

// playShort has thousands of new flows a second, nine of ten of which end within a
// second, and kills an instance among them.
func scheduleShortFlows(s *flowSim) {
	const rateFactor, shortFlowShare = 5, 0.9
	s.scheduleAt(defaultWarmUp/2, func() {
		s.newFlowRate *= rateFactor
		s.shortFlowShare = shortFlowShare
	})
	s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) })
}

// playBurst opens ten times as many flows for a minute, with heavy-tailed lengths,
// while a target has just joined.
func scheduleMorningBurst(s *flowSim) {
	const burstFactor, burstDuration = 10, time.Minute
	s.heavyTailedDurations = true
	s.scheduleAt(firstChangeAt, func() { s.joinTarget(s.spareTarget(0)) })
	normalRate := s.newFlowRate
	s.scheduleAt(firstChangeAt+20*time.Second, func() { s.newFlowRate = normalRate * burstFactor })
	s.scheduleAt(firstChangeAt+20*time.Second+burstDuration, func() { s.newFlowRate = normalRate })
}
