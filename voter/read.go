package voter

import "time"

// pendingRead waits until a majority has answered a round that began after the
// read was asked for.
type pendingRead struct {
	id    uint64
	round uint64
	index uint64
}

// ReadIndexResult reports that the state as of Index, or any later one, answers the read
// with that ID.
type ReadIndexResult struct {
	ID    uint64
	Index uint64
}

// ReadIndex begins a linearizable read. It returns the read's ID, which comes back in
// Output.Reads once a majority has confirmed, in a round sent after this call, that
// this voter still leads. No clock takes part, so a leader that was frozen or
// suspended cannot answer with what it held before.
//
// It returns a *NotLeaderError at a voter that does not lead, and a *BusyError while
// the leader has committed nothing in its term. A leader that loses its office
// forgets its reads; the driver fails them when Role says so.
func (v *Voter) ReadIndex(now time.Duration) (uint64, error) {
	if v.role != Leader {
		return 0, &NotLeaderError{Leader: v.leader}
	}
	if t, _ := v.log.term(v.commitIndex); t != v.hardState.Term {
		return 0, &UncommittedError{}
	}
	v.lastReadID++
	v.broadcastAppend(now)
	v.pendingReads = append(v.pendingReads, pendingRead{id: v.lastReadID, round: v.lastRound, index: v.commitIndex})
	v.completeReads()
	return v.lastReadID, nil
}

// completeReads hands out the reads whose round a majority has answered.
func (v *Voter) completeReads() {
	if v.role != Leader {
		v.pendingReads = nil
		return
	}
	stillPending := v.pendingReads[:0]
	for _, r := range v.pendingReads {
		if !v.quorumAckedRound(r.round) {
			stillPending = append(stillPending, r)
			continue
		}
		v.output.ReadResults = append(v.output.ReadResults, ReadIndexResult{ID: r.id, Index: r.index})
	}
	v.pendingReads = stillPending
}

// quorumAckedRound tells whether a majority, this voter included, quorumAckedRound a round or a
// later one.
func (v *Voter) quorumAckedRound(round uint64) bool {
	m := v.Membership()
	acked := 0
	for _, id := range m.Voters {
		p := v.memberProgress[id]
		if id == v.id || (p != nil && p.ackedRound >= round) {
			acked++
		}
	}
	return acked >= m.quorum()
}
