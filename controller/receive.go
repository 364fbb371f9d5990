package controller

import (
	"sync"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// pendingPings holds, by sender, the ping that waits for the control goroutine. Whoever gets no
// answer pings again; while this instance is behind, as a seed is when a whole deployment
// starts, only the newest ping of each sender is worth an answer. That bounds what waits by
// the number of instances.
type pendingPings struct {
	mu      sync.Mutex
	bySender map[string]gossiper.Message
}

// add notes a ping and tells whether it is the first of its sender that waits. The
// records of one that it replaces are kept: they are rumours that do not come again.
func (q *pendingPings) add(from string, m gossiper.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bySender == nil {
		q.bySender = make(map[string]gossiper.Message)
	}
	old, waits := q.bySender[from]
	if waits && len(old.Records) < maxPendingPingRecords {
		m.Records = append(old.Records, m.Records...)
	}
	q.bySender[from] = m
	return !waits
}

// maxPendingPingRecords is how many records a ping that waits may have gathered.
const maxPendingPingRecords = 64

// take removes and returns the ping of a sender that waits.
func (q *pendingPings) take(from string) gossiper.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.bySender[from]
	delete(q.bySender, from)
	return m
}

// Gossip takes in the body of a gossip datagram. It returns a decoding error; a
// datagram that comes while too much waits is dropped and false returned.
func (c *Controller) Gossip(from string, body []byte) (bool, error) {
	var m gossiper.Message
	if err := messenger.Decode(body, &m); err != nil {
		return false, err
	}
	if m.Kind != gossiper.KindPing {
		return c.postToLoop(func() { c.handleGossip(from, m) }), nil
	}
	if !c.pings.add(from, m) {
		return true, nil
	}
	taken := c.postToLoop(func() { c.handleGossip(from, c.pings.take(from)) })
	if !taken {
		c.pings.take(from)
	}
	return taken, nil
}

// handleGossip takes in a message of another instance.
func (c *Controller) handleGossip(from string, m gossiper.Message) {
	now := c.now()
	c.sendGossip(c.gossip.Handle(now, from, m))
	c.applyTargetRecords(now)
	c.fetchNewerConfig()
	c.restoreCachedTargets(now)
	c.advanceCatchUp(now)
}
