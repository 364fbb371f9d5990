package controller

import (
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
)

// loggedMember is the liveness and incarnation of a member in the latest log line about it.
type loggedMember struct {
	liveness    gossiper.Liveness
	incarnation uint64
}

var livenessNames = map[gossiper.Liveness]string{
	gossiper.LivenessSelfReported: "alive", gossiper.LivenessSuspect: "suspect", gossiper.LivenessDead: "dead",
}

// logTarget logs the present state of a target and the monitor instance that the state
// comes from.
func (c *Controller) logTarget(t announcer.Target) {
	c.log.Info("target", "endpoint", t.Endpoint, "identity", t.Identity, "pool", t.Job, "state", t.State.String(),
		"lost", t.Unreachable, "home", t.MonitorInstance, "incarnation", t.Incarnation, "sequence", t.Sequence)
}

// logMemberChanges logs the members whose liveness or incarnation has changed.
func (c *Controller) logMemberChanges(now time.Duration) {
	c.gossip.EachMember(func(m gossiper.Member) bool {
		seen := loggedMember{liveness: m.Liveness, incarnation: m.Incarnation}
		if c.loggedMembers[m.Name] == seen {
			return true
		}
		c.loggedMembers[m.Name] = seen
		c.log.Info("member", "instance", m.Name, "rank", livenessNames[m.Liveness], "incarnation", m.Incarnation,
			"voter", m.VoterID, "contact-age", now-m.LastContact)
		return true
	})
}
