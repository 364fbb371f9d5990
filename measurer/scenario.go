package measurer

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"almondpick/messenger"
)

// scenario is one course of events.
type scenario struct {
	name     string
	planned  bool // nothing may break
	warm     time.Duration
	duration time.Duration
	play     func(*sim)
}

const (
	warmUp = 30 * time.Second
	actAt  = 40 * time.Second
)

// flowScenarios lists the scenarios of the flow door.
func flowScenarios() []scenario {
	return []scenario{
		{name: "steady", planned: true, duration: 90 * time.Second, play: func(*sim) {}},
		{name: "target-drain", planned: true, duration: 110 * time.Second, play: playDrain},
		{name: "target-join", planned: true, duration: 110 * time.Second, play: playJoin},
		{name: "target-death", duration: 90 * time.Second, play: playTargetDeath},
		{name: "instance-stop", planned: true, duration: 90 * time.Second, play: playStop},
		{name: "instance-join", planned: true, duration: 90 * time.Second, play: playInstanceJoin},
		{name: "instance-death", duration: 90 * time.Second, play: func(s *sim) { s.at(actAt, func() { s.kill(2) }) }},
		{name: "rolling-restart", planned: true, duration: 120 * time.Second, play: playRolling},
		{name: "uneven-updates", planned: true, duration: 120 * time.Second, play: playUneven},
		{name: "data-centre-partition", duration: 100 * time.Second, play: playPartition},
		{name: "second-loss", duration: 90 * time.Second, play: playSecondLoss},
		{name: "morning-burst", planned: true, duration: 180 * time.Second, play: playBurst},
		{name: "short-flows", duration: 90 * time.Second, play: playShort},
		{name: "fleet", duration: 60 * time.Second, play: func(s *sim) { s.at(actAt, func() { s.kill(2) }) }},
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
	for _, s := range spreadScenarios() {
		names = append(names, s.name)
	}
	return names
}

// Planned tells whether nothing may break in the named scenario.
func ExpectsNoBrokenFlows(name string) bool {
	for _, s := range flowScenarios() {
		if s.name == name {
			return s.planned
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
func Run(set Settings) (Report, error) {
	if set.Deployment == "" {
		set.Deployment = CsendesAsztal
	}
	if set.Scenario == Fleet {
		set.Deployment = Fleet
	}
	deployments := Deployments()
	j := slices.IndexFunc(deployments, func(d Deployment) bool { return d.Name == set.Deployment })
	if j < 0 {
		return Report{}, &UnknownNameError{Kind: "deployment", Name: set.Deployment}
	}
	set = set.withDefaults()
	for _, c := range slotScenarios() {
		if c.name == set.Scenario {
			return runSlots(set, c, deployments[j])
		}
	}
	for _, c := range spreadScenarios() {
		if c.name == set.Scenario {
			return runSpread(set, c)
		}
	}
	for _, c := range flowScenarios() {
		if c.name != set.Scenario {
			continue
		}
		if !slices.Contains(Policies(), set.Policy) {
			return Report{}, &UnknownNameError{Kind: "policy", Name: string(set.Policy)}
		}
		return play(set, c, deployments[j]), nil
	}
	return Report{}, &UnknownNameError{Kind: "scenario", Name: set.Scenario, Allowed: Scenarios()}
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
		s.ReplicationBudget = defaultBudget
	}
	if s.ConnectionScale == 0 {
		s.ConnectionScale = 1
	}
	return s
}

func play(set Settings, c scenario, d Deployment) Report {
	s := newSim(set, d)
	s.report.BrokenFlowsByCause = make(map[string]int)
	s.started = max(c.warm, warmUp)
	c.play(s)
	until := c.duration
	if set.Duration > 0 {
		until = set.Duration
	}
	s.run(until)
	return s.finish()
}

func (s *sim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// spread lets every running instance learn a change after a while of its own.
func (s *sim) spread(least, most time.Duration, change func(*belief)) {
	change(&s.truth)
	for i, one := range s.instances {
		life := one.life
		s.at(s.now+s.between(least, most), func() {
			if one.life != life {
				return
			}
			change(&one.believes)
			s.refresh(i)
		})
	}
}

// setTarget spreads a change of what a target says of itself.
func (s *sim) setTarget(t int, state targetState, least, most time.Duration) {
	s.spread(least, most, func(b *belief) { b.targets[t] = state })
	s.at(s.now+baseLag, func() { s.moveBase(s.targets[t].service) })
}

// moveBase moves the base set of a service to the targets that are fit, in two steps.
func (s *sim) moveBase(service int) {
	next := s.serving(service)
	if slices.Equal(next, s.truth.bases[service].targets) {
		return
	}
	old := s.truth.bases[service].targets
	s.spread(newsLeast, s.lagMost, func(b *belief) { b.bases[service] = base{targets: old, next: next} })
	s.at(s.now+max(baseSettle, 2*s.lagMost), func() {
		s.spread(newsLeast, s.lagMost, func(b *belief) { b.bases[service] = base{targets: next} })
	})
}

// kill ends an instance without warning.
func (s *sim) kill(i int) {
	s.instances[i].running = false
	s.failed = s.now
	s.at(s.now+healthLag, func() { s.instances[i].fabric = false })
	s.spread(deathLeast, deathMost, func(b *belief) { b.members[i] = memberLost })
}

// stop ends an instance as planned, in the order of the server's Stop.
func (s *sim) stop(i int) {
	one := s.instances[i]
	s.truth.members[i] = memberLeaving
	one.believes.members[i] = memberLeaving
	s.refresh(i)
	s.at(s.now+healthLag, func() { one.fabric = false })
	s.spread(newsLeast, s.lagMost, func(b *belief) { b.members[i] = memberLeaving })
	life := one.life
	s.at(s.now+time.Second, func() {
		for n := range 5 {
			s.at(s.now+time.Duration(n)*tickEvery, func() {
				if one.running && one.life == life {
					one.decider.PublishAll()
					s.sync(i, messenger.MaxSyncRecords)
				}
			})
		}
	})
	s.at(s.now+max(leaveAfter, 2*s.lagMost), func() {
		if one.life != life {
			return
		}
		one.running = false
		s.spread(newsLeast, departMost, func(b *belief) { b.members[i] = memberGone })
	})
}

// join starts an instance anew.
func (s *sim) join(i int) {
	s.truth.members[i] = memberServing
	s.boot(i)
	s.spread(newsLeast, s.lagMost, func(b *belief) { b.members[i] = memberServing })
}

func playDrain(s *sim) {
	s.at(actAt, func() {
		s.unfair[0] = true
		s.setTarget(0, targetDraining, newsLeast, s.lagMost)
	})
}

// spare returns the target of a service that is not there from the beginning.
func (s *sim) spare(service int) int {
	for i, t := range s.targets {
		if t.service == service && s.truth.targets[i] == targetAbsent {
			return i
		}
	}
	return -1
}

func playJoin(s *sim) {
	s.at(actAt, func() { s.joinTarget(s.spare(0)) })
}

// joinTarget lets a target announce itself. It counts for the balance once one mean
// length of a flow has passed.
func (s *sim) joinTarget(t int) {
	s.unfair[t] = true
	s.targets[t].alive = true
	s.setTarget(t, targetServing, newsLeast, s.lagMost)
	s.at(s.now+s.size.MeanFlowDuration, func() { delete(s.unfair, t) })
}

func playTargetDeath(s *sim) {
	s.at(actAt, func() {
		s.targets[0].alive = false
		s.setTarget(0, targetLost, lostLeast, lostMost)
	})
}

func playStop(s *sim) {
	s.at(actAt, func() { s.stop(2) })
}

func playInstanceJoin(s *sim) {
	s.at(0, func() {
		s.instances[2].running, s.instances[2].fabric = false, false
		s.truth.members[2] = memberGone
		for i, one := range s.instances {
			one.believes.members[2] = memberGone
			s.refresh(i)
		}
	})
	s.at(actAt, func() { s.join(2) })
}

func playRolling(s *sim) {
	at := actAt
	for i := range s.instances {
		s.at(at, func() { s.stop(i) })
		s.at(at+leaveAfter+restartPause, func() { s.join(i) })
		at += leaveAfter + 2*restartPause + 4*time.Second
	}
}

// playUneven lets news take up to four seconds, while a target drains, another joins
// and an instance stops and comes back.
func playUneven(s *sim) {
	const slow = 4 * time.Second
	s.lagMost = slow
	s.at(actAt, func() {
		s.unfair[0] = true
		s.setTarget(0, targetDraining, newsLeast, slow)
	})
	s.at(actAt+time.Second, func() { s.joinTarget(s.spare(0)) })
	s.at(actAt+2*time.Second, func() { s.stop(2) })
	s.at(actAt+20*time.Second, func() { s.join(2) })
}

// playPartition cuts the first data centre off from the others for half a minute.
func playPartition(s *sim) {
	const length = 30 * time.Second
	s.at(actAt, func() {
		s.side[0] = 1
		s.spreadSides(deathLeast, deathMost, cutLeast, cutMost)
	})
	s.at(actAt+length, func() {
		s.side[0] = 0
		s.spreadSides(newsLeast, s.lagMost, newsLeast, s.lagMost)
	})
}

// spreadSides lets every instance find out whom it reaches.
func (s *sim) spreadSides(memberLeast, memberMost, targetLeast, targetMost time.Duration) {
	for i, one := range s.instances {
		life := one.life
		s.at(s.now+s.between(memberLeast, memberMost), func() {
			if one.life != life {
				return
			}
			s.seeMembers(one)
			s.refresh(i)
		})
		s.at(s.now+s.between(targetLeast, targetMost), func() {
			if one.life != life {
				return
			}
			s.seeTargets(one)
			s.refresh(i)
		})
	}
}

func (s *sim) seeMembers(one *instance) {
	for j, other := range s.instances {
		one.believes.members[j] = memberLost
		if s.truth.members[j] != memberGone && s.reach(one.dataCentre, other.dataCentre) {
			one.believes.members[j] = s.truth.members[j]
		}
	}
}

func (s *sim) seeTargets(one *instance) {
	for j, t := range s.targets {
		one.believes.targets[j] = s.truth.targets[j]
		if s.truth.targets[j] == targetServing && !s.reach(one.dataCentre, t.dataCentre) {
			one.believes.targets[j] = targetLost
		}
	}
}

// playSecondLoss loses a second instance right after the first one's flows have found
// new owners.
func playSecondLoss(s *sim) {
	s.at(actAt, func() { s.kill(2) })
	s.at(actAt+deathMost+time.Second, func() { s.kill(5) })
}

// playShort has thousands of new flows a second, nine of ten of which end within a
// second, and kills an instance among them.
func playShort(s *sim) {
	const factor, short = 5, 0.9
	s.at(warmUp/2, func() {
		s.rate *= factor
		s.short = short
	})
	s.at(actAt, func() { s.kill(2) })
}

// playBurst opens ten times as many flows for a minute, with heavy-tailed lengths,
// while a target has just joined.
func playBurst(s *sim) {
	const burst, length = 10, time.Minute
	s.heavy = true
	s.at(actAt, func() { s.joinTarget(s.spare(0)) })
	normal := s.rate
	s.at(actAt+20*time.Second, func() { s.rate = normal * burst })
	s.at(actAt+20*time.Second+length, func() { s.rate = normal })
}
