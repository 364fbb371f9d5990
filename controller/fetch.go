package controller

import (
	"context"
	"time"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// fetchNewerConfig fetches the configuration from the member that has the newest version.
// Members learn of versions by gossip, so a change spreads from instance to instance and no
// instance has to serve all others.
func (c *Controller) fetchNewerConfig() {
	if c.fetchingConfig || c.isLogMember() {
		return
	}
	newest := c.gossip.NewestConfigMembers()
	if len(newest) == 0 || newest[0].ConfigVersion <= c.stateMachine.Config().Version {
		return
	}
	best := newest[0]
	startedAt := c.now()
	if c.behindSince == 0 {
		c.behindSince = startedAt
	}
	c.fetchingConfig = true
	after := c.stateMachine.AppliedIndex()
	c.runInBackground(peerCallTimeout, func(ctx context.Context) func() {
		reply, err := c.transport.Fetch(ctx, best.RPCAddress, after)
		return func() {
			c.fetchingConfig = false
			if err != nil {
				c.log.Warn("fetch-failed", "from", best.Name, "wanted", best.ConfigVersion, "took", c.now()-startedAt, "behind-for", c.behindFor(), "error", err)
				return
			}
			c.applyFetchReply(best.Name, reply)
			c.logFetch(best, startedAt)
			c.advanceCatchUp(c.now())
		}
	})
}

// behindFor returns for how long this instance has known of a newer configuration than its own.
func (c *Controller) behindFor() time.Duration {
	if c.behindSince == 0 {
		return 0
	}
	return c.now() - c.behindSince
}

// logFetch logs what a fetch has brought from a member.
func (c *Controller) logFetch(from gossiper.Member, startedAt time.Duration) {
	have := c.stateMachine.Config().Version
	if have < from.ConfigVersion {
		c.log.Warn("fetch-brought-older", "from", from.Name, "wanted", from.ConfigVersion, "version", have, "took", c.now()-startedAt, "behind-for", c.behindFor())
		return
	}
	c.log.Info("fetched", "from", from.Name, "version", have, "took", c.now()-startedAt, "behind-for", c.behindFor())
	c.behindSince = 0
}

// applyFetchReply applies the snapshot or the commands that another instance sent.
func (c *Controller) applyFetchReply(from string, reply *messenger.FetchReply) {
	if len(reply.Snapshot) > 0 {
		if err := c.restoreCompressedState(reply.Snapshot); err != nil {
			c.log.Error("fetch-reply-decode-failed", "from", from, "error", err)
			return // reply.AppliedIndex has not been reached
		}
		c.recentCommands = nil
	}
	for _, a := range reply.Commands {
		c.applyCommand(a)
	}
	c.stateMachine.SkipEntry(reply.AppliedIndex)
}

// restoreCompressedState replaces the state by a compressed one from another instance.
func (c *Controller) restoreCompressedState(compressed []byte) error {
	plain, err := messenger.Decompress(compressed)
	if err != nil {
		return err
	}
	before := c.stateMachine.Config().Version
	if err := c.stateMachine.Restore(plain); err != nil {
		return err
	}
	c.logConfigChange(before)
	return nil
}

// highestLiveVersion returns the highest configuration version among the live members, without
// this instance.
func (c *Controller) highestLiveVersion() uint64 {
	var top uint64
	for _, m := range c.gossip.Members() {
		if m.Alive() {
			top = max(top, m.ConfigVersion)
		}
	}
	return top
}
