package controller

import (
	"context"
	"strings"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/journaler"
	"almondpick/messenger"
	"almondpick/voter"
)

// Times of the cache of targets.
const (
	cacheSaveInterval = time.Second
	// cacheSavePauseFactor is how many times as long as the last save took the next one waits at
	// least, so that a slow disk is left to the log.
	cacheSavePauseFactor = 10
	// cacheMaxAge is how old a cache may be. Others forget targets that ended as long ago,
	// and would take them for new ones.
	cacheMaxAge = announcer.ForgetAfter
)

// targetCache keeps the records of targets on the disk. They are soft state: targets
// announce themselves again within seconds. But when everything has restarted, callers
// need not wait for that.
//
// A disk alone does not tell who has left since it was written. The records that are read
// from it wait until a majority of the voters has said which departures their disks hold:
// whatever departure was acknowledged is among those.
type targetCache struct {
	savedRevision  uint64 // revision of the registry that was last saved
	nextSave   time.Duration
	saving bool
	restored bool // what was known before the restart has been taken in

	pendingRecords []gossiper.Record // read from the disk, not taken in yet
	answeredVoters   map[voter.ID]bool // voters whose departures are known
	askedVoters   map[voter.ID]bool // voters that are being asked
	nextDepartureRequest   time.Duration     // not to be asked again before
}

// cachedTargets is the content of the cache.
type cachedTargets struct {
	SavedAt int64             `cbor:"saved-at"` // Unix seconds
	Records []gossiper.Record `cbor:"records"`
}

// Validate checks every record.
func (s cachedTargets) Validate() error {
	return messenger.Records(s.Records).Validate()
}

// loadTargetCache reads the targets that were known before the restart.
func (c *Controller) loadTargetCache() {
	b, err := journaler.LoadCache(c.settings.DataFolder)
	if err != nil {
		c.log.Warn("target-cache-unreadable", "error", err)
		return
	}
	if b == nil {
		return
	}
	var s cachedTargets
	if err := messenger.Decode(b, &s); err != nil {
		c.log.Warn("target-cache-unreadable", "error", err)
		return
	}
	age := c.clock.Now().Sub(time.Unix(s.SavedAt, 0))
	if age > cacheMaxAge {
		c.log.Warn("target-cache-too-old", "age", age, "records", len(s.Records))
		return
	}
	c.targetCache.pendingRecords = append([]gossiper.Record{}, s.Records...)
	c.targetCache.answeredVoters = make(map[voter.ID]bool)
	c.targetCache.askedVoters = make(map[voter.ID]bool)
	c.log.Info("target-cache-read", "age", age, "records", len(s.Records))
	c.restoreCachedTargets(c.now())
}

// restoreCachedTargets takes in the records from the disk once it is known who has left. What
// others know of a target is newer and goes before them; a target that its home does not
// hear from is lost after the usual time. When no majority answers until all targets
// have announced themselves, the records are left out.
func (c *Controller) restoreCachedTargets(now time.Duration) {
	if c.targetCache.pendingRecords == nil || c.voter == nil || c.voterErr != nil {
		return
	}
	voters := c.voter.Membership().Voters
	if c.departureQuorumReached(voters) {
		c.addReportedDepartures(c.departuresOnDisk())
		c.gossip.TakeAll(now, c.targetCache.pendingRecords)
		c.applyTargetRecords(now)
		c.targetCache.savedRevision = c.registry.Revision()
		c.targetCache.restored = true
		c.log.Info("target-cache-taken", "records", len(c.targetCache.pendingRecords), "departures", len(c.departures.reported), "voters", len(voters))
		c.targetCache.pendingRecords = nil
		c.updateTargetsKnown()
		c.advanceCatchUp(now)
		return
	}
	if now >= c.allAnnouncedAt {
		c.log.Warn("target-cache-left-out", "records", len(c.targetCache.pendingRecords), "voters-heard", len(c.targetCache.answeredVoters), "voters", len(voters))
		c.targetCache.pendingRecords = nil
		return
	}
	c.requestDepartures(now, voters)
}

// departureQuorumReached tells whether the departures of a majority are known, this voter included.
func (c *Controller) departureQuorumReached(voters []voter.ID) bool {
	n := 0
	for _, id := range voters {
		if id == c.voter.ID() || c.targetCache.answeredVoters[id] {
			n++
		}
	}
	return n > len(voters)/2
}

// requestDepartures asks the voters that have not answered yet.
func (c *Controller) requestDepartures(now time.Duration, voters []voter.ID) {
	if now < c.targetCache.nextDepartureRequest {
		return
	}
	for _, id := range voters {
		to, ok := c.peerAddressOf(id)
		if !ok || id == c.voter.ID() || c.targetCache.answeredVoters[id] || c.targetCache.askedVoters[id] {
			continue
		}
		c.targetCache.askedVoters[id] = true
		c.runInBackground(peerCallTimeout, func(ctx context.Context) func() {
			reply, err := c.transport.Departures(ctx, to)
			return func() { c.handleDeparturesReply(id, reply, err) }
		})
	}
}

func (c *Controller) handleDeparturesReply(id voter.ID, reply *messenger.DeparturesReply, err error) {
	delete(c.targetCache.askedVoters, id)
	if err != nil {
		c.log.Info("departures-unread", "from", id, "error", err)
		c.targetCache.nextDepartureRequest = c.now() + retryInterval
		return
	}
	c.addReportedDepartures(reply.Departures)
	c.targetCache.answeredVoters[voter.ID(reply.Voter)] = true
	c.restoreCachedTargets(c.now())
}

// saveTargetCache writes the records of targets to the disk when they have changed. The
// write is made outside of the control goroutine; the log does not wait for it.
func (c *Controller) saveTargetCache(now time.Duration) {
	revision := c.registry.Revision()
	if c.journal == nil || c.targetCache.saving || now < c.targetCache.nextSave || revision == c.targetCache.savedRevision {
		return
	}
	s := cachedTargets{SavedAt: c.clock.Now().Unix()}
	for _, r := range c.gossip.All() {
		if strings.HasPrefix(r.Key, gossiper.TargetPrefix) {
			s.Records = append(s.Records, r)
		}
	}
	c.targetCache.saving = true
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		began := c.clock.Now()
		err := writeTargetCache(c.settings.DataFolder, s)
		took := c.clock.Now().Sub(began)
		c.runInLoop(c.ctx, func() { c.targetCacheSaved(revision, took, err) })
	}()
}

func writeTargetCache(folder string, s cachedTargets) error {
	b, err := messenger.Encode(s)
	if err != nil {
		return err
	}
	return journaler.SaveCache(folder, b)
}

func (c *Controller) targetCacheSaved(revision uint64, took time.Duration, err error) {
	c.targetCache.saving = false
	c.targetCache.nextSave = c.now() + max(cacheSaveInterval, cacheSavePauseFactor*took)
	if err != nil {
		c.log.Warn("target-cache-not-saved", "error", err)
		return
	}
	c.targetCache.savedRevision = revision
}
