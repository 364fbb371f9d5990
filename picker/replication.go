package picker

import (
	"slices"
	"time"
)

// Record is the replicated target of one non-default flow. Target 0 withdraws the record:
// the flow is no longer a non-default flow of the sender.
type Record struct {
	FlowHash uint64
	Target   TargetID
}

// SyncMessage replicates records from an owner to another member.
type SyncMessage struct {
	Sequence uint64 // counts the messages from the sender to the receiver
	// AckedSequence is the Sequence of the last message that the sender has received from
	// the receiver. It acknowledges the records in that message and in all earlier ones.
	AckedSequence uint64
	// ReplicationLag says how complete the replication is: with this message the receiver
	// has the record of every non-default flow that was opened at least ReplicationLag
	// before the message was sent. It is negative if not all queued records fit.
	ReplicationLag time.Duration
	// SenderComplete is set if the sender has received the records that the other members
	// sent since the last change of owners, and so knows all non-default flows that it owns.
	SenderComplete bool
	// ViewDigest is the hash of the owners and the default target sets of the sender.
	ViewDigest uint64
	Records    []Record
}

// queuedRecord is a record that a member has not acknowledged yet.
type queuedRecord struct {
	flowHash     uint64
	sentSequence uint64 // Sequence of the first message with the record, or 0
}

// sentMessage holds the send time of one message.
type sentMessage struct {
	sequence uint64
	sentAt   time.Duration
}

// peerState is the state of the replication to and from another member.
type peerState struct {
	queue            []queuedRecord
	queued           map[uint64]bool
	sendSequence     uint64
	sentMessages     []sentMessage
	receivedSequence uint64
	// receivedUntil is the time up to which all records of the member about flows opened
	// by then have been received, or -1.
	receivedUntil time.Duration
	// completeUntil is the time up to which, in addition, the member knew all non-default
	// flows that it owns, or -1. It applies only while the view digests are equal.
	completeUntil time.Duration
	viewDigest    uint64
}

const sentHistoryLimit = 32 // messages to one member whose send time is kept

// replicator sends the records of the non-default flows of this owner to all members.
//
// A flow on its default target needs no message, because every instance computes that
// target itself. Of the non-default flows, the records of those older than the window are
// sent to each member, so that flows which end sooner cost nothing. A missing record is
// as informative as a record, because a message says up to which opening time the receiver
// has the records of all non-default flows. A member that relays a flow it does not know
// keeps the time of the first relay. Once the owner has sent all records up to that time,
// either the record of the flow has arrived or the flow is on its default target, and the
// member forwards the packets directly from then on.
//
// Flows that end between two messages already cost nothing. A window can be set in
// addition, which is window-consistent replication (Mehra, Rexford, Jahanian);
// docs/MEASUREMENTS.md says why the window is 0 by default.
//
// Sender and receiver must agree on the owners and on the default target sets, so every
// message carries a digest of the view. An owner counts the flows of its open lookups as
// missing until a lookup is answered, and an owner whose membership has just changed does
// not report itself as complete.
//
// No clocks are compared: a message acknowledges the latest message that its sender has
// received from the receiver, and the receiver knows when it sent that message.
type replicator struct {
	mode        ReplicationMode
	window      time.Duration
	records     map[uint64]record
	unpublished []unpublishedRecord // records of flows younger than the window
	peers       map[MemberID]*peerState
}

// record is the target of one non-default flow of this owner.
type record struct {
	target    TargetID
	published bool // the record was queued for all members
}

// unpublishedRecord is the record of a flow that is younger than the window.
type unpublishedRecord struct {
	flowHash uint64
	openedAt time.Duration
}

func newReplicator(mode ReplicationMode, window time.Duration) replicator {
	return replicator{mode: mode, window: window, records: make(map[uint64]record), peers: make(map[MemberID]*peerState)}
}

// setMembers queues all published records for each new member, and drops the state of
// members that are gone.
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
		peer := &peerState{queued: make(map[uint64]bool), receivedUntil: -1, completeUntil: -1}
		s.peers[m.ID] = peer
		for flowHash, r := range s.records {
			if r.published {
				peer.enqueue(flowHash)
			}
		}
		slices.SortFunc(peer.queue, func(a, b queuedRecord) int {
			if a.flowHash < b.flowHash {
				return -1
			}
			return 1
		})
	}
}

// enqueue appends the record of a flow to the queue of the member.
func (p *peerState) enqueue(flowHash uint64) {
	p.dequeue(flowHash) // an earlier record may be outdated, so the record counts as not sent
	p.queued[flowHash] = true
	p.queue = append(p.queue, queuedRecord{flowHash: flowHash})
}

// dequeue removes the record of a flow from the queue of the member.
func (p *peerState) dequeue(flowHash uint64) {
	if !p.queued[flowHash] {
		return
	}
	delete(p.queued, flowHash)
	p.queue = slices.DeleteFunc(p.queue, func(q queuedRecord) bool { return q.flowHash == flowHash })
}

// discardRecord removes a record without telling the members, because another owner
// replicates the flow now.
func (s *replicator) discardRecord(flowHash uint64) {
	if _, ok := s.records[flowHash]; !ok {
		return
	}
	delete(s.records, flowHash)
	for _, p := range s.peers {
		p.dequeue(flowHash)
	}
}

// withdrawRecord removes a record, and tells the members if the record was published.
func (s *replicator) withdrawRecord(flowHash uint64) {
	r, ok := s.records[flowHash]
	if !ok {
		return
	}
	delete(s.records, flowHash)
	if !r.published {
		return
	}
	for _, p := range s.peers {
		p.enqueue(flowHash)
	}
}

// setRecord stores the record of a non-default flow. The record is published once the flow
// is older than the window.
func (s *replicator) setRecord(now time.Duration, flowHash uint64, target TargetID, openedAt time.Duration) {
	previous, exists := s.records[flowHash]
	if exists && previous.target == target {
		return
	}
	s.records[flowHash] = record{target: target, published: previous.published}
	if previous.published || s.windowElapsed(now, openedAt) {
		s.publishRecord(flowHash)
		return
	}
	s.unpublished = append(s.unpublished, unpublishedRecord{flowHash: flowHash, openedAt: openedAt})
}

// windowElapsed reports whether a flow opened at openedAt is older than the window.
func (s *replicator) windowElapsed(now, openedAt time.Duration) bool {
	return openedAt+s.window <= now
}

// publishRecord queues a record for all members.
func (s *replicator) publishRecord(flowHash uint64) {
	r, ok := s.records[flowHash]
	if !ok {
		return
	}
	r.published = true
	s.records[flowHash] = r
	for _, p := range s.peers {
		p.enqueue(flowHash)
	}
}

// publishIfUnpublished publishes a record regardless of the age of the flow.
func (s *replicator) publishIfUnpublished(flowHash uint64) {
	if r, ok := s.records[flowHash]; ok && !r.published {
		s.publishRecord(flowHash)
	}
}

// publishDue publishes the records of the flows that have become older than the window.
// Most records are in the order in which the flows were opened, but not those of flows
// taken over from another owner.
func (s *replicator) publishDue(now time.Duration) {
	remaining := s.unpublished[:0]
	for _, due := range s.unpublished {
		if s.windowElapsed(now, due.openedAt) {
			s.publishRecord(due.flowHash)
		} else {
			remaining = append(remaining, due)
		}
	}
	s.unpublished = remaining
}

// lookup is a flow that this owner does not know and has looked up at other members.
type lookup struct {
	flowHash  uint64
	startedAt time.Duration
}

// Limits of open lookups.
const (
	openLookupLimit = 4096
	lookupTimeout   = 10 * time.Second
)

// replicationLag returns how far the replication of this instance lags behind, and drops
// the lookups that are answered or timed out. An open lookup counts as a flow opened at
// the start of the lookup.
func (p *Picker) replicationLag(now time.Duration) time.Duration {
	lag := p.replication.unpublishedLag(now)
	for len(p.openLookups) > 0 {
		oldest := p.openLookups[0]
		e := p.table.get(oldest.flowHash)
		if (e == nil || e.kind != kindOwned) && now-oldest.startedAt < lookupTimeout {
			return max(lag, now-oldest.startedAt)
		}
		p.openLookups = p.openLookups[1:]
	}
	return lag
}

// updateRecord sets the record of an owned flow on a non-default target, and withdraws the
// record if the target is the default one.
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

// targetOf returns the target of an entry without a packet that names the service, or nil
// if the current view no longer has the target.
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

// OtherMembers returns the members, this instance excluded, that NextSync is called for in
// every period.
func (p *Picker) OtherMembers() []MemberID {
	var ids []MemberID
	for _, m := range p.view.members {
		if m.ID != p.view.self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// NextSync returns the next message for a member. The message repeats all records that were
// sent and not acknowledged, and has new ones up to a total of limit records. NextSync
// returns false for an unknown member and in the mode ReplicateNever.
func (p *Picker) NextSync(now time.Duration, to MemberID, limit int) (SyncMessage, bool) {
	replication := &p.replication
	dst, ok := replication.peers[to]
	if !ok || replication.mode == ReplicateNever {
		return SyncMessage{}, false
	}
	replication.publishDue(now)
	dst.sendSequence++
	m := SyncMessage{Sequence: dst.sendSequence, AckedSequence: dst.receivedSequence, ReplicationLag: p.replicationLag(now), SenderComplete: p.senderComplete(now), ViewDigest: p.view.digest}
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

// ApplySync applies a message from another member.
func (p *Picker) ApplySync(now time.Duration, from MemberID, m SyncMessage) {
	src, ok := p.replication.peers[from]
	if !ok {
		return
	}
	src.acknowledge(m.AckedSequence)
	if m.Sequence < src.receivedSequence && src.receivedSequence-m.Sequence < sentHistoryLimit {
		// A later message arrived first. A larger difference counts as a restart of the
		// sender.
		return
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

// recordsToSend returns how many records the next message carries: all that were sent and
// not acknowledged, and new ones up to a total of limit. So every message repeats the
// records of earlier lost messages, and acknowledging a message acknowledges all earlier
// ones.
func (p *peerState) recordsToSend(limit int) int {
	n := min(limit, len(p.queue))
	for n < len(p.queue) && p.queue[n].sentSequence != 0 {
		n++
	}
	return n
}

// acknowledge removes the records that were first sent in the message with the given
// sequence or an earlier one.
func (p *peerState) acknowledge(sequence uint64) {
	if sequence > p.sendSequence {
		return // from before a restart of this instance
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

// sendTime returns when the message with the given sequence was sent, and false if that is
// not known any more.
func (p *peerState) sendTime(sequence uint64) (time.Duration, bool) {
	for _, m := range p.sentMessages {
		if m.sequence == sequence {
			return m.sentAt, true
		}
	}
	return 0, false
}

// applyRecord applies one record. The record replaces what is known about the flow, unless
// this instance owns the flow.
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
	e.renewedAt = now - p.renewalInterval // the first packet is relayed to the owner as a renewal
	e.flags |= flagConfirmed
	e.flags &^= flagTargetPending
	if owner, ok := p.view.owner(r.FlowHash); ok && owner == p.view.self && from != owner {
		p.takeOwnership(now, e)
	}
}

// PublishAll publishes all records regardless of the age of the flows, for a planned stop.
func (p *Picker) PublishAll() {
	for _, unpublished := range p.replication.unpublished {
		p.replication.publishRecord(unpublished.flowHash)
	}
	p.replication.unpublished = nil
}

// UnacknowledgedRecords returns the number of queued records, summed over all members.
func (p *Picker) UnacknowledgedRecords() int {
	n := 0
	for _, peer := range p.replication.peers {
		n += len(peer.queue)
	}
	return n
}
