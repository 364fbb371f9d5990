package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/messenger"
)

// suspendableClock is the clock of a machine that was suspended for a time during which its
// monotonic clock stood still.
type suspendableClock struct {
	wallClock
	suspended *atomic.Int64 // nanoseconds
}

// Uptime implements Clock.
func (c suspendableClock) Uptime() time.Duration {
	return c.wallClock.Uptime() + time.Duration(c.suspended.Load())
}

// recordsCounter counts the calls of Records.
type recordsCounter struct {
	testTransport
	calls *atomic.Int64
}

func (t recordsCounter) Records(ctx context.Context, to string) (*messenger.RecordsReply, error) {
	t.calls.Add(1)
	return t.testTransport.Records(ctx, to)
}

// Rumors that spread while an instance was suspended are not sent again.
func TestRecordsAreReadAgainAfterASuspension(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	var suspended, calls atomic.Int64
	transport := recordsCounter{testTransport: network.disklessTransport(), calls: &calls}
	c := network.startDiskless(t, suspendableClock{suspended: &suspended}, transport)
	caughtUp := func() bool {
		ok := false
		c.runInLoop(context.Background(), func() { ok = c.caughtUp })
		return ok
	}
	eventually(t, "the instance is caught up", caughtUp)
	before := calls.Load()
	suspended.Add(int64(5 * time.Second))
	eventually(t, "the records are read again", func() bool { return calls.Load() > before && caughtUp() })
	network.stopAll(t)
	is.NoErr(c.Close())
}
