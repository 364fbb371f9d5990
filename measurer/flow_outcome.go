package measurer

import (
	"time"
)

// deliver has a target take in a packet, as its kernel would: an opening packet
// opens the flow, any other must be of a flow that was opened here.
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
		// The caller has an answer already and ignores this one.
	case f.target != e.receiver:
		s.recordBrokenFlow(f, causeWrongTarget)
	case e.packet == packetClose:
		f.state = flowEnded
		t.openFlows--
		s.report.FlowsFinished++
	case e.packet == packetData:
		s.scheduleNextPacket(e, time.Duration(s.random.ExpFloat64()*float64(s.deployment.MeanPacketInterval)))
	}
}

func (s *flowSim) scheduleNextPacket(e *event, delay time.Duration) {
	f := &s.flows[e.flowIndex]
	at := s.now + delay
	k := packetData
	if at >= f.endsAt {
		at, k = max(f.endsAt, s.now+2*s.deployment.CallerDelay), packetClose
	}
	next := s.events.schedule(at, eventCallerSends)
	next.flowIndex, next.packet = e.flowIndex, k
}

// broken notes the end of a flow that should have gone on.
func (s *flowSim) recordBrokenFlow(f *flow, c breakCause) {
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
		if s.lastFailureAt > f.openedAt {
			at = s.lastFailureAt // the age that matters for the replication window
		}
		s.report.oldestBrokenFlowAge = max(s.report.oldestBrokenFlowAge, at-f.openedAt)
	}
}

// retry sends a packet again that was lost, later each time.
func (s *flowSim) retransmit(e *event) {
	f := &s.flows[e.flowIndex]
	if f.state == flowEnded {
		return
	}
	if e.retransmits >= maxRetransmits {
		s.recordBrokenFlow(f, causeNoReply)
		return
	}
	delay := min(minRetransmitDelay<<e.retransmits, maxRetransmitDelay)
	next := s.events.schedule(s.now+delay, eventCallerSends)
	next.flowIndex, next.packet, next.retransmits = e.flowIndex, e.packet, e.retransmits+1
}

func (s *flowSim) handleRefusal(e *event) {
	f := &s.flows[e.flowIndex]
	if f.state == flowOpening {
		s.report.RefusedFlows++
		f.state = flowEnded
		return
	}
	s.recordBrokenFlow(f, causeRefused)
}
