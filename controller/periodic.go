package controller

import (
	"time"

	"almondpick/announcer"
)

// runPeriodicTasks runs the tasks that are not needed at every tick.
func (c *Controller) runPeriodicTasks(now time.Duration) {
	c.registry.Tick(now, c.monitorReachability(), c.gossip)
	c.openDataFolder(now)
	c.fetchNewerConfig()
	c.publishEndedQuarantines(now)
	c.logMemberChanges(now)
	c.saveTargetCache(now)
	if c.settings.VoterCount > 0 {
		c.trackStorageContact()
		c.advanceCatchUp(now)
		c.adjustVoters(now)
		c.publishFleetSize()
		return
	}
	c.trackVoterContact()
	c.updateReadinessByGossip(now)
	if c.voter != nil && c.voterErr == nil && c.voter.HoldsLease(now) {
		c.registerInstances(now)
		c.reconcileVoters(now)
		c.updateDefaultTargets(now)
	}
}

// publishEndedQuarantines causes a new ClusterState when the quarantine of a target ends.
func (c *Controller) publishEndedQuarantines(now time.Duration) {
	c.registry.EachTarget(func(t announcer.Target) {
		if t.QuarantinedUntil > 0 && now >= t.QuarantinedUntil && now-t.QuarantinedUntil < 2*periodicInterval {
			c.publishedRevisions = stateRevisions{}
		}
	})
}
