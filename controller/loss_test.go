package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/journaler"
	"almondpick/voter"
)

// gate is a disk whose syncs wait while it is shut.
type gate chan struct{}

func newGate() gate {
	g := make(gate, 1)
	g <- struct{}{}
	return g
}

func (g gate) shut() { <-g }

func (g gate) open() { g <- struct{}{} }

type gatedFile struct {
	journaler.File
	gate gate
}

// Sync implements journaler.File.
func (f gatedFile) Sync() error {
	f.gate.shut()
	f.gate.open()
	return f.File.Sync()
}

func withGate(g gate) Option {
	return WithJournalOptions(journaler.WithFile(func(f journaler.File) journaler.File { return gatedFile{File: f, gate: g} }))
}

func leads(c *Controller) bool {
	leader := false
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.runInLoop(ctx, func() { leader = c.voter != nil && c.voter.Role() == voter.Leader })
	return leader
}

// The disk of the leader answers nothing while an order is on its way to it: the others go
// on under a new leader, and the old one shows nothing older once its disk answers again.
func TestTheOthersGoOnWhenTheLeadersDiskStalls(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	gates := []gate{newGate(), newGate(), newGate()}
	for n := range 3 {
		w.start(t, n, t.TempDir(), true, withGate(gates[n]))
	}
	eventually(t, "a first order", func() bool { return put(w.at(peerOf(0)), 1) == nil })
	leader := -1
	eventually(t, "a leader", func() bool {
		for n := range 3 {
			if leads(w.at(peerOf(n))) {
				leader = n
			}
		}
		return leader >= 0
	})
	gates[leader].shut()
	unclear := make(chan error, 1)
	go func() { unclear <- put(w.at(peerOf(leader)), 5) }()
	other := w.at(peerOf((leader + 1) % 3))
	eventually(t, "an order to another", func() bool { return put(other, 10) == nil })
	is.Equal(readVersion(other), uint64(10))
	is.True(<-unclear != nil) // it was not acknowledged, though it may come into force
	gates[leader].open()
	old := w.at(peerOf(leader))
	eventually(t, "the old leader reads", func() bool {
		v := readVersion(old)
		is.True(v == 0 || v >= 10) // nothing, or nothing older
		return v >= 10
	})
	for n := range 3 {
		w.stop(t, n)
	}
}

// offClock is a clock with another time of day.
type offClock struct {
	wallClock
	by time.Duration
}

// Now returns the time of day that is off.
func (c offClock) Now() time.Time { return c.wallClock.Now().Add(c.by) }

// A store restarts with its clock an hour behind, another one an hour ahead: neither is
// taken for an earlier self, and both vote and read.
func TestStoresRestartWithSteppedClocks(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range 3 {
		w.start(t, n, folders[n], true)
	}
	eventually(t, "a first order", func() bool { return put(w.at(peerOf(0)), 1) == nil })
	seeds := []string{peerOf(0), peerOf(1), peerOf(2)}
	for n, by := range []time.Duration{-time.Hour, time.Hour} {
		w.stop(t, n)
		w.startWith(t, n, folders[n], false, offClock{by: by}, seeds)
		c := w.at(peerOf(n))
		eventually(t, "it reads", func() bool { return readVersion(c) >= 1 })
		eventually(t, "an order through it", func() bool { return put(c, uint64(10+n)) == nil })
	}
	w.stop(t, 2) // a majority of the two that were restarted
	eventually(t, "they are a majority", func() bool { return put(w.at(peerOf(0)), 20) == nil })
	is.Equal(readVersion(w.at(peerOf(1))), uint64(20))
	w.stop(t, 0)
	w.stop(t, 1)
}

// The seeds are exchanged for another store, and the earlier seeds end: a newcomer that
// knows only the new seed finds the deployment, and the others keep each other.
func TestANewcomerJoinsThroughExchangedSeeds(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	for n := range 3 {
		w.start(t, n, t.TempDir(), true)
	}
	w.start(t, 3, t.TempDir(), true)
	eventually(t, "a first order", func() bool { return put(w.at(peerOf(3)), 1) == nil })
	for n := range 4 {
		is.NoErr(w.at(peerOf(n)).SetSeeds(context.Background(), []string{peerOf(3)}))
	}
	w.stop(t, 0)
	eventually(t, "the fourth votes in its place", func() bool {
		m := membershipOf(w.at(peerOf(1)))
		return len(m.Voters) == 3 && !m.Votes("10.0.0.1#first")
	})
	late := w.startWith(t, 4, t.TempDir(), false, wallClock{}, []string{peerOf(3)})
	eventually(t, "the newcomer reads", func() bool { return readVersion(late) == 1 })
	w.stop(t, 1)
	eventually(t, "it votes in the place of another", func() bool {
		m := membershipOf(late)
		return len(m.Voters) == 3 && !m.Votes("10.0.0.2#first")
	})
	eventually(t, "an order through it", func() bool { return put(late, 9) == nil })
	for _, n := range []int{2, 3, 4} {
		w.stop(t, n)
	}
}
