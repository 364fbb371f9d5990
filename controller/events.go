package controller

import (
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
)

// loggedRank is the rank and incarnation of a member in the latest log line about it.
type loggedRank struct {
	rank        gossiper.Rank
	incarnation uint64
}

var rankNames = map[gossiper.Rank]string{
	gossiper.RankOwn: "alive", gossiper.RankSuspect: "suspect", gossiper.RankDead: "dead",
}

// logTarget logs the present state of a target and the home instance that the state comes
// from.
func (c *Controller) logTarget(t announcer.Target) {
	c.log.Info("target", "endpoint", t.Endpoint, "identity", t.Identity, "pool", t.Job, "state", t.State.String(),
		"lost", t.Lost, "home", t.Home, "incarnation", t.Incarnation, "sequence", t.Sequence)
}

// logMemberChanges logs the members whose rank or incarnation has changed.
func (c *Controller) logMemberChanges(now time.Duration) {
	c.gossip.Each(func(m gossiper.Member) bool {
		seen := loggedRank{rank: m.Rank, incarnation: m.Incarnation}
		if c.loggedRanks[m.Name] == seen {
			return true
		}
		c.loggedRanks[m.Name] = seen
		c.log.Info("member", "instance", m.Name, "rank", rankNames[m.Rank], "incarnation", m.Incarnation,
			"voter", m.VoterID, "contact-age", now-m.LastContact)
		return true
	})
}
