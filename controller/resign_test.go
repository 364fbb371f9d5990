package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/voter"
)

// The leading store stops as planned: another one takes orders before the others could
// have noticed that their leader is gone.
func TestAPlannedStopOfTheLeaderNeedsNoElectionTimeout(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	w.election = 2 * time.Second
	w.startThree(t)
	leading := func() int {
		for n := range 3 {
			c, leads := w.at(peerOf(n)), false
			if c != nil {
				c.runInLoop(context.Background(), func() { leads = c.voter.Role() == voter.Leader })
			}
			if leads {
				return n
			}
		}
		return -1
	}
	old := leading()
	is.True(old >= 0)
	began := time.Now()
	w.at(peerOf(old)).TransferLeadership(context.Background())
	w.stop(t, old)
	next := w.at(peerOf((old + 1) % 3))
	eventually(t, "the next order", func() bool { return put(next, 2) == nil })
	is.True(time.Since(began) < w.election)
	is.Equal(readVersion(next), uint64(2))
	for n := range 3 {
		if n != old {
			w.stop(t, n)
		}
	}
}

// A store that does not lead has nothing to hand over.
func TestResigningWithoutOfficeIsOverAtOnce(t *testing.T) {
	w := newWires(t)
	c := w.start(t, 0, t.TempDir(), false)
	c.TransferLeadership(context.Background())
	w.stop(t, 0)
}
