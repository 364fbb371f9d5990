package controller

import (
	"sync"

	"almondpick/gossiper"
	"almondpick/messenger"
)

// pingQueue holds, by sender, the ping that waits for the control goroutine. Whoever gets no
// answer pings again; while this instance is behind, as a seed is when a whole deployment
// starts, only the newest ping of each sender is worth an answer. That bounds what waits by
// the number of instances.
type pingQueue struct {
	mu      sync.Mutex
	waiting map[string]gossiper.Message
}

// add notes a ping and tells whether it is the first of its sender that waits. The
// records of one that it replaces are kept: they are rumours that do not come again.
func (q *pingQueue) add(from string, m gossiper.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[string]gossiper.Message)
	}
	old, waits := q.waiting[from]
	if waits && len(old.Records) < keptPingRecords {
		m.Records = append(old.Records, m.Records...)
	}
	q.waiting[from] = m
	return !waits
}

// keptPingRecords is how many records a ping that waits may have gathered.
const keptPingRecords = 64

// take removes and returns the ping of a sender that waits.
func (q *pingQueue) take(from string) gossiper.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.waiting[from]
	delete(q.waiting, from)
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
		return c.postToLoop(func() { c.handle(from, m) }), nil
	}
	if !c.pings.add(from, m) {
		return true, nil
	}
	taken := c.postToLoop(func() { c.handle(from, c.pings.take(from)) })
	if !taken {
		c.pings.take(from)
	}
	return taken, nil
}

// handle takes in a message of another instance.
func (c *Controller) handle(from string, m gossiper.Message) {
	now := c.now()
	c.sendGossip(c.gossip.Handle(now, from, m))
	c.applyTargetRecords(now)
	c.fetchNewer()
	c.restoreCachedTargets(now)
	c.learnOn(now)
}
