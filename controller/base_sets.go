package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/planner"
)

// baseTransitionTime is how long the next base set of a service is in the configuration before
// it becomes the base set: two replication windows and a margin. During that time, flows are
// replicated unless both sets give them the same default target.
const baseTransitionTime = 5 * time.Second

// stableTargets is the set of targets of a service that accept new work and are not drained,
// and the time since when the set has not changed.
type stableTargets struct {
	names []string
	since time.Duration
}

// updateBaseSets makes the base set of each service follow the targets that accept new work,
// with a delay and in two steps. During the transition a flow has a default target only if both
// sets give the same one, so all other flows are replicated before the old set is dropped.
func (c *Controller) updateBaseSets(now time.Duration) {
	cfg := c.stateMachine.Config()
	for name, s := range cfg.Services {
		accepting := c.acceptingTargetNames(now, cfg, s)
		state, ok := c.stableTargets[name]
		if !ok || !slices.Equal(state.names, accepting) {
			c.stableTargets[name] = stableTargets{names: accepting, since: now}
			continue
		}
		if cmd, ok := c.nextBaseSet(now, cfg.DefaultTargetSets[name], name, state); ok {
			c.stableTargets[name] = stableTargets{names: accepting, since: now}
			c.proposeCommand(now, planner.Command{SetDefaultTargets: &cmd})
		}
	}
}

// nextBaseSet returns the command that takes the next step of a base set. It returns false if
// no step is due.
func (c *Controller) nextBaseSet(now time.Duration, base planner.DefaultTargetSet, service string, stable stableTargets) (planner.SetDefaultTargets, bool) {
	cmd := planner.SetDefaultTargets{Service: service, Number: base.Number}
	age := now - stable.since
	switch {
	case len(stable.names) == 0:
		return cmd, false
	case len(base.Targets) == 0 && age >= time.Second:
		cmd.Targets = stable.names
		return cmd, true
	case len(base.Next) > 0 && age >= baseTransitionTime && c.configInForceEverywhere():
		cmd.Targets = base.Next
		return cmd, true
	case len(base.Next) == 0 && len(base.Targets) > 0 && !slices.Equal(base.Targets, stable.names) && age >= c.settings.BaseLag:
		cmd.Targets, cmd.Next = base.Targets, stable.names
		return cmd, true
	}
	return cmd, false
}

// acceptingTargetNames returns the sorted names of the targets of a service that accept new
// work and are not drained.
func (c *Controller) acceptingTargetNames(now time.Duration, cfg planner.Config, s planner.Service) []string {
	var names []string
	c.registry.EachTarget(func(t announcer.Target) {
		if t.AcceptsNewWork(now) && !cfg.DrainedTargets[t.Name()] && slices.Contains(s.Jobs, t.Job) {
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
