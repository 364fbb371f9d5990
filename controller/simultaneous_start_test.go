package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// numberedInstance returns the instance record of the diskless instance with number n.
func numberedInstance(n int) gossiper.Instance {
	name := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
	return gossiper.Instance{Name: name, DataCentre: fmt.Sprintf("dc%d", n%6), PeerAddress: name + ":7000", RPCAddress: name + ":7000"}
}

// BenchmarkSimultaneousStart measures the cost for an instance that has just started of the
// first message of each of 200 instances that contact it, and of each request for all records.
func BenchmarkSimultaneousStart(b *testing.B) {
	const instances, targets = 200, 300
	keys, err := messenger.DeriveKeys(make([]byte, messenger.GroupKeySize))
	if err != nil {
		b.Fatal(err)
	}
	network := &testNetwork{keys: keys, controllers: make(map[string]*Controller), electionTimeout: time.Second}
	start := func() *Controller {
		self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", PeerAddress: peerAddress(0), RPCAddress: peerAddress(0)}
		c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true}, tickerlessClock{}, testTransport{testNetwork: network, self: peerAddress(0)}, keys)
		if err != nil {
			b.Fatal(err)
		}
		for n := range targets {
			_ = c.Announce(context.Background(), numberedTarget(n))
		}
		return c
	}
	firstMessages := make([][]byte, instances)
	for n := range instances {
		g := gossiper.New(numberedInstance(n), uint64(n+1), gossiper.WithSeeds(peerAddress(0)))
		for _, e := range g.Tick(time.Second) {
			signed, err := keys.SignDatagram(messenger.DatagramGossip, e.Message)
			if err != nil {
				b.Fatal(err)
			}
			firstMessages[n] = signed
		}
	}
	b.Run("probe", func(b *testing.B) {
		c := start()
		i := 0
		for b.Loop() {
			_, body, err := keys.VerifyDatagram(firstMessages[i%instances])
			if err != nil {
				b.Fatal(err)
			}
			_, _ = c.Gossip(numberedInstance(i%instances).PeerAddress, append([]byte(nil), body...))
			c.runInLoop(context.Background(), func() {})
			i++
		}
		_ = c.Close()
	})
	b.Run("records", func(b *testing.B) {
		c := start()
		for n := range instances {
			_, body, _ := keys.VerifyDatagram(firstMessages[n])
			_, _ = c.Gossip(numberedInstance(n).PeerAddress, append([]byte(nil), body...))
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
