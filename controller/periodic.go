package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
)

// runPeriodicTasks runs the tasks that are not needed at every tick.
func (c *Controller) runPeriodicTasks(now time.Duration) {
	c.registry.Tick(now, c.monitorReachability(), c.gossip)
	c.openEmptyDataFolder(now)
	c.restartVoter(now)
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

// openEmptyDataFolder opens an empty data folder: at once if VoterCount is set, else after
// bootstrapDelay, when gossip has had time to show whether the deployment already exists.
// FirstStart has an effect only if no deployment is known: a voter that lost its disk must not
// vote under its old identity.
func (c *Controller) openEmptyDataFolder(now time.Duration) {
	if !c.dataFolderEmpty || (now < bootstrapDelay && c.settings.VoterCount == 0) {
		return
	}
	c.dataFolderEmpty = false
	identity := ""
	if c.settings.FirstStart && slices.Contains(c.settings.InitialVoters, c.settings.Self.Name) && c.highestLiveVersion() == 0 {
		identity = bootstrapIdentity
	}
	if err := c.openJournal(identity); err != nil {
		c.voterErr = err
		c.log.Error("data-folder-open-failed", "error", err)
		return
	}
	c.log.Info("data-folder-initialized", "voter", c.voter.ID(), "first-start", identity == bootstrapIdentity)
}

// publishEndedQuarantines causes a new ClusterState when the quarantine of a target ends.
func (c *Controller) publishEndedQuarantines(now time.Duration) {
	c.registry.EachTarget(func(t announcer.Target) {
		if t.QuarantinedUntil > 0 && now >= t.QuarantinedUntil && now-t.QuarantinedUntil < 2*periodicInterval {
			c.publishedRevisions = stateRevisions{}
		}
	})
}
