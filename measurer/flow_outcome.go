package measurer

import (
	"time"
)

// deliverToTarget handles a packet at a target as the TCP stack of the target would: an
// opening packet opens the flow, and any other packet has to belong to a flow that was
// opened on this target. If not, the flow is broken.
func (s *flowSim) deliverToTarget(e *event) {
	f := &s.flows[e.flowIndex]
	t := s.targets[e.receiver]
	if t.service != int(f.service) {
		s.report.MisroutedPackets++
	}
	if f.state == flowEnded {
		return
	}
	if !t.alive {
		s.retransmit(e)
		return
	}
	switch {
	case e.packet == packetOpen && f.target < 0:
		f.target = e.receiver
		f.state = flowOpen
		t.openFlows++
		s.scheduleNextPacket(e, 2*s.deployment.CallerDelay)
	case f.target != e.receiver && e.packet == packetOpen:
		// The flow is open on another target: the caller ignores a second answer.
	case f.target != e.receiver:
		s.abortFlow(f, causeWrongTarget)
	case e.packet == packetClose:
		f.state = flowEnded
		t.openFlows--
		s.report.FlowsFinished++
	case e.packet == packetData:
		s.scheduleNextPacket(e, time.Duration(s.random.ExpFloat64()*float64(s.deployment.MeanPacketInterval)))
	}
}

// scheduleNextPacket schedules the caller's next packet of the flow, which is the closing
// packet once the flow has reached its end.
func (s *flowSim) scheduleNextPacket(e *event, delay time.Duration) {
	f := &s.flows[e.flowIndex]
	at := s.now + delay
	kind := packetData
	if at >= f.endsAt {
		at, kind = max(f.endsAt, s.now+2*s.deployment.CallerDelay), packetClose
	}
	next := s.events.schedule(at, eventCallerSends)
	next.flowIndex, next.packet = e.flowIndex, kind
}

// abortFlow ends a flow that its caller has not closed, and counts the flow: as refused if
// it was not open, as ended with its target or by a partition if that made it end, and
// otherwise as broken.
func (s *flowSim) abortFlow(f *flow, c breakCause) {
	if f.state == flowEnded {
		return
	}
	wasOpen := f.state == flowOpen
	f.state = flowEnded
	if f.target >= 0 {
		s.targets[f.target].openFlows--
	}
	switch {
	case !wasOpen:
		s.report.RefusedFlows++
	case c == causeTargetFailed || (f.target >= 0 && !s.targets[f.target].alive):
		s.report.FlowsEndedWithTarget++
	case f.cutOff || (f.target >= 0 && !s.reachable(int(f.callerDataCentre), s.targets[f.target].dataCentre)):
		s.report.FlowsEndedByPartition++
	default:
		s.report.BrokenFlows++
		s.report.BrokenFlowsByCause[c.String()]++
		at := s.now
		if s.lastCrashAt > f.openedAt {
			at = s.lastCrashAt // the age at the crash is the one that matters for the replication window
		}
		s.report.oldestBrokenFlowAge = max(s.report.oldestBrokenFlowAge, at-f.openedAt)
	}
}

// retransmit sends a lost packet again after an exponential backoff, and gives the flow up
// after maxRetransmits.
func (s *flowSim) retransmit(e *event) {
	f := &s.flows[e.flowIndex]
	if f.state == flowEnded {
		return
	}
	if e.retransmits >= maxRetransmits {
		s.abortFlow(f, causeNoReply)
		return
	}
	delay := min(minRetransmitDelay<<e.retransmits, maxRetransmitDelay)
	next := s.events.schedule(s.now+delay, eventCallerSends)
	next.flowIndex, next.packet, next.retransmits = e.flowIndex, e.packet, e.retransmits+1
}

// handleRefusal ends a flow because an instance refused its packet.
func (s *flowSim) handleRefusal(e *event) {
	f := &s.flows[e.flowIndex]
	if f.state == flowOpening {
		s.report.RefusedFlows++
		f.state = flowEnded
		return
	}
	s.abortFlow(f, causeRefused)
}
