package steerer

import "time"

// exhaustedPool says that, at a time, the only targets of a pool that were left were targets in
// slow start that got no more flows of this instance.
type exhaustedPool struct {
	at      time.Duration
	leftOut int // number of these targets
}

// exhaustedAt returns how many targets of an exhausted pool were left out if it was found to be
// exhausted at the same time, and 0 otherwise. Many held packets are decided about at one time.
func (s *Steerer) exhaustedAt(now time.Duration, pool string) int {
	if e, ok := s.exhausted[pool]; ok && e.at == now {
		return e.leftOut
	}
	return 0
}

// updateForwarders passes the forwarding instances of the view, if it has them, to the warmer.
func (s *Steerer) updateForwarders() {
	clear(s.exhausted)
	if s.view.forwardersAt > 0 {
		s.warmer.SetMembers(s.view.forwardersAt, s.view.forwarders)
	}
}

// limitedSlowStart reports whether a target is in slow start and bears a known rate of flows.
func (t *Target) limitedSlowStart(now time.Duration) bool {
	return t.SlowStartRate > 0 && now < t.SlowStartUntil
}

// admitsSlowStart reports whether the slow start of a target lets this instance send a flow to it.
func (s *Steerer) admitsSlowStart(now time.Duration, t *Target) bool {
	return !t.limitedSlowStart(now) || s.warmer.Admit(now, t.Identity, t.SlowStartRate, t.SlowStartUntil)
}

// commitSlowStart records that a flow is sent to a target, and reports whether the target is in
// slow start and bears a known rate of flows.
func (s *Steerer) commitSlowStart(now time.Duration, t *Target) bool {
	if !t.limitedSlowStart(now) {
		return false
	}
	s.warmer.Commit(now, t.Identity)
	return true
}
