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
	flowHash     uint64
	sentSequence uint64 // sequence of the message that carried it first, or 0
}

// sentMessage remembers when a message was sent.
type sentMessage struct {
	sequence uint64
	sentAt   time.Duration
}

// peer is the state of the two streams between this instance and another member.
type peerState struct {
	queue            []queuedRecord
	queued           map[uint64]bool
	sendSequence     uint64
	sentMessages     []sentMessage
	receivedSequence uint64
	// drained: all records of the member about flows opened until then are here.
	receivedUntil time.Duration
	// through: beyond that, the member knew all exceptions among its flows opened
	// until then, provided that it derives from the same view.
	completeUntil time.Duration
	viewDigest    uint64
}

const sentHistoryLimit = 32 // messages to one member whose time is remembered

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
type replicator struct {
	mode        ReplicationMode
	window      time.Duration
	records     map[uint64]record
	unpublished []unpublishedRecord // exceptions that are younger than the window
	peers       map[MemberID]*peerState
}

// record is one exception of this owner.
type record struct {
	target    TargetID
	published bool // members were sent it
}

// due is one exception in the order in which flows come of age.
type unpublishedRecord struct {
	flowHash uint64
	openedAt time.Duration
}

func newReplicator(m ReplicationMode, window time.Duration) replicator {
	return replicator{mode: m, window: window, records: make(map[uint64]record), peers: make(map[MemberID]*peerState)}
}

// setMembers begins a stream to each new member with all that was streamed before,
// and ends those to members that are gone.
func (s *replicator) setMembers(self MemberID, members []Member) {
	for id := range s.peers {
		if !slices.ContainsFunc(members, func(m Member) bool { return m.ID == id }) {
			delete(s.peers, id)
		}
	}
	for _, m := range members {
		if m.ID == self || s.peers[m.ID] != nil {
			continue
		}
		p := &peerState{queued: make(map[uint64]bool), receivedUntil: -1, completeUntil: -1}
		s.peers[m.ID] = p
		for hash, r := range s.records {
			if r.published {
				p.enqueue(hash)
			}
		}
		slices.SortFunc(p.queue, func(a, b queuedRecord) int {
			if a.flowHash < b.flowHash {
				return -1
			}
			return 1
		})
	}
}

func (p *peerState) enqueue(hash uint64) {
	p.dequeue(hash) // what was sent of it may be old: it counts as new again
	p.queued[hash] = true
	p.queue = append(p.queue, queuedRecord{flowHash: hash})
}

func (p *peerState) dequeue(hash uint64) {
	if !p.queued[hash] {
		return
	}
	delete(p.queued, hash)
	p.queue = slices.DeleteFunc(p.queue, func(q queuedRecord) bool { return q.flowHash == hash })
}

// forget drops a record without telling anyone: another owner speaks of the flow now.
func (s *replicator) discardRecord(hash uint64) {
	if _, ok := s.records[hash]; !ok {
		return
	}
	delete(s.records, hash)
	for _, p := range s.peers {
		p.dequeue(hash)
	}
}

// end drops a record and tells the members that were sent it.
func (s *replicator) withdrawRecord(hash uint64) {
	r, ok := s.records[hash]
	if !ok {
		return
	}
	delete(s.records, hash)
	if !r.published {
		return
	}
	for _, p := range s.peers {
		p.enqueue(hash)
	}
}

// set makes the flow an exception. It is streamed once it is older than the window.
func (s *replicator) setRecord(now time.Duration, hash uint64, place TargetID, opened time.Duration) {
	previous, known := s.records[hash]
	if known && previous.target == place {
		return
	}
	s.records[hash] = record{target: place, published: previous.published}
	if previous.published || s.windowElapsed(now, opened) {
		s.publishRecord(hash)
		return
	}
	s.unpublished = append(s.unpublished, unpublishedRecord{flowHash: hash, openedAt: opened})
}

func (s *replicator) windowElapsed(now, opened time.Duration) bool {
	return opened+s.window <= now
}

func (s *replicator) publishRecord(hash uint64) {
	r, ok := s.records[hash]
	if !ok {
		return
	}
	r.published = true
	s.records[hash] = r
	for _, p := range s.peers {
		p.enqueue(hash)
	}
}

// hasten publishes an exception regardless of its age.
func (s *replicator) publishIfUnpublished(hash uint64) {
	if r, ok := s.records[hash]; ok && !r.published {
		s.publishRecord(hash)
	}
}

// age publishes the exceptions that have become older than the window. Most come in
// the order of their opening, but not those taken over from another owner.
func (s *replicator) publishDue(now time.Duration) {
	remaining := s.unpublished[:0]
	for _, d := range s.unpublished {
		if s.windowElapsed(now, d.openedAt) {
			s.publishRecord(d.flowHash)
		} else {
			remaining = append(remaining, d)
		}
	}
	s.unpublished = remaining
}

// question is a flow that this owner does not know and has asked others about.
type lookup struct {
	flowHash  uint64
	startedAt time.Duration
}

// Times of questions.
const (
	openLookupLimit = 4096
	lookupTimeout   = 10 * time.Second
)

// lag returns how far behind the stream of this instance is.
func (p *Picker) replicationLag(now time.Duration) time.Duration {
	lag := p.replication.unpublishedLag(now)
	for len(p.openLookups) > 0 {
		q := p.openLookups[0]
		e := p.table.get(q.flowHash)
		if (e == nil || e.kind != kindOwned) && now-q.startedAt < lookupTimeout {
			return max(lag, now-q.startedAt)
		}
		p.openLookups = p.openLookups[1:]
	}
	return lag
}

// classify records an owned flow as an exception, or ends the record when the flow
// has become derivable.
func (p *Picker) updateRecord(now time.Duration, e *flowEntry) {
	target := p.targetOf(e)
	if target == nil {
		return
	}
	if target.service.isDefaultTarget(e.flowHash, e.target) {
		p.replication.withdrawRecord(e.flowHash)
		return
	}
	p.replication.setRecord(now, e.flowHash, e.target, e.openedAt)
}

// placeOf finds the place of an entry without a packet to tell the service; nil
// when the view no longer has it.
func (p *Picker) targetOf(e *flowEntry) *serviceTarget {
	if e.viewGeneration != p.viewGeneration {
		e.viewGeneration = p.viewGeneration
		e.targetIndex = -1
		if index, ok := p.view.targetIndexByID[e.target]; ok {
			e.targetIndex = index
		}
	}
	if e.targetIndex < 0 {
		return nil
	}
	return &p.view.targets[e.targetIndex]
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
	replication := &p.replication
	dst, ok := replication.peers[to]
	if !ok || replication.mode == ReplicateNever {
		return SyncMessage{}, false
	}
	replication.publishDue(now)
	dst.sendSequence++
	m := SyncMessage{Sequence: dst.sendSequence, AckedSequence: dst.receivedSequence, ReplicationLag: p.replicationLag(now), SenderComplete: p.ownerComplete(now), ViewDigest: p.view.digest}
	n := dst.recordsToSend(limit)
	if n < len(dst.queue) {
		m.ReplicationLag = -1
	}
	for i := range n {
		q := &dst.queue[i]
		if q.sentSequence == 0 {
			q.sentSequence = dst.sendSequence
		}
		m.Records = append(m.Records, Record{FlowHash: q.flowHash, Target: replication.records[q.flowHash].target})
	}
	dst.sentMessages = append(dst.sentMessages, sentMessage{sequence: dst.sendSequence, sentAt: now})
	if len(dst.sentMessages) > sentHistoryLimit {
		dst.sentMessages = dst.sentMessages[1:]
	}
	return m, true
}

// ApplySync takes in a message of a member's stream.
func (p *Picker) ApplySync(now time.Duration, from MemberID, m SyncMessage) {
	src, ok := p.replication.peers[from]
	if !ok {
		return
	}
	src.acknowledge(m.AckedSequence)
	if m.Sequence < src.receivedSequence && src.receivedSequence-m.Sequence < sentHistoryLimit {
		return // overtaken by a later one
	}
	src.receivedSequence = m.Sequence
	for _, r := range m.Records {
		p.applyRecord(now, from, r)
	}
	src.viewDigest = m.ViewDigest
	sentAt, known := src.sendTime(m.AckedSequence)
	if m.ReplicationLag < 0 || !known {
		return
	}
	src.receivedUntil = sentAt - m.ReplicationLag
	if m.SenderComplete {
		src.completeUntil = sentAt - m.ReplicationLag
	}
}

// prefix returns how many records the next message carries: all that were sent and
// not acknowledged, and new ones up to the limit. So every message holds whatever an
// earlier one brought in vain, and acknowledging one acknowledges all before.
func (p *peerState) recordsToSend(limit int) int {
	n := min(limit, len(p.queue))
	for n < len(p.queue) && p.queue[n].sentSequence != 0 {
		n++
	}
	return n
}

func (p *peerState) acknowledge(sequence uint64) {
	if sequence > p.sendSequence {
		return // of an earlier life of this instance
	}
	remaining := p.queue[:0]
	for _, q := range p.queue {
		if q.sentSequence != 0 && q.sentSequence <= sequence {
			delete(p.queued, q.flowHash)
			continue
		}
		remaining = append(remaining, q)
	}
	p.queue = remaining
}

func (p *peerState) sendTime(sequence uint64) (time.Duration, bool) {
	for _, m := range p.sentMessages {
		if m.sequence == sequence {
			return m.sentAt, true
		}
	}
	return 0, false
}

// store takes in one record. What an owner says of its flow replaces what is known,
// unless this instance owns the flow itself.
func (p *Picker) applyRecord(now time.Duration, from MemberID, r Record) {
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
		e.openedAt = now
	case e.kind == kindHint:
		p.table.convert(e, kindReplica)
	}
	e.target = r.Target
	e.viewGeneration = 0
	e.lastSeen = now
	e.renewedAt = now - p.renewalInterval // the first packet here tells the owner that the flow is alive
	e.flags |= flagConfirmed
	e.flags &^= flagTargetPending
	if owner, ok := p.view.owner(r.FlowHash); ok && owner == p.view.self && from != owner {
		p.takeOwnership(now, e)
	}
}

// PublishAll publishes all exceptions regardless of their age, for a planned stop.
func (p *Picker) PublishAll() {
	for _, d := range p.replication.unpublished {
		p.replication.publishRecord(d.flowHash)
	}
	p.replication.unpublished = nil
}

// UnacknowledgedRecords returns how many records members have not acknowledged yet.
func (p *Picker) UnacknowledgedRecords() int {
	n := 0
	for _, peer := range p.replication.peers {
		n += len(peer.queue)
	}
	return n
}
