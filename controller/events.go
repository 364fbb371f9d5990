package controller

import (
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
)

// memberRank is what was last logged of a member.
type memberRank struct {
	rank        gossiper.Liveness
	incarnation uint64
}

var rankNames = map[gossiper.Liveness]string{
	gossiper.LivenessSelfReported: "alive", gossiper.LivenessSuspect: "suspect", gossiper.LivenessDead: "dead",
}

// noteTarget logs what is now believed of a target, and by whose word.
func (c *Controller) noteTarget(t announcer.Target) {
	c.log.Info("target", "endpoint", t.Endpoint, "identity", t.Identity, "pool", t.Job, "state", t.State.String(),
		"lost", t.Unreachable, "home", t.MonitorInstance, "incarnation", t.Incarnation, "sequence", t.Sequence)
}

// noteMembers logs the members that have come, come back or gone.
func (c *Controller) noteMembers(now time.Duration) {
	c.gossip.EachMember(func(m gossiper.Member) bool {
		seen := memberRank{rank: m.Liveness, incarnation: m.Incarnation}
		if c.ranks[m.Name] == seen {
			return true
		}
		c.ranks[m.Name] = seen
		c.log.Info("member", "instance", m.Name, "rank", rankNames[m.Liveness], "incarnation", m.Incarnation,
			"voter", m.VoterID, "contact-age", now-m.LastContact)
		return true
	})
}
