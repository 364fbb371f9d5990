package controller

import (
	"time"

	"almondpick/gossiper"
)

// trackVoterContact records and gossips since when no majority of the voters has been
// reachable.
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
	c.gossip.UpdateSelf(func(i gossiper.Instance) gossiper.Instance {
		i.VotersUnreachableSince = unix
		return i
	})
}

// updateReadinessByGossip is used if VoterCount is 0, when the configuration names the voters.
// It marks the instance ready once the instance has heard from a majority of the voters since
// the start, no live instance has a newer configuration and, if the instance is a voter, it
// knows a leader. If that takes longer than readyTimeout, the instance becomes ready with the
// newest version among the live instances.
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

// majorityHeard reports whether this instance has heard from a majority of the voters since
// the start.
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

// knowsLeaderIfVoter reports whether the instance is no voter, or is a voter that knows a
// leader.
func (c *Controller) knowsLeaderIfVoter() bool {
	return c.voter == nil || !c.voter.Membership().IsVoter(c.voter.ID()) || c.voter.Leader() != ""
}
