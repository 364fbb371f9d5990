package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// entryInstance is what the entry with a number says of itself.
func entryInstance(n int) gossiper.Instance {
	name := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
	return gossiper.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", n%6), Peer: name + ":7000", RPC: name + ":7000"}
}

// BenchmarkStampede is what a store that has just started spends on each first message of
// 200 entries that all look for it, and on each read of all records.
func BenchmarkStampede(b *testing.B) {
	const entries, targets = 200, 300
	keys, err := messenger.NewKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		b.Fatal(err)
	}
	w := &wires{keys: keys, members: make(map[string]*Controller), election: time.Second}
	start := func() *Controller {
		self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", Peer: peerOf(0), RPC: peerOf(0)}
		c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true}, noTicks{}, end{wires: w, self: peerOf(0)}, keys)
		if err != nil {
			b.Fatal(err)
		}
		for n := range targets {
			_ = c.Announce(context.Background(), manyTargets(n))
		}
		return c
	}
	probes := make([][]byte, entries)
	for n := range entries {
		g := gossiper.New(entryInstance(n), uint64(n+1), gossiper.WithSeeds(peerOf(0)))
		for _, e := range g.Tick(time.Second) {
			sealed, err := keys.Seal(messenger.DatagramGossip, e.Message)
			if err != nil {
				b.Fatal(err)
			}
			probes[n] = sealed
		}
	}
	b.Run("probe", func(b *testing.B) {
		c := start()
		i := 0
		for b.Loop() {
			_, body, err := keys.Open(probes[i%entries])
			if err != nil {
				b.Fatal(err)
			}
			_, _ = c.Gossip(entryInstance(i%entries).Peer, append([]byte(nil), body...))
			c.runInLoop(context.Background(), func() {})
			i++
		}
		_ = c.Close()
	})
	b.Run("records", func(b *testing.B) {
		c := start()
		for n := range entries {
			_, body, _ := keys.Open(probes[n])
			_, _ = c.Gossip(entryInstance(n).Peer, append([]byte(nil), body...))
		}
		c.runInLoop(context.Background(), func() { c.caughtUp = true })
		for b.Loop() {
			if _, err := c.Records(context.Background()); err != nil {
				b.Fatal(err)
			}
		}
		_ = c.Close()
	})
}
