package controller

import (
	"bytes"
	"context"
	"math"
	"time"

	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// applyWaiter waits until the log has been applied up to index, or the configuration has
// configVersion.
type applyWaiter struct {
	index         uint64
	configVersion uint64
	done          chan struct{}
}

// indexOnly is the configVersion of an applyWaiter that waits for its index alone.
const indexOnly = math.MaxUint64

// reached reports whether the state machine has what the waiter waits for.
func (w applyWaiter) reached(m *planner.StateMachine) bool {
	return m.AppliedIndex() >= w.index || m.Config().Version >= w.configVersion
}

// UnconfirmedReadError is returned by reads that no majority has confirmed: the state of this
// instance may be stale.
type UnconfirmedReadError struct {
	Reason string
}

// Error implements error.
func (e *UnconfirmedReadError) Error() string {
	return "the newest configuration is not known: " + e.Reason
}

// Ruleset returns the ruleset that was in force at some time after the call began, or nil
// before the first one. The error is an *UnconfirmedReadError if that cannot be guaranteed, or
// a *ClosedError.
func (c *Controller) Ruleset(ctx context.Context) (*planner.Ruleset, error) {
	if err := c.awaitNewestLog(ctx); err != nil {
		return nil, err
	}
	var rules *planner.Ruleset
	if !c.runInLoop(ctx, func() { rules = c.stateMachine.Config().Ruleset }) {
		return nil, &ClosedError{}
	}
	return rules, nil
}

// HoldsDocument reports whether the configuration that this instance has applied was decoded from an
// operator's document, byte by byte. Unlike Ruleset it waits for no other instance.
func (c *Controller) HoldsDocument(ctx context.Context, document []byte) bool {
	holds := false
	applied := c.runInLoop(ctx, func() {
		r := c.stateMachine.Config().Ruleset
		holds = r != nil && !r.SourceOmitted && bytes.Equal(r.Source, document)
	})
	return applied && holds
}

// awaitNewestLog waits until this instance has applied everything that was committed before the
// call began. The error is an *UnconfirmedReadError or a *ClosedError.
func (c *Controller) awaitNewestLog(ctx context.Context) error {
	at, err := c.ReadIndex(ctx)
	if err != nil {
		return err
	}
	return c.awaitApplied(ctx, applyWaiter{index: at.ReadIndex, configVersion: indexOnly, done: make(chan struct{})})
}

// awaitNewestConfig waits until the configuration of this instance includes everything that was
// committed before the call began. Unlike awaitNewestLog it also works at an instance that is no
// member of the log: such an instance fetches only what changes the configuration. The error is an
// *UnconfirmedReadError or a *ClosedError.
func (c *Controller) awaitNewestConfig(ctx context.Context) error {
	at, err := c.ReadIndex(ctx)
	if err != nil {
		return err
	}
	return c.awaitApplied(ctx, applyWaiter{index: at.ReadIndex, configVersion: at.ConfigVersion, done: make(chan struct{})})
}

// awaitApplied waits until a waiter has what it waits for. The error is an *UnconfirmedReadError or
// a *ClosedError.
func (c *Controller) awaitApplied(ctx context.Context, w applyWaiter) error {
	if !c.runInLoop(ctx, func() { c.addApplyWaiter(w) }) {
		return &ClosedError{}
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return &UnconfirmedReadError{Reason: "the log is behind"}
	}
}

// ReadIndex returns a position of the log that includes everything committed before the call
// began, and a configuration version for that position. The leader confirms the position with
// a majority, in a round that begins after the call. The error is an *UnconfirmedReadError or
// a *ClosedError.
func (c *Controller) ReadIndex(ctx context.Context) (*messenger.ReadReply, error) {
	return c.readIndex(ctx, c.forwardAddress)
}

// ReadIndexForwarded is ReadIndex for a call that another instance has forwarded. It is forwarded
// again only to the leader.
func (c *Controller) ReadIndexForwarded(ctx context.Context) (*messenger.ReadReply, error) {
	return c.readIndex(ctx, c.leaderAddress)
}

func (c *Controller) readIndex(ctx context.Context, next addressFunc) (*messenger.ReadReply, error) {
	replies := make(chan messenger.ReadReply, 1)
	var to, reason string
	if !c.runInLoop(ctx, func() { to, reason = c.startRead(next, replies) }) {
		return nil, &ClosedError{}
	}
	if reason != "" {
		return nil, &UnconfirmedReadError{Reason: reason}
	}
	if to != "" {
		reply, err := c.transport.Read(ctx, to)
		if err != nil {
			return nil, &UnconfirmedReadError{Reason: err.Error()}
		}
		return reply, nil
	}
	select {
	case reply, ok := <-replies:
		if !ok {
			return nil, &UnconfirmedReadError{Reason: "the leader lost its office"}
		}
		return &reply, nil
	case <-ctx.Done():
		return nil, &UnconfirmedReadError{Reason: "no majority answered in time"}
	}
}

// startRead starts a read if this instance leads. Otherwise it returns the address to forward
// the read to, or the reason why there is none.
func (c *Controller) startRead(next addressFunc, replies chan messenger.ReadReply) (to, reason string) {
	if c.voter != nil && c.voterErr == nil && c.voter.Role() == voter.Leader {
		id, err := c.voter.ReadIndex(c.now())
		if err != nil {
			return "", err.Error()
		}
		c.pendingReads[id] = replies
		return "", ""
	}
	if to, ok := next(); ok {
		return to, ""
	}
	return "", "no leader is known"
}

// completeReads answers the reads that a majority has confirmed.
func (c *Controller) completeReads(done []voter.ReadIndexResult) {
	for _, r := range done {
		if replies, ok := c.pendingReads[r.ID]; ok {
			replies <- messenger.ReadReply{ReadIndex: r.Index, ConfigVersion: c.stateMachine.Config().Version}
			delete(c.pendingReads, r.ID)
		}
	}
}

// completeApplyWaiters wakes the calls that wait for what has been applied by now.
func (c *Controller) completeApplyWaiters() {
	kept := c.applyWaiters[:0]
	for _, w := range c.applyWaiters {
		if w.reached(c.stateMachine) {
			close(w.done)
			continue
		}
		kept = append(kept, w)
	}
	c.applyWaiters = kept
}

// addApplyWaiter registers a waiter, or wakes it if it has nothing to wait for.
func (c *Controller) addApplyWaiter(w applyWaiter) {
	if w.reached(c.stateMachine) {
		close(w.done)
		return
	}
	const maxApplyWaiters = 1024 // further reads are not registered and time out
	if len(c.applyWaiters) < maxApplyWaiters {
		c.applyWaiters = append(c.applyWaiters, w)
	}
}

// ReplaceRuleset puts a ruleset into force. If it returns nil, the ruleset is durable at a
// majority and in force unless another ruleset has a higher version. The error is a
// *planner.Refusal, which says whether the outcome is known, or a *ClosedError.
func (c *Controller) ReplaceRuleset(ctx context.Context, r planner.Ruleset) error {
	if err := r.Validate(); err != nil {
		return err
	}
	a, err := c.Submit(ctx, planner.Command{ReplaceRuleset: &r})
	if err != nil {
		return err
	}
	if a.Refusal != nil {
		return a.Refusal
	}
	return nil
}

// updateReadiness is used if VoterCount is set. It marks the instance ready once the instance
// holds the version that a majority confirmed after its start and the targets that other
// instances know. If that takes longer than readyTimeout, the instance becomes ready with the
// newest version among the live instances.
func (c *Controller) updateReadiness(now time.Duration) {
	if c.ready && c.configConfirmed {
		return
	}
	holds := c.stateMachine.Config().Ruleset != nil && c.stateMachine.Config().Version >= c.highestLiveVersion()
	if c.configConfirmed && holds && (c.caughtUp || now >= readyTimeout) {
		c.markReady()
		return
	}
	if !c.ready && holds && now >= readyTimeout {
		c.markReady()
	}
	c.confirmConfigVersion(now)
}

func (c *Controller) markReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.log.Info("ready", "version", c.stateMachine.Config().Version, "ruleset", rulesetVersion(c.stateMachine.Config()),
		"confirmed", c.configConfirmed, "synced", c.caughtUp)
}

// confirmConfigVersion asks the leader for the committed version and sets configConfirmed if
// this instance holds that version.
func (c *Controller) confirmConfigVersion(now time.Duration) {
	if c.confirmingConfig || c.configConfirmed || now < c.nextConfirm {
		return
	}
	c.confirmingConfig = true
	c.runInBackground(peerCallTimeout, func(ctx context.Context) func() {
		at, err := c.ReadIndex(ctx)
		return func() {
			c.confirmingConfig = false
			if err != nil {
				c.nextConfirm = c.now() + retryInterval
				c.log.Debug("config-confirmation-failed", "error", err)
				return
			}
			c.configConfirmed = c.stateMachine.Config().Version >= at.ConfigVersion
			if c.configConfirmed {
				c.advanceCatchUp(c.now())
			} else {
				c.nextConfirm = c.now() + retryInterval // the missing commands are being fetched
			}
		}
	})
}

func rulesetVersion(cfg planner.Config) uint64 {
	if cfg.Ruleset == nil {
		return 0
	}
	return cfg.Ruleset.Version
}

// dropSupersededRulesets drops the data of all rulesets except the one in force, so that an
// instance that catches up receives only that one. The ruleset in force need not be the last
// command, because an older version may arrive after a newer one.
func dropSupersededRulesets(commands []recentCommand, inForce uint64) {
	for i, k := range commands {
		if k.rulesetVersion != 0 && k.rulesetVersion != inForce {
			commands[i].applied.Data = nil
		}
	}
}
