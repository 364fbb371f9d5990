package voter

import "time"

// pendingRead is a ReadIndex request that waits until a majority has acknowledged a
// round sent after the request, and the entries before the request are committed.
type pendingRead struct {
	id    uint64
	round uint64 // first round sent after the request
	index uint64 // last index of the log at the time of the request
}

// ReadIndexResult reports that the read with this ID may be answered from any state that
// has applied the log up to Index or further.
type ReadIndexResult struct {
	ID    uint64
	Index uint64
}

// ReadIndex starts a linearizable read and returns the ID of the read. The ID appears in
// Output.ReadResults once a majority has acknowledged a round sent after this call, which
// proves that this voter still leads. The proof uses no clock, so a leader that was
// frozen or suspended cannot return stale state.
//
// The read also waits for the entries that this voter has proposed before and that are not
// committed yet. Otherwise the proposal of a caller that has given up could take effect after a
// read that did not show it, and undo what was decided by that read.
//
// ReadIndex returns a *NotLeaderError at a voter that does not lead, and an
// *UncommittedError while no entry of the leader's term is committed. A leader that steps
// down drops its pending reads; the caller must fail them when Role is no longer Leader.
func (v *Voter) ReadIndex(now time.Duration) (uint64, error) {
	if v.role != Leader {
		return 0, &NotLeaderError{Leader: v.leader}
	}
	if t, _ := v.log.term(v.commitIndex); t != v.hardState.Term {
		return 0, &UncommittedError{}
	}
	v.lastReadID++
	v.broadcastAppend(now)
	v.pendingReads = append(v.pendingReads, pendingRead{id: v.lastReadID, round: v.lastRound, index: v.log.lastIndex()})
	v.completeReads()
	return v.lastReadID, nil
}

// completeReads moves the reads whose round a majority has acknowledged, and whose index is
// committed, to the output.
func (v *Voter) completeReads() {
	if v.role != Leader {
		v.pendingReads = nil
		return
	}
	stillPending := v.pendingReads[:0]
	for _, r := range v.pendingReads {
		if v.commitIndex < r.index || !v.quorumAckedRound(r.round) {
			stillPending = append(stillPending, r)
			continue
		}
		v.output.ReadResults = append(v.output.ReadResults, ReadIndexResult{ID: r.id, Index: r.index})
	}
	v.pendingReads = stillPending
}

// quorumAckedRound reports whether a majority, this voter included, acknowledged this
// round or a later one.
func (v *Voter) quorumAckedRound(round uint64) bool {
	m := v.Membership()
	acked := 0
	for _, id := range m.Voters {
		p := v.memberProgress[id]
		if id == v.id || (p != nil && p.ackedRound >= round) {
			acked++
		}
	}
	return acked >= m.quorumSize()
}
