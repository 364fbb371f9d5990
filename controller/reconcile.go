package controller

import (
	"slices"
	"time"

	"almondpick/planner"
	"almondpick/voter"
)

// proposeCommand proposes a command without waiting for its result.
func (c *Controller) proposeCommand(now time.Duration, cmd planner.Command) {
	if _, _, err := c.voter.Propose(now, encodeCommand(cmd)); err != nil {
		c.log.Warn("proposal-failed", "error", err)
	}
}

// registerInstances adds live instances to the configuration. An address that was removed from a
// service is assigned to another one only after all registered instances have the version that
// removed it.
func (c *Controller) registerInstances(now time.Duration) {
	cfg := c.stateMachine.Config()
	var names []string
	if !cfg.Instances[c.settings.Self.Name] {
		names = append(names, c.settings.Self.Name)
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && !cfg.Instances[m.Name] && !cfg.RetiredInstances[m.Name] {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || c.voter.CommitIndex() < c.voter.LastIndex() {
		return
	}
	c.proposeCommand(now, planner.Command{RegisterInstances: &planner.RegisterInstances{Instances: names, Voters: c.voterInstanceNames()}})
}

func (c *Controller) voterInstanceNames() []string {
	var names []string
	for _, id := range c.voter.Membership().Voters {
		names = append(names, instanceNameOf(id))
	}
	return names
}

// reconcileVoters moves the membership of the log one step closer to the voters that the
// configuration names. An instance with a new disk is added as a learner, then its old
// identity is removed, and only then does it become a voter.
func (c *Controller) reconcileVoters(now time.Duration) {
	cfg := c.stateMachine.Config()
	if len(cfg.Voters) == 0 {
		return
	}
	current := c.voter.Membership()
	next, ok := c.nextConfiguredMembership(current, cfg.Voters)
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-deferred", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners)
}

// nextConfiguredMembership returns the membership one step closer to the voters on the named
// instances. It returns false if no step is needed or possible.
func (c *Controller) nextConfiguredMembership(current voter.Membership, names []string) (voter.Membership, bool) {
	for _, name := range names {
		id, ok := c.currentVoterID(name)
		if !ok || current.IsVoter(id) {
			continue
		}
		if !current.IsMember(id) {
			return current.WithLearner(id), true
		}
		if !c.voter.CaughtUp(id) {
			continue
		}
		if old, found := findVoterOfInstance(current.Voters, name); found {
			return current.Without(old), true
		}
		return current.WithVoter(id), true
	}
	for _, id := range slices.Concat(current.Voters, current.Learners) {
		if !slices.Contains(names, instanceNameOf(id)) {
			return current.Without(id), true
		}
	}
	return current, false
}

// currentVoterID returns the identity that a live instance has in the log now.
func (c *Controller) currentVoterID(name string) (voter.ID, bool) {
	if name == c.settings.Self.Name {
		return c.voter.ID(), true
	}
	m, ok := c.gossip.Member(name)
	if !ok || !m.Alive() || m.VoterID == "" {
		return "", false
	}
	return voter.ID(m.VoterID), true
}

func findVoterOfInstance(ids []voter.ID, name string) (voter.ID, bool) {
	for _, id := range ids {
		if instanceNameOf(id) == name {
			return id, true
		}
	}
	return "", false
}
