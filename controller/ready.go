package controller

import (
	"time"

	"almondpick/gossiper"
)

// trackVoterContact keeps track of since when too few voters have been in reach.
func (c *Controller) trackVoterContact() {
	voters := c.stateMachine.Config().Voters
	if len(voters) == 0 {
		return
	}
	n := 0
	for _, v := range voters {
		if c.instanceAlive(v) {
			n++
		}
	}
	if n > len(voters)/2 {
		c.cutOffSince = time.Time{}
	} else if c.cutOffSince.IsZero() {
		c.cutOffSince = c.clock.Now()
		c.log.Warn("cut-off", "voters-in-reach", n, "voters", len(voters))
	}
	var unix int64
	if !c.cutOffSince.IsZero() {
		unix = c.cutOffSince.Unix()
	}
	c.gossip.Update(func(i gossiper.Instance) gossiper.Instance {
		i.CutOffSince = unix
		return i
	})
}

// updateReadinessByGossip decides when the instance may serve: when a majority of the voters was
// heard since the start and nobody has a newer configuration; or, when that does
// not come about, with the newest that anyone in reach has.
func (c *Controller) updateReadinessByGossip(now time.Duration) {
	if c.configConfirmed && c.ready {
		return
	}
	version := c.stateMachine.Config().Version
	newest := version > 0 && version >= c.highestLiveVersion()
	if newest && c.majorityHeard() && c.knowsLeaderIfVoter() {
		c.configConfirmed = true
	}
	if !c.ready && (c.configConfirmed || (newest && now >= readyTimeout)) {
		c.ready = true
		c.log.Info("ready", "version", version, "confirmed", c.configConfirmed)
	}
}

// majorityHeard tells whether a majority of the voters was heard since the start.
func (c *Controller) majorityHeard() bool {
	voters := c.stateMachine.Config().Voters
	heard := 0
	for _, v := range voters {
		m, ok := c.gossip.Member(v)
		if v == c.settings.Self.Name || (ok && m.Alive() && m.LastContact > 0) {
			heard++
		}
	}
	return heard > len(voters)/2
}

// knowsLeaderIfVoter tells whether the instance is no voter, or one that knows a leader.
func (c *Controller) knowsLeaderIfVoter() bool {
	return c.voter == nil || !c.voter.Membership().Votes(c.voter.ID()) || c.voter.Leader() != ""
}
