package controller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/planner"
)

// forwardCounter is a transport that counts the calls for the leader that instances forward.
type forwardCounter struct {
	testTransport
	forwarded *atomic.Int64
}

func (t forwardCounter) Propose(ctx context.Context, to string, cmd planner.Command) (*planner.Result, error) {
	t.forwarded.Add(1)
	return t.testTransport.Propose(ctx, to, cmd)
}

func (t forwardCounter) Read(ctx context.Context, to string) (*messenger.ReadReply, error) {
	t.forwarded.Add(1)
	return t.testTransport.Read(ctx, to)
}

// Storage instances that are no voters and follow no leader must not forward a call to each other
// for as long as its caller waits.
func TestCallsDoNotCirculateBetweenInstancesWithoutALeader(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	var forwarded atomic.Int64
	const instances = 3
	for n := range instances {
		self := gossiper.Instance{Name: peerAddress(n), DataCentre: "dc0", PeerAddress: peerAddress(n), RPCAddress: peerAddress(n), OperatorAddress: "x"}
		c, err := New(Settings{
			Self: self, Seeds: []string{peerAddress(0), peerAddress(1), peerAddress(2)}, DataFolder: t.TempDir(),
			HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: network.electionTimeout, VoterCount: 3, LabelSteering: true,
		}, wallClock{}, forwardCounter{testTransport: testTransport{testNetwork: network, self: peerAddress(n)}, forwarded: &forwarded}, network.keys)
		is.NoErr(err)
		network.mu.Lock()
		network.controllers[peerAddress(n)] = c
		network.mu.Unlock()
	}
	eventually(t, "every instance has a data folder and knows the others", func() bool {
		known := 0
		for n := range instances {
			c := network.controllerAt(peerAddress(n))
			c.runInLoop(context.Background(), func() {
				if _, ok := c.nearestStorageAddress(""); ok && c.voter != nil {
					known++
				}
			})
		}
		return known == instances
	})
	const calls = 20
	before := forwarded.Load()
	for range calls {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := network.controllerAt(peerAddress(0)).ReadIndex(ctx)
		is.True(err != nil)
		_, _ = network.controllerAt(peerAddress(1)).Submit(ctx, planner.Command{})
		cancel()
	}
	// Each instance also asks for the configuration by itself, every retryInterval.
	const ownCalls = instances * calls * 2 * int64(100*time.Millisecond/retryInterval)
	is.True(forwarded.Load()-before <= 2*calls+ownCalls)
	network.stopAll(t)
}
