package steerer

import "time"

// Times for which those that answer nobody are passed over.
const (
	silentFor = 2 * time.Second // at first
	// silentDoublings is how often that time doubles while nobody is answered. Each try
	// that fails costs a caller the time until its copy.
	silentDoublings = 2
)

// contact is whether a target, or any target of a data centre, answers.
type contact struct {
	lastAnswer  time.Duration // latest time at which a flow asked for was answered
	silentUntil time.Duration // passed over until then
	silences    int           // in a row, without an answer between them
}

// answered notes an answer to a flow that was asked for at the time at.
func (c *contact) answered(now, at time.Duration) {
	c.lastAnswer = max(c.lastAnswer, now)
	if at+silentFor > c.silentUntil {
		c.silentUntil = 0
		c.silences = 0
	}
}

// silent tells whether it is passed over at present.
func (c *contact) silent(now time.Duration) bool {
	return now < c.silentUntil
}

// passOver keeps new flows away for a while. Flows that were placed before it was noticed
// do not make it longer.
func (c *contact) passOver(now time.Duration) {
	if c.silent(now) {
		return
	}
	c.silentUntil = now + silentFor<<min(c.silences, silentDoublings)
	c.silences++
}

// centre returns the contact with another data centre.
func (s *Steerer) centre(name string) *contact {
	c := s.centres[name]
	if c == nil {
		c = &contact{}
		s.centres[name] = c
	}
	return c
}

// cutOff tells whether another data centre answers nobody.
func (s *Steerer) cutOff(now time.Duration, dataCentre string) bool {
	c := s.centres[dataCentre]
	return c != nil && c.silent(now)
}

// answered notes that a flow was let open.
func (s *Steerer) answered(now time.Duration, f *opened) {
	f.target.answered(now, f.at)
	if dc := f.target.target.DataCentre; dc != s.view.LocalDataCentre {
		s.centre(dc).answered(now, f.at)
	}
}

// unanswered notes that a flow has got no answer in time. Where nobody else of another
// data centre has answered since either, the path there may be cut, and all its targets
// are passed over.
func (s *Steerer) unanswered(now time.Duration, f *opened) {
	f.target.passOver(now)
	dc := f.target.target.DataCentre
	if dc == s.view.LocalDataCentre {
		return
	}
	if c := s.centre(dc); c.lastAnswer <= f.at {
		c.passOver(now)
	}
}
