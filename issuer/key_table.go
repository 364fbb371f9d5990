package issuer

import (
	"container/list"
	"time"
)

// State is what is known of the work of a ticket.
type RequestState uint8

// The states. Issued work may be run; Running work may not be run again; Ran and
// Unknown are final.
const (
	StateIssued RequestState = iota
	StateRunning
	StateRan
	StateUnknown
)

// Answer is what a target answered.
type Response struct {
	StatusCode int
	Header     []byte // in wire form
	Body       []byte
	Retained   bool // Body is kept; false once it was too large or too old
}

// Limits of a table.
const (
	DefaultMaxKeys          = 1 << 20
	DefaultMaxRetainedBytes = 64 << 20 // of kept answers
	DefaultKeyTTL           = 24 * time.Hour
	DefaultResponseTTL      = 15 * time.Minute
	MaxRetainedBody         = 1 << 20 // bytes of one kept body
)

// Verdict is what to do with a request that carries a ticket.
type Decision uint8

// The verdicts.
const (
	DecisionRun      Decision = iota // run it now, then call Finish
	DecisionWait                     // it is running; wait for Done and ask again
	DecisionReplay                   // give the answer of Entry
	DecisionUnknown                  // what became of it is not known, and never will be
	DecisionExpired                  // the ticket is too old, or was never issued here
	DecisionMismatch                 // the ticket was used for another request before
)

// Entry is one ticket.
type Entry struct {
	State              RequestState
	Response           Response
	Done               chan struct{} // closed when Running ends
	RequestFingerprint string        // of the request that first carried the ticket

	sequence uint64
	since    time.Duration
	element  *list.Element
}

// Table holds the tickets of one issuing process. It is not safe for concurrent
// use.
type KeyTable struct {
	next    uint64
	entries map[uint64]*Entry
	order   *list.List // of *Entry, oldest first
	bodies  *list.List // of *Entry with a kept body, oldest first
	bytes   int
	tickets int
	limit   int
}

// NewTable returns an empty table.
func NewKeyTable() *KeyTable {
	return &KeyTable{
		entries: make(map[uint64]*Entry),
		order:   list.New(),
		bodies:  list.New(),
		tickets: DefaultMaxKeys,
		limit:   DefaultMaxRetainedBytes,
	}
}

// WithLimits returns the table with other limits than the default ones: the number
// of tickets, and the bytes of kept answers.
func (t *KeyTable) WithLimits(tickets, bytes int) *KeyTable {
	t.tickets = tickets
	t.limit = bytes
	return t
}

// Len returns the number of tickets that are remembered.
func (t *KeyTable) Len() int {
	return len(t.entries)
}

// Issue makes a ticket and returns its number.
func (t *KeyTable) Issue(now time.Duration) uint64 {
	t.next++
	e := &Entry{sequence: t.next, since: now}
	e.element = t.order.PushBack(e)
	t.entries[t.next] = e
	t.expire(now)
	return t.next
}

// Begin says what to do with a request that carries the ticket. After Run the work
// counts as running until Finish. The fingerprint tells requests apart.
func (t *KeyTable) Begin(now time.Duration, sequence uint64, fingerprint string) (Decision, *Entry) {
	t.expire(now)
	e, ok := t.entries[sequence]
	if !ok {
		return DecisionExpired, nil
	}
	if e.RequestFingerprint != "" && e.RequestFingerprint != fingerprint {
		return DecisionMismatch, e
	}
	e.RequestFingerprint = fingerprint
	switch e.State {
	case StateRunning:
		return DecisionWait, e
	case StateRan:
		return DecisionReplay, e
	case StateUnknown:
		return DecisionUnknown, e
	case StateIssued:
	}
	e.State = StateRunning
	e.Done = make(chan struct{})
	return DecisionRun, e
}

// Finish notes what became of the work that Begin let run. Work that provably did
// not run may be run by a later request.
func (t *KeyTable) Finish(now time.Duration, sequence uint64, s RequestState, a Response) {
	e, ok := t.entries[sequence]
	if !ok || e.State != StateRunning {
		return
	}
	e.State = s
	e.since = now
	close(e.Done)
	if s != StateRan {
		return
	}
	if len(a.Body) > MaxRetainedBody {
		a.Body, a.Retained = nil, false
	}
	e.Response = a
	t.order.MoveToBack(e.element)
	if a.Retained {
		t.bytes += len(a.Body) + len(a.Header)
		t.bodies.PushBack(e)
		t.shrink(now)
	}
}

// shrink gives up the oldest bodies while too much is kept, or kept too long. That
// the work ran stays known.
func (t *KeyTable) shrink(now time.Duration) {
	for front := t.bodies.Front(); front != nil; front = t.bodies.Front() {
		e, ok := front.Value.(*Entry)
		if !ok || (t.bytes <= t.limit && now-e.since < DefaultResponseTTL) {
			return
		}
		t.bodies.Remove(front)
		t.bytes -= len(e.Response.Body) + len(e.Response.Header)
		e.Response.Body, e.Response.Header, e.Response.Retained = nil, nil, false
	}
}

// expire forgets tickets that are too old or too many. One that is running is kept.
func (t *KeyTable) expire(now time.Duration) {
	t.shrink(now)
	for front := t.order.Front(); front != nil; front = t.order.Front() {
		e, ok := front.Value.(*Entry)
		if !ok || e.State == StateRunning || (len(t.entries) <= t.tickets && now-e.since < DefaultKeyTTL) {
			return
		}
		if e.Response.Retained {
			return // its body goes first, by shrink
		}
		t.order.Remove(front)
		delete(t.entries, e.sequence)
	}
}

// Row is one ticket in a handover.
type ExportedEntry struct {
	Sequence           uint64
	State              RequestState
	Response           Response
	RequestFingerprint string
}

// Export returns all tickets for a handover. Work that is still running goes as
// unknown: the successor cannot tell what becomes of it.
func (t *KeyTable) Export() []ExportedEntry {
	rows := make([]ExportedEntry, 0, len(t.entries))
	for el := t.order.Front(); el != nil; el = el.Next() {
		e, ok := el.Value.(*Entry)
		if !ok {
			continue
		}
		s := e.State
		if s == StateRunning {
			s = StateUnknown
		}
		rows = append(rows, ExportedEntry{Sequence: e.sequence, State: s, Response: e.Response, RequestFingerprint: e.RequestFingerprint})
	}
	return rows
}

// Import takes in tickets of a handover.
func (t *KeyTable) Import(now time.Duration, rows []ExportedEntry) {
	for _, r := range rows {
		if _, ok := t.entries[r.Sequence]; ok {
			continue
		}
		e := &Entry{sequence: r.Sequence, State: r.State, Response: r.Response, RequestFingerprint: r.RequestFingerprint, since: now}
		e.element = t.order.PushBack(e)
		t.entries[r.Sequence] = e
		t.next = max(t.next, r.Sequence)
		if r.Response.Retained {
			t.bytes += len(r.Response.Body) + len(r.Response.Header)
			t.bodies.PushBack(e)
		}
	}
	t.shrink(now)
}
