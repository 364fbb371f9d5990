package controller

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// countingTransport counts the datagrams that are sent.
type countingTransport struct {
	testTransport
	sent *atomic.Int64
}

func (t countingTransport) Datagram(string, []byte) { t.sent.Add(1) }

// A seed is overloaded while a whole deployment contacts it. It answers only the newest ping
// of each instance.
func TestPendingPingsAreAnsweredOncePerSender(t *testing.T) {
	is := is.New(t)
	const senders, pings = 200, 20
	keys, err := messenger.DeriveKeys(make([]byte, messenger.GroupKeySize))
	is.NoErr(err)
	var sent atomic.Int64
	self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", PeerAddress: peerAddress(0), RPCAddress: peerAddress(0)}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true}, tickerlessClock{},
		countingTransport{testTransport: testTransport{testNetwork: newTestNetwork(t), self: peerAddress(0)}, sent: &sent}, keys)
	is.NoErr(err)
	busy, release := make(chan struct{}), make(chan struct{})
	go c.runInLoop(context.Background(), func() {
		close(busy)
		<-release
	})
	<-busy
	before := sent.Load()
	for n := range senders {
		one := numberedInstance(n)
		g := gossiper.New(one, uint64(n+1))
		record, _ := g.Record(gossiper.InstanceKeyPrefix + one.Name)
		for i := range pings {
			m := gossiper.Message{Kind: gossiper.KindPing, From: one.Name, Sequence: uint64(i), Records: []gossiper.Record{record}}
			body, err := messenger.Encode(m)
			is.NoErr(err)
			taken, err := c.Gossip(one.PeerAddress, body)
			is.NoErr(err)
			is.True(taken)
		}
	}
	close(release)
	known := 0
	c.runInLoop(context.Background(), func() { known = c.gossip.MemberCount() })
	is.Equal(known, senders)
	// One answer each, and at most one request for records that differ.
	is.True(sent.Load()-before <= 2*senders)
	is.NoErr(c.Close())
}

// The records of a pending ping are kept when a newer ping replaces it.
func TestReplacedPingKeepsItsRecords(t *testing.T) {
	is := is.New(t)
	var q pendingPings
	first := gossiper.Message{Kind: gossiper.KindPing, Sequence: 1, Records: []gossiper.Record{{Key: "i/a"}}}
	is.True(q.add("x", first))
	is.True(!q.add("x", gossiper.Message{Kind: gossiper.KindPing, Sequence: 2, Records: []gossiper.Record{{Key: "i/b"}}}))
	is.True(q.add("y", first))
	m := q.take("x")
	is.Equal(m.Sequence, uint64(2))
	is.Equal(len(m.Records), 2)
	is.True(q.add("x", first))
	for n := range 1000 {
		q.add("x", gossiper.Message{Sequence: uint64(n), Records: []gossiper.Record{{Key: "i/c"}}})
	}
	is.True(len(q.take("x").Records) <= maxPendingPingRecords+1)
}
