package issuer

import (
	"container/list"
	"time"
)

// RequestState is what a KeyTable knows about the request of an idempotency key.
type RequestState uint8

// The states of a request. A request in StateIssued may run and one in StateRunning must
// not be started again; StateRan and StateUnknown are final. The numbers are sent in a
// handover.
const (
	StateIssued RequestState = iota
	StateRunning
	StateRan
	StateUnknown
)

// Response is the response of a target.
type Response struct {
	StatusCode int
	Header     []byte // in wire format, ending with an empty line
	Body       []byte
	Retained   bool // Header and Body are available; false once they were too large or too old
}

// Limits of a KeyTable.
const (
	DefaultMaxKeys          = 1 << 20
	DefaultMaxRetainedBytes = 64 << 20 // headers and bodies of all retained responses
	DefaultKeyTTL           = 24 * time.Hour
	DefaultResponseTTL      = 15 * time.Minute
	MaxRetainedBody         = 1 << 20 // bytes of one retained body
)

// Decision tells the caller of Begin how to handle a request with an idempotency key.
type Decision uint8

// The decisions.
const (
	DecisionRun      Decision = iota // run the request now, then call Finish
	DecisionWait                     // the request is running; wait for Entry.Done and call Begin again
	DecisionReplay                   // send Entry.Response
	DecisionUnknown                  // the outcome is unknown and stays so
	DecisionExpired                  // the key is too old, or was never issued here
	DecisionMismatch                 // the key was used for a different request before
)

// Entry is the record of one idempotency key.
type Entry struct {
	State              RequestState
	Response           Response
	Done               chan struct{} // closed when the request leaves StateRunning
	RequestFingerprint string        // of the first request with the key; empty before

	sequence   uint64
	changedAt  time.Duration // when the key was issued or imported, or its last run ended
	ageElement *list.Element
}

// KeyTable holds the idempotency keys of one issuing process. All times are durations since
// a start that the caller chooses. A KeyTable is not safe for concurrent use.
type KeyTable struct {
	lastSequence        uint64
	entries             map[uint64]*Entry
	entriesByAge        *list.List // of *Entry, in the order of issue or import; Finish with StateRan moves an entry to the end
	entriesWithResponse *list.List // of *Entry with a retained response, oldest first
	retainedBytes       int
	maxKeys             int
	maxRetainedBytes    int
}

// NewKeyTable returns an empty table with the default limits.
func NewKeyTable() *KeyTable {
	return &KeyTable{
		entries:             make(map[uint64]*Entry),
		entriesByAge:        list.New(),
		entriesWithResponse: list.New(),
		maxKeys:             DefaultMaxKeys,
		maxRetainedBytes:    DefaultMaxRetainedBytes,
	}
}

// WithLimits replaces the default limits on the number of keys and on the bytes of
// retained responses, and returns the table.
func (t *KeyTable) WithLimits(maxKeys, maxRetainedBytes int) *KeyTable {
	t.maxKeys = maxKeys
	t.maxRetainedBytes = maxRetainedBytes
	return t
}

// Len returns the number of keys in the table.
func (t *KeyTable) Len() int {
	return len(t.entries)
}

// Issue adds a new key and returns its sequence number.
func (t *KeyTable) Issue(now time.Duration) uint64 {
	t.lastSequence++
	e := &Entry{sequence: t.lastSequence, changedAt: now}
	e.ageElement = t.entriesByAge.PushBack(e)
	t.entries[t.lastSequence] = e
	t.evictKeys(now)
	return t.lastSequence
}

// Begin decides how to handle a request with the key of the given sequence number. After
// DecisionRun the request counts as running until Finish. The fingerprint identifies the
// request, so that reuse of the key for a different one is detected. The entry is nil only
// for DecisionExpired.
func (t *KeyTable) Begin(now time.Duration, sequence uint64, fingerprint string) (Decision, *Entry) {
	t.evictKeys(now)
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

// Finish records the outcome of a request for which Begin returned DecisionRun. With
// StateIssued, for a request that certainly did not run, a later request may run again.
func (t *KeyTable) Finish(now time.Duration, sequence uint64, state RequestState, response Response) {
	e, ok := t.entries[sequence]
	if !ok || e.State != StateRunning {
		return
	}
	e.State = state
	e.changedAt = now
	close(e.Done)
	if state != StateRan {
		return
	}
	if len(response.Body) > MaxRetainedBody {
		response.Body, response.Retained = nil, false
	}
	e.Response = response
	t.entriesByAge.MoveToBack(e.ageElement)
	if response.Retained {
		t.retainedBytes += len(response.Body) + len(response.Header)
		t.entriesWithResponse.PushBack(e)
		t.evictResponses(now)
	}
}

// evictResponses drops the oldest retained responses while they exceed the byte limit or
// DefaultResponseTTL. The entries stay, so the table still knows that the requests ran.
func (t *KeyTable) evictResponses(now time.Duration) {
	for oldest := t.entriesWithResponse.Front(); oldest != nil; oldest = t.entriesWithResponse.Front() {
		e, ok := oldest.Value.(*Entry)
		if !ok || (t.retainedBytes <= t.maxRetainedBytes && now-e.changedAt < DefaultResponseTTL) {
			return
		}
		t.entriesWithResponse.Remove(oldest)
		t.retainedBytes -= len(e.Response.Body) + len(e.Response.Header)
		e.Response.Body, e.Response.Header, e.Response.Retained = nil, nil, false
	}
}

// evictKeys removes the oldest keys while they exceed the key limit or DefaultKeyTTL. It
// stops at a key whose request is running, so the table can exceed the limits meanwhile.
func (t *KeyTable) evictKeys(now time.Duration) {
	t.evictResponses(now)
	for oldest := t.entriesByAge.Front(); oldest != nil; oldest = t.entriesByAge.Front() {
		e, ok := oldest.Value.(*Entry)
		if !ok || e.State == StateRunning || (len(t.entries) <= t.maxKeys && now-e.changedAt < DefaultKeyTTL) {
			return
		}
		if e.Response.Retained {
			return // evictResponses has to drop the response first
		}
		t.entriesByAge.Remove(oldest)
		delete(t.entries, e.sequence)
	}
}

// ExportedEntry is the record of one key in a handover.
type ExportedEntry struct {
	Sequence           uint64
	State              RequestState
	Response           Response
	RequestFingerprint string
}

// Export returns all entries for a handover. A request that is still running is exported
// as StateUnknown, because the successor cannot learn its outcome.
func (t *KeyTable) Export() []ExportedEntry {
	exported := make([]ExportedEntry, 0, len(t.entries))
	for element := t.entriesByAge.Front(); element != nil; element = element.Next() {
		e, ok := element.Value.(*Entry)
		if !ok {
			continue
		}
		state := e.State
		if state == StateRunning {
			state = StateUnknown
		}
		exported = append(exported, ExportedEntry{Sequence: e.sequence, State: state, Response: e.Response, RequestFingerprint: e.RequestFingerprint})
	}
	return exported
}

// Import adds the entries of a handover; keys that the table already has are skipped.
func (t *KeyTable) Import(now time.Duration, exported []ExportedEntry) {
	for _, imported := range exported {
		if _, ok := t.entries[imported.Sequence]; ok {
			continue
		}
		e := &Entry{sequence: imported.Sequence, State: imported.State, Response: imported.Response, RequestFingerprint: imported.RequestFingerprint, changedAt: now}
		e.ageElement = t.entriesByAge.PushBack(e)
		t.entries[imported.Sequence] = e
		t.lastSequence = max(t.lastSequence, imported.Sequence)
		if imported.Response.Retained {
			t.retainedBytes += len(imported.Response.Body) + len(imported.Response.Header)
			t.entriesWithResponse.PushBack(e)
		}
	}
	t.evictResponses(now)
}
