package picker

import (
	"slices"
	"time"
)

// Record is one exception in a stream: where a flow goes that others cannot derive,
// or, with place 0, that it is an exception no more.
type Record struct {
	FlowHash uint64
	Target   TargetID
}

// SyncMessage is one message of the stream of exceptions from an owner to another member.
type SyncMessage struct {
	Sequence uint64
	// AckedSequence is the sequence of the last message that the sender has from the
	// receiver. It acknowledges the records in it and all before.
	AckedSequence uint64
	// ReplicationLag tells how complete the stream is: the receiver now has every exception
	// among the flows that were opened at least ReplicationLag before the message was sent.
	// It is negative when records had to wait.
	ReplicationLag time.Duration
	// SenderComplete: the sender has itself what the others streamed to it since the last
	// change of ownership, so that it knows all exceptions among the flows it owns.
	SenderComplete bool
	// ViewDigest is a digest of what the sender derives from: serving members, base sets.
	ViewDigest uint64
	Records    []Record
}

// queuedRecord waits for a member's acknowledgement.
type queuedRecord struct {
	hash uint64
	sent uint64 // sequence of the message that carried it first, or 0
}

// sentMessage remembers when a message was sent.
type sentMessage struct {
	sequence uint64
	at       time.Duration
}

// peer is the state of the two streams between this instance and another member.
type peer struct {
	queue    []queuedRecord
	queued   map[uint64]bool
	sequence uint64
	sent     []sentMessage
	echo     uint64
	// drained: all records of the member about flows opened until then are here.
	drained time.Duration
	// through: beyond that, the member knew all exceptions among its flows opened
	// until then, provided that it derives from the same view.
	through time.Duration
	view    uint64
}

const sentKept = 32 // messages to one member whose time is remembered

// streams spreads the exceptions of this owner to all members of the group.
//
// A flow whose target every instance derives from the base set needs no message at
// all. The others are the exceptions, and each member is sent those that are older
// than the window, so that flows which end sooner cost nothing. What makes the
// absence of a record as good as a record is completeness: a message says that the
// receiver has all exceptions among the flows opened a certain time before it was
// sent. A member that relays a flow it does not know notes when it first did. Once
// the owner's stream is complete up to then, either a record has come or the flow is
// derivable, and the member sends its packets directly from then on.
//
// The period between two messages already spares the flows that end within it. A
// window on top of it, the idea of window-consistent replication (Mehra, Rexford,
// Jahanian), can be set; docs/MEASUREMENTS.md says why it is 0 by default.
//
// Both must agree on who owns what and on the base sets; a digest of the view goes
// with every message. An owner that has asked others about flows counts these as
// missing until it is answered, and one whose membership has just changed claims
// nothing.
//
// No clocks are compared: a message echoes the latest message that its sender had
// from the receiver, and the receiver knows when it sent that one.
type streams struct {
	mode    ReplicationMode
	window  time.Duration
	records map[uint64]record
	waiting []due // exceptions that are younger than the window
	peers   map[MemberID]*peer
}

// record is one exception of this owner.
type record struct {
	place    TargetID
	streamed bool // members were sent it
}

// due is one exception in the order in which flows come of age.
type due struct {
	hash   uint64
	opened time.Duration
}

func newStreams(m ReplicationMode, window time.Duration) streams {
	return streams{mode: m, window: window, records: make(map[uint64]record), peers: make(map[MemberID]*peer)}
}

// setMembers begins a stream to each new member with all that was streamed before,
// and ends those to members that are gone.
func (s *streams) setMembers(self MemberID, members []Member) {
	for id := range s.peers {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.ID == id }) {
			delete(s.peers, id)
		}
	}
	for _, m := range members {
		if m.ID == self || s.peers[m.ID] != nil {
			continue
		}
		p := &peer{queued: make(map[uint64]bool), drained: -1, through: -1}
		s.peers[m.ID] = p
		for hash, r := range s.records {
			if r.streamed {
				p.enqueue(hash)
			}
		}
		slices.SortFunc(p.queue, func(a, b queuedRecord) int {
			if a.hash < b.hash {
				return -1
			}
			return 1
		})
	}
}

func (p *peer) enqueue(hash uint64) {
	p.dequeue(hash) // what was sent of it may be old: it counts as new again
	p.queued[hash] = true
	p.queue = append(p.queue, queuedRecord{hash: hash})
}

func (p *peer) dequeue(hash uint64) {
	if !p.queued[hash] {
		return
	}
	delete(p.queued, hash)
	p.queue = slices.DeleteFunc(p.queue, func(q queuedRecord) bool { return q.hash == hash })
}

// forget drops a record without telling anyone: another owner speaks of the flow now.
func (s *streams) forget(hash uint64) {
	if _, ok := s.records[hash]; !ok {
		return
	}
	delete(s.records, hash)
	for _, p := range s.peers {
		p.dequeue(hash)
	}
}

// end drops a record and tells the members that were sent it.
func (s *streams) end(hash uint64) {
	r, ok := s.records[hash]
	if !ok {
		return
	}
	delete(s.records, hash)
	if !r.streamed {
		return
	}
	for _, p := range s.peers {
		p.enqueue(hash)
	}
}

// set makes the flow an exception. It is streamed once it is older than the window.
func (s *streams) set(now time.Duration, hash uint64, place TargetID, opened time.Duration) {
	old, known := s.records[hash]
	if known && old.place == place {
		return
	}
	s.records[hash] = record{place: place, streamed: old.streamed}
	if old.streamed || s.aged(now, opened) {
		s.publish(hash)
		return
	}
	s.waiting = append(s.waiting, due{hash: hash, opened: opened})
}

func (s *streams) aged(now, opened time.Duration) bool {
	return opened+s.window <= now
}

func (s *streams) publish(hash uint64) {
	r, ok := s.records[hash]
	if !ok {
		return
	}
	r.streamed = true
	s.records[hash] = r
	for _, p := range s.peers {
		p.enqueue(hash)
	}
}

// hasten publishes an exception regardless of its age.
func (s *streams) hasten(hash uint64) {
	if r, ok := s.records[hash]; ok && !r.streamed {
		s.publish(hash)
	}
}

// age publishes the exceptions that have become older than the window. Most come in
// the order of their opening, but not those taken over from another owner.
func (s *streams) age(now time.Duration) {
	kept := s.waiting[:0]
	for _, d := range s.waiting {
		if s.aged(now, d.opened) {
			s.publish(d.hash)
		} else {
			kept = append(kept, d)
		}
	}
	s.waiting = kept
}

// question is a flow that this owner does not know and has asked others about.
type question struct {
	hash uint64
	at   time.Duration
}

// Times of questions.
const (
	questionLimit  = 4096
	questionExpiry = 10 * time.Second
)

// lag returns how far behind the stream of this instance is.
func (p *Picker) lag(now time.Duration) time.Duration {
	lag := p.streams.lag(now)
	for len(p.questions) > 0 {
		q := p.questions[0]
		e := p.table.get(q.hash)
		if (e == nil || e.kind != kindOwned) && now-q.at < questionExpiry {
			return max(lag, now-q.at)
		}
		p.questions = p.questions[1:]
	}
	return lag
}

// classify records an owned flow as an exception, or ends the record when the flow
// has become derivable.
func (p *Picker) classify(now time.Duration, e *entry) {
	pl := p.placeOf(e)
	if pl == nil {
		return
	}
	if pl.service.derivable(e.hash, e.place) {
		p.streams.end(e.hash)
		return
	}
	p.streams.set(now, e.hash, e.place, e.opened)
}

// placeOf finds the place of an entry without a packet to tell the service; nil
// when the view no longer has it.
func (p *Picker) placeOf(e *entry) *place {
	if e.view != p.generation {
		e.view = p.generation
		e.index = -1
		if index, ok := p.view.byPlace[e.place]; ok {
			e.index = index
		}
	}
	if e.index < 0 {
		return nil
	}
	return &p.view.places[e.index]
}

// OtherMembers returns the other members, those to which Sync is due in every period.
func (p *Picker) OtherMembers() []MemberID {
	var ids []MemberID
	for _, m := range p.view.members {
		if m.ID != p.view.self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// NextSync returns the next message for a member, with at most limit records. Records
// are repeated until they are acknowledged. It is false for an unknown member, and
// when the mode is to replicate nothing.
func (p *Picker) NextSync(now time.Duration, to MemberID, limit int) (SyncMessage, bool) {
	s := &p.streams
	to0, ok := s.peers[to]
	if !ok || s.mode == ReplicateNever {
		return SyncMessage{}, false
	}
	s.age(now)
	to0.sequence++
	m := SyncMessage{Sequence: to0.sequence, AckedSequence: to0.echo, ReplicationLag: p.lag(now), SenderComplete: p.claims(now), ViewDigest: p.view.digest}
	n := to0.prefix(limit)
	if n < len(to0.queue) {
		m.ReplicationLag = -1
	}
	for i := range n {
		q := &to0.queue[i]
		if q.sent == 0 {
			q.sent = to0.sequence
		}
		m.Records = append(m.Records, Record{FlowHash: q.hash, Target: s.records[q.hash].place})
	}
	to0.sent = append(to0.sent, sentMessage{sequence: to0.sequence, at: now})
	if len(to0.sent) > sentKept {
		to0.sent = to0.sent[1:]
	}
	return m, true
}

// ApplySync takes in a message of a member's stream.
func (p *Picker) ApplySync(now time.Duration, from MemberID, m SyncMessage) {
	s, ok := p.streams.peers[from]
	if !ok {
		return
	}
	s.acknowledge(m.AckedSequence)
	if m.Sequence < s.echo && s.echo-m.Sequence < sentKept {
		return // overtaken by a later one
	}
	s.echo = m.Sequence
	for _, r := range m.Records {
		p.store(now, from, r)
	}
	s.view = m.ViewDigest
	at, known := s.sentAt(m.AckedSequence)
	if m.ReplicationLag < 0 || !known {
		return
	}
	s.drained = at - m.ReplicationLag
	if m.SenderComplete {
		s.through = at - m.ReplicationLag
	}
}

// prefix returns how many records the next message carries: all that were sent and
// not acknowledged, and new ones up to the limit. So every message holds whatever an
// earlier one brought in vain, and acknowledging one acknowledges all before.
func (p *peer) prefix(limit int) int {
	n := min(limit, len(p.queue))
	for n < len(p.queue) && p.queue[n].sent != 0 {
		n++
	}
	return n
}

func (p *peer) acknowledge(sequence uint64) {
	if sequence > p.sequence {
		return // of an earlier life of this instance
	}
	kept := p.queue[:0]
	for _, q := range p.queue {
		if q.sent != 0 && q.sent <= sequence {
			delete(p.queued, q.hash)
			continue
		}
		kept = append(kept, q)
	}
	p.queue = kept
}

func (p *peer) sentAt(sequence uint64) (time.Duration, bool) {
	for _, m := range p.sent {
		if m.sequence == sequence {
			return m.at, true
		}
	}
	return 0, false
}

// store takes in one record. What an owner says of its flow replaces what is known,
// unless this instance owns the flow itself.
func (p *Picker) store(now time.Duration, from MemberID, r Record) {
	e := p.table.get(r.FlowHash)
	if e != nil && e.kind == kindOwned {
		return
	}
	if r.Target == 0 {
		if e != nil && e.kind == kindReplica {
			p.table.remove(r.FlowHash)
		}
		return
	}
	switch {
	case e == nil:
		e = p.table.put(r.FlowHash, kindReplica)
		e.opened = now
	case e.kind == kindHint:
		p.table.convert(e, kindReplica)
	}
	e.place = r.Target
	e.view = 0
	e.seen = now
	e.renewed = now - p.renewal // the first packet here tells the owner that the flow is alive
	e.flags |= flagConfirmed
	e.flags &^= flagPending
	if owner, ok := p.view.owner(r.FlowHash); ok && owner == p.view.self && from != owner {
		p.own(now, e)
	}
}

// PublishAll publishes all exceptions regardless of their age, for a planned stop.
func (p *Picker) PublishAll() {
	for _, d := range p.streams.waiting {
		p.streams.publish(d.hash)
	}
	p.streams.waiting = nil
}

// UnacknowledgedRecords returns how many records members have not acknowledged yet.
func (p *Picker) UnacknowledgedRecords() int {
	n := 0
	for _, s := range p.streams.peers {
		n += len(s.queue)
	}
	return n
}
