package controller

import (
	"context"
	"errors"
	"time"

	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
)

// Limits of the calls that fetch a newer configuration. A call may stay unanswered, because its
// connection has gone silent or the member that was asked stands still, so another member is asked
// long before the call times out. The pause doubles with each call in progress, because a link that
// is only slow carries all the replies.
const (
	maxFetchCalls  = 3
	nextFetchDelay = 500 * time.Millisecond
)

// configFetch is the state of fetching a configuration newer than that of this instance. Its zero
// value stands for an instance that knows of none.
type configFetch struct {
	behind      bool           // a newer configuration is known
	behindSince time.Duration  // since when
	asked       map[string]int // number of calls to each member since then, or since its last newer reply
	whole       bool           // ask for a whole ruleset, because a change did not fit
	calls       int            // calls in progress
	nextCall    time.Duration  // earliest time of another call while calls are in progress
	ctx         context.Context
	cancel      context.CancelFunc // cancels the calls in progress
}

// begin starts a fetch if none has been started.
func (f *configFetch) begin(ctx context.Context, now time.Duration) {
	if f.behind {
		return
	}
	f.behind, f.behindSince = true, now
	f.asked = make(map[string]int)
	f.ctx, f.cancel = context.WithCancel(ctx)
}

// end cancels the calls in progress, if any: this instance has the newest configuration.
func (f *configFetch) end() {
	if f.behind {
		f.cancel()
		*f = configFetch{calls: f.calls}
	}
}

// mayCall reports whether another call may start.
func (f *configFetch) mayCall(now time.Duration) bool {
	return f.calls == 0 || (f.calls < maxFetchCalls && now >= f.nextCall)
}

// choose returns the member that has been asked least often, the first of these.
func (f *configFetch) choose(members []gossiper.Member) gossiper.Member {
	chosen := members[0]
	for _, m := range members {
		if f.asked[m.Name] < f.asked[chosen.Name] {
			chosen = m
		}
	}
	return chosen
}

// fetchNewerConfig fetches the configuration from the members that have the newest version.
// Members learn of versions by gossip, so a change spreads from instance to instance and no
// instance has to serve all others.
func (c *Controller) fetchNewerConfig() {
	if c.isLogMember() {
		c.fetch.end()
		return
	}
	now := c.now()
	if !c.fetch.mayCall(now) {
		return
	}
	newest := c.gossip.NewestConfigMembers()
	if len(newest) == 0 || newest[0].ConfigVersion <= c.stateMachine.Config().Version {
		c.fetch.end()
		return
	}
	c.fetch.begin(c.ctx, now)
	if sources := c.fetchSources(newest, now); len(sources) > 0 {
		c.fetchConfigFrom(c.fetch.choose(sources), newest[0].ConfigVersion, now)
	}
}

// fetchConfigFrom starts a call that fetches the wanted version of the configuration from a member.
func (c *Controller) fetchConfigFrom(m gossiper.Member, wanted uint64, now time.Duration) {
	c.fetch.asked[m.Name]++
	c.fetch.nextCall = now + nextFetchDelay<<c.fetch.calls
	c.fetch.calls++
	request := c.fetchRequest()
	c.runInBackgroundUntil(c.fetch.ctx, peerCallTimeout, func(ctx context.Context) func() {
		reply, err := c.transport.Fetch(ctx, m.RPCAddress, request)
		canceled := errors.Is(ctx.Err(), context.Canceled)
		return func() {
			c.fetch.calls--
			if err != nil {
				if !canceled {
					c.log.Warn("fetch-failed", "from", m.Name, "wanted", wanted, "took", c.now()-now, "behind-for", c.behindFor(), "error", err)
				}
				return
			}
			c.handleFetchReply(answeredFetch{member: m, request: request, wanted: wanted, startedAt: now}, reply)
			c.advanceCatchUp(c.now())
		}
	})
}

// answeredFetch describes a call that was answered.
type answeredFetch struct {
	member    gossiper.Member
	request   messenger.FetchRequest
	wanted    uint64 // configuration version
	startedAt time.Duration
}

// handleFetchReply applies and logs what a call has brought. If the member was not known to have the
// wanted version, the next call is made at once.
func (c *Controller) handleFetchReply(f answeredFetch, reply *messenger.FetchReply) {
	before := c.stateMachine.AppliedIndex()
	kind, err := c.applyFetchReply(reply)
	c.fetchObserver.Fetched(kind, reply.Size())
	if err != nil {
		c.discardFetchReply(f, reply, err)
		return
	}
	if c.stateMachine.AppliedIndex() > before {
		delete(c.fetch.asked, f.member.Name)
		if !c.isLocal(f.member) {
			c.relayedVersion = c.stateMachine.Config().Version
		}
	}
	c.logFetch(f, kind, reply.Size())
	if f.member.ConfigVersion < f.wanted {
		c.fetchNewerConfig()
	}
}

// discardFetchReply logs a reply that could not be applied. If a change in it does not fit, another
// call is made: for a whole ruleset, unless the ruleset here has changed since the request.
func (c *Controller) discardFetchReply(f answeredFetch, reply *messenger.FetchReply, err error) {
	var mismatch *planner.ChangeMismatchError
	if !errors.As(err, &mismatch) {
		c.fetch.whole = true
		c.log.Error("fetch-reply-decode-failed", "from", f.member.Name, "error", err)
		return
	}
	if asked := f.request.RulesetVersion; asked != 0 && asked != rulesetVersion(c.stateMachine.Config()) {
		c.log.Debug("fetch-reply-outdated", "from", f.member.Name, "error", err)
		c.fetchNewerConfig()
		return
	}
	c.fetchObserver.ChangeDiscarded()
	c.log.Error("change-discarded", "from", f.member.Name, "ruleset", f.request.RulesetVersion, "bytes", reply.Size(), "error", err)
	if !c.fetch.whole {
		c.fetch.whole = true
		c.fetchNewerConfig()
	}
}

// behindFor returns for how long this instance has known of a newer configuration than its own.
func (c *Controller) behindFor() time.Duration {
	if !c.fetch.behind {
		return 0
	}
	return c.now() - c.fetch.behindSince
}

// logFetch logs what a call has brought, and ends the fetch if that is what was wanted. Less from a
// member that was only likely to have the wanted version is no reason for a warning.
func (c *Controller) logFetch(f answeredFetch, kind FetchKind, size int) {
	have := c.stateMachine.Config().Version
	took := c.now() - f.startedAt
	switch {
	case have >= f.wanted:
		c.log.Info("fetched", "from", f.member.Name, "version", have, "kind", kind, "bytes", size, "took", took, "behind-for", c.behindFor())
		c.fetch.end()
	case f.member.ConfigVersion < f.wanted:
		c.log.Debug("fetch-brought-older", "from", f.member.Name, "wanted", f.wanted, "version", have, "kind", kind, "bytes", size, "took", took)
	default:
		c.log.Warn("fetch-brought-older", "from", f.member.Name, "wanted", f.wanted, "version", have, "kind", kind, "bytes", size, "took", took, "behind-for", c.behindFor())
	}
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
