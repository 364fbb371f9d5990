package voter

import (
	"slices"
	"strconv"
)

// ID identifies a member of the Raft cluster: an instance together with the identity
// of its disk. A member that lost its disk rejoins under another ID.
type ID string

// EntryKind is the kind of content that a log entry holds.
type EntryKind uint8

// The kinds of entries. The numbers are sent and stored.
const (
	EntryCommand EntryKind = iota
	EntryNoOp              // appended by a new leader at the start of its term
	EntryMembership
	entryKindCount
)

// Entry is one entry of the replicated log.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// Membership is the set of cluster members. Learners receive the log but do not vote.
type Membership struct {
	Voters   []ID `cbor:"voters"`
	Learners []ID `cbor:"learners"`
}

// WithLearner returns a copy of the membership in which id is a learner.
func (m Membership) WithLearner(id ID) Membership {
	m = m.Without(id)
	m.Learners = append(m.Learners, id)
	return m
}

// WithVoter returns a copy of the membership in which id is a voter.
func (m Membership) WithVoter(id ID) Membership {
	m = m.Without(id)
	m.Voters = append(m.Voters, id)
	slices.Sort(m.Voters)
	return m
}

// Without returns a copy of the membership without id.
func (m Membership) Without(id ID) Membership {
	matchesID := func(v ID) bool { return v == id }
	m.Voters = slices.DeleteFunc(slices.Clone(m.Voters), matchesID)
	m.Learners = slices.DeleteFunc(slices.Clone(m.Learners), matchesID)
	return m
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id ID) bool {
	return slices.Contains(m.Voters, id)
}

// IsMember reports whether id is a voter or a learner.
func (m Membership) IsMember(id ID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// quorumSize returns the number of voters that form a majority.
func (m Membership) quorumSize() int {
	return len(m.Voters)/2 + 1
}

// HardState is the persistent state of a voter. It must be synced to disk before any
// message that depends on it is sent.
//
// HardState includes the commit index, so that a restarted voter knows every entry that it
// had applied before.
type HardState struct {
	Term   uint64 `cbor:"term"`
	Vote   ID     `cbor:"vote"`
	Commit uint64 `cbor:"commit"`
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index      uint64     `cbor:"index"`
	Term       uint64     `cbor:"term"`
	Membership Membership `cbor:"membership"`
	Data       []byte     `cbor:"data"`
}

// MessageKind is the purpose of a Message.
type MessageKind uint8

// The kinds of messages. The numbers are sent.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTimeoutNow   // leadership transfer: the leader stepped down; the receiver starts an election at once
	MessageTransferVote // leadership transfer: vote request of the receiver of MessageTimeoutNow
	messageKindCount
)

// Message is a Raft message from one member to another. Not every kind uses every field.
type Message struct {
	_         struct{} `cbor:",toarray"`
	Kind      MessageKind
	From      ID
	To        ID
	Term      uint64
	Index     uint64 // append: index of the entry before Entries; append reply: last matching index, or the rejected Index; vote request: last index of the candidate
	LogTerm   uint64 // term of the entry at Index
	Commit    uint64 // append: commit index of the leader
	Round     uint64 // append, snapshot: number of the broadcast that the message belongs to; reply: copied from the request
	Reject    bool   // reply: the vote is not granted, or the entries or the term are not accepted
	LastIndex uint64 // append reply: last index of the sender's log; a rejection for a mismatch limits it to the rejected Index
	Entries   []Entry
	Snapshot  *Snapshot
}

// Validate checks a decoded message. It returns a *FieldError for the first field that
// is out of range.
func (m Message) Validate() error {
	if m.Kind >= messageKindCount {
		return &FieldError{Field: "kind", Value: uint64(m.Kind)}
	}
	if m.From == "" || m.To == "" {
		return &FieldError{Field: "from-or-to"}
	}
	if m.Kind == MessageSnapshot && m.Snapshot == nil {
		return &FieldError{Field: "snapshot"}
	}
	for i, e := range m.Entries {
		if e.Kind >= entryKindCount || (e.Kind == EntryMembership) != (e.Membership != nil) {
			return &FieldError{Field: "entries.kind", Value: uint64(e.Kind)}
		}
		if e.Index != m.Index+uint64(i)+1 {
			return &FieldError{Field: "entries.index", Value: e.Index}
		}
	}
	return nil
}

// FieldError reports a field that is out of range.
type FieldError struct {
	Field string
	Value uint64
}

// Error implements error.
func (e *FieldError) Error() string {
	return "voter message field " + e.Field + " is out of range: " + strconv.FormatUint(e.Value, 10)
}

// NotLeaderError reports a request that only the leader can serve.
type NotLeaderError struct {
	Leader ID // the leader that this voter knows of, or ""
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "not the leader; the leader is " + string(e.Leader)
}

// UncommittedError reports a request that has to wait until an earlier entry is
// committed: the previous membership change, or the first entry of the leader's term.
type UncommittedError struct {
	PendingIndex uint64 // index of the uncommitted membership change; 0: the first entry of the leader's term is not committed
}

// Error implements error.
func (e *UncommittedError) Error() string {
	return "a membership change has to wait for position " + strconv.FormatUint(e.PendingIndex, 10)
}

// Output is what the caller has to do, in this order: install the snapshot, write the
// hard state and the entries, sync, send the messages, apply the committed entries,
// answer the reads.
type Output struct {
	HardState        *HardState
	InstallSnapshot  *Snapshot
	Entries          []Entry // to append to the log; stored entries from the index of the first one on are overwritten
	Messages         []Message
	CommittedEntries []Entry
	ReadResults      []ReadIndexResult // each may be answered once the state machine has applied its Index
}

// Empty reports whether the output asks nothing of the caller.
func (o Output) Empty() bool {
	return o.HardState == nil && o.InstallSnapshot == nil && len(o.Entries) == 0 && len(o.Messages) == 0 && len(o.CommittedEntries) == 0 && len(o.ReadResults) == 0
}
