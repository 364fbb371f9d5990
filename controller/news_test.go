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

func manyTargets(n int) announcer.Announcement {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 0x0a000000+uint32(n))
	return announcer.Announcement{
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4(ip), 8080), Job: "pool-a", DataCentre: "dc1", Slots: 2,
		Incarnation: 1, Sequence: 1, Identity: uint64(n + 1),
	}
}

// BenchmarkNewsOfATarget is what one target's news costs an instance that knows 3,000.
func BenchmarkNewsOfATarget(b *testing.B) {
	const targets = 3000
	keys, err := messenger.NewKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		b.Fatal(err)
	}
	w := &wires{keys: keys, members: make(map[string]*Controller)}
	self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", Peer: peerOf(0), RPC: peerOf(0)}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true, HandlesFlows: true}, noTicks{}, end{wires: w, self: peerOf(0)}, keys)
	if err != nil {
		b.Fatal(err)
	}
	sequence := uint64(1)
	tell := func(n int) {
		a := manyTargets(n)
		a.Sequence = sequence
		if sequence%2 == 0 {
			a.State = announcer.Draining
		}
		_ = c.Announce(context.Background(), a)
	}
	for n := range targets {
		tell(n)
	}
	began := time.Now()
	for b.Loop() {
		sequence++
		tell(int(sequence) % targets)
	}
	b.ReportMetric(float64(time.Since(began).Microseconds())/float64(b.N), "us/news")
	_ = c.Close()
}

// Many targets announce themselves at once, as after the start of a large deployment: the
// instance does not make a new World for each, and the last World has all of them.
func TestNewsOfManyTargetsIsGathered(t *testing.T) {
	is := is.New(t)
	const targets = 2000
	w := newWires(t)
	var worlds, known atomic.Int64
	self := gossiper.Instance{Name: "10.0.0.9", DataCentre: "dc0", Peer: "10.0.0.9:7000", RPC: "10.0.0.9:7000"}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true, HandlesFlows: true}, wallClock{}, end{wires: w, self: self.Peer}, w.keys,
		WithStateHandler(func(w ClusterState) {
			worlds.Add(1)
			known.Store(int64(len(w.Targets)))
		}))
	is.NoErr(err)
	began := time.Now()
	for n := range targets {
		is.NoErr(c.Announce(context.Background(), manyTargets(n)))
	}
	eventually(t, "all are known", func() bool { return known.Load() == targets })
	// The time that is gathered for grows with the targets, so half of them give the least.
	most := int64(time.Since(began)/(targets/2*batchTimePerTarget)) + 50
	t.Logf("%d worlds", worlds.Load())
	is.True(worlds.Load() <= most)
	is.NoErr(c.Close())
}
