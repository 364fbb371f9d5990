package voter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/voter"
)

// A follower holds entries that follow a snapshot which the leader sends. Installing the snapshot
// replaces the log on disk, so the entries must be handed out again: the follower has acknowledged
// them, and a restart must not lose them.
func TestEntriesAfterAnInstalledSnapshotAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	const follower, leader = voter.ID("v0"), voter.ID("v1")
	m := voter.Membership{}.WithVoter(follower).WithVoter(leader)
	var entries []voter.Entry
	for index := uint64(2); index <= 10; index++ {
		entries = append(entries, voter.Entry{Index: index, Term: 1, Kind: voter.EntryNoOp})
	}
	v := voter.New(follower, 0, voter.HardState{Term: 1, Commit: 1}, voter.Snapshot{Index: 1, Term: 1, Membership: m}, nil)
	v.Step(time.Millisecond, voter.Message{
		Kind: voter.MessageAppend, From: leader, To: follower, Term: 1, Index: 1, LogTerm: 1, Entries: entries, Commit: 1, Round: 1,
	})
	is.Equal(len(v.TakeOutput().Entries), len(entries))
	v.Step(2*time.Millisecond, voter.Message{
		Kind: voter.MessageSnapshot, From: leader, To: follower, Term: 1, Round: 2, Snapshot: &voter.Snapshot{Index: 8, Term: 1, Membership: m},
	})
	out := v.TakeOutput()
	is.True(out.InstallSnapshot != nil)
	is.Equal(len(out.Entries), 2)
	is.Equal(out.Entries[0].Index, uint64(9))
}
