package controller

import (
	"slices"
	"time"

	"almondpick/planner"
	"almondpick/voter"
)

func (c *Controller) propose(now time.Duration, cmd planner.Command) {
	if _, _, err := c.voter.Propose(now, encodeCommand(cmd)); err != nil {
		c.log.Warn("proposal-failed", "error", err)
	}
}

// registerInstances makes live instances known to the configuration, so that
// fences wait for them.
func (c *Controller) registerInstances(now time.Duration) {
	cfg := c.stateMachine.Config()
	var names []string
	if !cfg.Instances[c.settings.Self.Name] {
		names = append(names, c.settings.Self.Name)
	}
	for _, m := range c.gossip.Members() {
		if m.Alive() && !cfg.Instances[m.Name] && !cfg.Retired[m.Name] {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 || c.voter.Commit() < c.voter.LastIndex() {
		return
	}
	c.propose(now, planner.Command{Register: &planner.Register{Instances: names, Voters: c.votingInstances()}})
}

func (c *Controller) votingInstances() []string {
	var names []string
	for _, id := range c.voter.Membership().Voters {
		names = append(names, instanceOf(id))
	}
	return names
}

// reconcileVoters brings the membership of the log one step closer to the voters
// that the configuration names. An instance with a new disk first learns, then its
// old identity goes, and only then does it vote.
func (c *Controller) reconcileVoters(now time.Duration) {
	cfg := c.stateMachine.Config()
	if len(cfg.Voters) == 0 {
		return
	}
	present := c.voter.Membership()
	next, ok := c.nextMembership(present, cfg.Voters)
	if !ok {
		return
	}
	if err := c.voter.ChangeMembership(now, next); err != nil {
		c.log.Debug("membership-change-waits", "error", err)
		return
	}
	c.log.Info("membership-change", "voters", next.Voters, "learners", next.Learners)
}

func (c *Controller) nextMembership(present voter.Membership, names []string) (voter.Membership, bool) {
	for _, name := range names {
		id, ok := c.voterOf(name)
		if !ok || present.Votes(id) {
			continue
		}
		if !present.Has(id) {
			return present.WithLearner(id), true
		}
		if !c.voter.CaughtUp(id) {
			continue
		}
		if old, found := voterOn(present.Voters, name); found {
			return present.Without(old), true
		}
		return present.WithVoter(id), true
	}
	for _, id := range slices.Concat(present.Voters, present.Learners) {
		if !slices.Contains(names, instanceOf(id)) {
			return present.Without(id), true
		}
	}
	return present, false
}

// voterOf returns the identity that an instance has in the log now.
func (c *Controller) voterOf(name string) (voter.ID, bool) {
	if name == c.settings.Self.Name {
		return c.voter.ID(), true
	}
	m, ok := c.gossip.Member(name)
	if !ok || !m.Alive() || m.VoterID == "" {
		return "", false
	}
	return voter.ID(m.VoterID), true
}

func voterOn(ids []voter.ID, name string) (voter.ID, bool) {
	for _, id := range ids {
		if instanceOf(id) == name {
			return id, true
		}
	}
	return "", false
}
