package steerer

import "time"

// Thresholds for a target that is silent on open flows. A target acknowledges a request within
// milliseconds, also when it works slowly, so a caller that retransmits a request has not heard
// from it at all.
const (
	// silentFlowRetransmissions is how often the caller of a flow that is reset must have
	// retransmitted its request.
	silentFlowRetransmissions = 2
	// silentTargetRetransmissions is how many requests to the target must have been
	// retransmitted since it last showed that it is alive: one loss more than a poor network
	// path causes.
	silentTargetRetransmissions = 3
	// minRetransmitInterval is the least time between two transmissions of a packet by a caller,
	// less the jitter of the network path. Copies that arrive sooner were delayed together.
	minRetransmitInterval = 150 * time.Millisecond
)

// recordProgress records that the target of a flow has answered.
func (f *flowState) recordProgress() {
	f.retransmissions = 0
	f.targetState.unansweredRetransmissions = 0
}

// recordTransmission records a packet with a part of a request that is about to be forwarded, and
// counts it if it repeats the first part of a request that has been forwarded before.
func (f *flowState) recordTransmission(now time.Duration, p Packet) {
	begins := !f.responsePending || f.requestAt == 0 || f.lastAck != p.Ack
	switch {
	case begins:
		f.requestSequence, f.lastForwardAt, f.retransmissions = p.Sequence, now, 0
	case p.Sequence == f.requestSequence && now-f.lastForwardAt >= minRetransmitInterval:
		f.lastForwardAt = now
		f.retransmissions++
		f.targetState.unansweredRetransmissions++
	}
}

// targetIsSilent reports whether the target of the flow answers neither this caller nor others.
func (f *flowState) targetIsSilent() bool {
	return f.retransmissions >= silentFlowRetransmissions && f.targetState.unansweredRetransmissions >= silentTargetRetransmissions
}

// resetSilentFlow returns the decision to reset an open flow whose target is silent, so that the
// caller sends its request again on a new flow at once. It must not be called for requests that
// may run only once: the target may have received the first transmission.
func (s *Steerer) resetSilentFlow(now time.Duration, f *flowState) Decision {
	f.closed = true
	f.responsePending = false
	f.setCountsAsLoad(false)
	f.targetState.eject(now)
	return Decision{Action: Reset, Reason: TargetSilent, Target: f.targetState.target, Route: f.route}
}
