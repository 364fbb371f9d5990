package controller

import (
	"context"

	"almondpick/messenger"
	"almondpick/planner"
)

// FetchKind says what a reply to Fetch holds.
type FetchKind string

// The kinds of replies.
const (
	FetchCommands FetchKind = "commands" // only commands that leave the ruleset as it is
	FetchChange   FetchKind = "change"   // of the ruleset that the caller holds
	FetchWhole    FetchKind = "whole"    // a whole ruleset, with or without the operator's document
	FetchSnapshot FetchKind = "snapshot" // the whole state
)

// FetchKinds returns all kinds.
func FetchKinds() []FetchKind {
	return []FetchKind{FetchCommands, FetchChange, FetchWhole, FetchSnapshot}
}

// FetchObserver is notified of the replies to Fetch. It is called in the control loop.
type FetchObserver interface {
	// Fetched is called with the size of each reply, in bytes.
	Fetched(kind FetchKind, size int)
	// ChangeDiscarded is called when the change in a reply does not fit the ruleset here.
	ChangeDiscarded()
}

// noFetchObserver is the FetchObserver of a controller without one.
type noFetchObserver struct{}

func (noFetchObserver) Fetched(FetchKind, int) {}
func (noFetchObserver) ChangeDiscarded()       {}

// DocumentUnknownError is returned by Fetch if the caller needs the operator's document, which this
// instance has not fetched, and no storage instance can be reached.
type DocumentUnknownError struct{}

// Error implements error.
func (*DocumentUnknownError) Error() string {
	return "this instance does not hold the operator's document"
}

// Fetch returns the configuration commands after a position of the log, or a snapshot, to an
// instance that catches up. An instance that does not hold the operator's document forwards a
// request that asks for it to a storage instance. The error is a *ClosedError, a
// *DocumentUnknownError, an encoding error or that of the storage instance.
func (c *Controller) Fetch(ctx context.Context, r messenger.FetchRequest) (*messenger.FetchReply, error) {
	reply := &messenger.FetchReply{}
	var err error
	var forward bool
	var to string // storage instance that the request is forwarded to
	ok := c.runInLoop(ctx, func() {
		if forward = !r.OmitDocument && c.lacksDocument(); forward {
			to, _ = c.nearestStorageAddress("")
			return
		}
		err = c.fillFetchReply(r, reply)
	})
	switch {
	case !ok:
		return nil, &ClosedError{}
	case forward && to == "":
		return nil, &DocumentUnknownError{}
	case forward:
		return c.transport.Fetch(ctx, to, r)
	}
	return reply, err
}

// lacksDocument reports whether this instance has fetched its ruleset without the operator's
// document.
func (c *Controller) lacksDocument() bool {
	rules := c.stateMachine.Config().Ruleset
	return rules != nil && rules.SourceOmitted
}

// needsDocument reports whether this instance may have to return the operator's document: at its
// operator door, or as a member of the log, which may have to send the document to others.
func (c *Controller) needsDocument() bool {
	return c.settings.DataFolder != "" || c.settings.Self.OperatorAddress != ""
}

// fillFetchReply fills in the commands after a position, or a snapshot if the commands from
// there on are no longer kept.
func (c *Controller) fillFetchReply(r messenger.FetchRequest, reply *messenger.FetchReply) error {
	reply.AppliedIndex = c.stateMachine.AppliedIndex()
	if r.AfterIndex >= reply.AppliedIndex {
		return nil
	}
	if len(c.recentCommands) == 0 || c.recentCommands[0].applied.Index > r.AfterIndex+1 {
		var err error
		reply.Snapshot, err = c.compressedSnapshot(r.OmitDocument)
		return err
	}
	if r.OmitDocument {
		return c.fillWithChange(r, reply)
	}
	for _, k := range c.recentCommands {
		if k.applied.Index > r.AfterIndex && k.applied.Data != nil {
			reply.Commands = append(reply.Commands, k.applied)
		}
	}
	return nil
}

// fillWithChange fills in the commands after a position, with a change in place of the command that
// has put the ruleset into force. A later command with the same version has changed nothing.
func (c *Controller) fillWithChange(r messenger.FetchRequest, reply *messenger.FetchReply) error {
	inForce := c.stateMachine.Config().Ruleset
	c.rulesets.record(inForce)
	needsRuleset := inForce != nil && r.RulesetVersion != inForce.Version
	for _, k := range c.recentCommands {
		switch {
		case k.applied.Index <= r.AfterIndex:
		case k.rulesetVersion == 0:
			reply.Commands = append(reply.Commands, k.applied)
		case needsRuleset && k.rulesetVersion == inForce.Version:
			change, err := c.rulesets.changeFrom(r.RulesetVersion)
			if err != nil {
				return err
			}
			reply.Commands = append(reply.Commands, messenger.AppliedCommand{Index: k.applied.Index, RulesetChange: change})
			needsRuleset = false
		}
	}
	return nil
}

// fetchRequest returns the request for what this instance lacks.
func (c *Controller) fetchRequest() messenger.FetchRequest {
	r := messenger.FetchRequest{AfterIndex: c.stateMachine.AppliedIndex()}
	if c.needsDocument() {
		return r
	}
	r.OmitDocument = true
	if !c.fetch.whole {
		r.RulesetVersion = rulesetVersion(c.stateMachine.Config())
	}
	return r
}

// checkedChanges are the changes of a reply, checked against the ruleset here.
type checkedChanges struct {
	rulesets map[uint64]planner.Ruleset // results, by position in the log
	kind     FetchKind
}

// checkChanges checks the changes of a reply. The error is a decoding error, a
// *planner.ChangeMismatchError or a *planner.Refusal.
func (c *Controller) checkChanges(reply *messenger.FetchReply) (checkedChanges, error) {
	checked := checkedChanges{rulesets: make(map[uint64]planner.Ruleset), kind: FetchCommands}
	var held planner.Ruleset
	if rules := c.stateMachine.Config().Ruleset; rules != nil {
		held = *rules
	}
	for _, a := range reply.Commands {
		if len(a.RulesetChange) == 0 {
			continue
		}
		change, err := messenger.DecodeRulesetChange(a.RulesetChange)
		if err != nil {
			return checked, err
		}
		checked.kind = FetchChange
		if change.BaseVersion == 0 {
			checked.kind = FetchWhole
		}
		if held, err = held.WithChange(change); err != nil {
			return checked, err
		}
		checked.rulesets[a.Index] = held
	}
	return checked, nil
}

// applyFetchReply applies the snapshot or the commands that another instance sent, and returns
// what the reply held. A reply is ignored if this instance has applied as much from another reply
// in the meantime, or has become a member of the log, whose state also holds the departures. A
// reply with an error is discarded as a whole, so that the state is never that of a position with
// a part of it missing. The error is that of a snapshot or a change that cannot be decoded or does
// not fit.
func (c *Controller) applyFetchReply(reply *messenger.FetchReply) (FetchKind, error) {
	if c.isLogMember() || reply.AppliedIndex <= c.stateMachine.AppliedIndex() {
		return FetchCommands, nil
	}
	checked, err := c.checkChanges(reply)
	if err != nil {
		return checked.kind, err
	}
	before := rulesetVersion(c.stateMachine.Config())
	if len(reply.Snapshot) > 0 {
		checked.kind = FetchSnapshot
		if err := c.restoreCompressedState(reply.Snapshot); err != nil {
			return checked.kind, err // reply.AppliedIndex has not been reached
		}
		c.recentCommands = nil
	}
	for _, a := range reply.Commands {
		if r, ok := checked.rulesets[a.Index]; ok {
			c.applyRuleset(a.Index, r)
			continue
		}
		c.applyCommand(a)
	}
	c.stateMachine.SkipEntry(reply.AppliedIndex)
	c.completeApplyWaiters()
	if checked.kind == FetchCommands && rulesetVersion(c.stateMachine.Config()) != before {
		checked.kind = FetchWhole // in a command, from an instance of an earlier version or with the document
	}
	return checked.kind, nil
}

// applyRuleset applies the command at a position that replaces the ruleset, as fetched without the
// operator's document.
func (c *Controller) applyRuleset(index uint64, r planner.Ruleset) {
	if index <= c.stateMachine.AppliedIndex() {
		return
	}
	before := c.stateMachine.Config().Version
	c.stateMachine.ApplyRuleset(index, r)
	c.retain(recentCommand{applied: messenger.AppliedCommand{Index: index}, rulesetVersion: r.Version})
	c.logConfigChange(before)
}
