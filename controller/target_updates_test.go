package controller

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/messenger"
)

func numberedTarget(n int) announcer.Announcement {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 0x0a000000+uint32(n))
	return announcer.Announcement{
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4(ip), 8080), Job: "pool-a", DataCentre: "dc1", Slots: 2,
		Incarnation: 1, Sequence: 1, Identity: uint64(n + 1),
	}
}

// BenchmarkTargetUpdate measures the cost of one update of a target on an instance that knows
// 3,000 targets.
func BenchmarkTargetUpdate(b *testing.B) {
	const targets = 3000
	keys, err := messenger.DeriveKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		b.Fatal(err)
	}
	network := &testNetwork{keys: keys, controllers: make(map[string]*Controller)}
	self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", PeerAddress: peerAddress(0), RPCAddress: peerAddress(0)}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true, HandlesFlows: true}, tickerlessClock{}, testTransport{testNetwork: network, self: peerAddress(0)}, keys)
	if err != nil {
		b.Fatal(err)
	}
	sequence := uint64(1)
	announce := func(n int) {
		a := numberedTarget(n)
		a.Sequence = sequence
		if sequence%2 == 0 {
			a.State = announcer.Draining
		}
		_ = c.Announce(context.Background(), a)
	}
	for n := range targets {
		announce(n)
	}
	began := time.Now()
	for b.Loop() {
		sequence++
		announce(int(sequence) % targets)
	}
	b.ReportMetric(float64(time.Since(began).Microseconds())/float64(b.N), "us/news")
	_ = c.Close()
}

// Many targets announce themselves at once, as after the start of a large deployment. The
// instance does not publish a ClusterState for each, and the last ClusterState holds all
// targets.
func TestUpdatesOfManyTargetsAreBatched(t *testing.T) {
	is := is.New(t)
	const targets = 2000
	network := newTestNetwork(t)
	var published, known atomic.Int64
	self := gossiper.Instance{Name: "10.0.0.9", DataCentre: "dc0", PeerAddress: "10.0.0.9:7000", RPCAddress: "10.0.0.9:7000"}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true, HandlesFlows: true}, wallClock{}, testTransport{testNetwork: network, self: self.PeerAddress}, network.keys,
		WithStateHandler(func(s ClusterState) {
			published.Add(1)
			known.Store(int64(len(s.Targets)))
		}))
	is.NoErr(err)
	began := time.Now()
	for n := range targets {
		is.NoErr(c.Announce(context.Background(), numberedTarget(n)))
	}
	eventually(t, "all targets are known", func() bool { return known.Load() == targets })
	// The batching time grows with the number of targets, so half of them give a lower bound.
	most := int64(time.Since(began)/(targets/2*batchTimePerTarget)) + 50
	t.Logf("%d cluster states published", published.Load())
	is.True(published.Load() <= most)
	is.NoErr(c.Close())
}
