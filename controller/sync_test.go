package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// noTicks is a clock whose tickers never tick.
type noTicks struct{ wallClock }

func (noTicks) Ticker(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// An entry that starts beside running stores is ready with the answers that it gets: no
// step of it waits for a tick.
func TestAnEntryIsReadyAsSoonAsItHasLearnt(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	w.startThree(t)
	is.NoErr(w.at(peerOf(0)).Announce(context.Background(), servingTarget(1)))

	self := gossiper.Instance{Name: "10.0.0.9", DataCentre: "dc0", Peer: "10.0.0.9:7000", RPC: "10.0.0.9:7000"}
	seeds := []string{peerOf(0), peerOf(1), peerOf(2)}
	entry, err := New(Settings{Self: self, Seeds: seeds, VoterCount: 3, LabelSteering: true}, noTicks{}, end{wires: w, self: self.Peer}, w.keys)
	is.NoErr(err)
	w.mu.Lock()
	w.members[self.Peer] = entry
	w.mu.Unlock()
	eventually(t, "the entry is ready", func() bool {
		world, err := entry.ClusterState(context.Background())
		return err == nil && world.Ready && world.ConfigConfirmed && len(world.Targets) == 1
	})
	w.stop(t, 0)
	w.stop(t, 1)
	w.stop(t, 2)
	is.NoErr(entry.Close())
}

// A store with an empty disk has just started too. An entry that reads its records does
// not take them for all there are, and turns to another store.
func TestAStoreThatIsLearningItselfIsNotEnough(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	empty := w.start(t, 0, t.TempDir(), false) // nobody else is there yet
	reply, err := empty.Records(context.Background())
	is.NoErr(err)
	is.True(reply.Learning)
	for n := 1; n < 3; n++ {
		w.start(t, n, t.TempDir(), false)
	}
	c := w.at(peerOf(2))
	eventually(t, "all know each other", func() bool {
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
		is.NoErr(c.applyRecordsReply(first, &messenger.RecordsReply{Learning: true}))
		is.True(!c.caughtUp)
		second, ok := c.nearestStorageAddress(c.partialSource)
		is.True(ok)
		is.True(second != first)
		is.NoErr(c.applyRecordsReply(second, &messenger.RecordsReply{}))
		is.True(c.caughtUp)
	})
	eventually(t, "the empty store has waited for all targets", func() bool {
		reply, err := empty.Records(context.Background())
		return err == nil && !reply.Learning
	})
	for n := range 3 {
		w.stop(t, n)
	}
}

// When all stores are learning, as at the first start of a deployment, an instance does not
// read all records from them over and over.
func TestReadsPauseWhileAllStoresAreLearning(t *testing.T) {
	is := is.New(t)
	c, err := New(Settings{Self: gossiper.Instance{Name: "a", Peer: peerOf(0), RPC: peerOf(0)}, VoterCount: 3, LabelSteering: true},
		noTicks{}, end{wires: newWires(t), self: peerOf(0)}, messenger.Keys{})
	is.NoErr(err)
	c.runInLoop(context.Background(), func() {
		for n := range maxPartialReplies {
			is.Equal(c.nextCatchUp, time.Duration(0)) // another one is asked at once
			is.NoErr(c.applyRecordsReply(peerOf(n), &messenger.RecordsReply{Learning: true}))
		}
		is.True(c.nextCatchUp >= partialReplyPause)
		is.True(!c.caughtUp)
	})
	is.NoErr(c.Close())
}

// A store that stood still may have missed what the others know.
func TestAStoreThatStoodStillIsLearningAgain(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	c := w.start(t, 0, t.TempDir(), true)
	c.runInLoop(context.Background(), func() {
		now := c.now() + time.Hour
		c.caughtUp, c.lastTick = true, now-time.Minute
		c.allAnnouncedAt = 0
		is.True(c.knowsTargets())
		c.detectIsolation(now)
		is.True(!c.knowsTargets())
	})
	w.stop(t, 0)
}

// Records that do not come through a slow link in the first time allowed get more.
func TestRecordsGetMoreTimeAfterEachFailure(t *testing.T) {
	is := is.New(t)
	for failures, want := range []time.Duration{peerCallTimeout, 2 * peerCallTimeout, 4 * peerCallTimeout, 8 * peerCallTimeout, 8 * peerCallTimeout} {
		is.Equal(recordsTimeout(failures), want)
	}
}

// An entry asks a store that has just come up with an empty disk. The store answers as soon
// as it has learnt from the others, with all there is, rather than at once and in part.
func TestAStoreThatLearnsHoldsItsAnswer(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	c := w.start(t, 0, t.TempDir(), false)
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
	eventually(t, "the call waits", waits)
	c.runInLoop(context.Background(), func() {
		packed, err := messenger.PackRecords(messenger.Records{})
		is.NoErr(err)
		is.NoErr(c.applyRecordsReply("another", &messenger.RecordsReply{Packed: packed}))
	})
	reply := <-replies
	is.True(!reply.Learning)
	w.stop(t, 0)
}

// A caller gives up while the control goroutine is busy, which carries the call out later:
// the two do not touch the same memory then.
func TestCallsThatAreGivenUpShareNothing(t *testing.T) {
	w := newWires(t)
	c := w.start(t, 0, t.TempDir(), false)
	for _, call := range []func(ctx context.Context){
		func(ctx context.Context) { _, _ = c.Records(ctx) },
		func(ctx context.Context) { _, _ = c.Departures(ctx) },
		func(ctx context.Context) { _ = c.Withdraw(ctx, 1) },
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
		// Not after the call returns: that would order the two.
		time.AfterFunc(20*time.Millisecond, func() { close(release) })
		call(ctx)
		cancel()
		c.runInLoop(context.Background(), func() {})
	}
	w.stop(t, 0)
}
