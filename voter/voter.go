// Package voter agrees on the replicated log of configuration commands. It
// follows the Raft algorithm (Ongaro and Ousterhout): one leader a term, entries
// acknowledged by a majority, with pre-vote, check-quorum, a leader lease,
// snapshots, learners and membership changes of one member at a time.
//
// A Voter is a state machine without clock, disk or network. After every call
// the driver takes the Output and carries it out; nothing in Output.Messages may
// be sent before the hard state and entries of the same Output are synced.
package voter

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is what a voter is at present.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role.
func (r Role) String() string {
	return roleNames[r]
}

// Times of the election; see WithTimes.
const (
	DefaultHeartbeatInterval = 300 * time.Millisecond
	DefaultElectionTimeout  = time.Second
	maxEntriesPerMessage       = 64 // in one message

	neverContacted time.Duration = -1 << 60
)

// progress is what a leader knows of one other member.
type progress struct {
	matchIndex    uint64
	nextIndex     uint64
	ackedSendTime    time.Duration // send time of the latest message it answered
	snapshotSentAt time.Duration // when a snapshot was last sent
	ackedRound uint64        // latest round that it answered in this term
}

// round remembers when a numbered round of messages was sent.
type round struct {
	number uint64
	sentAt     time.Duration
}

// Voter is one member of the log.
type Voter struct {
	id        ID
	random    *rand.Rand
	heartbeatInterval time.Duration
	electionTimeout  time.Duration

	hardState      HardState
	log       log
	snapshot  *Snapshot // with its data, for members that lag behind
	commitIndex    uint64
	deliveredIndex uint64
	role      Role
	leader    ID
	votesGranted     map[ID]bool
	memberProgress   map[ID]*progress
	rounds    []round
	lastRound   uint64
	pendingReads     []pendingRead
	lastReadID    uint64
	lastLeaderContact     time.Duration // when a leader was last heard, or a vote given
	electionDeadline  time.Duration // of the election timer
	nextHeartbeat      time.Duration // when the next heartbeat is due
	electionStart time.Duration // when the present term's campaign began
	output       Output
	savedIndex   uint64 // entries up to here were handed out for saving
	savedHardState HardState
}

// Option sets a property of a new Voter.
type Option func(*Voter)

// WithTiming sets the heartbeat interval and the shortest election timeout; the
// longest is twice that.
func WithTiming(heartbeatInterval, electionTimeout time.Duration) Option {
	return func(v *Voter) {
		v.heartbeatInterval = heartbeatInterval
		v.electionTimeout = electionTimeout
	}
}

// WithRandom sets the source of election timeouts.
func WithRandom(r *rand.Rand) Option {
	return func(v *Voter) { v.random = r }
}

// New returns a voter that continues from what its disk held. Without a snapshot
// and entries it takes no part until a leader sends it a membership.
func New(id ID, now time.Duration, hard HardState, snap Snapshot, entries []Entry, opts ...Option) *Voter {
	v := &Voter{
		id:        id,
		heartbeatInterval: DefaultHeartbeatInterval,
		electionTimeout:  DefaultElectionTimeout,
		hardState:      hard,
		savedHardState: hard,
		commitIndex:    max(hard.Commit, snap.Index),
		deliveredIndex: snap.Index,
	}
	for _, o := range opts {
		o(v)
	}
	if v.random == nil {
		v.random = rand.New(rand.NewPCG(hard.Term, uint64(len(id))))
	}
	if snap.Index > 0 {
		s := snap
		v.snapshot = &s
	}
	v.log.snapshot = snap
	v.log.snapshot.Data = nil
	v.log.append(entries...)
	v.savedIndex = v.log.lastIndex()
	v.lastLeaderContact = now
	v.resetElectionTimer(now)
	return v
}

// ID returns the identity of the voter.
func (v *Voter) ID() ID { return v.id }

// Role returns what the voter is at present.
func (v *Voter) Role() Role { return v.role }

// Term returns the present term.
func (v *Voter) Term() uint64 { return v.hardState.Term }

// Leader returns the leader as far as known, or "".
func (v *Voter) Leader() ID { return v.leader }

// CommitIndex returns the position up to which the log is decided.
func (v *Voter) CommitIndex() uint64 { return v.commitIndex }

// Membership returns the latest membership in the log.
func (v *Voter) Membership() Membership {
	m, _ := v.log.membership()
	return m
}

// CaughtUp tells a leader whether a member holds nearly all of the log.
func (v *Voter) CaughtUp(id ID) bool {
	const maxLag = 16 // entries
	p, ok := v.memberProgress[id]
	return ok && p.matchIndex+maxLag >= v.log.lastIndex() && p.matchIndex > 0
}

// HoldsLease tells whether the voter leads and a majority answered it so recently
// that nobody else can lead. The time is monotonic.
func (v *Voter) HoldsLease(now time.Duration) bool {
	if v.role != Leader {
		return false
	}
	return now-v.lastQuorumContact(now) < v.electionTimeout*9/10
}

// lastQuorumContact returns the latest time at which a majority is known to have
// followed this leader.
func (v *Voter) lastQuorumContact(now time.Duration) time.Duration {
	m := v.Membership()
	var times []time.Duration
	for _, id := range m.Voters {
		if id == v.id {
			times = append(times, now)
			continue
		}
		if p := v.memberProgress[id]; p != nil {
			times = append(times, p.ackedSendTime)
		} else {
			times = append(times, neverContacted)
		}
	}
	slices.Sort(times)
	slices.Reverse(times)
	if len(times) < m.quorum() {
		return neverContacted
	}
	return times[m.quorum()-1]
}

// TakeOutput returns what has to be done since the last call.
func (v *Voter) TakeOutput() Output {
	out := v.output
	v.output = Output{}
	v.hardState.Commit = v.commitIndex
	if v.hardState != v.savedHardState {
		h := v.hardState
		out.HardState = &h
		v.savedHardState = v.hardState
	}
	if v.savedIndex < v.log.lastIndex() {
		first := max(v.savedIndex, v.log.snapshot.Index) + 1
		out.Entries = slices.Clone(v.log.entriesFrom(first, len(v.log.entries)))
		v.savedIndex = v.log.lastIndex()
	}
	if v.deliveredIndex < v.commitIndex {
		first := max(v.deliveredIndex, v.log.snapshot.Index) + 1
		out.CommittedEntries = slices.Clone(v.log.entriesFrom(first, int(v.commitIndex-first+1)))
		v.deliveredIndex = v.commitIndex
	}
	return out
}

// CompactLog tells the voter that a snapshot of its state is on disk.
func (v *Voter) CompactLog(s Snapshot) {
	v.snapshot = &s
	v.log.compact(s)
}

// SnapshotMetadata returns what a snapshot of the state at index must name:
// the term of that entry and the membership as of it.
func (v *Voter) SnapshotMetadata(index uint64) (uint64, Membership) {
	term, _ := v.log.term(index)
	m := v.log.snapshot.Membership
	for _, e := range v.log.entries {
		if e.Index <= index && e.Kind == EntryMembership {
			m = *e.Membership
		}
	}
	return term, m
}

func (v *Voter) send(m Message) {
	m.From = v.id
	m.Term = v.hardState.Term
	v.output.Messages = append(v.output.Messages, m)
}

func (v *Voter) resetElectionTimer(now time.Duration) {
	v.electionDeadline = now + v.electionTimeout + time.Duration(v.random.Int64N(int64(v.electionTimeout)))
}

// Tick does what is due.
func (v *Voter) Tick(now time.Duration) {
	if v.role == Leader {
		v.tickLeader(now)
		return
	}
	if now < v.electionDeadline {
		return
	}
	v.resetElectionTimer(now)
	v.leader = ""
	if v.Membership().IsVoter(v.id) {
		v.startPreVote(now)
	}
}

func (v *Voter) tickLeader(now time.Duration) {
	if now-v.lastQuorumContact(now) > v.electionTimeout*2 {
		v.becomeFollower(now, v.hardState.Term)
		return
	}
	if now >= v.nextHeartbeat {
		v.broadcastAppend(now)
	}
}

// startPreVote asks whether an election could be won, without raising the term, so
// that a voter that was cut off does not disturb a working leader.
func (v *Voter) startPreVote(now time.Duration) {
	v.role = PreCandidate
	v.votesGranted = map[ID]bool{v.id: true}
	v.requestVotes(MessagePreVote)
	v.countVotes(now)
}

func (v *Voter) requestVotes(kind MessageKind) {
	for _, id := range v.Membership().Voters {
		if id != v.id {
			v.send(Message{Kind: kind, To: id, Index: v.log.lastIndex(), LogTerm: v.log.lastTerm()})
		}
	}
}

// startElection starts an election in a new term, in which votes are asked for by messages of
// the given kind.
func (v *Voter) startElection(now time.Duration, voteRequestKind MessageKind) {
	v.role = Candidate
	v.hardState = HardState{Term: v.hardState.Term + 1, Vote: v.id, Commit: v.commitIndex}
	v.electionStart = now
	v.votesGranted = map[ID]bool{v.id: true}
	v.resetElectionTimer(now)
	v.requestVotes(voteRequestKind)
	v.countVotes(now)
}

func (v *Voter) countVotes(now time.Duration) {
	m := v.Membership()
	granted := 0
	for _, id := range m.Voters {
		if v.votesGranted[id] {
			granted++
		}
	}
	if granted < m.quorum() {
		return
	}
	if v.role == PreCandidate {
		v.startElection(now, MessageVote)
		return
	}
	v.becomeLeader(now)
}

func (v *Voter) becomeLeader(now time.Duration) {
	v.role = Leader
	v.leader = v.id
	v.memberProgress = make(map[ID]*progress)
	v.rounds = nil
	v.pendingReads = nil
	v.syncMemberProgress(v.electionStart)
	v.log.append(Entry{Index: v.log.lastIndex() + 1, Term: v.hardState.Term, Kind: EntryNoOp})
	v.broadcastAppend(now)
	v.advanceCommitIndex()
}

// syncMemberProgress makes the progress table match the membership. New members count as
// heard at the given time: the begin of the campaign that they voted in, or never.
func (v *Voter) syncMemberProgress(lastContact time.Duration) {
	m := v.Membership()
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != v.id && v.memberProgress[id] == nil {
			v.memberProgress[id] = &progress{nextIndex: v.log.lastIndex() + 1, ackedSendTime: lastContact}
		}
	}
	for id := range v.memberProgress {
		if !m.IsMember(id) {
			delete(v.memberProgress, id)
		}
	}
}

func (v *Voter) becomeFollower(now time.Duration, term uint64) {
	if term > v.hardState.Term {
		v.hardState = HardState{Term: term, Commit: v.commitIndex}
	}
	v.role = Follower
	v.leader = ""
	v.memberProgress = nil
	v.pendingReads = nil
	v.resetElectionTimer(now)
}

// Propose appends a command to the log of the leader and returns its position. It
// returns a *NotLeaderError elsewhere. The command is accepted only when it
// comes back in Output.Committed at that position and term.
func (v *Voter) Propose(now time.Duration, data []byte) (uint64, uint64, error) {
	if !v.HoldsLease(now) {
		return 0, 0, &NotLeaderError{Leader: v.leader}
	}
	e := Entry{Index: v.log.lastIndex() + 1, Term: v.hardState.Term, Kind: EntryCommand, Data: data}
	v.log.append(e)
	v.broadcastAppend(now)
	v.advanceCommitIndex()
	return e.Index, e.Term, nil
}

// ChangeMembership appends a membership that differs from the present one in one
// voter at most. It returns a *NotLeaderError, or a *BusyError that says what to
// wait for.
func (v *Voter) ChangeMembership(now time.Duration, m Membership) error {
	if v.role != Leader {
		return &NotLeaderError{Leader: v.leader}
	}
	if t, _ := v.log.term(v.commitIndex); t != v.hardState.Term {
		return &UncommittedError{}
	}
	old, changeIndex := v.log.membership()
	if changeIndex > v.commitIndex {
		return &UncommittedError{PendingIndex: changeIndex}
	}
	if changedVoterCount(old, m) > 1 || len(m.Voters) == 0 {
		return &FieldError{Field: "voters", Value: uint64(len(m.Voters))}
	}
	v.log.append(Entry{Index: v.log.lastIndex() + 1, Term: v.hardState.Term, Kind: EntryMembership, Membership: &m})
	v.syncMemberProgress(neverContacted)
	v.broadcastAppend(now)
	v.advanceCommitIndex()
	return nil
}

func changedVoterCount(a, b Membership) int {
	n := 0
	for _, id := range a.Voters {
		if !b.IsVoter(id) {
			n++
		}
	}
	for _, id := range b.Voters {
		if !a.IsVoter(id) {
			n++
		}
	}
	return n
}

// FirstIndex returns the first position that is still in the log.
func (v *Voter) FirstIndex() uint64 {
	return v.log.snapshot.Index + 1
}

// LastIndex returns the last position of the log, committed or not.
func (v *Voter) LastIndex() uint64 {
	return v.log.lastIndex()
}

// HardState returns the state that was last handed out for saving.
func (v *Voter) HardState() HardState {
	return v.savedHardState
}

// EntriesAfter returns the entries after index.
func (v *Voter) EntriesAfter(index uint64) []Entry {
	if index < v.log.snapshot.Index {
		index = v.log.snapshot.Index
	}
	return slices.Clone(v.log.entriesFrom(index+1, len(v.log.entries)))
}
