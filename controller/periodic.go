package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
)

// runPeriodicTasks does what need not be done at every tick.
func (c *Controller) runPeriodicTasks(now time.Duration) {
	c.registry.Tick(now, c.homeReachability(), c.gossip)
	c.openEmptyDataFolder(now)
	c.restartVoter(now)
	c.fetchNewerConfig()
	c.publishEndedFences(now)
	c.logMemberChanges(now)
	c.saveTargetCache(now)
	if c.settings.VoterCount > 0 {
		c.trackStorageContact()
		c.advanceCatchUp(now)
		c.adjustVoters(now)
		return
	}
	c.trackVoterContact()
	c.updateReadinessByGossip(now)
	if c.voter != nil && c.voterErr == nil && c.voter.Lease(now) {
		c.registerInstances(now)
		c.reconcileVoters(now)
		c.updateBaseSets(now)
	}
}

// openEmptyDataFolder opens an empty data folder once the membership has had time to
// show whether the deployment already exists. Only where it does not is
// FirstStart followed: a voter that lost its disk must not vote as its old self.
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
		c.log.Error("data-folder-unusable", "error", err)
		return
	}
	c.log.Info("data-folder-made", "voter", c.voter.ID(), "first-start", identity == bootstrapIdentity)
}

// publishEndedFences has a new World made when the fence of a target ends.
func (c *Controller) publishEndedFences(now time.Duration) {
	c.registry.Targets(func(t announcer.Target) {
		if t.Fence > 0 && now >= t.Fence && now-t.Fence < 2*periodicInterval {
			c.publishedRevisions = stateRevisions{}
		}
	})
}
