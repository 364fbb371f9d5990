package controller

import (
	"context"
	"time"

	"almondpick/messenger"
)

// isolationTimeout is how long an instance hears nothing, or stands still, before it has to
// catch up: rumours that went round meanwhile do not come again.
const isolationTimeout = time.Second

// retryInterval is how soon a call that failed while this instance learns is made again.
const retryInterval = 100 * time.Millisecond

// Answers of stores that are learning themselves: so many are asked one after the other,
// then there is a pause. At the first start of a large deployment all are learning, and all
// records are many bytes for each of its instances.
const (
	maxPartialReplies = 3
	partialReplyPause = time.Second
)

// Times for which a store that is learning holds the answer to a read of all records: until
// it knows the targets, or so long at most. One that has them on its disk will know them as
// soon as a majority has been heard.
const (
	recordsReplyDelay = 200 * time.Millisecond
	cachedRecordsReplyDelay = time.Second
)

// packedRecordsTTL is how long packed records are given out.
const packedRecordsTTL = 100 * time.Millisecond

// packedRecords are all records at a time, packed.
type packedRecords struct {
	packedAt       time.Duration
	targetsKnown bool // whether the targets were known then
	data     []byte
}

// recordsTimeout returns how long all records may take after some failures in a row. The
// first try is given up early, because the connection may have gone silent; a link that
// is too slow for it gets more time with each.
func recordsTimeout(failures int) time.Duration {
	const doublings = 3
	return peerCallTimeout << min(failures, doublings)
}

// advanceCatchUp takes the next steps of what an instance does after a start or an isolation:
// read the records, have the version confirmed, become ready. It is called whenever one
// of these may have become possible.
func (c *Controller) advanceCatchUp(now time.Duration) {
	if c.settings.VoterCount == 0 || (c.caughtUp && c.ready && c.configConfirmed) {
		return
	}
	c.requestRecords(now)
	c.updateReadiness(now)
}

// detectIsolation notices that this instance stood still or heard nobody for a while.
func (c *Controller) detectIsolation(now time.Duration) {
	stalled := now - c.lastTick
	c.lastTick = now
	silence := now - c.gossip.LastContact()
	if c.caughtUp && (stalled >= isolationTimeout || silence >= isolationTimeout) {
		c.caughtUp = false
		c.targetCache.restored = false
		c.allAnnouncedAt = now + readyTimeout
		c.log.Warn("isolated", "stood-still", stalled, "silence", silence)
	}
}

// requestRecords reads all records from the nearest store, once it is in reach after a start or
// an isolation. A store that is learning itself does not do: after a restart of
// everything it may know less than this instance.
func (c *Controller) requestRecords(now time.Duration) {
	if c.caughtUp || c.catchingUp || now < c.nextCatchUp || now-c.gossip.LastContact() >= isolationTimeout {
		return
	}
	from, ok := c.nearestStorageAddress(c.partialSource)
	if !ok {
		return
	}
	c.catchingUp = true
	c.runInBackground(recordsTimeout(c.catchUpFailures), func(ctx context.Context) func() {
		reply, err := c.transport.Records(ctx, from)
		return func() {
			c.catchingUp = false
			if err == nil {
				err = c.applyRecordsReply(from, reply)
			}
			if err != nil {
				c.catchUpFailures++
				c.nextCatchUp = c.now() + retryInterval
				c.log.Warn("catch-up-failed", "from", from, "error", err)
			}
		}
	})
}

// applyRecordsReply takes in what a store knows. When that one is learning, others are asked at
// once. It returns the error of an answer that cannot be read.
func (c *Controller) applyRecordsReply(from string, reply *messenger.RecordsReply) error {
	records, err := reply.Records()
	if err != nil {
		return err
	}
	c.catchUpFailures = 0
	c.gossip.TakeAll(c.now(), records)
	c.applyTargetRecords(c.now())
	if reply.Learning {
		c.log.Info("caught-up-in-part", "from", from, "records", len(records))
		c.partialSource = from
		c.partialReplies++
		if next, _ := c.nearestStorageAddress(from); next == from {
			c.nextCatchUp = c.now() + retryInterval // no other one is known yet
		}
		if c.partialReplies >= maxPartialReplies {
			c.partialReplies = 0
			c.nextCatchUp = c.now() + partialReplyPause
		}
		c.advanceCatchUp(c.now())
		return nil
	}
	c.caughtUp = true
	c.partialSource, c.partialReplies = "", 0
	c.updateTargetsKnown()
	c.log.Info("caught-up", "from", from, "records", len(records))
	c.advanceCatchUp(c.now())
	return nil
}

// knowsTargets tells whether this instance knows the targets: it has read what another one
// knew, or what it knew itself before a restart, or has run for so long that all have
// announced themselves.
func (c *Controller) knowsTargets() bool {
	return c.caughtUp || c.targetCache.restored || c.now() >= c.allAnnouncedAt
}

// Records returns all that this instance knows of instances and targets. While it is
// learning itself it answers a little later rather than in part. It returns a *ClosedError.
func (c *Controller) Records(ctx context.Context) (*messenger.RecordsReply, error) {
	c.awaitTargetsKnown(ctx)
	reply := &messenger.RecordsReply{}
	var err error
	ok := c.runInLoop(ctx, func() {
		reply.Packed, err = c.packRecords(c.now())
		reply.Learning = !c.knowsTargets()
	})
	if !ok {
		return nil, &ClosedError{}
	}
	return reply, err
}

// packRecords returns all records, packed. After a restart of everything all instances ask
// for them at once, so they are packed once for a while; what is newer comes by gossip.
func (c *Controller) packRecords(now time.Duration) ([]byte, error) {
	if c.packedRecords.data != nil && now-c.packedRecords.packedAt < packedRecordsTTL && c.packedRecords.targetsKnown == c.knowsTargets() {
		return c.packedRecords.data, nil
	}
	data, err := messenger.PackRecords(c.gossip.All())
	if err != nil {
		return nil, err
	}
	c.packedRecords = packedRecords{packedAt: now, targetsKnown: c.knowsTargets(), data: data}
	return data, nil
}

// awaitTargetsKnown waits, for a while, until this instance knows the targets.
func (c *Controller) awaitTargetsKnown(ctx context.Context) {
	var known chan struct{}
	maxDelay := recordsReplyDelay
	ok := c.runInLoop(ctx, func() {
		c.updateTargetsKnown()
		known = c.targetsKnown
		if c.targetCache.pendingRecords != nil {
			maxDelay = cachedRecordsReplyDelay
		}
	})
	if !ok || known == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxDelay)
	defer cancel()
	select {
	case <-known:
	case <-ctx.Done():
	case <-c.done:
	}
}

// updateTargetsKnown lets those go on who wait until this instance knows the targets.
func (c *Controller) updateTargetsKnown() {
	switch {
	case !c.knowsTargets() && c.targetsKnown == nil:
		c.targetsKnown = make(chan struct{})
	case c.knowsTargets() && c.targetsKnown != nil:
		close(c.targetsKnown)
		c.targetsKnown = nil
	}
}
