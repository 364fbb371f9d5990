package controller

import (
	"time"

	"almondpick/gossiper"
)

// noteContact keeps track of since when too few voters have been in reach.
func (c *Controller) noteContact() {
	voters := c.machine.Config().Voters
	if len(voters) == 0 {
		return
	}
	n := 0
	for _, v := range voters {
		if c.aliveInstance(v) {
			n++
		}
	}
	if n > len(voters)/2 {
		c.cutSince = time.Time{}
	} else if c.cutSince.IsZero() {
		c.cutSince = c.clock.Now()
		c.log.Warn("cut-off", "voters-in-reach", n, "voters", len(voters))
	}
	var unix int64
	if !c.cutSince.IsZero() {
		unix = c.cutSince.Unix()
	}
	c.gossip.UpdateSelf(func(i gossiper.Instance) gossiper.Instance {
		i.VotersUnreachableSince = unix
		return i
	})
}

// noteReady decides when the instance may serve: when a majority of the voters was
// heard since the start and nobody has a newer configuration; or, when that does
// not come about, with the newest that anyone in reach has.
func (c *Controller) noteReady(now time.Duration) {
	if c.confirm && c.ready {
		return
	}
	version := c.machine.Config().Version
	newest := version > 0 && version >= c.highestVersion()
	if newest && c.heardMajority() && c.followsLog() {
		c.confirm = true
	}
	if !c.ready && (c.confirm || (newest && now >= readyAnyway)) {
		c.ready = true
		c.log.Info("ready", "version", version, "confirmed", c.confirm)
	}
}

// heardMajority tells whether a majority of the voters was heard since the start.
func (c *Controller) heardMajority() bool {
	voters := c.machine.Config().Voters
	heard := 0
	for _, v := range voters {
		m, ok := c.gossip.Member(v)
		if v == c.set.Self.Name || (ok && m.Alive() && m.LastContact > 0) {
			heard++
		}
	}
	return heard > len(voters)/2
}

// followsLog tells whether the instance is no voter, or one that knows a leader.
func (c *Controller) followsLog() bool {
	return c.voter == nil || !c.voter.Membership().IsVoter(c.voter.ID()) || c.voter.Leader() != ""
}
