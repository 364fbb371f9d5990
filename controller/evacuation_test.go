package controller

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/messenger"
	"almondpick/planner"
	"almondpick/voter"
)

// evacuate gives an order to an instance, with the timeout of the platform's calls.
func evacuate(c *Controller, dataCentre string, evacuated bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.SetEvacuation(ctx, dataCentre, evacuated)
}

// order gives an order to an instance, and again until it is acknowledged, as an operator does.
func order(t *testing.T, c *Controller, dataCentre string, evacuated bool) {
	t.Helper()
	eventually(t, "the order is acknowledged", func() bool { return evacuate(c, dataCentre, evacuated) == nil })
}

// isEvacuated reports whether an evacuation is in force at an instance.
func isEvacuated(c *Controller, dataCentre string) bool {
	s, err := c.ClusterState(context.Background())
	return err == nil && s.Config.Evacuated(dataCentre)
}

// awaitEvacuation waits until an order is in force at the instances, which are named by number.
func (network *testNetwork) awaitEvacuation(t *testing.T, dataCentre string, evacuated bool, instances ...int) {
	t.Helper()
	for _, n := range instances {
		eventually(t, "the order is in force", func() bool { return isEvacuated(network.controllerAt(peerAddress(n)), dataCentre) == evacuated })
	}
}

// An order that is sent again, to the same or another instance, must not take effect again, nor
// after a later order has undone it. Each change is logged once at each instance, also at one that
// does not hold the log.
func TestRepeatedOrdersTakeEffectOnce(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	var log lineCounter
	diskless := network.startDiskless(t, wallClock{}, network.disklessTransport(), WithLogger(slog.New(slog.NewTextHandler(&log, nil))))
	one, other := network.controllerAt(peerAddress(0)), network.controllerAt(peerAddress(1))
	held := func() planner.Command { // as an instance holds it after its read
		s, err := one.ClusterState(context.Background())
		is.NoErr(err)
		return planner.Command{SetEvacuation: &planner.SetEvacuation{DataCentre: "dc1", Evacuated: true, LastChange: s.Config.Evacuations["dc1"].LastChange}}
	}
	duplicate := held()
	submitted := func(c *Controller) {
		eventually(t, "the duplicate is committed", func() bool {
			result, err := c.Submit(context.Background(), duplicate)
			return err == nil && result.Refusal == nil
		})
	}
	order(t, one, "dc1", true)
	network.awaitEvacuation(t, "dc1", true, 0, 1, 2)
	eventually(t, "the order is in force at the diskless instance", func() bool { return isEvacuated(diskless, "dc1") })
	before, err := one.ClusterState(context.Background())
	is.NoErr(err)
	for _, c := range []*Controller{one, other} {
		order(t, c, "dc1", true)
		submitted(c)
	}
	after, err := one.ClusterState(context.Background())
	is.NoErr(err)
	is.Equal(after.Config.Version, before.Config.Version)

	order(t, other, "dc1", false)
	for _, c := range []*Controller{one, other} {
		submitted(c)
	}
	network.awaitEvacuation(t, "dc1", false, 0, 1, 2)
	eventually(t, "the withdrawal is logged at the diskless instance", func() bool {
		return log.count("msg=evacuation data-centre=dc1 in-force=false") == 1
	})
	is.Equal(log.count("msg=evacuation data-centre=dc1 in-force=true"), 1)
	network.stopAll(t)
	is.NoErr(diskless.Close())
}

// Orders of several operators at once, for one data centre and for several, all succeed, and every
// instance ends with the same state.
func TestOrdersOfSeveralOperatorsAtOnce(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	var all sync.WaitGroup
	var failed atomic.Int64
	const orders = 8
	for n := range orders {
		all.Add(1)
		go func() {
			defer all.Done()
			c, dataCentre := network.controllerAt(peerAddress(n%3)), []string{"dc0", "dc1"}[n/2%2]
			for range 20 { // as an operator repeats it
				if evacuate(c, dataCentre, n%2 == 0) == nil {
					return
				}
			}
			failed.Add(1)
		}()
	}
	all.Wait()
	is.Equal(failed.Load(), int64(0))
	order(t, network.controllerAt(peerAddress(2)), "dc2", true)
	network.awaitEvacuation(t, "dc2", true, 0, 1, 2) // who has applied it has applied all of the above
	want, err := network.controllerAt(peerAddress(2)).ClusterState(context.Background())
	is.NoErr(err)
	for n := range 2 {
		got, err := network.controllerAt(peerAddress(n)).ClusterState(context.Background())
		is.NoErr(err)
		is.Equal(got.Config.Evacuations, want.Config.Evacuations)
	}
	network.stopAll(t)
}

// An order for a data centre that does not exist must be refused, and must not be stored. With a
// list in the settings, only the data centres in it exist.
func TestUnknownDataCentreIsRefused(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	c := network.controllerAt(peerAddress(0))
	refused := func(dataCentre string) bool {
		var refusal *planner.Refusal
		return errors.As(evacuate(c, dataCentre, true), &refusal) && refusal.Code == planner.CodeNotFound
	}
	eventually(t, "an unknown data centre is refused once all are known", func() bool { return refused("dc9") })
	order(t, c, "dc1", true)
	is.NoErr(c.SetDataCentres(context.Background(), []string{"dc0", "dc9"}))
	order(t, c, "dc9", true) // listed, though nothing of it is known
	is.True(refused("dc1"))
	is.True(refused(""))
	network.stopAll(t)
}

// leaderNumber returns the number of the instance that leads.
func (network *testNetwork) leaderNumber() (int, bool) {
	for n := range 3 {
		c, leads := network.controllerAt(peerAddress(n)), false
		if c == nil {
			continue
		}
		c.runInLoop(context.Background(), func() { leads = c.voter != nil && c.voter.Role() == voter.Leader })
		if leads {
			return n, true
		}
	}
	return 0, false
}

// An acknowledged order must survive a leader that is cut off right after the acknowledgement and
// then ends, the loss of a disk, a voter that is replaced, and a power loss of everything.
func TestAcknowledgedEvacuationSurvivesLosses(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	leader, ok := 0, false
	eventually(t, "an instance leads", func() bool {
		leader, ok = network.leaderNumber()
		return ok
	})
	order(t, network.controllerAt(peerAddress(leader)), "dc1", true)
	network.cutOff(peerAddress(leader), true)
	network.stop(t, leader)
	network.cutOff(peerAddress(leader), false)
	others := []int{(leader + 1) % 3, (leader + 2) % 3}
	network.awaitEvacuation(t, "dc1", true, others...)

	is.NoErr(os.RemoveAll(folders[leader]))
	network.start(t, leader, folders[leader], false)
	network.awaitEvacuation(t, "dc1", true, leader)
	eventually(t, "the instance with the new disk replaces the lost voter", func() bool {
		m := membershipOf(network.controllerAt(peerAddress(others[0])))
		return len(m.Voters) == 3 && len(m.Learners) == 0 && !m.IsVoter(voter.ID(network.controllerAt(peerAddress(leader)).settings.Self.Name+"#"+bootstrapIdentity))
	})
	order(t, network.controllerAt(peerAddress(leader)), "dc1", false) // at the replaced voter
	order(t, network.controllerAt(peerAddress(others[0])), "dc2", true)

	copies := make([]string, len(folders))
	for n := range folders {
		copies[n] = copyFolder(t, folders[n])
	}
	network.stopAll(t)
	for n := range copies {
		network.start(t, n, copies[n], false)
	}
	network.awaitEvacuation(t, "dc2", true, 0, 1, 2)
	network.awaitEvacuation(t, "dc1", false, 0, 1, 2)
	network.stopAll(t)
}

// An order must survive the replacement of the log by a snapshot at every voter, and the state that
// an instance without the log then fetches as a whole.
func TestEvacuationSurvivesLogCompaction(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	order(t, network.controllerAt(peerAddress(0)), "dc1", true)
	network.awaitEvacuation(t, "dc1", true, 0, 1, 2)
	compacted := func() bool {
		lowest := uint64(1 << 62)
		for n := range 3 {
			c := network.controllerAt(peerAddress(n))
			c.runInLoop(context.Background(), func() { lowest = min(lowest, c.voter.FirstIndex()) })
		}
		return lowest > compactEntries
	}
	for version := uint64(2); !compacted(); version++ {
		_ = replaceRuleset(network.controllerAt(peerAddress(0)), version) // what matters is the length of the log
	}
	diskless := network.startDiskless(t, wallClock{}, network.disklessTransport())
	eventually(t, "the order is in force at an instance that fetches a snapshot", func() bool { return isEvacuated(diskless, "dc1") })
	network.stopAll(t)
	for n := range folders {
		network.start(t, n, folders[n], false)
	}
	network.awaitEvacuation(t, "dc1", true, 0, 1, 2)
	network.stopAll(t)
	is.NoErr(diskless.Close())
}

// An instance must not be ready with the configuration of before an order that was acknowledged
// before it started, and one that was cut off must get the order once it can be reached again.
func TestStartedAndPartitionedInstancesGetTheOrder(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	order(t, network.controllerAt(peerAddress(0)), "dc1", true)
	var readyWithout atomic.Bool
	var ready atomic.Bool
	diskless := network.startDiskless(t, wallClock{}, network.disklessTransport(), WithStateHandler(func(s ClusterState) {
		if s.Ready && !ready.Swap(true) && !s.Config.Evacuated("dc1") {
			readyWithout.Store(true)
		}
	}))
	eventually(t, "the instance is ready", ready.Load)
	is.True(!readyWithout.Load())

	network.cutOff(disklessAddress, true)
	network.cutOff(peerAddress(2), true)
	order(t, network.controllerAt(peerAddress(0)), "dc2", true)
	is.True(!isEvacuated(diskless, "dc2"))
	is.True(evacuate(network.controllerAt(peerAddress(2)), "dc0", true) != nil) // it reaches no majority
	network.cutOff(disklessAddress, false)
	network.cutOff(peerAddress(2), false)
	eventually(t, "the order is in force at the instance that was cut off", func() bool { return isEvacuated(diskless, "dc2") })
	network.awaitEvacuation(t, "dc2", true, 0, 1, 2)
	order(t, network.controllerAt(peerAddress(1)), "dc2", false)
	network.awaitEvacuation(t, "dc0", false, 0, 1, 2)
	network.stopAll(t)
	is.NoErr(diskless.Close())
}

// laggingTransport answers the first calls of Fetch with an earlier reply, as a member that lags
// behind does.
type laggingTransport struct {
	testTransport
	earlier *atomic.Pointer[messenger.FetchReply]
	left    *atomic.Int64
}

func (t laggingTransport) Fetch(ctx context.Context, to string, r messenger.FetchRequest) (*messenger.FetchReply, error) {
	if reply := t.earlier.Load(); reply != nil && t.left.Add(-1) >= 0 {
		return reply, nil
	}
	return t.testTransport.Fetch(ctx, to, r)
}

// An instance that fetches from members that lag behind must get the order from another one, and
// must never go back to the state of before.
func TestOrderArrivesThoughMembersLagBehind(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	source := network.controllerAt(peerAddress(0))
	var earlier atomic.Pointer[messenger.FetchReply]
	var left atomic.Int64
	left.Store(3)
	var wentBack, seen atomic.Bool
	transport := laggingTransport{testTransport: network.disklessTransport(), earlier: &earlier, left: &left}
	diskless := network.startDiskless(t, wallClock{}, transport, WithStateHandler(func(s ClusterState) {
		if evacuated := s.Config.Evacuated("dc1"); seen.Load() && !evacuated {
			wentBack.Store(true)
		} else if evacuated {
			seen.Store(true)
		}
	}))
	eventually(t, "the first ruleset is in force", func() bool { return heldRuleset(diskless) == 1 })
	reply, err := source.Fetch(context.Background(), messenger.FetchRequest{})
	is.NoErr(err)
	earlier.Store(reply)
	order(t, source, "dc1", true)
	eventually(t, "the order is in force", func() bool { return isEvacuated(diskless, "dc1") })
	is.True(left.Load() < 3)
	diskless.runInLoop(context.Background(), func() { _, err = diskless.applyFetchReply(reply) })
	is.NoErr(err)
	eventually(t, "a later ruleset is accepted", func() bool { return replaceRuleset(source, 2) == nil })
	eventually(t, "a later ruleset is in force", func() bool { return heldRuleset(diskless) == 2 })
	is.True(isEvacuated(diskless, "dc1"))
	is.True(!wentBack.Load())
	network.stopAll(t)
	is.NoErr(diskless.Close())
}

// An order that no majority can store must fail, and must change nothing at an instance.
func TestOrderWithoutAMajorityFails(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	network.stop(t, 1)
	network.stop(t, 2)
	is.True(evacuate(network.controllerAt(peerAddress(0)), "dc1", true) != nil)
	is.True(!isEvacuated(network.controllerAt(peerAddress(0)), "dc1"))
	network.stopAll(t)
}

// An instance that does not hold the log must process an order after entries of the log that it never
// gets, because they do not change the configuration.
func TestOrderAtAnInstanceWithoutTheLog(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	diskless := network.startDiskless(t, wallClock{}, network.disklessTransport())
	storage := network.controllerAt(peerAddress(0))
	for _, evacuated := range []bool{true, false} {
		stale := planner.SetEvacuation{DataCentre: "dc2", Evacuated: true, LastChange: 1 << 40}
		eventually(t, "an entry without effect is committed", func() bool {
			result, err := storage.Submit(context.Background(), planner.Command{SetEvacuation: &stale})
			return err == nil && result.Refusal == nil
		})
		order(t, diskless, "dc1", evacuated)
		network.awaitEvacuation(t, "dc1", evacuated, 0, 1, 2)
	}
	network.stopAll(t)
	is.NoErr(diskless.Close())
}
