package steerer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// retransmissionTimes are the times at which a caller sends a request that is not acknowledged.
var retransmissionTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// openFlow opens flow number n at the only target of its route.
func openFlow(s *Steerer, n int, repeatable bool) {
	to := packs
	if repeatable {
		to = menu
	}
	label := s.Decide(0, synPacket(n, to, 0)).Target.Label()
	s.Decide(0, Packet{Flow: flow(n, to), Label: label, Ack: 1})
}

// requestPacket returns a request on flow number n, which openFlow has opened.
func requestPacket(n int, repeatable bool) Packet {
	if repeatable {
		return Packet{Flow: flow(n, menu), Label: 1, PayloadSize: 300, Ack: 1, Sequence: 10}
	}
	return Packet{Flow: flow(n, packs), Label: 2, PayloadSize: 300, Ack: 1, Sequence: 10}
}

// silenceSteerer returns a Steerer with one target for repeatable requests and one for others.
func silenceSteerer() *Steerer {
	routes := []Route{
		{Address: menu, Timeout: 3 * time.Second, Repeatable: true, Shares: []Share{{Pool: "menus", Weight: 1}}},
		{Address: packs, Timeout: 3 * time.Second, Shares: []Share{{Pool: "packs", Weight: 1}}},
	}
	targets := []Target{target(1, "menus"), target(2, "packs")}
	return newSteerer(NewView(1, "dc1", routes, targets).WithSynced(true).WithForwardingInstances(1))
}

// Callers on open flows of a dead target must hear of it well before their deadline, if they may
// send the request again. The others are told nothing: the request may have run.
func TestCallersOfASilentTargetAreReset(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		s := silenceSteerer()
		var resets []time.Duration
		for n := range 2 {
			openFlow(s, n, repeatable)
		}
		for _, at := range retransmissionTimes[:3] {
			for n := range 2 {
				if s.Decide(time.Millisecond+at, requestPacket(n, repeatable)).Action == Reset {
					resets = append(resets, at)
				}
			}
		}
		if repeatable {
			is.Equal(resets, []time.Duration{600 * time.Millisecond, 600 * time.Millisecond})
		} else {
			is.Equal(len(resets), 0)
		}
	}
}

// A caller that is alone at a dead target hears of it after one retransmission more.
func TestOnlyCallerOfASilentTargetIsReset(t *testing.T) {
	is := is.New(t)
	s := silenceSteerer()
	openFlow(s, 0, true)
	var last Decision
	for _, at := range retransmissionTimes {
		is.Equal(last.Action == Reset, false)
		last = s.Decide(time.Millisecond+at, requestPacket(0, true))
	}
	is.Equal(last.Action, Reset)
	is.Equal(last.Reason, TargetSilent)
}

// A target that works slowly acknowledges requests, so that callers do not retransmit them, and
// answers others. None of its flows may be reset, however long a request takes or however often
// a packet is lost.
func TestFlowsOfASlowTargetAreNotReset(t *testing.T) {
	is := is.New(t)
	s := silenceSteerer()
	for n := range 5 {
		openFlow(s, n, true)
	}
	is.Equal(s.Decide(time.Millisecond, requestPacket(0, true)).Action, Forward) // acknowledged, not answered for seconds
	for round := range 20 {
		at := time.Duration(round) * 400 * time.Millisecond
		for n := 1; n < 5; n++ {
			p := requestPacket(n, true)
			p.Sequence, p.Ack = uint32(1000*(round+1)), uint32(1000*(round+1))
			is.Equal(s.Decide(at, p).Action, Forward)
			is.Equal(s.Decide(at+200*time.Millisecond, p).Action, Forward) // the first copy was lost
			p.PayloadSize, p.Ack = 0, p.Ack+500
			is.Equal(s.Decide(at+300*time.Millisecond, p).Action, Forward)
		}
	}
}

// An instance that was stalled finds all copies of a request in its socket at once.
func TestCopiesThatWereDelayedTogetherAreNoSignOfSilence(t *testing.T) {
	is := is.New(t)
	s := silenceSteerer()
	for n := range 3 {
		openFlow(s, n, true)
	}
	for n := range 3 {
		for range 4 {
			is.Equal(s.Decide(2*time.Second, requestPacket(n, true)).Action, Forward)
		}
	}
}
