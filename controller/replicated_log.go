package controller

import (
	"slices"
	"strings"

	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// processVoterOutput carries out the pending output of the voter. A failed write stops the
// voter: it must not send messages about entries that may not be durable.
func (c *Controller) processVoterOutput() {
	if c.voter == nil || c.voterErr != nil {
		return
	}
	out := c.voter.TakeOutput()
	if out.Empty() {
		return
	}
	if err := c.persistOutput(out); err != nil {
		c.stopVoter(err)
		return
	}
	c.logLeaderChange()
	for _, m := range out.Messages {
		if to, ok := c.rpcAddressOf(m.To); ok {
			c.transport.Exchange(to, m)
		}
	}
	for _, e := range out.CommittedEntries {
		c.applyEntry(e)
	}
	c.completeReads(out.ReadResults)
	c.completeApplyWaiters()
	c.compactLog()
	if c.voter.Role() != voter.Leader {
		c.failPendingCalls()
	}
}

func (c *Controller) persistOutput(out voter.Output) error {
	if out.InstallSnapshot != nil {
		if err := c.stateMachine.Restore(out.InstallSnapshot.Data); err != nil {
			return err
		}
		c.recentCommands = nil
		return c.journal.Compact(*out.InstallSnapshot, c.voter.HardState(), out.Entries)
	}
	return c.journal.Save(out.HardState, out.Entries)
}

// rpcAddressOf returns the RPC address of the instance that a voter runs on. It returns false if
// the instance is unknown or has another disk now.
func (c *Controller) rpcAddressOf(id voter.ID) (string, bool) {
	m, ok := c.gossip.Member(instanceNameOf(id))
	if !ok || (m.VoterID != "" && m.VoterID != string(id)) {
		return "", false
	}
	return m.RPCAddress, true
}

func instanceNameOf(id voter.ID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

func (c *Controller) applyEntry(e voter.Entry) {
	result := planner.Result{}
	if e.Kind == voter.EntryCommand {
		result = c.applyCommand(messenger.AppliedCommand{Index: e.Index, Data: e.Data})
	} else {
		c.stateMachine.SkipEntry(e.Index)
	}
	w, ok := c.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(c.pendingProposals, e.Index)
	if w.term != e.Term {
		result = planner.Result{Refusal: &planner.Refusal{Code: planner.CodeOutcomeUnknown}}
	}
	w.result <- result
}

// applyCommand applies the next command and keeps it for instances that catch up. Of a command
// that was applied before, only departures take effect.
func (c *Controller) applyCommand(a messenger.AppliedCommand) planner.Result {
	cmd, err := messenger.DecodeCommand(a.Data)
	if err != nil {
		c.log.Error("command-decode-failed", "index", a.Index, "error", err)
		c.stateMachine.SkipEntry(a.Index)
		return planner.Result{}
	}
	before := c.stateMachine.Config().Version
	appliedBefore := a.Index <= c.stateMachine.AppliedIndex()
	result := c.stateMachine.Apply(a.Index, cmd)
	if !appliedBefore {
		c.retainCommand(a, cmd)
		c.logConfigChange(before)
	}
	if cmd.SetEvacuation != nil {
		c.logEvacuations()
	}
	if cmd.RecordDepartures != nil {
		c.applyDepartures(cmd.RecordDepartures.Departures)
	}
	return result
}

// logConfigChange records the ruleset for later changes, and logs the configuration if its version
// differs from before.
func (c *Controller) logConfigChange(before uint64) {
	c.rulesets.record(c.stateMachine.Config().Ruleset)
	if v := c.stateMachine.Config().Version; v != before {
		c.log.Info("configuration-in-force", "version", v, "ruleset", rulesetVersion(c.stateMachine.Config()))
	}
}

// retainCommand keeps a command for instances that catch up. Departures are not kept: they
// concern only members of the log, and other instances learn of them from the records of the
// targets.
func (c *Controller) retainCommand(a messenger.AppliedCommand, cmd planner.Command) {
	if cmd.RecordDepartures != nil {
		return
	}
	k := recentCommand{applied: a}
	if cmd.ReplaceRuleset != nil {
		k.rulesetVersion = cmd.ReplaceRuleset.Version
	}
	c.retain(k)
}

// retain keeps a command for instances that fetch, and drops those that it supersedes.
func (c *Controller) retain(k recentCommand) {
	c.recentCommands = append(c.recentCommands, k)
	if k.rulesetVersion != 0 {
		dropSupersededRulesets(c.recentCommands, rulesetVersion(c.stateMachine.Config()))
	}
	if len(c.recentCommands) > 2*minRecentCommands {
		c.recentCommands = slices.Clone(c.recentCommands[len(c.recentCommands)-minRecentCommands:])
	}
}

// failPendingCalls ends all pending proposals with an unknown outcome, and all pending reads
// without a reply.
func (c *Controller) failPendingCalls() {
	for index, w := range c.pendingProposals {
		w.result <- planner.Result{Refusal: &planner.Refusal{Code: planner.CodeOutcomeUnknown}}
		delete(c.pendingProposals, index)
	}
	for id, replies := range c.pendingReads {
		close(replies)
		delete(c.pendingReads, id)
	}
}

// compactLog replaces the log by a snapshot once the log has grown to compactEntries or
// compactBytes.
func (c *Controller) compactLog() {
	index := c.stateMachine.AppliedIndex()
	first := c.voter.FirstIndex()
	if index < first || index > c.voter.CommitIndex() {
		return
	}
	if index < first+compactEntries && c.journal.LogSize() < compactBytes {
		return
	}
	data, err := c.stateMachine.Snapshot()
	if err != nil {
		c.log.Error("snapshot-failed", "error", err)
		return
	}
	term, membership := c.voter.SnapshotMetadata(index)
	s := voter.Snapshot{Index: index, Term: term, Membership: membership, Data: data}
	if err := c.journal.Compact(s, c.voter.HardState(), c.voter.EntriesAfter(index)); err != nil {
		c.stopVoter(err)
		return
	}
	c.voter.CompactLog(s)
}
