package measurer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"almondpick/messenger"
)

// flowScenario is a sequence of changes and failures during a run with flows.
type flowScenario struct {
	name                 string
	expectsNoBrokenFlows bool // the policy Almondpick must not break a flow
	minWarmUp            time.Duration
	duration             time.Duration
	schedule             func(*flowSim) // schedules the changes and failures
}

// Times since the start of a run.
const (
	defaultWarmUp = 30 * time.Second
	firstChangeAt = 40 * time.Second
)

// flowScenarios returns the scenarios with flows.
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

// Scenarios returns the names of all scenarios, those with flows first.
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
	for _, s := range configChangeScenarios() {
		names = append(names, s.name)
	}
	return names
}

// UnknownNameError reports a name that does not exist.
type UnknownNameError struct {
	Kind    string // deployment, policy or scenario
	Name    string
	Allowed []string // set for a scenario only
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	return "unknown " + e.Kind + " " + strconv.Quote(e.Name)
}

// Run simulates a scenario and returns the report. For a deployment, policy or scenario
// that does not exist the error is an *UnknownNameError.
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
	for _, c := range configChangeScenarios() {
		if c.name == settings.Scenario {
			return runConfigChangeScenario(settings, c)
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

// PoliciesFor returns the policies that the named scenario can be run with.
func PoliciesFor(scenario string) []Policy {
	if strings.HasPrefix(scenario, "slots-") {
		return SlotPolicies()
	}
	if strings.HasPrefix(scenario, configChangePrefix) {
		return []Policy{Almondpick, WholeRulesets}
	}
	return Policies()
}

// withDefaults returns the settings with the zero values replaced by defaults.
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

// randomDuration draws a duration from a uniform distribution.
func (s *flowSim) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
}

// propagate applies a change to the actual state of the cluster at once and to the state
// that each instance knows after a random delay. An instance that restarts in the meantime
// does not get the change, because it starts with the actual state.
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

// changeTargetState propagates a new state of a target, and lets the default targets
// follow after defaultTargetsChangeDelay.
func (s *flowSim) changeTargetState(t int, newState targetState, minDelay, maxDelay time.Duration) {
	s.propagate(minDelay, maxDelay, func(state *clusterState) { state.targets[t] = newState })
	s.scheduleAt(s.now+defaultTargetsChangeDelay, func() { s.changeDefaultTargets(s.targets[t].service) })
}

// changeDefaultTargets replaces the default targets of a service with its serving targets
// in two steps: first the instances know both sets, then the new set alone.
func (s *flowSim) changeDefaultTargets(service int) {
	next := s.servingTargets(service)
	if slices.Equal(next, s.actual.defaultTargets[service].current) {
		return
	}
	old := s.actual.defaultTargets[service].current
	s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) { state.defaultTargets[service] = defaultTargets{current: old, next: next} })
	s.scheduleAt(s.now+max(defaultTargetsSettleTime, 2*s.maxPropagation), func() {
		s.propagate(minPropagationDelay, s.maxPropagation, func(state *clusterState) { state.defaultTargets[service] = defaultTargets{current: next} })
	})
}

// crashInstance ends an instance without warning.
func (s *flowSim) crashInstance(i int) {
	s.instances[i].running = false
	s.lastCrashAt = s.now
	s.scheduleAt(s.now+fabricHealthCheckDelay, func() { s.instances[i].receivesFabricTraffic = false })
	s.propagate(minInstanceFailureDetection, maxInstanceFailureDetection, func(state *clusterState) { state.members[i] = memberUnreachable })
}

// stopInstance stops an instance as planned, with the steps of Server.Stop in their order:
// the instance drains, leaves the fabric's rotation, replicates its records and departs.
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

// joinInstance starts an instance that is not running and propagates that it serves.
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

// spareTarget returns the index of a target of the service that is absent, or -1.
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

// joinTarget lets an absent target join. The target is left out of the imbalance until the
// mean duration of a flow has passed.
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

// scheduleInstanceJoin starts the run without an instance, which joins later.
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

// scheduleRollingRestart stops and restarts all instances, one after the other.
func scheduleRollingRestart(s *flowSim) {
	at := firstChangeAt
	for i := range s.instances {
		s.scheduleAt(at, func() { s.stopInstance(i) })
		s.scheduleAt(at+instanceStopDelay+restartDelay, func() { s.joinInstance(i) })
		at += instanceStopDelay + 2*restartDelay + 4*time.Second
	}
}

// scheduleUnevenUpdates lets changes take up to four seconds to reach an instance, while a
// target drains, another one joins, and an instance stops and restarts.
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

// schedulePartition separates the first data centre from the others for half a minute.
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

// propagateReachability lets every instance learn after a random delay which members it
// reaches, and after another one which targets.
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

// updateKnownMembers sets the member states that an instance knows: the actual state of
// the members that it reaches, and unreachable for all others.
func (s *flowSim) updateKnownMembers(inst *instance) {
	for j, other := range s.instances {
		inst.known.members[j] = memberUnreachable
		if s.actual.members[j] != memberAbsent && s.reachable(inst.dataCentre, other.dataCentre) {
			inst.known.members[j] = s.actual.members[j]
		}
	}
}

// updateKnownTargets sets the target states that an instance knows: the actual state,
// except that a serving target in an unreachable data centre counts as failed.
func (s *flowSim) updateKnownTargets(inst *instance) {
	for j, t := range s.targets {
		inst.known.targets[j] = s.actual.targets[j]
		if s.actual.targets[j] == targetServing && !s.reachable(inst.dataCentre, t.dataCentre) {
			inst.known.targets[j] = targetFailed
		}
	}
}

// scheduleSecondLoss crashes a second instance right after the flows of the first one have
// new owners.
func scheduleSecondLoss(s *flowSim) {
	s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) })
	s.scheduleAt(firstChangeAt+maxInstanceFailureDetection+time.Second, func() { s.crashInstance(5) })
}

// scheduleShortFlows opens thousands of flows per second, nine out of ten of which end
// within a second, and crashes an instance meanwhile.
func scheduleShortFlows(s *flowSim) {
	const rateFactor, shortFlowShare = 5, 0.9
	s.scheduleAt(defaultWarmUp/2, func() {
		s.newFlowRate *= rateFactor
		s.shortFlowShare = shortFlowShare
	})
	s.scheduleAt(firstChangeAt, func() { s.crashInstance(2) })
}

// scheduleMorningBurst opens flows at ten times the normal rate for a minute, with
// heavy-tailed durations, shortly after a target has joined.
func scheduleMorningBurst(s *flowSim) {
	const burstFactor, burstDuration = 10, time.Minute
	s.heavyTailedDurations = true
	s.scheduleAt(firstChangeAt, func() { s.joinTarget(s.spareTarget(0)) })
	normalRate := s.newFlowRate
	s.scheduleAt(firstChangeAt+20*time.Second, func() { s.newFlowRate = normalRate * burstFactor })
	s.scheduleAt(firstChangeAt+20*time.Second+burstDuration, func() { s.newFlowRate = normalRate })
}
