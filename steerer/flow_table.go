package steerer

import (
	"time"

	"almondpick/admitter"
)

// Timeouts of the flow table.
const (
	synRetransmitWindow = 5 * time.Second // SYN retransmissions arrive within it
	expiryInterval      = 100 * time.Millisecond
	// handshakeLoadTimeout is how long a flow that is not yet established counts as load
	// of its target. After it the caller may have given up, or the target may not
	// accept the flow.
	handshakeLoadTimeout = 100 * time.Millisecond
)

// flowState tracks a flow for which this instance selected the target, or on which a request
// came through this instance.
type flowState struct {
	targetState   *targetState
	terms         *admitter.Terms // of the route; the route itself would keep more in memory
	class         string          // of the route
	pool          string          // as admission counted the request in progress, or the last one
	steerer       *Steerer
	placedAt      time.Duration // when the target was selected
	countsAsLoad  bool          // included in the active flows of its target
	inProgress    bool          // included in the requests in progress of its pool
	loadExpiresAt time.Duration // countsAsLoad is cleared at this time
	// progressExpiresAt is when inProgress is cleared.
	progressExpiresAt time.Duration
	lastPacketAt      time.Duration // when the caller last sent a packet
	lastAck           uint32        // last acknowledgement number of the caller
	initialAck        uint32        // acknowledgement number before the first response
	requestAt         time.Duration // when the caller began to send the last request
	requestStart      uint32        // sequence number of the first byte of the last request
	requestEnd        uint32        // sequence number after its last byte
	responsePending   bool          // the response to the last request has not begun
	established       bool          // the target has accepted the flow
	adopted           bool          // the target was selected by another instance, or before this one started
	closed            bool
	egress            egressDelay // since the target was selected, or since the last request began
}

// adoptFlow starts to track a flow whose target another instance selected, or this one before
// it restarted. Its requests are load of the target like those of other flows.
func (s *Steerer) adoptFlow(now time.Duration, p Packet, route *Route, target *Target) *flowState {
	f := &flowState{
		targetState: s.targetStates[target.Identity], terms: route.Terms(), class: route.Class, steerer: s, placedAt: now, lastPacketAt: now,
		established: true, lastAck: p.Ack, initialAck: p.Ack, adopted: true,
	}
	s.flows[p.Flow] = f
	return f
}

// updateFlow updates the state of a flow. Responses do not pass through the instance, so the
// caller's acknowledgement number shows that a response has begun.
func (s *Steerer) updateFlow(now time.Duration, f *flowState, p Packet) {
	f.lastPacketAt = now
	f.recordRetransmission(now, p)
	if !f.established {
		f.established = true
		f.lastAck, f.initialAck = p.Ack, p.Ack
		f.loadExpiresAt, f.progressExpiresAt = now+f.terms.Timeout, now+f.terms.ProgressTimeout()
		f.setCountsAsLoad(now, true)
		s.recordEstablished(now, f)
	}
	if f.responsePending && p.Ack != f.lastAck && f.requestAt > 0 {
		s.recordResponseStart(now, f)
		f.responsePending = false
		f.setCountsAsLoad(now, false)
	}
	switch {
	case p.Flags&(FIN|RST) != 0 && !f.closed:
		s.closeFlow(now, f, p)
	case p.PayloadSize > 0 && !f.closed:
		f.addToRequest(now, p)
	case p.Ack != f.lastAck:
		f.responsePending = false
		f.lastAck = p.Ack
	}
}

// recordResponseStart records that the response to the last request has begun. If a packet that was
// dropped here has not been received again, the target got it through another instance at a time
// that is not known here: the latency of the request is then not known either.
func (s *Steerer) recordResponseStart(now time.Duration, f *flowState) {
	if f.egress.lost {
		f.setEgress(now, f.egress.queued, false)
	} else {
		latency := f.latency(now)
		s.observeLatency(now, f, latency)
		s.admitter.Observe(now, f.targetState.target.admissionPool(), f.terms, latency)
	}
	s.admitter.ObserveBytes(f.terms, int(f.requestEnd-f.requestStart))
}

// latency returns the time since the last request began, without the delay on this instance.
func (f *flowState) latency(now time.Duration) time.Duration {
	return max(0, now-f.requestAt-f.egress.at(now))
}

// addToRequest records a packet with a part of a request. Further packets of the same request
// do not change the time at which it began.
func (f *flowState) addToRequest(now time.Duration, p Packet) {
	end := p.Sequence + uint32(p.PayloadSize)
	if !f.responsePending || f.requestAt == 0 || f.lastAck != p.Ack {
		f.responsePending, f.requestAt = true, now
		f.egress.restart(now)
		f.requestStart, f.requestEnd = p.Sequence, end
	}
	if int32(end-f.requestEnd) > 0 {
		f.requestEnd = end
	}
	if int32(f.requestStart-p.Sequence) > 0 { // packets may overtake each other
		f.requestStart = p.Sequence
	}
	f.lastAck = p.Ack
	f.loadExpiresAt, f.progressExpiresAt = now+f.terms.Timeout, now+f.terms.ProgressTimeout()
	f.setCountsAsLoad(now, true)
}

// closeFlow records that the caller has closed the flow.
func (s *Steerer) closeFlow(now time.Duration, f *flowState, p Packet) {
	f.closed = true
	f.setCountsAsLoad(now, false)
	if f.adopted {
		return // its beginning is not known
	}
	if !f.responsePending || f.egress.at(now) == 0 { // otherwise the caller may have given up a request that was late here
		s.recordResponseSize(now, f.targetState, p.Flow.Service, p.Ack-f.initialAck)
	}
	s.onFlowEnd(f.class, f.terms.Name, now-f.placedAt)
}

// setCountsAsLoad adds the flow to, or removes it from, the active flows of its target and the
// requests in progress of its pool.
func (f *flowState) setCountsAsLoad(now time.Duration, counts bool) {
	f.setInProgress(now, counts)
	if counts == f.countsAsLoad {
		return
	}
	f.countsAsLoad = counts
	if counts {
		f.targetState.activeFlows++
	} else {
		f.targetState.activeFlows--
	}
}

// setInProgress adds the flow to, or removes it from, the requests in progress of its pool.
func (f *flowState) setInProgress(now time.Duration, inProgress bool) {
	if inProgress == f.inProgress {
		return
	}
	f.inProgress = inProgress
	if inProgress {
		f.pool = f.targetState.target.admissionPool()
		f.steerer.admitter.Begin(now, f.pool, f.terms)
		return
	}
	f.steerer.admitter.End(now, f.pool, f.terms)
	f.steerer.freed = true
}

// TakeFreed reports whether a request has ended since the last call, so that a packet that is
// held because its pool is busy may be forwarded now.
func (s *Steerer) TakeFreed() bool {
	freed := s.freed
	s.freed = false
	return freed
}

// presumedRefused reports whether the flow was not established in time and its caller
// has not retransmitted the SYN.
func (f *flowState) presumedRefused(now time.Duration) bool {
	return f.countsAsLoad && !f.established && !f.egress.lost && f.lastPacketAt == f.placedAt && now >= f.loadExpiresAt
}

// expireFlows removes old flows that no longer count as load. A flow stops counting as load
// when its response has not begun in time: the response may have reached its caller through
// another instance, or the target is gone.
func (s *Steerer) expireFlows(now time.Duration) {
	s.nextExpiry = now + expiryInterval
	for flow, f := range s.flows {
		if !f.established && f.egress.queued > 0 {
			continue // its SYN has not been sent
		}
		if s.view.Synced && f.presumedRefused(now) {
			s.recordRefusal(now, f.targetState)
		}
		if now >= f.progressExpiresAt {
			f.setInProgress(now, false)
		}
		if now >= f.loadExpiresAt {
			f.setCountsAsLoad(now, false)
		}
		s.expireResponse(now, f)
		if !f.countsAsLoad && !f.awaitsResponse() && now-f.lastPacketAt >= synRetransmitWindow {
			delete(s.flows, flow)
		}
	}
}

// awaitsResponse reports whether the caller of an established flow waits for a response.
func (f *flowState) awaitsResponse() bool {
	return f.established && f.responsePending && f.requestAt > 0
}

// expireResponse records that a response has not begun before the caller gave up. If a part of
// the request has not been sent to the target, that says nothing about the target.
func (s *Steerer) expireResponse(now time.Duration, f *flowState) {
	if !f.awaitsResponse() || now < f.requestAt+f.terms.Timeout {
		return
	}
	f.responsePending = false
	if !f.egress.pending() {
		s.observeLatency(now, f, f.latency(now))
	}
}
