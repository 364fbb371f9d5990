package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/planner"
)

// baseTransitionTime is how long the next base set is replicated against before it
// becomes the base set: two windows of replication and some.
const baseTransitionTime = 5 * time.Second

// stableFitTargets is since when the fit targets of a service have been the same.
type stableFitTargets struct {
	names []string
	since time.Duration
}

// updateBaseSets lets the base sets follow the fit targets, lazily and in two steps.
// While a base is about to move, a flow counts as derivable only if both sets give
// the same target, so all others are replicated before the old set is dropped.
func (c *Controller) updateBaseSets(now time.Duration) {
	cfg := c.stateMachine.Config()
	for name, s := range cfg.Services {
		fit := c.fitTargetNames(now, cfg, s)
		state, ok := c.stableFitTargets[name]
		if !ok || !slices.Equal(state.names, fit) {
			c.stableFitTargets[name] = stableFitTargets{names: fit, since: now}
			continue
		}
		if cmd, ok := c.nextBaseSet(now, cfg.Bases[name], name, state); ok {
			c.stableFitTargets[name] = stableFitTargets{names: fit, since: now}
			c.proposeCommand(now, planner.Command{SetBase: &cmd})
		}
	}
}

func (c *Controller) nextBaseSet(now time.Duration, base planner.Base, service string, stable stableFitTargets) (planner.SetBase, bool) {
	cmd := planner.SetBase{Service: service, Number: base.Number}
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

func (c *Controller) fitTargetNames(now time.Duration, cfg planner.Config, s planner.Service) []string {
	var names []string
	c.registry.Targets(func(t announcer.Target) {
		if t.Fit(now) && !cfg.Drained[t.Name()] && slices.Contains(s.Jobs, t.Job) {
			names = append(names, t.Name())
		}
	})
	slices.Sort(names)
	return names
}

// configInForceEverywhere tells whether every live instance has the configuration.
func (c *Controller) configInForceEverywhere() bool {
	version := c.stateMachine.Config().Version
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.Version < version {
			return false
		}
	}
	return true
}

// lowestVersionInForce returns the lowest version that any registered instance is known
// to have, dead ones included: only retiring them takes them out.
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
		lowest = min(lowest, m.Version)
	}
	return lowest
}
