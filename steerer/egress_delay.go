package steerer

import "time"

// egressDelay is the time for which packets of one flow were on this instance: in the queue of
// its own link, or dropped there and not yet sent again. The target has not received the packets in
// that time, so it must not count as the target's latency or silence.
type egressDelay struct {
	queued       int    // packets in the queue
	lost         bool   // a packet was dropped and has not been received again
	lostSequence uint32 // sequence number of the last packet that was dropped
	since        time.Duration
	total        time.Duration // of the times that have ended
}

// pending reports whether a packet is queued or lost.
func (d *egressDelay) pending() bool { return d.queued > 0 || d.lost }

// at returns the delay up to now.
func (d *egressDelay) at(now time.Duration) time.Duration {
	if !d.pending() {
		return d.total
	}
	return d.total + max(0, now-d.since)
}

// restart makes the delay count from now on.
func (d *egressDelay) restart(now time.Duration) {
	d.total, d.since = 0, now
}

// sentAt returns when the SYN of a flow that is not established was sent to its target; now if
// it has not been sent.
func (f *flowState) sentAt(now time.Duration) time.Duration {
	return f.placedAt + f.egress.at(now)
}

// setEgress changes how many packets of the flow are queued and whether one is lost.
func (f *flowState) setEgress(now time.Duration, queued int, lost bool) {
	d := &f.egress
	before, wasPending := d.at(now), d.pending()
	d.queued, d.lost = queued, lost
	switch {
	case !wasPending:
		d.since = now
	case !d.pending():
		d.total = before
		f.extendHandshake(now - d.since)
	}
}

// extendHandshake lets a flow that is not established count as load for longer.
func (f *flowState) extendHandshake(delay time.Duration) {
	if f.established || delay <= 0 {
		return
	}
	f.loadExpiresAt += delay
	f.progressExpiresAt += delay
}

// recordRetransmission records that the caller has retransmitted a packet that was dropped here.
func (f *flowState) recordRetransmission(now time.Duration, p Packet) {
	if f.egress.lost && (p.Flags&SYN != 0 || p.Sequence == f.egress.lostSequence) {
		f.setEgress(now, f.egress.queued, false)
	}
}

// SetQueued tells how many packets of a flow wait in the queue of the instance's own link. It
// must be called whenever that number changes.
func (s *Steerer) SetQueued(now time.Duration, flow Flow, packets int) {
	if f := s.flows[flow]; f != nil {
		f.setEgress(now, packets, f.egress.lost)
	}
}

// RecordDrop records that this instance has dropped a packet that opens a flow or carries payload, for
// which the decision was Forward. sequence is its sequence number.
func (s *Steerer) RecordDrop(now time.Duration, flow Flow, sequence uint32) {
	if f := s.flows[flow]; f != nil {
		f.setEgress(now, f.egress.queued, true)
		f.egress.lostSequence = sequence
	}
}
