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

// Intervals and limits of the target cache.
const (
	cacheSaveInterval = time.Second
	// cacheSavePauseFactor makes the pause after a save at least this many times as long as
	// the save took, so that a slow disk stays available to the log.
	cacheSavePauseFactor = 10
	// cacheMaxAge is the oldest age at which a cache is used. Other instances forget targets
	// that ended longer ago than this and would accept their records as new targets.
	cacheMaxAge = announcer.UnreachableRetention
)

// targetCache keeps the records of targets, and that of the fleet size, on the disk. The records
// are soft state, because targets announce themselves again within seconds. With the cache,
// callers need not wait for those announcements when the whole deployment has restarted.
//
// The disk alone does not tell which targets have left since the cache was written. Its
// records are therefore applied only after a majority of the voters has reported which
// departures their disks hold: every acknowledged departure is among those.
type targetCache struct {
	savedRevision  uint64 // registry revision of the last save
	savedFleetSize int    // fleet size in the last save
	nextSave       time.Duration
	saving         bool
	restored       bool // the records from before the restart have been applied

	pendingRecords       []gossiper.Record // read from the disk, not applied yet
	answeredVoters       map[voter.ID]bool // voters whose departures are known
	askedVoters          map[voter.ID]bool // voters with a request in progress
	nextDepartureRequest time.Duration     // earliest next request after a failure
}

// cachedTargets is the content of the cache file.
type cachedTargets struct {
	SavedAt int64             `cbor:"saved-at"` // Unix seconds
	Records []gossiper.Record `cbor:"records"`
}

// Validate validates every record.
func (s cachedTargets) Validate() error {
	return messenger.RecordList(s.Records).Validate()
}

// loadTargetCache reads the records of the targets that were known before the restart.
func (c *Controller) loadTargetCache() {
	b, err := journaler.LoadCache(c.settings.DataFolder)
	if err != nil {
		c.log.Warn("target-cache-read-failed", "error", err)
		return
	}
	if b == nil {
		return
	}
	var s cachedTargets
	if err := messenger.Decode(b, &s); err != nil {
		c.log.Warn("target-cache-read-failed", "error", err)
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

// restoreCachedTargets applies the records from the disk once a majority of the voters has
// reported its departures. Records of other instances are newer and take precedence. A target
// that its monitor instance does not hear from becomes unreachable after the usual time. If no
// majority answers before all targets have had time to announce themselves, the records are
// discarded.
func (c *Controller) restoreCachedTargets(now time.Duration) {
	if c.targetCache.pendingRecords == nil || c.voter == nil || c.voterErr != nil {
		return
	}
	voters := c.voter.Membership().Voters
	if c.departureQuorumReached(voters) {
		c.addReportedDepartures(c.departuresOnDisk())
		c.gossip.ImportRecords(now, c.targetCache.pendingRecords)
		c.applyTargetRecords(now)
		c.targetCache.savedRevision = c.registry.Revision()
		c.targetCache.restored = true
		c.log.Info("target-cache-restored", "records", len(c.targetCache.pendingRecords), "departures", len(c.departures.reported), "voters", len(voters))
		c.targetCache.pendingRecords = nil
		c.updateTargetsKnown()
		c.advanceCatchUp(now)
		return
	}
	if now >= c.allAnnouncedAt {
		c.log.Warn("target-cache-discarded", "records", len(c.targetCache.pendingRecords), "voters-heard", len(c.targetCache.answeredVoters), "voters", len(voters))
		c.targetCache.pendingRecords = nil
		return
	}
	c.requestDepartures(now, voters)
}

// departureQuorumReached reports whether the departures of a majority of the voters are known,
// those of this voter included.
func (c *Controller) departureQuorumReached(voters []voter.ID) bool {
	n := 0
	for _, id := range voters {
		if id == c.voter.ID() || c.targetCache.answeredVoters[id] {
			n++
		}
	}
	return n > len(voters)/2
}

// requestDepartures requests the departures of the voters that have not answered yet.
func (c *Controller) requestDepartures(now time.Duration, voters []voter.ID) {
	if now < c.targetCache.nextDepartureRequest {
		return
	}
	for _, id := range voters {
		to, ok := c.rpcAddressOf(id)
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
	c.targetCache.answeredVoters[voter.ID(reply.VoterID)] = true
	c.restoreCachedTargets(c.now())
}

// saveTargetCache writes the records of targets to the disk if they have changed. The write
// runs outside of the control loop, so that the log does not wait for it.
func (c *Controller) saveTargetCache(now time.Duration) {
	if c.journal == nil || c.targetCache.saving || now < c.targetCache.nextSave {
		return
	}
	revision, fleet := c.registry.Revision(), c.recordedFleetSize()
	if revision == c.targetCache.savedRevision && fleet == c.targetCache.savedFleetSize {
		return
	}
	s := cachedTargets{SavedAt: c.clock.Now().Unix()}
	for _, r := range c.gossip.AllRecords() {
		if strings.HasPrefix(r.Key, gossiper.TargetKeyPrefix) || r.Key == fleetSizeKey {
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
		c.runInLoop(c.ctx, func() { c.targetCacheSaved(revision, fleet, took, err) })
	}()
}

func writeTargetCache(folder string, s cachedTargets) error {
	b, err := messenger.Encode(s)
	if err != nil {
		return err
	}
	return journaler.SaveCache(folder, b)
}

func (c *Controller) targetCacheSaved(revision uint64, fleet int, took time.Duration, err error) {
	c.targetCache.saving = false
	c.targetCache.nextSave = c.now() + max(cacheSaveInterval, cacheSavePauseFactor*took)
	if err != nil {
		c.log.Warn("target-cache-save-failed", "error", err)
		return
	}
	c.targetCache.savedRevision, c.targetCache.savedFleetSize = revision, fleet
}
