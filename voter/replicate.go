package voter

import (
	"slices"
	"time"
)

const (
	maxRounds             = 256             // rounds whose send time is kept
	snapshotRetryInterval = 2 * time.Second // time before an unacknowledged snapshot is sent again
)

// broadcastAppend starts a new round: it sends every member the entries that it lacks,
// or an empty append message as a heartbeat.
func (v *Voter) broadcastAppend(now time.Duration) {
	v.nextHeartbeat = now + v.heartbeatInterval
	v.lastRound++
	v.rounds = append(v.rounds, round{number: v.lastRound, sentAt: now})
	if len(v.rounds) > maxRounds {
		v.rounds = v.rounds[len(v.rounds)-maxRounds:]
	}
	ids := make([]ID, 0, len(v.memberProgress))
	for id := range v.memberProgress {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		v.sendAppend(now, id)
	}
}

// sendAppend sends a member the next entries that it lacks, or the snapshot if the entry
// before them was compacted away. It counts the entries as received; a rejection by the
// member resets nextIndex.
func (v *Voter) sendAppend(now time.Duration, id ID) {
	p := v.memberProgress[id]
	previousIndex := p.nextIndex - 1
	term, ok := v.log.term(previousIndex)
	if !ok {
		v.sendSnapshot(now, id, p)
		return
	}
	entries := slices.Clone(v.log.entriesFrom(p.nextIndex, maxEntriesPerMessage))
	v.send(Message{
		Kind: MessageAppend, To: id, Index: previousIndex, LogTerm: term,
		Commit: v.commitIndex, Entries: entries, Round: v.lastRound,
	})
	p.nextIndex += uint64(len(entries))
}

// sendSnapshot sends a member the latest snapshot. Until snapshotRetryInterval has passed
// since the last one, it sends an empty append message as a heartbeat instead.
func (v *Voter) sendSnapshot(now time.Duration, id ID, p *progress) {
	if v.snapshot == nil {
		return
	}
	if p.snapshotSentAt != 0 && now-p.snapshotSentAt < snapshotRetryInterval {
		snapshot := v.log.snapshot
		v.send(Message{Kind: MessageAppend, To: id, Index: snapshot.Index, LogTerm: snapshot.Term, Round: v.lastRound})
		return
	}
	p.snapshotSentAt = now
	v.send(Message{Kind: MessageSnapshot, To: id, Snapshot: v.snapshot, Round: v.lastRound})
}

// Step processes a message from another member. The message must have passed Validate.
func (v *Voter) Step(now time.Duration, m Message) {
	if m.To != v.id {
		return
	}
	if m.Kind == MessagePreVote || m.Kind == MessageVote || m.Kind == MessageTransferVote {
		v.stepVote(now, m)
		return
	}
	if m.Kind == MessagePreVoteReply {
		v.stepPreVoteReply(now, m)
		return
	}
	if m.Term < v.hardState.Term {
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			v.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, LastIndex: v.log.lastIndex()})
		}
		return
	}
	if m.Term > v.hardState.Term {
		v.becomeFollower(now, m.Term)
	}
	switch m.Kind {
	case MessageVoteReply:
		v.stepVoteReply(now, m)
	case MessageTimeoutNow:
		v.stepTimeoutNow(now)
	case MessageAppend:
		v.recordLeaderContact(now, m.From)
		v.stepAppend(m)
	case MessageSnapshot:
		v.recordLeaderContact(now, m.From)
		v.stepSnapshot(m)
	default:
		v.stepAppendReply(now, m)
	}
}

// recordLeaderContact records a message from the leader of the current term and makes
// this voter its follower.
func (v *Voter) recordLeaderContact(now time.Duration, leader ID) {
	v.role = Follower
	v.leader = leader
	v.lastLeaderContact = now
	v.resetElectionTimer(now)
}

// stepVote answers a vote or pre-vote request. A leader grants neither, nor does a voter
// within the minimum election timeout after it started, heard from a leader or
// granted a vote. This keeps the leader lease safe and prevents a returning voter from
// disrupting a leader. A vote request that is refused for this reason gets no reply. A
// transfer vote is exempt, because the leader stepped down before it asked the candidate to
// start the election.
func (v *Voter) stepVote(now time.Duration, m Message) {
	leaderActive := v.role == Leader || now-v.lastLeaderContact < v.electionTimeout
	if m.Kind == MessagePreVote {
		grant := !leaderActive && m.Term >= v.hardState.Term && v.log.upToDate(m.LogTerm, m.Index)
		v.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant})
		return
	}
	if leaderActive && m.Kind != MessageTransferVote {
		return
	}
	if m.Term > v.hardState.Term {
		v.becomeFollower(now, m.Term)
	}
	canVote := v.hardState.Vote == "" || v.hardState.Vote == m.From
	grant := m.Term == v.hardState.Term && canVote && v.log.upToDate(m.LogTerm, m.Index)
	if grant {
		v.hardState.Vote = m.From
		v.lastLeaderContact = now
		v.resetElectionTimer(now)
	}
	v.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (v *Voter) stepPreVoteReply(now time.Duration, m Message) {
	if m.Term > v.hardState.Term && m.Reject {
		v.becomeFollower(now, m.Term)
		return
	}
	if v.role == PreCandidate && !m.Reject {
		v.votesGranted[m.From] = true
		v.countVotes(now)
	}
}

func (v *Voter) stepVoteReply(now time.Duration, m Message) {
	if v.role == Candidate && !m.Reject {
		v.votesGranted[m.From] = true
		v.countVotes(now)
	}
}

// stepAppend appends the entries of a message when the entry before them matches the
// log, and otherwise rejects the message.
func (v *Voter) stepAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	term, ok := v.log.term(m.Index)
	inSnapshot := m.Index < v.log.snapshot.Index
	if !inSnapshot && (!ok || term != m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.LastIndex = min(v.log.lastIndex(), m.Index)
		v.send(reply)
		return
	}
	lastIndex := m.Index + uint64(len(m.Entries))
	for _, e := range m.Entries {
		v.appendReceived(e)
	}
	v.commitIndex = max(v.commitIndex, min(m.Commit, lastIndex))
	reply.Index = max(lastIndex, v.log.snapshot.Index)
	if inSnapshot && lastIndex < v.log.snapshot.Index {
		reply.Index = v.log.snapshot.Index
	}
	reply.LastIndex = v.log.lastIndex()
	v.send(reply)
}

// appendReceived appends one entry from the leader unless the log already holds it. An
// entry of another term at its index is dropped with all that follow.
func (v *Voter) appendReceived(e Entry) {
	if e.Index <= v.log.snapshot.Index {
		return
	}
	term, ok := v.log.term(e.Index)
	if ok && term == e.Term {
		return
	}
	if ok {
		v.log.truncateFrom(e.Index)
		v.savedIndex = min(v.savedIndex, e.Index-1)
	}
	v.log.append(e)
}

func (v *Voter) stepSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index > v.commitIndex {
		v.log.compact(s)
		v.snapshot = &s
		v.commitIndex = s.Index
		v.deliveredIndex = s.Index
		v.savedIndex = s.Index // installing a snapshot replaces the log on disk, so what follows is written again
		v.output.InstallSnapshot = &s
	}
	v.send(Message{Kind: MessageAppendReply, To: m.From, Index: v.commitIndex, Round: m.Round, LastIndex: v.log.lastIndex()})
}

func (v *Voter) stepAppendReply(now time.Duration, m Message) {
	p := v.memberProgress[m.From]
	if v.role != Leader || p == nil {
		return
	}
	if at, ok := v.roundSentAt(m.Round); ok {
		p.ackedSendTime = max(p.ackedSendTime, at)
	}
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
		v.completeReads()
	}
	if m.Reject {
		p.nextIndex = max(p.matchIndex+1, min(m.LastIndex+1, m.Index))
		p.nextIndex = max(p.nextIndex, 1)
		v.sendAppend(now, m.From)
		return
	}
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		p.snapshotSentAt = 0
		v.advanceCommitIndex()
	}
	if p.nextIndex <= v.log.lastIndex() {
		v.sendAppend(now, m.From)
	}
}

// roundSentAt returns the send time of a round, and false if the round is no longer kept.
func (v *Voter) roundSentAt(number uint64) (time.Duration, bool) {
	for i := len(v.rounds) - 1; i >= 0; i-- {
		if v.rounds[i].number == number {
			return v.rounds[i].sentAt, true
		}
	}
	return 0, false
}

// advanceCommitIndex commits the entries that a majority of the voters stores, provided
// that the last of them is of the current term. The leader counts its own log in full,
// because the caller syncs the entries before it sends messages of the same output.
func (v *Voter) advanceCommitIndex() {
	m := v.Membership()
	var matchIndexes []uint64
	for _, id := range m.Voters {
		if id == v.id {
			matchIndexes = append(matchIndexes, v.log.lastIndex())
		} else if p := v.memberProgress[id]; p != nil {
			matchIndexes = append(matchIndexes, p.matchIndex)
		}
	}
	if len(matchIndexes) < m.quorumSize() {
		return
	}
	slices.Sort(matchIndexes)
	quorumMatchIndex := matchIndexes[len(matchIndexes)-m.quorumSize()]
	if t, ok := v.log.term(quorumMatchIndex); ok && t == v.hardState.Term && quorumMatchIndex > v.commitIndex {
		v.commitIndex = quorumMatchIndex
		v.nextHeartbeat = 0 // the next tick sends the new commit index to the other members
		v.stepDownIfRemoved(m)
		v.completeReads()
	}
}

// stepDownIfRemoved makes the leader step down once a membership is committed in which
// the leader is not a voter.
func (v *Voter) stepDownIfRemoved(m Membership) {
	_, membershipIndex := v.log.membership()
	if membershipIndex <= v.commitIndex && !m.IsVoter(v.id) {
		v.role = Follower
		v.leader = ""
		v.memberProgress = nil
	}
}
