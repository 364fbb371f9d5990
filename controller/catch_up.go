package controller

import (
	"context"
	"time"

	"almondpick/messenger"
)

// isolationTimeout is how long an instance may receive no messages, or be stalled, before it
// has to catch up: records that gossip spread in the meantime are not sent again.
const isolationTimeout = time.Second

// retryInterval is how soon a failed call is repeated while this instance catches up.
const retryInterval = 100 * time.Millisecond

// Limits of partial replies, which come from storage instances that are catching up
// themselves. After maxPartialReplies of them the requests pause. At the first start of a
// large deployment every instance is catching up, and each reply with all records is large.
const (
	maxPartialReplies = 3
	partialReplyPause = time.Second
)

// Limits of the time for which a storage instance that is catching up delays its reply to a
// request for all records. The longer one applies while cached records are waiting: they are
// usable as soon as a majority of the voters has answered.
const (
	recordsReplyDelay       = 200 * time.Millisecond
	cachedRecordsReplyDelay = time.Second
)

// compressedRecordsTTL is how long a compressed copy of all records is reused.
const compressedRecordsTTL = 100 * time.Millisecond

// compressedRecords is a compressed copy of all records.
type compressedRecords struct {
	compressedAt time.Duration
	targetsKnown bool // the targets were known at compressedAt
	data         []byte
}

// recordsTimeout returns the timeout of a request for all records after a number of
// consecutive failures. The first timeout is short, because the connection may be dead. Each
// failure doubles the timeout, for links that are too slow, up to eight times the first one.
func recordsTimeout(failures int) time.Duration {
	const doublings = 3
	return peerCallTimeout << min(failures, doublings)
}

// advanceCatchUp takes the possible next steps after a start or an isolation: request the
// records, confirm the configuration version, become ready. It is called whenever one of these
// steps may have become possible.
func (c *Controller) advanceCatchUp(now time.Duration) {
	if c.settings.VoterCount == 0 || (c.caughtUp && c.ready && c.configConfirmed) {
		return
	}
	c.requestRecords(now)
	c.updateReadiness(now)
}

// detectIsolation detects that this instance was stalled, suspended with its machine, or received
// no messages for isolationTimeout.
func (c *Controller) detectIsolation(now time.Duration) {
	uptime := c.clock.Uptime()
	stalled := max(now-c.lastTick, uptime-c.lastUptime)
	c.lastTick, c.lastUptime = now, uptime
	silence := now - c.gossip.LastContact()
	if c.caughtUp && (stalled >= isolationTimeout || silence >= isolationTimeout) {
		c.caughtUp = false
		c.targetCache.restored = false
		c.allAnnouncedAt = now + readyTimeout
		c.log.Warn("isolated", "stood-still", stalled, "silence", silence)
	}
}

// requestRecords requests all records from the nearest storage instance, once one is reachable
// after a start or an isolation. A storage instance that is catching up itself is avoided:
// after a restart of the whole deployment it may know less than this instance.
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

// applyRecordsReply applies the records of a storage instance. After a partial reply another
// storage instance is asked at once. The error is that of a reply that cannot be decoded.
func (c *Controller) applyRecordsReply(from string, reply *messenger.RecordsReply) error {
	records, err := reply.DecodeRecords()
	if err != nil {
		return err
	}
	c.catchUpFailures = 0
	c.gossip.ImportRecords(c.now(), records)
	c.applyTargetRecords(c.now())
	if reply.Partial {
		c.log.Info("caught-up-in-part", "from", from, "records", len(records))
		c.partialSource = from
		c.partialReplies++
		if next, _ := c.nearestStorageAddress(from); next == from {
			c.nextCatchUp = c.now() + retryInterval // no other storage instance is known yet
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

// knowsTargets reports whether this instance knows the targets: it has read the records of
// another instance, or restored its own from before a restart, or has run for so long that all
// targets have announced themselves.
func (c *Controller) knowsTargets() bool {
	return c.caughtUp || c.targetCache.restored || c.now() >= c.allAnnouncedAt
}

// Records returns all records of instances and targets that this instance holds. While this
// instance is catching up, the reply is delayed to avoid a partial one. The error is a
// *ClosedError or an encoding error.
func (c *Controller) Records(ctx context.Context) (*messenger.RecordsReply, error) {
	c.awaitTargetsKnown(ctx)
	reply := &messenger.RecordsReply{}
	var err error
	ok := c.runInLoop(ctx, func() {
		reply.CompressedRecords, err = c.compressRecords(c.now())
		reply.Partial = !c.knowsTargets()
	})
	if !ok {
		return nil, &ClosedError{}
	}
	return reply, err
}

// compressRecords returns all records, compressed. The copy is reused for compressedRecordsTTL,
// because all instances request the records at once after a restart of the whole deployment.
// Newer records spread by gossip.
func (c *Controller) compressRecords(now time.Duration) ([]byte, error) {
	if c.compressedRecords.data != nil && now-c.compressedRecords.compressedAt < compressedRecordsTTL && c.compressedRecords.targetsKnown == c.knowsTargets() {
		return c.compressedRecords.data, nil
	}
	data, err := messenger.EncodeRecords(c.gossip.AllRecords())
	if err != nil {
		return nil, err
	}
	c.compressedRecords = compressedRecords{compressedAt: now, targetsKnown: c.knowsTargets(), data: data}
	return data, nil
}

// awaitTargetsKnown waits, for a limited time, until this instance knows the targets.
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

// updateTargetsKnown wakes the calls that wait until this instance knows the targets.
func (c *Controller) updateTargetsKnown() {
	switch {
	case !c.knowsTargets() && c.targetsKnown == nil:
		c.targetsKnown = make(chan struct{})
	case c.knowsTargets() && c.targetsKnown != nil:
		close(c.targetsKnown)
		c.targetsKnown = nil
	}
}
