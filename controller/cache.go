package controller

import (
	"strings"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/journaler"
	"almondpick/messenger"
)

// Times of the cache of targets.
const (
	saveEvery = time.Second
	// savePause is how many times as long as the last save took the next one waits at
	// least, so that a slow disk is left to the log.
	savePause = 10
	// cacheMaxAge is how old a cache may be. Others forget targets that ended as long ago,
	// and would take them for new ones.
	cacheMaxAge = announcer.ForgetAfter
)

// targetCache keeps the records of targets on the disk. They are soft state: targets
// announce themselves again within seconds. But when everything has restarted, callers
// need not wait for that.
type targetCache struct {
	saved  uint64 // revision of the registry that was last saved
	next   time.Duration
	saving bool
	loaded bool // what was known before the restart has been read
}

// savedTargets is the content of the cache.
type savedTargets struct {
	SavedAt int64             `cbor:"saved-at"` // Unix seconds
	Records []gossiper.Record `cbor:"records"`
}

// Validate checks every record.
func (s savedTargets) Validate() error {
	return messenger.RecordsReply{Records: s.Records}.Validate()
}

// loadTargets takes in the targets that were known before the restart. What others
// know of them is newer and goes before it; a target that its home does not hear from
// is lost after the usual time.
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
	c.gossip.TakeAll(c.now(), s.Records)
	c.learnTargets(c.now())
	c.cache.saved = c.registry.Revision()
	c.cache.loaded = true
	c.log.Info("target-cache-read", "age", age, "records", len(s.Records))
}

// saveTargets writes the records of targets to the disk when they have changed. The
// write is made outside of the control goroutine; the log does not wait for it.
func (c *Controller) saveTargets(now time.Duration) {
	revision := c.registry.Revision()
	if c.journal == nil || c.cache.saving || now < c.cache.next || revision == c.cache.saved {
		return
	}
	s := savedTargets{SavedAt: c.clock.Now().Unix()}
	for _, r := range c.gossip.All() {
		if strings.HasPrefix(r.Key, gossiper.TargetPrefix) {
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
