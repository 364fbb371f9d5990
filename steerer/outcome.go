package steerer

import (
	"math"
	"net/netip"
	"time"
)

// How targets are judged by what happens to their flows. Their own health answers may be
// wrong, and answers do not pass by an instance, but three things show in what callers
// send: when an answer begins, how much of it came, and that a caller gave up.
const (
	// waitWeight and shortWeight are how much one flow counts against those before it.
	waitWeight  = 0.2
	shortWeight = 0.15
	// refusedWeight is how much a flow of which nothing more is heard counts, in the same
	// way as a short answer. Callers go on within a few milliseconds unless the target has
	// refused the flow or is gone.
	refusedWeight = 0.4
	// usualWeight is the same for what is usual in a pool or on a route.
	usualWeight = 0.02
	// forgetTime is the time in which a judgement loses most of its weight. A target that
	// gets no flows because of it is tried again after a while.
	forgetTime = 3 * time.Second
	// slowFrom is how much longer than usual, as a factor, answers must take to count:
	// below it the difference may be chance.
	slowFrom = 1.6
	// slowMost bounds what one flow that hangs does to a judgement, as the same factor.
	slowMost = 20
	// shortBelow is the part of the usual size below which an answer counts as short, as
	// that of a failure is.
	shortBelow = 0.25
	// shortFrom is the share of short answers that may be chance.
	shortFrom = 0.15
	// shortPenalty is the cost, as a factor, of a target whose answers are all short.
	shortPenalty = 8
)

// outcome is what became of the recent flows of a target.
type outcome struct {
	wait  float64 // until answers began, in usual waits of the pool
	short float64 // share of short answers
	at    time.Duration
}

// fade returns the part of the judgement that is left.
func (o *outcome) fade(now time.Duration) float64 {
	return math.Exp(-float64(now-o.at) / float64(forgetTime))
}

// age brings the judgement to the present.
func (o *outcome) age(now time.Duration) {
	left := o.fade(now)
	o.wait = 1 + (o.wait-1)*left
	o.short *= left
	o.at = now
}

// factor returns by how much the target costs more than one that does well.
func (o *outcome) factor(now time.Duration) float64 {
	if o.at == 0 {
		return 1
	}
	left := o.fade(now)
	f := 1.0
	if wait := 1 + (o.wait-1)*left; wait > slowFrom {
		f = wait
	}
	if short := o.short * left; short > shortFrom {
		f *= 1 + (shortPenalty-1)*short
	}
	return f
}

// usual is what pools and routes are like at present.
type usual struct {
	wait map[string]float64         // seconds until an answer begins, by pool
	size map[netip.AddrPort]float64 // bytes of an answer, by the route's address
}

func newUsual() usual {
	return usual{wait: make(map[string]float64), size: make(map[netip.AddrPort]float64)}
}

// began judges a target by the time until an answer of it began, or until it was clear
// that none would come in time.
func (s *Steerer) began(now time.Duration, st *state, wait time.Duration) {
	pool := st.target.Pool
	mean := s.usual.wait[pool]
	if mean == 0 {
		s.usual.wait[pool] = wait.Seconds()
		return
	}
	ratio := min(wait.Seconds()/mean, slowMost)
	s.usual.wait[pool] += usualWeight * mean * (min(ratio, 3) - 1)
	st.outcome.judge(now)
	st.outcome.wait += waitWeight * (ratio - st.outcome.wait)
}

// finished judges a target by the size of an answer.
func (s *Steerer) finished(now time.Duration, st *state, route netip.AddrPort, size uint32) {
	mean, known := s.usual.size[route]
	if !known {
		s.usual.size[route] = float64(size)
		return
	}
	short := 0.0
	if float64(size) < shortBelow*mean {
		short = 1
	}
	s.usual.size[route] += usualWeight * (float64(size) - mean)
	st.outcome.judge(now)
	st.outcome.short += shortWeight * (short - st.outcome.short)
}

// refused judges a target by a flow that it did not let open and whose caller has not
// asked again either: it was told that nobody listens there. Such a target is never busy
// and would be offered first.
func (s *Steerer) refused(now time.Duration, st *state) {
	st.outcome.judge(now)
	st.outcome.short += refusedWeight * (1 - st.outcome.short)
}

// judge prepares the judgement for a flow.
func (o *outcome) judge(now time.Duration) {
	if o.at == 0 {
		*o = outcome{wait: 1}
		o.at = max(now, 1)
		return
	}
	o.age(now)
}
