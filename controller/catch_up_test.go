package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// tickerlessClock is a clock whose tickers never tick.
type tickerlessClock struct{ wallClock }

func (tickerlessClock) Ticker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// A diskless instance that joins running storage instances becomes ready from their replies
// alone: no step waits for a tick.
func TestDisklessInstanceBecomesReadyWithoutTicks(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	is.NoErr(network.controllerAt(peerAddress(0)).Announce(context.Background(), servingTarget(1)))

	diskless := network.startDiskless(t, tickerlessClock{}, network.disklessTransport())
	eventually(t, "diskless instance is ready", func() bool {
		state, err := diskless.ClusterState(context.Background())
		return err == nil && state.Ready && state.ConfigConfirmed && len(state.Targets) == 1
	})
	network.stop(t, 0)
	network.stop(t, 1)
	network.stop(t, 2)
	is.NoErr(diskless.Close())
}

// A storage instance with an empty disk has just started too. An instance that reads its
// records does not take them for complete, and asks another storage instance.
func TestPartialRecordsReplyIsNotSufficient(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	empty := network.start(t, 0, t.TempDir(), false) // no other instance is running yet
	reply, err := empty.Records(context.Background())
	is.NoErr(err)
	is.True(reply.Partial)
	for n := 1; n < 3; n++ {
		network.start(t, n, t.TempDir(), false)
	}
	c := network.controllerAt(peerAddress(2))
	eventually(t, "all instances know each other", func() bool {
		met := 0
		c.runInLoop(context.Background(), func() {
			for _, m := range c.gossip.Members() {
				if m.VoterID != "" {
					met++
				}
			}
		})
		return met == 2
	})
	c.runInLoop(context.Background(), func() {
		c.caughtUp = false
		first, _ := c.nearestStorageAddress("")
		is.NoErr(c.applyRecordsReply(first, &messenger.RecordsReply{Partial: true}))
		is.True(!c.caughtUp)
		second, ok := c.nearestStorageAddress(c.partialSource)
		is.True(ok)
		is.True(second != first)
		is.NoErr(c.applyRecordsReply(second, &messenger.RecordsReply{}))
		is.True(c.caughtUp)
	})
	eventually(t, "instance with the empty disk has waited for all announcements", func() bool {
		reply, err := empty.Records(context.Background())
		return err == nil && !reply.Partial
	})
	network.stopAll(t)
}

// When all storage instances are catching up, as at the first start of a deployment, an
// instance does not request all records from them without a pause.
func TestCatchUpPausesAfterPartialReplies(t *testing.T) {
	is := is.New(t)
	c, err := New(Settings{Self: gossiper.Instance{Name: "a", PeerAddress: peerAddress(0), RPCAddress: peerAddress(0)}, VoterCount: 3, LabelSteering: true},
		tickerlessClock{}, testTransport{testNetwork: newTestNetwork(t), self: peerAddress(0)}, messenger.DerivedKeys{})
	is.NoErr(err)
	c.runInLoop(context.Background(), func() {
		for n := range maxPartialReplies {
			is.Equal(c.nextCatchUp, time.Duration(0)) // another instance is asked at once
			is.NoErr(c.applyRecordsReply(peerAddress(n), &messenger.RecordsReply{Partial: true}))
		}
		is.True(c.nextCatchUp >= partialReplyPause)
		is.True(!c.caughtUp)
	})
	is.NoErr(c.Close())
}

// An instance that was stalled may have missed gossip and has to catch up again.
func TestStalledInstanceCatchesUpAgain(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	c := network.start(t, 0, t.TempDir(), true)
	c.runInLoop(context.Background(), func() {
		now := c.now() + time.Hour
		c.caughtUp, c.lastTick = true, now-time.Minute
		c.allAnnouncedAt = 0
		is.True(c.knowsTargets())
		c.detectIsolation(now)
		is.True(!c.knowsTargets())
	})
	network.stop(t, 0)
}

// A request for all records that timed out on a slow link gets a longer timeout.
func TestRecordsTimeoutGrowsWithEachFailure(t *testing.T) {
	is := is.New(t)
	for failures, want := range []time.Duration{peerCallTimeout, 2 * peerCallTimeout, 4 * peerCallTimeout, 8 * peerCallTimeout, 8 * peerCallTimeout} {
		is.Equal(recordsTimeout(failures), want)
	}
}

// A diskless instance requests the records of a storage instance that has just started with an
// empty disk. The storage instance replies once it has caught up, rather than at once and in
// part.
func TestRecordsReplyWaitsForCatchUp(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	c := network.start(t, 0, t.TempDir(), false)
	replies := make(chan *messenger.RecordsReply, 1)
	go func() {
		reply, err := c.Records(context.Background())
		if err != nil {
			t.Error(err)
		}
		replies <- reply
	}()
	waits := func() bool {
		waits := false
		c.runInLoop(context.Background(), func() { waits = c.targetsKnown != nil })
		return waits
	}
	eventually(t, "Records call waits", waits)
	c.runInLoop(context.Background(), func() {
		compressed, err := messenger.EncodeRecords(messenger.RecordList{})
		is.NoErr(err)
		is.NoErr(c.applyRecordsReply("another", &messenger.RecordsReply{CompressedRecords: compressed}))
	})
	reply := <-replies
	is.True(!reply.Partial)
	network.stop(t, 0)
}

// A caller gives up while the control loop is busy, and the control loop runs the call later.
// The two must not access the same memory.
func TestAbandonedCallsShareNoMemory(t *testing.T) {
	network := newTestNetwork(t)
	c := network.start(t, 0, t.TempDir(), false)
	for _, call := range []func(ctx context.Context){
		func(ctx context.Context) { _, _ = c.Records(ctx) },
		func(ctx context.Context) { _, _ = c.Departures(ctx) },
		func(ctx context.Context) { _ = c.Deregister(ctx, 1) },
		func(ctx context.Context) { _ = c.Announce(ctx, servingTarget(1)) },
		c.TransferLeadership,
	} {
		busy, release := make(chan struct{}), make(chan struct{})
		go c.runInLoop(context.Background(), func() {
			close(busy)
			<-release
		})
		<-busy
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		// The release does not wait for the call to return: that would order the two accesses.
		time.AfterFunc(20*time.Millisecond, func() { close(release) })
		call(ctx)
		cancel()
		c.runInLoop(context.Background(), func() {})
	}
	network.stop(t, 0)
}
