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
	saveEvery = time.Second
	// savePause is how many times as long as the last save took the next one waits at
	// least, so that a slow disk is left to the log.
	savePause = 10
	// cacheMaxAge is how old a cache may be. Others forget targets that ended as long ago,
	// and would take them for new ones.
	cacheMaxAge = announcer.UnreachableRetention
)

// targetCache keeps the records of targets on the disk. They are soft state: targets
// announce themselves again within seconds. But when everything has restarted, callers
// need not wait for that.
//
// A disk alone does not tell who has left since it was written. The records that are read
// from it wait until a majority of the voters has said which departures their disks hold:
// whatever departure was acknowledged is among those.
type targetCache struct {
	saved  uint64 // revision of the registry that was last saved
	next   time.Duration
	saving bool
	loaded bool // what was known before the restart has been taken in

	pending []gossiper.Record // read from the disk, not taken in yet
	heard   map[voter.ID]bool // voters whose departures are known
	asked   map[voter.ID]bool // voters that are being asked
	askAt   time.Duration     // not to be asked again before
}

// savedTargets is the content of the cache.
type savedTargets struct {
	SavedAt int64             `cbor:"saved-at"` // Unix seconds
	Records []gossiper.Record `cbor:"records"`
}

// Validate checks every record.
func (s savedTargets) Validate() error {
	return messenger.RecordList(s.Records).Validate()
}

// loadTargets reads the targets that were known before the restart.
func (c *Controller) loadTargets() {
	b, err := journaler.LoadCache(c.set.DataFolder)
	if err != nil {
		c.log.Warn("target-cache-unreadable", "error", err)
		return
	}
	if b == nil {
		return
	}
	var s savedTargets
	if err := messenger.Decode(b, &s); err != nil {
		c.log.Warn("target-cache-unreadable", "error", err)
		return
	}
	age := c.clock.Now().Sub(time.Unix(s.SavedAt, 0))
	if age > cacheMaxAge {
		c.log.Warn("target-cache-too-old", "age", age, "records", len(s.Records))
		return
	}
	c.cache.pending = append([]gossiper.Record{}, s.Records...)
	c.cache.heard = make(map[voter.ID]bool)
	c.cache.asked = make(map[voter.ID]bool)
	c.log.Info("target-cache-read", "age", age, "records", len(s.Records))
	c.settleCache(c.now())
}

// settleCache takes in the records from the disk once it is known who has left. What
// others know of a target is newer and goes before them; a target that its home does not
// hear from is lost after the usual time. When no majority answers until all targets
// have announced themselves, the records are left out.
func (c *Controller) settleCache(now time.Duration) {
	if c.cache.pending == nil || c.voter == nil || c.voterErr != nil {
		return
	}
	voters := c.voter.Membership().Voters
	if c.heardQuorum(voters) {
		c.hearDepartures(c.heldDepartures())
		c.gossip.ImportRecords(now, c.cache.pending)
		c.learnTargets(now)
		c.cache.saved = c.registry.Revision()
		c.cache.loaded = true
		c.log.Info("target-cache-taken", "records", len(c.cache.pending), "departures", len(c.departing.heard), "voters", len(voters))
		c.cache.pending = nil
		c.noteInformed()
		c.learnOn(now)
		return
	}
	if now >= c.heardAllAt {
		c.log.Warn("target-cache-left-out", "records", len(c.cache.pending), "voters-heard", len(c.cache.heard), "voters", len(voters))
		c.cache.pending = nil
		return
	}
	c.askDepartures(now, voters)
}

// heardQuorum tells whether the departures of a majority are known, this voter included.
func (c *Controller) heardQuorum(voters []voter.ID) bool {
	n := 0
	for _, id := range voters {
		if id == c.voter.ID() || c.cache.heard[id] {
			n++
		}
	}
	return n > len(voters)/2
}

// askDepartures asks the voters that have not answered yet.
func (c *Controller) askDepartures(now time.Duration, voters []voter.ID) {
	if now < c.cache.askAt {
		return
	}
	for _, id := range voters {
		to, ok := c.addressOf(id)
		if !ok || id == c.voter.ID() || c.cache.heard[id] || c.cache.asked[id] {
			continue
		}
		c.cache.asked[id] = true
		c.background(fetchTimeout, func(ctx context.Context) func() {
			reply, err := c.transport.Departures(ctx, to)
			return func() { c.takeDeparturesOf(id, reply, err) }
		})
	}
}

func (c *Controller) takeDeparturesOf(id voter.ID, reply *messenger.DeparturesReply, err error) {
	delete(c.cache.asked, id)
	if err != nil {
		c.log.Info("departures-unread", "from", id, "error", err)
		c.cache.askAt = c.now() + retryEvery
		return
	}
	c.hearDepartures(reply.Departures)
	c.cache.heard[voter.ID(reply.VoterID)] = true
	c.settleCache(c.now())
}

// saveTargets writes the records of targets to the disk when they have changed. The
// write is made outside of the control goroutine; the log does not wait for it.
func (c *Controller) saveTargets(now time.Duration) {
	revision := c.registry.Revision()
	if c.journal == nil || c.cache.saving || now < c.cache.next || revision == c.cache.saved {
		return
	}
	s := savedTargets{SavedAt: c.clock.Now().Unix()}
	for _, r := range c.gossip.AllRecords() {
		if strings.HasPrefix(r.Key, gossiper.TargetKeyPrefix) {
			s.Records = append(s.Records, r)
		}
	}
	c.cache.saving = true
	c.closed.Add(1)
	go func() {
		defer c.closed.Done()
		began := c.clock.Now()
		err := saveCache(c.set.DataFolder, s)
		took := c.clock.Now().Sub(began)
		c.do(c.ctx, func() { c.targetsSaved(revision, took, err) })
	}()
}

func saveCache(folder string, s savedTargets) error {
	b, err := messenger.Encode(s)
	if err != nil {
		return err
	}
	return journaler.SaveCache(folder, b)
}

func (c *Controller) targetsSaved(revision uint64, took time.Duration, err error) {
	c.cache.saving = false
	c.cache.next = c.now() + max(saveEvery, savePause*took)
	if err != nil {
		c.log.Warn("target-cache-not-saved", "error", err)
		return
	}
	c.cache.saved = revision
}
