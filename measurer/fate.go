package measurer

import (
	"time"
)

// deliver has a target take in a packet, as its kernel would: an opening packet
// opens the flow, any other must be of a flow that was opened here.
func (s *sim) deliver(e *event) {
	f := &s.flows[e.flow]
	t := s.targets[e.who]
	if t.service != int(f.svc) {
		s.report.MisroutedPackets++
	}
	if f.state == flowEnded {
		return
	}
	if !t.alive {
		s.retry(e)
		return
	}
	switch {
	case e.packet == packetOpen && f.target < 0:
		f.target = e.who
		f.state = flowOpen
		t.open++
		s.nextPacket(e, 2*s.size.CallerDelay)
	case f.target != e.who && e.packet == packetOpen:
		// The caller has an answer already and ignores this one.
	case f.target != e.who:
		s.broken(f, causeWrongTarget)
	case e.packet == packetClose:
		f.state = flowEnded
		t.open--
		s.report.FlowsFinished++
	case e.packet == packetData:
		s.nextPacket(e, time.Duration(s.random.ExpFloat64()*float64(s.size.MeanPacketInterval)))
	}
}

func (s *sim) nextPacket(e *event, after time.Duration) {
	f := &s.flows[e.flow]
	at := s.now + after
	k := packetData
	if at >= f.ends {
		at, k = max(f.ends, s.now+2*s.size.CallerDelay), packetClose
	}
	next := s.queue.add(at, evSend)
	next.flow, next.packet = e.flow, k
}

// broken notes the end of a flow that should have gone on.
func (s *sim) broken(f *flow, c cause) {
	if f.state == flowEnded {
		return
	}
	wasOpen := f.state == flowOpen
	f.state = flowEnded
	if f.target >= 0 {
		s.targets[f.target].open--
	}
	switch {
	case !wasOpen:
		s.report.RefusedFlows++
	case c == causeTarget || (f.target >= 0 && !s.targets[f.target].alive):
		s.report.FlowsEndedWithTarget++
	case f.cut || (f.target >= 0 && !s.reach(int(f.caller), s.targets[f.target].dataCentre)):
		s.report.FlowsEndedByPartition++
	default:
		s.report.BrokenFlows++
		s.report.BrokenFlowsByCause[c.String()]++
		at := s.now
		if s.failed > f.opened {
			at = s.failed // the age that matters for the replication window
		}
		s.report.oldestBroken = max(s.report.oldestBroken, at-f.opened)
	}
}

// retry sends a packet again that was lost, later each time.
func (s *sim) retry(e *event) {
	f := &s.flows[e.flow]
	if f.state == flowEnded {
		return
	}
	if e.tries >= mostRetries {
		s.broken(f, causeSilent)
		return
	}
	wait := min(firstRetry<<e.tries, lastRetry)
	next := s.queue.add(s.now+wait, evSend)
	next.flow, next.packet, next.tries = e.flow, e.packet, e.tries+1
}

func (s *sim) refused(e *event) {
	f := &s.flows[e.flow]
	if f.state == flowOpening {
		s.report.RefusedFlows++
		f.state = flowEnded
		return
	}
	s.broken(f, causeRefused)
}
