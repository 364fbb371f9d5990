package steerer

import "time"

// Ejection times of targets and data centres that do not answer.
const (
	baseEjectionTime = 2 * time.Second // after the first SYN without an answer
	// maxEjectionDoublings is how often the ejection time doubles while no caller gets
	// an answer. Each failed attempt costs a caller the time until its retransmission.
	maxEjectionDoublings = 2
)

// ejectionState records whether a target, or any target of a data centre, answers, and
// for how long it is ejected.
type ejectionState struct {
	lastResponseAt       time.Duration // when a SYN was last answered
	ejectedAt            time.Duration // when the last ejection began
	ejectedUntil         time.Duration // gets no new flows until then
	consecutiveEjections int           // without an answer between them
}

// recordResponse records that a flow was established whose target was selected at
// placedAt. It lifts the ejection and resets the doubling if placedAt is less than
// baseEjectionTime before the end of the ejection.
func (e *ejectionState) recordResponse(now, placedAt time.Duration) {
	e.lastResponseAt = max(e.lastResponseAt, now)
	if placedAt+baseEjectionTime > e.ejectedUntil {
		e.ejectedUntil = 0
		e.consecutiveEjections = 0
	}
}

// ejected reports whether the target or data centre is ejected at present.
func (e *ejectionState) ejected(now time.Duration) bool {
	return now < e.ejectedUntil
}

// eject stops new flows for the ejection time. Flows that were placed before a current
// ejection began must not extend it, so eject has no effect until it ends.
func (e *ejectionState) eject(now time.Duration) {
	if e.ejected(now) {
		return
	}
	e.ejectedAt = now
	e.ejectedUntil = now + baseEjectionTime<<min(e.consecutiveEjections, maxEjectionDoublings)
	e.consecutiveEjections++
}

// dataCentreEjection returns the ejection state of another data centre, and creates it
// if there is none.
func (s *Steerer) dataCentreEjection(name string) *ejectionState {
	c := s.dataCentreEjections[name]
	if c == nil {
		c = &ejectionState{}
		s.dataCentreEjections[name] = c
	}
	return c
}

// dataCentreEjected reports whether a data centre is ejected at present.
func (s *Steerer) dataCentreEjected(now time.Duration, dataCentre string) bool {
	c := s.dataCentreEjections[dataCentre]
	return c != nil && c.ejected(now)
}

// recordEstablished records that the target accepted the flow.
func (s *Steerer) recordEstablished(now time.Duration, f *flowState) {
	f.targetState.recordResponse(now, f.placedAt)
	if dc := f.targetState.target.DataCentre; dc != s.view.LocalDataCentre {
		s.dataCentreEjection(dc).recordResponse(now, f.placedAt)
	}
}

// recordUnanswered ejects the target of a flow that got no answer in time. If the target
// is in another data centre, and none of that data centre's targets has answered since
// the SYN was sent, the network path may be down: the whole data centre is ejected.
func (s *Steerer) recordUnanswered(now time.Duration, f *flowState) {
	f.targetState.eject(now)
	dc := f.targetState.target.DataCentre
	if dc == s.view.LocalDataCentre {
		return
	}
	if c := s.dataCentreEjection(dc); c.lastResponseAt <= f.sentAt(now) {
		c.eject(now)
	}
}
