package voter

import (
	"slices"
	"strconv"
)

// ID names a voter: an instance together with the identity of its disk. A voter
// that lost its disk comes back under another ID.
type ID string

// EntryKind tells what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryNoOp             // opens a leader's term
	EntryMembership
	entryKindCount
)

// Entry is one position of the replicated log.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership *Membership
}

// Membership is who takes part in the log.
type Membership struct {
	Voters   []ID `cbor:"voters"`
	Learners []ID `cbor:"learners"`
}

// WithLearner returns the membership with id as a learner.
func (m Membership) WithLearner(id ID) Membership {
	m = m.Without(id)
	m.Learners = append(m.Learners, id)
	return m
}

// WithVoter returns the membership with id as a voter.
func (m Membership) WithVoter(id ID) Membership {
	m = m.Without(id)
	m.Voters = append(m.Voters, id)
	slices.Sort(m.Voters)
	return m
}

// Without returns the membership without id.
func (m Membership) Without(id ID) Membership {
	matchesID := func(v ID) bool { return v == id }
	m.Voters = slices.DeleteFunc(slices.Clone(m.Voters), matchesID)
	m.Learners = slices.DeleteFunc(slices.Clone(m.Learners), matchesID)
	return m
}

// IsVoter tells whether id is a voter.
func (m Membership) IsVoter(id ID) bool {
	return slices.Contains(m.Voters, id)
}

// IsMember tells whether id takes part at all.
func (m Membership) IsMember(id ID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// quorum is the number of voters that decide.
func (m Membership) quorum() int {
	return len(m.Voters)/2 + 1
}

// HardState is what a voter must have synced before it speaks of it.
//
// Commit is part of it, so that a voter that restarts knows all that it has ever
// put into force.
type HardState struct {
	Term   uint64 `cbor:"term"`
	Vote   ID     `cbor:"vote"`
	Commit uint64 `cbor:"commit"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      uint64     `cbor:"index"`
	Term       uint64     `cbor:"term"`
	Membership Membership `cbor:"membership"`
	Data       []byte     `cbor:"data"`
}

// MessageKind is the purpose of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
	MessageTimeoutNow          // the leader has resigned; the receiver is to succeed it
	MessageTransferVote // a vote for the one that the leader chose
	messageKindCount
)

// Message goes from one voter to another.
type Message struct {
	_         struct{} `cbor:",toarray"`
	Kind      MessageKind
	From      ID
	To        ID
	Term      uint64
	Index     uint64 // append: the entry before Entries; reply: the last that matches
	LogTerm   uint64 // of the entry at Index
	Commit    uint64
	Round      uint64 // round of the leader, returned in the reply
	Reject    bool
	LastIndex uint64 // reply: end of the sender's log
	Entries   []Entry
	Snapshot  *Snapshot
}

// Validate checks a decoded message. It returns a *FieldError.
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

// FieldError reports a field of a message that is out of its range.
type FieldError struct {
	Field string
	Value uint64
}

// Error implements error.
func (e *FieldError) Error() string {
	return "voter message field " + e.Field + " is out of range: " + strconv.FormatUint(e.Value, 10)
}

// NotLeaderError is returned by proposals at a voter that does not lead.
type NotLeaderError struct {
	Leader ID // as far as known
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return "not the leader; the leader is " + string(e.Leader)
}

// UncommittedError is returned by a membership change while another is under way or
// before the leader has committed an entry of its term.
type UncommittedError struct {
	PendingIndex uint64 // position of the change under way, or 0
}

// Error implements error.
func (e *UncommittedError) Error() string {
	return "a membership change has to wait for position " + strconv.FormatUint(e.PendingIndex, 10)
}

// Output is what a driver has to do, in this order: install the snapshot, write
// the hard state and the entries, sync, send the messages, apply the committed
// entries.
type Output struct {
	HardState      *HardState
	InstallSnapshot   *Snapshot
	Entries   []Entry // replace everything from the first one's index on
	Messages  []Message
	CommittedEntries []Entry
	ReadResults     []ReadIndexResult // may be answered once Committed is applied up to their index
}

// Empty tells whether there is nothing to do.
func (o Output) Empty() bool {
	return o.HardState == nil && o.InstallSnapshot == nil && len(o.Entries) == 0 && len(o.Messages) == 0 && len(o.CommittedEntries) == 0 && len(o.ReadResults) == 0
}
