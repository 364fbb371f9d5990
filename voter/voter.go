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
	maxEntries       = 64 // in one message

	never time.Duration = -1 << 60
)

// progress is what a leader knows of one other member.
type progress struct {
	match    uint64
	next     uint64
	heard    time.Duration // send time of the latest message it answered
	snapshot time.Duration // when a snapshot was last sent
	answered uint64        // latest round that it answered in this term
}

// round remembers when a numbered round of messages was sent.
type round struct {
	number uint64
	at     time.Duration
}

// Voter is one member of the log.
type Voter struct {
	id        ID
	random    *rand.Rand
	heartbeat time.Duration
	election  time.Duration

	hard      HardState
	log       log
	snapshot  *Snapshot // with its data, for members that lag behind
	commit    uint64
	delivered uint64
	role      Role
	leader    ID
	votes     map[ID]bool
	members   map[ID]*progress
	rounds    []round
	roundNo   uint64
	reads     []pendingRead
	readNo    uint64
	heard     time.Duration // when a leader was last heard, or a vote given
	deadline  time.Duration // of the election timer
	beat      time.Duration // when the next heartbeat is due
	campaigns time.Duration // when the present term's campaign began
	out       Output
	savedTo   uint64 // entries up to here were handed out for saving
	savedHard HardState
}

// Option sets a property of a new Voter.
type Option func(*Voter)

// WithTiming sets the heartbeat interval and the shortest election timeout; the
// longest is twice that.
func WithTiming(heartbeat, election time.Duration) Option {
	return func(v *Voter) {
		v.heartbeat = heartbeat
		v.election = election
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
		heartbeat: DefaultHeartbeatInterval,
		election:  DefaultElectionTimeout,
		hard:      hard,
		savedHard: hard,
		commit:    max(hard.Commit, snap.Index),
		delivered: snap.Index,
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
	v.savedTo = v.log.last()
	v.heard = now
	v.resetTimer(now)
	return v
}

// ID returns the identity of the voter.
func (v *Voter) ID() ID { return v.id }

// Role returns what the voter is at present.
func (v *Voter) Role() Role { return v.role }

// Term returns the present term.
func (v *Voter) Term() uint64 { return v.hard.Term }

// Leader returns the leader as far as known, or "".
func (v *Voter) Leader() ID { return v.leader }

// CommitIndex returns the position up to which the log is decided.
func (v *Voter) CommitIndex() uint64 { return v.commit }

// Membership returns the latest membership in the log.
func (v *Voter) Membership() Membership {
	m, _ := v.log.membership()
	return m
}

// CaughtUp tells a leader whether a member holds nearly all of the log.
func (v *Voter) CaughtUp(id ID) bool {
	const near = 16 // entries
	p, ok := v.members[id]
	return ok && p.match+near >= v.log.last() && p.match > 0
}

// HoldsLease tells whether the voter leads and a majority answered it so recently
// that nobody else can lead. The time is monotonic.
func (v *Voter) HoldsLease(now time.Duration) bool {
	if v.role != Leader {
		return false
	}
	return now-v.quorumHeard(now) < v.election*9/10
}

// quorumHeard returns the latest time at which a majority is known to have
// followed this leader.
func (v *Voter) quorumHeard(now time.Duration) time.Duration {
	m := v.Membership()
	var times []time.Duration
	for _, id := range m.Voters {
		if id == v.id {
			times = append(times, now)
			continue
		}
		if p := v.members[id]; p != nil {
			times = append(times, p.heard)
		} else {
			times = append(times, never)
		}
	}
	slices.Sort(times)
	slices.Reverse(times)
	if len(times) < m.quorum() {
		return never
	}
	return times[m.quorum()-1]
}

// TakeOutput returns what has to be done since the last call.
func (v *Voter) TakeOutput() Output {
	out := v.out
	v.out = Output{}
	v.hard.Commit = v.commit
	if v.hard != v.savedHard {
		h := v.hard
		out.HardState = &h
		v.savedHard = v.hard
	}
	if v.savedTo < v.log.last() {
		first := max(v.savedTo, v.log.snapshot.Index) + 1
		out.Entries = slices.Clone(v.log.from(first, len(v.log.entries)))
		v.savedTo = v.log.last()
	}
	if v.delivered < v.commit {
		first := max(v.delivered, v.log.snapshot.Index) + 1
		out.CommittedEntries = slices.Clone(v.log.from(first, int(v.commit-first+1)))
		v.delivered = v.commit
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
	m.Term = v.hard.Term
	v.out.Messages = append(v.out.Messages, m)
}

func (v *Voter) resetTimer(now time.Duration) {
	v.deadline = now + v.election + time.Duration(v.random.Int64N(int64(v.election)))
}

// Tick does what is due.
func (v *Voter) Tick(now time.Duration) {
	if v.role == Leader {
		v.tickLeader(now)
		return
	}
	if now < v.deadline {
		return
	}
	v.resetTimer(now)
	v.leader = ""
	if v.Membership().IsVoter(v.id) {
		v.preVote(now)
	}
}

func (v *Voter) tickLeader(now time.Duration) {
	if now-v.quorumHeard(now) > v.election*2 {
		v.follow(now, v.hard.Term)
		return
	}
	if now >= v.beat {
		v.broadcast(now)
	}
}

// preVote asks whether an election could be won, without raising the term, so
// that a voter that was cut off does not disturb a working leader.
func (v *Voter) preVote(now time.Duration) {
	v.role = PreCandidate
	v.votes = map[ID]bool{v.id: true}
	v.askVotes(MessagePreVote)
	v.countVotes(now)
}

func (v *Voter) askVotes(k MessageKind) {
	for _, id := range v.Membership().Voters {
		if id != v.id {
			v.send(Message{Kind: k, To: id, Index: v.log.last(), LogTerm: v.log.lastTerm()})
		}
	}
}

// campaign starts an election in a new term, in which votes are asked for by messages of
// the given kind.
func (v *Voter) campaign(now time.Duration, k MessageKind) {
	v.role = Candidate
	v.hard = HardState{Term: v.hard.Term + 1, Vote: v.id, Commit: v.commit}
	v.campaigns = now
	v.votes = map[ID]bool{v.id: true}
	v.resetTimer(now)
	v.askVotes(k)
	v.countVotes(now)
}

func (v *Voter) countVotes(now time.Duration) {
	m := v.Membership()
	n := 0
	for _, id := range m.Voters {
		if v.votes[id] {
			n++
		}
	}
	if n < m.quorum() {
		return
	}
	if v.role == PreCandidate {
		v.campaign(now, MessageVote)
		return
	}
	v.lead(now)
}

func (v *Voter) lead(now time.Duration) {
	v.role = Leader
	v.leader = v.id
	v.members = make(map[ID]*progress)
	v.rounds = nil
	v.reads = nil
	v.syncMembers(v.campaigns)
	v.log.append(Entry{Index: v.log.last() + 1, Term: v.hard.Term, Kind: EntryNoOp})
	v.broadcast(now)
	v.advance()
}

// syncMembers makes the progress table match the membership. New members count as
// heard at the given time: the begin of the campaign that they voted in, or never.
func (v *Voter) syncMembers(heard time.Duration) {
	m := v.Membership()
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		if id != v.id && v.members[id] == nil {
			v.members[id] = &progress{next: v.log.last() + 1, heard: heard}
		}
	}
	for id := range v.members {
		if !m.IsMember(id) {
			delete(v.members, id)
		}
	}
}

func (v *Voter) follow(now time.Duration, term uint64) {
	if term > v.hard.Term {
		v.hard = HardState{Term: term, Commit: v.commit}
	}
	v.role = Follower
	v.leader = ""
	v.members = nil
	v.reads = nil
	v.resetTimer(now)
}

// Propose appends a command to the log of the leader and returns its position. It
// returns a *NotLeaderError elsewhere. The command is accepted only when it
// comes back in Output.Committed at that position and term.
func (v *Voter) Propose(now time.Duration, data []byte) (uint64, uint64, error) {
	if !v.HoldsLease(now) {
		return 0, 0, &NotLeaderError{Leader: v.leader}
	}
	e := Entry{Index: v.log.last() + 1, Term: v.hard.Term, Kind: EntryCommand, Data: data}
	v.log.append(e)
	v.broadcast(now)
	v.advance()
	return e.Index, e.Term, nil
}

// ChangeMembership appends a membership that differs from the present one in one
// voter at most. It returns a *NotLeaderError, or a *BusyError that says what to
// wait for.
func (v *Voter) ChangeMembership(now time.Duration, m Membership) error {
	if v.role != Leader {
		return &NotLeaderError{Leader: v.leader}
	}
	if t, _ := v.log.term(v.commit); t != v.hard.Term {
		return &UncommittedError{}
	}
	old, at := v.log.membership()
	if at > v.commit {
		return &UncommittedError{PendingIndex: at}
	}
	if votersChanged(old, m) > 1 || len(m.Voters) == 0 {
		return &FieldError{Field: "voters", Value: uint64(len(m.Voters))}
	}
	v.log.append(Entry{Index: v.log.last() + 1, Term: v.hard.Term, Kind: EntryMembership, Membership: &m})
	v.syncMembers(never)
	v.broadcast(now)
	v.advance()
	return nil
}

func votersChanged(a, b Membership) int {
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
	return v.log.last()
}

// HardState returns the state that was last handed out for saving.
func (v *Voter) HardState() HardState {
	return v.savedHard
}

// EntriesAfter returns the entries after index.
func (v *Voter) EntriesAfter(index uint64) []Entry {
	if index < v.log.snapshot.Index {
		index = v.log.snapshot.Index
	}
	return slices.Clone(v.log.from(index+1, len(v.log.entries)))
}
