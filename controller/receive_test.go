package controller

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// countingEnd counts the datagrams that are sent.
type countingEnd struct {
	end
	sent *atomic.Int64
}

func (e countingEnd) Datagram(string, []byte) { e.sent.Add(1) }

// A seed is behind while a whole deployment looks for it. It answers each instance once,
// the newest ping, rather than all that have come meanwhile.
func TestPingsThatWaitAreAnsweredOnceEach(t *testing.T) {
	is := is.New(t)
	const entries, pings = 200, 20
	keys, err := messenger.NewKeys(make([]byte, messenger.GroupKeySize))
	is.NoErr(err)
	var sent atomic.Int64
	self := gossiper.Instance{Name: "10.0.0.1", DataCentre: "dc1", Peer: peerOf(0), RPC: peerOf(0)}
	c, err := New(Settings{Self: self, VoterCount: 3, LabelSteering: true}, noTicks{},
		countingEnd{end: end{wires: newWires(t), self: peerOf(0)}, sent: &sent}, keys)
	is.NoErr(err)
	busy, release := make(chan struct{}), make(chan struct{})
	go c.runInLoop(context.Background(), func() {
		close(busy)
		<-release
	})
	<-busy
	before := sent.Load()
	for n := range entries {
		one := entryInstance(n)
		g := gossiper.New(one, uint64(n+1))
		record, _ := g.Record(gossiper.InstancePrefix + one.Name)
		for i := range pings {
			m := gossiper.Message{Kind: gossiper.KindPing, From: one.Name, Sequence: uint64(i), Records: []gossiper.Record{record}}
			body, err := messenger.Encode(m)
			is.NoErr(err)
			taken, err := c.Gossip(one.Peer, body)
			is.NoErr(err)
			is.True(taken)
		}
	}
	close(release)
	known := 0
	c.runInLoop(context.Background(), func() { known = c.gossip.Len() })
	is.Equal(known, entries)
	// An answer each, and at most one question back about what differs.
	is.True(sent.Load()-before <= 2*entries)
	is.NoErr(c.Close())
}

// What a ping brings is not lost when a newer one takes its place.
func TestAReplacedPingKeepsItsRecords(t *testing.T) {
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
