package controller

import (
	"sync"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// pendingPings holds, for each sender, the ping that waits for the control loop. A sender that
// gets no answer pings again. While this instance is overloaded, as a seed is when a whole
// deployment starts, only the newest ping of each sender is answered. That bounds the pending
// pings by the number of instances.
type pendingPings struct {
	mu       sync.Mutex
	bySender map[string]gossiper.Message
}

// add stores a ping and reports whether no other ping of its sender was pending. The records
// of a replaced ping are kept, because gossip does not send them again.
func (q *pendingPings) add(from string, m gossiper.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bySender == nil {
		q.bySender = make(map[string]gossiper.Message)
	}
	old, replaced := q.bySender[from]
	if replaced && len(old.Records) < maxPendingPingRecords {
		m.Records = append(old.Records, m.Records...)
	}
	q.bySender[from] = m
	return !replaced
}

// maxPendingPingRecords is how many records a pending ping may have before the records of a
// replaced ping are no longer added.
const maxPendingPingRecords = 64

// take removes and returns the pending ping of a sender.
func (q *pendingPings) take(from string) gossiper.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.bySender[from]
	delete(q.bySender, from)
	return m
}

// Gossip processes the body of a gossip datagram. The error is a decoding error. If the queue
// of the control loop is full, the datagram is dropped and false returned.
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

// handleGossip processes a message of another instance in the control loop.
func (c *Controller) handleGossip(from string, m gossiper.Message) {
	now := c.now()
	c.sendGossip(c.gossip.Handle(now, from, m))
	c.applyTargetRecords(now)
	c.collectEvidence(now)
	c.fetchNewerConfig()
	c.restoreCachedTargets(now)
	c.advanceCatchUp(now)
}
