package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/planner"
)

// defaultTargetsTransitionTime is how long the next default target set of a service is in the
// configuration before it replaces the current set: two replication windows and a margin. During
// that time, flows are replicated unless both sets give them the same default target.
const defaultTargetsTransitionTime = 5 * time.Second

// stableTargets is the set of targets of a service that accept new work and are neither drained nor
// evacuated, and the time since when the set has not changed.
type stableTargets struct {
	names []string
	since time.Duration
}

// updateDefaultTargets makes the default target set of each service follow the targets that
// accept new work, with a delay and in two steps. During the transition a flow has a default
// target only if both sets give the same one, so all other flows are replicated before the old
// set is dropped.
func (c *Controller) updateDefaultTargets(now time.Duration) {
	cfg := c.stateMachine.Config()
	for name, s := range cfg.Services {
		accepting := c.acceptingTargetNames(now, cfg, s)
		state, ok := c.stableTargets[name]
		if !ok || !slices.Equal(state.names, accepting) {
			c.stableTargets[name] = stableTargets{names: accepting, since: now}
			continue
		}
		if cmd, ok := c.nextDefaultTargets(now, cfg.DefaultTargetSets[name], name, state); ok {
			c.stableTargets[name] = stableTargets{names: accepting, since: now}
			c.proposeCommand(now, planner.Command{SetDefaultTargets: &cmd})
		}
	}
}

// nextDefaultTargets returns the command that takes the next step of a change of a service's
// default target set. It returns false if no step is due.
func (c *Controller) nextDefaultTargets(now time.Duration, current planner.DefaultTargetSet, service string, stable stableTargets) (planner.SetDefaultTargets, bool) {
	cmd := planner.SetDefaultTargets{Service: service, Number: current.Number}
	age := now - stable.since
	switch {
	case len(stable.names) == 0:
		return cmd, false
	case len(current.Targets) == 0 && age >= time.Second:
		cmd.Targets = stable.names
		return cmd, true
	case len(current.Next) > 0 && age >= defaultTargetsTransitionTime && c.configInForceEverywhere():
		cmd.Targets = current.Next
		return cmd, true
	case len(current.Next) == 0 && len(current.Targets) > 0 && !slices.Equal(current.Targets, stable.names) && age >= c.settings.BaseLag:
		cmd.Targets, cmd.Next = current.Targets, stable.names
		return cmd, true
	}
	return cmd, false
}

// acceptingTargetNames returns the sorted names of the targets of a service that accept new
// work and are neither drained nor evacuated.
func (c *Controller) acceptingTargetNames(now time.Duration, cfg planner.Config, s planner.Service) []string {
	var names []string
	c.registry.EachTarget(func(t announcer.Target) {
		if t.AcceptsNewWork(now) && !cfg.DrainedTargets[t.Name()] && !cfg.Evacuated(t.DataCentre) && slices.Contains(s.Jobs, t.Job) {
			names = append(names, t.Name())
		}
	})
	slices.Sort(names)
	return names
}

// configInForceEverywhere reports whether every live instance has at least the configuration
// version of this instance.
func (c *Controller) configInForceEverywhere() bool {
	version := c.stateMachine.Config().Version
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.ConfigVersion < version {
			return false
		}
	}
	return true
}

// lowestVersionInForce returns the lowest configuration version that any registered instance
// is known to have. Dead instances count until they are retired.
func (c *Controller) lowestVersionInForce() uint64 {
	cfg := c.stateMachine.Config()
	lowest := cfg.Version
	for name := range cfg.Instances {
		if name == c.settings.Self.Name {
			continue
		}
		m, ok := c.gossip.Member(name)
		if !ok {
			return 0
		}
		lowest = min(lowest, m.ConfigVersion)
	}
	return lowest
}
