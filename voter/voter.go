// Package voter implements the Raft consensus algorithm (Ongaro and Ousterhout) for the
// replicated log of configuration commands. It has pre-vote, check-quorum, a leader
// lease, ReadIndex, snapshots, learners, leadership transfer and membership changes of
// one voter at a time.
//
// A Voter is a state machine without a clock, disk or network of its own. After every
// call the caller takes the Output and processes it. Output.Messages must not be sent
// before the hard state and the entries of the same Output are synced.
//
// Parameters named now are times since any fixed moment before the voter was created, from
// a monotonic clock.
package voter

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Role is the Raft role of a voter.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name of the role, as it is logged.
func (r Role) String() string {
	return roleNames[r]
}

const (
	// DefaultHeartbeatInterval is the heartbeat interval without WithTiming.
	DefaultHeartbeatInterval = 300 * time.Millisecond
	// DefaultElectionTimeout is the minimum election timeout without WithTiming.
	DefaultElectionTimeout = time.Second

	maxEntriesPerMessage = 64

	// neverContacted is the time of contact of a member that never answered; it is earlier
	// than any real time.
	neverContacted time.Duration = -1 << 60
)

// progress is the replication state that the leader keeps for another member.
type progress struct {
	matchIndex     uint64        // last index that the member is known to store
	nextIndex      uint64        // index of the next entry to send
	ackedSendTime  time.Duration // send time of the latest round that the member acknowledged
	snapshotSentAt time.Duration // when a snapshot was last sent; 0 once the member has acknowledged new entries
	ackedRound     uint64        // latest round that the member acknowledged in this term
}

// round is a numbered broadcast of append or snapshot messages and the time when it was
// sent. Messages between two broadcasts carry the number of the earlier one.
type round struct {
	number uint64
	sentAt time.Duration
}

// Voter is one member of the Raft cluster. It is not safe for concurrent use.
type Voter struct {
	id                ID
	random            *rand.Rand
	heartbeatInterval time.Duration
	electionTimeout   time.Duration

	hardState         HardState
	log               log
	snapshot          *Snapshot // latest snapshot with its data, for members whose entries were compacted away
	commitIndex       uint64
	deliveredIndex    uint64 // last index handed out in Output.CommittedEntries
	role              Role
	leader            ID
	votesGranted      map[ID]bool      // voters that granted the current pre-vote or vote
	memberProgress    map[ID]*progress // of every other member; nil unless this voter leads
	rounds            []round          // the latest rounds, oldest first
	lastRound         uint64           // number of the latest round
	pendingReads      []pendingRead
	lastReadID        uint64
	lastLeaderContact time.Duration // latest of: start of this voter, last message of a leader, last vote granted
	electionDeadline  time.Duration // when the election timer fires
	nextHeartbeat     time.Duration // when the next round is due
	electionStart     time.Duration // when this voter started its latest election
	output            Output
	savedIndex        uint64    // last index handed out in Output.Entries
	savedHardState    HardState // last value handed out in Output.HardState
}

// Option sets a property of a new Voter.
type Option func(*Voter)

// WithTiming sets the heartbeat interval and the minimum election timeout. Each timeout
// is drawn between the minimum and twice the minimum.
func WithTiming(heartbeatInterval, electionTimeout time.Duration) Option {
	return func(v *Voter) {
		v.heartbeatInterval = heartbeatInterval
		v.electionTimeout = electionTimeout
	}
}

// WithRandom sets the random source that election timeouts are drawn from.
func WithRandom(r *rand.Rand) Option {
	return func(v *Voter) { v.random = r }
}

// New returns a voter that continues from the state that was read from disk. Without a
// snapshot and entries the voter starts no election until a leader sends it a membership.
func New(id ID, now time.Duration, hardState HardState, snapshot Snapshot, entries []Entry, opts ...Option) *Voter {
	v := &Voter{
		id:                id,
		heartbeatInterval: DefaultHeartbeatInterval,
		electionTimeout:   DefaultElectionTimeout,
		hardState:         hardState,
		savedHardState:    hardState,
		commitIndex:       max(hardState.Commit, snapshot.Index),
		deliveredIndex:    snapshot.Index,
	}
	for _, o := range opts {
		o(v)
	}
	if v.random == nil {
		v.random = rand.New(rand.NewPCG(hardState.Term, uint64(len(id))))
	}
	if snapshot.Index > 0 {
		s := snapshot
		v.snapshot = &s
	}
	v.log.snapshot = snapshot
	v.log.snapshot.Data = nil
	v.log.append(entries...)
	v.savedIndex = v.log.lastIndex()
	v.lastLeaderContact = now
	v.resetElectionTimer(now)
	return v
}

// ID returns the identity of the voter.
func (v *Voter) ID() ID { return v.id }

// Role returns the current role.
func (v *Voter) Role() Role { return v.role }

// Term returns the current term.
func (v *Voter) Term() uint64 { return v.hardState.Term }

// Leader returns the leader that this voter knows of, or "".
func (v *Voter) Leader() ID { return v.leader }

// CommitIndex returns the index of the last entry that is known to be committed.
func (v *Voter) CommitIndex() uint64 { return v.commitIndex }

// Membership returns the latest membership in the log, whether committed or not.
func (v *Voter) Membership() Membership {
	m, _ := v.log.membership()
	return m
}

// CaughtUp reports whether a member stores nearly all of the log. At a voter that does
// not lead the result is false.
func (v *Voter) CaughtUp(id ID) bool {
	const maxLag = 16 // entries
	p, ok := v.memberProgress[id]
	return ok && p.matchIndex+maxLag >= v.log.lastIndex() && p.matchIndex > 0
}

// HoldsLease reports whether the voter leads and a majority acknowledged it so recently
// that no other voter can have become leader. The lease lasts 0.9 of the minimum election
// timeout from the time when this voter sent the acknowledged round or started its election.
func (v *Voter) HoldsLease(now time.Duration) bool {
	if v.role != Leader {
		return false
	}
	return now-v.lastQuorumContact(now) < v.electionTimeout*9/10
}

// lastQuorumContact returns the latest time at which a majority, this voter included, is
// known to have accepted this voter as leader, or neverContacted.
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
	if len(times) < m.quorumSize() {
		return neverContacted
	}
	return times[m.quorumSize()-1]
}

// TakeOutput returns the output that has accumulated since the last call.
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

// CompactLog drops the entries that the snapshot covers. The snapshot must be durable.
func (v *Voter) CompactLog(s Snapshot) {
	v.snapshot = &s
	v.log.compact(s)
}

// SnapshotMetadata returns the metadata of a snapshot at index: the term of that entry
// and the membership as of it.
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

// Tick sends heartbeats or starts an election when they are due, and makes a leader step
// down that lost contact with a majority. The caller must call Tick periodically.
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

// tickLeader sends heartbeats, or steps down (check-quorum) when no majority acknowledged a
// round that was sent in the last two minimum election timeouts.
func (v *Voter) tickLeader(now time.Duration) {
	if now-v.lastQuorumContact(now) > v.electionTimeout*2 {
		v.becomeFollower(now, v.hardState.Term)
		return
	}
	if now >= v.nextHeartbeat {
		v.broadcastAppend(now)
	}
}

// startPreVote asks the voters whether they would grant a vote, without incrementing
// the term, so that a voter returning from a partition does not disrupt a working leader.
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

// startElection becomes a candidate in a new term and requests votes with messages of
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
	if granted < m.quorumSize() {
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

// syncMemberProgress makes the progress table match the membership. A new member counts
// as contacted at lastContact: the start of the election that it voted in, or
// neverContacted.
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

// Propose appends a command to the log and returns its index and term. It returns a
// *NotLeaderError at a voter that does not hold the leader lease. The command is
// committed only when it appears in Output.CommittedEntries with that index and term.
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

// ChangeMembership appends a membership that differs from the current one in at most
// one voter. It returns a *NotLeaderError, an *UncommittedError while an earlier entry
// must be committed first, or a *FieldError for a membership that has no voters or
// differs in several voters.
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

// changedVoterCount returns how many IDs are a voter in only one of the memberships.
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

// FirstIndex returns the index of the first log entry after the last snapshot.
func (v *Voter) FirstIndex() uint64 {
	return v.log.snapshot.Index + 1
}

// LastIndex returns the index of the last log entry, committed or not.
func (v *Voter) LastIndex() uint64 {
	return v.log.lastIndex()
}

// HardState returns the hard state that was last handed out in an Output.
func (v *Voter) HardState() HardState {
	return v.savedHardState
}

// EntriesAfter returns the log entries after index, or all of them when index is before
// the last snapshot.
func (v *Voter) EntriesAfter(index uint64) []Entry {
	if index < v.log.snapshot.Index {
		index = v.log.snapshot.Index
	}
	return slices.Clone(v.log.entriesFrom(index+1, len(v.log.entries)))
}
