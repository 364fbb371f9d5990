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

// openEmptyDataFolder opens an empty data folder. FirstStart has an effect only if no deployment
// is known: a voter that lost its disk must not vote under its old identity. Whether one is
// known shows only after the other initial voters have been heard, so the folder is opened then.
func (c *Controller) openEmptyDataFolder(now time.Duration) {
	if !c.dataFolderEmpty || c.awaitsOtherVoters(now) {
		return
	}
	c.dataFolderEmpty = false
	identity := ""
	if c.mayBootstrap() && c.highestLiveVersion() == 0 {
		identity = bootstrapIdentity
	}
	if err := c.openJournal(identity); err != nil {
		c.voterErr = err
		c.log.Error("data-folder-open-failed", "error", err)
		return
	}
	c.log.Info("data-folder-initialized", "voter", c.voter.ID(), "first-start", identity == bootstrapIdentity)
}

// awaitsOtherVoters reports whether it is too early to open an empty data folder. Without
// VoterCount, it is opened after bootstrapDelay. With it, an instance that may start a deployment
// waits for all other initial voters, and after bootstrapDelay for a majority of them.
func (c *Controller) awaitsOtherVoters(now time.Duration) bool {
	if c.settings.VoterCount == 0 {
		return now < bootstrapDelay
	}
	if !c.mayBootstrap() || c.highestLiveVersion() > 0 {
		return false
	}
	heard := 0
	for _, name := range c.settings.InitialVoters {
		m, ok := c.gossip.Member(name)
		if name == c.settings.Self.Name || (ok && m.LastContact > 0) {
			heard++
		}
	}
	if now < bootstrapDelay {
		return heard < len(c.settings.InitialVoters)
	}
	return heard <= len(c.settings.InitialVoters)/2
}

// mayBootstrap reports whether the settings let this instance start a deployment.
func (c *Controller) mayBootstrap() bool {
	return c.settings.FirstStart && slices.Contains(c.settings.InitialVoters, c.settings.Self.Name)
}

// publishEndedQuarantines causes a new ClusterState when the quarantine of a target ends.
func (c *Controller) publishEndedQuarantines(now time.Duration) {
	c.registry.EachTarget(func(t announcer.Target) {
		if t.QuarantinedUntil > 0 && now >= t.QuarantinedUntil && now-t.QuarantinedUntil < 2*periodicInterval {
			c.publishedRevisions = stateRevisions{}
		}
	})
}
