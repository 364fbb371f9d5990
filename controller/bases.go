package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/planner"
)

// baseSettle is how long the next base set is replicated against before it
// becomes the base set: two windows of replication and some.
const baseSettle = 5 * time.Second

// fitState is since when the fit targets of a service have been the same.
type fitState struct {
	names []string
	since time.Duration
}

// moveBases lets the base sets follow the fit targets, lazily and in two steps.
// While a base is about to move, a flow counts as derivable only if both sets give
// the same target, so all others are replicated before the old set is dropped.
func (c *Controller) moveBases(now time.Duration) {
	cfg := c.machine.Config()
	for name, s := range cfg.Services {
		fit := c.fitTargets(now, cfg, s)
		state, ok := c.fitSince[name]
		if !ok || !slices.Equal(state.names, fit) {
			c.fitSince[name] = fitState{names: fit, since: now}
			continue
		}
		if cmd, ok := c.nextBase(now, cfg.BaseSets[name], name, state); ok {
			c.fitSince[name] = fitState{names: fit, since: now}
			c.propose(now, planner.Command{SetBaseSet: &cmd})
		}
	}
}

func (c *Controller) nextBase(now time.Duration, b planner.BaseSet, service string, fit fitState) (planner.SetBaseSet, bool) {
	cmd := planner.SetBaseSet{Service: service, Number: b.Number}
	age := now - fit.since
	switch {
	case len(fit.names) == 0:
		return cmd, false
	case len(b.Targets) == 0 && age >= time.Second:
		cmd.Targets = fit.names
		return cmd, true
	case len(b.Next) > 0 && age >= baseSettle && c.inForceEverywhere():
		cmd.Targets = b.Next
		return cmd, true
	case len(b.Next) == 0 && len(b.Targets) > 0 && !slices.Equal(b.Targets, fit.names) && age >= c.set.BaseLag:
		cmd.Targets, cmd.Next = b.Targets, fit.names
		return cmd, true
	}
	return cmd, false
}

func (c *Controller) fitTargets(now time.Duration, cfg planner.Config, s planner.Service) []string {
	var names []string
	c.registry.EachTarget(func(t announcer.Target) {
		if t.AcceptsNewWork(now) && !cfg.DrainedTargets[t.Name()] && slices.Contains(s.Jobs, t.Job) {
			names = append(names, t.Name())
		}
	})
	slices.Sort(names)
	return names
}

// inForceEverywhere tells whether every live instance has the configuration.
func (c *Controller) inForceEverywhere() bool {
	version := c.machine.Config().Version
	for _, m := range c.gossip.Members() {
		if m.Alive() && m.ConfigVersion < version {
			return false
		}
	}
	return true
}

// lowestInForce returns the lowest version that any registered instance is known
// to have, dead ones included: only retiring them takes them out.
func (c *Controller) lowestInForce() uint64 {
	cfg := c.machine.Config()
	lowest := cfg.Version
	for name := range cfg.Instances {
		if name == c.set.Self.Name {
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
