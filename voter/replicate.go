package voter

import (
	"slices"
	"time"
)

const (
	keptRounds    = 256
	snapshotRetry = 2 * time.Second
)

// broadcast sends every member what it lacks, or a heartbeat.
func (v *Voter) broadcast(now time.Duration) {
	v.beat = now + v.heartbeat
	v.roundNo++
	v.rounds = append(v.rounds, round{number: v.roundNo, at: now})
	if len(v.rounds) > keptRounds {
		v.rounds = v.rounds[len(v.rounds)-keptRounds:]
	}
	ids := make([]ID, 0, len(v.members))
	for id := range v.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		v.replicate(now, id)
	}
}

func (v *Voter) replicate(now time.Duration, id ID) {
	p := v.members[id]
	before := p.next - 1
	term, ok := v.log.term(before)
	if !ok {
		v.sendSnapshot(now, id, p)
		return
	}
	entries := slices.Clone(v.log.from(p.next, maxEntries))
	v.send(Message{
		Kind: MessageAppend, To: id, Index: before, LogTerm: term,
		Commit: v.commit, Entries: entries, Round: v.roundNo,
	})
	p.next += uint64(len(entries))
}

func (v *Voter) sendSnapshot(now time.Duration, id ID, p *progress) {
	if v.snapshot == nil {
		return
	}
	if p.snapshot != 0 && now-p.snapshot < snapshotRetry {
		last := v.log.snapshot
		v.send(Message{Kind: MessageAppend, To: id, Index: last.Index, LogTerm: last.Term, Round: v.roundNo})
		return
	}
	p.snapshot = now
	v.send(Message{Kind: MessageSnapshot, To: id, Snapshot: v.snapshot, Round: v.roundNo})
}

// Step takes in a message from another voter, which must have passed Validate.
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
	if m.Term < v.hard.Term {
		if m.Kind == MessageAppend || m.Kind == MessageSnapshot {
			v.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true, LastIndex: v.log.last()})
		}
		return
	}
	if m.Term > v.hard.Term {
		v.follow(now, m.Term)
	}
	switch m.Kind {
	case MessageVoteReply:
		v.stepVoteReply(now, m)
	case MessageTimeoutNow:
		v.stepLead(now)
	case MessageAppend:
		v.hear(now, m.From)
		v.stepAppend(m)
	case MessageSnapshot:
		v.hear(now, m.From)
		v.stepSnapshot(m)
	default:
		v.stepAppendReply(now, m)
	}
}

// hear notes a sign of life of the leader of this term.
func (v *Voter) hear(now time.Duration, leader ID) {
	v.role = Follower
	v.leader = leader
	v.heard = now
	v.resetTimer(now)
}

// stepVote answers a vote or pre-vote. While a leader was heard, or this process
// was started, within the shortest election timeout, neither is granted. That is
// what makes the lease safe and keeps a returning voter from disturbing a leader. The
// successor that a leader has chosen need not wait: that leader resigned before.
func (v *Voter) stepVote(now time.Duration, m Message) {
	recent := v.role == Leader || now-v.heard < v.election
	if m.Kind == MessagePreVote {
		grant := !recent && m.Term >= v.hard.Term && v.log.upToDate(m.LogTerm, m.Index)
		v.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: !grant})
		return
	}
	if recent && m.Kind != MessageTransferVote {
		return
	}
	if m.Term > v.hard.Term {
		v.follow(now, m.Term)
	}
	free := v.hard.Vote == "" || v.hard.Vote == m.From
	grant := m.Term == v.hard.Term && free && v.log.upToDate(m.LogTerm, m.Index)
	if grant {
		v.hard.Vote = m.From
		v.heard = now
		v.resetTimer(now)
	}
	v.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !grant})
}

func (v *Voter) stepPreVoteReply(now time.Duration, m Message) {
	if m.Term > v.hard.Term && m.Reject {
		v.follow(now, m.Term)
		return
	}
	if v.role == PreCandidate && !m.Reject {
		v.votes[m.From] = true
		v.countVotes(now)
	}
}

func (v *Voter) stepVoteReply(now time.Duration, m Message) {
	if v.role == Candidate && !m.Reject {
		v.votes[m.From] = true
		v.countVotes(now)
	}
}

// stepAppend takes in entries when the one before them matches.
func (v *Voter) stepAppend(m Message) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Round: m.Round}
	term, ok := v.log.term(m.Index)
	covered := m.Index < v.log.snapshot.Index
	if !covered && (!ok || term != m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.LastIndex = min(v.log.last(), m.Index)
		v.send(reply)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	for _, e := range m.Entries {
		v.place(e)
	}
	v.commit = max(v.commit, min(m.Commit, last))
	reply.Index = max(last, v.log.snapshot.Index)
	if covered && last < v.log.snapshot.Index {
		reply.Index = v.log.snapshot.Index
	}
	reply.LastIndex = v.log.last()
	v.send(reply)
}

// place puts one entry where it belongs; a conflicting tail gives way.
func (v *Voter) place(e Entry) {
	if e.Index <= v.log.snapshot.Index {
		return
	}
	term, ok := v.log.term(e.Index)
	if ok && term == e.Term {
		return
	}
	if ok {
		v.log.truncate(e.Index)
		v.savedTo = min(v.savedTo, e.Index-1)
	}
	v.log.append(e)
}

func (v *Voter) stepSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index > v.commit {
		v.log.compact(s)
		v.snapshot = &s
		v.commit = s.Index
		v.delivered = s.Index
		v.savedTo = v.log.last()
		v.out.InstallSnapshot = &s
	}
	v.send(Message{Kind: MessageAppendReply, To: m.From, Index: v.commit, Round: m.Round, LastIndex: v.log.last()})
}

func (v *Voter) stepAppendReply(now time.Duration, m Message) {
	p := v.members[m.From]
	if v.role != Leader || p == nil {
		return
	}
	if at, ok := v.sentAt(m.Round); ok {
		p.heard = max(p.heard, at)
	}
	if m.Round > p.answered {
		p.answered = m.Round
		v.finishReads()
	}
	if m.Reject {
		p.next = max(p.match+1, min(m.LastIndex+1, m.Index))
		p.next = max(p.next, 1)
		v.replicate(now, m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		p.snapshot = 0
		v.advance()
	}
	if p.next <= v.log.last() {
		v.replicate(now, m.From)
	}
}

func (v *Voter) sentAt(number uint64) (time.Duration, bool) {
	for i := len(v.rounds) - 1; i >= 0; i-- {
		if v.rounds[i].number == number {
			return v.rounds[i].at, true
		}
	}
	return 0, false
}

// advance commits what a majority of the voters holds, provided it is of this
// leader's term. The leader counts its own log: the driver syncs it before the
// output that could make others rely on it is sent.
func (v *Voter) advance() {
	m := v.Membership()
	var matches []uint64
	for _, id := range m.Voters {
		if id == v.id {
			matches = append(matches, v.log.last())
		} else if p := v.members[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	if len(matches) < m.quorum() {
		return
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-m.quorum()]
	if t, ok := v.log.term(candidate); ok && t == v.hard.Term && candidate > v.commit {
		v.commit = candidate
		v.beat = 0 // the others learn of it at the next tick
		v.removeSelf(m)
	}
}

// removeSelf makes a leader step down once a membership without it is committed.
func (v *Voter) removeSelf(m Membership) {
	_, at := v.log.membership()
	if at <= v.commit && !m.IsVoter(v.id) {
		v.role = Follower
		v.leader = ""
		v.members = nil
	}
}
