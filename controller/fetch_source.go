package controller

import (
	"slices"
	"time"

	"almondpick/gossiper"
	"almondpick/ranker"
)

// localFetchDelay is how long an instance that is behind waits for a member of its own data centre
// to have the newer configuration, before it fetches from another data centre. The member that
// fetches at once reports the version at its next tick, half a tick after its call on average.
const localFetchDelay = 2 * tickInterval

// maxRelayReports is the number of members of its data centre to which an instance at once reports a
// version that it has fetched from another one. These pass the report on by gossip.
const maxRelayReports = 16

// fetchSources returns the members to choose from for the next call, given those that are known to
// have the newest configuration, members of this data centre first. It returns none while this
// instance waits for a member of its own data centre.
//
// Traffic between data centres costs money, so members of the own data centre come first: those
// known to have the version, then a storage instance, which likely has it from the log. Without
// either, one instance fetches from another data centre at once. The others wait for it, but no
// longer than localFetchDelay.
//
// An instance that needs the operator's document asks storage instances first. Others pass its
// request on, possibly to this instance itself.
func (c *Controller) fetchSources(newest []gossiper.Member, now time.Duration) []gossiper.Member {
	if c.needsDocument() {
		newest = storageFirst(newest)
	}
	if c.isLocal(newest[0]) {
		return newest
	}
	if m, ok := c.likelyFetchSource(); ok {
		return []gossiper.Member{m}
	}
	if now-c.fetch.behindSince >= localFetchDelay || c.fetchesForDataCentre(newest[0].ConfigVersion) {
		return newest
	}
	return nil
}

// storageFirst returns the members with the storage instances first, otherwise in the same order.
func storageFirst(members []gossiper.Member) []gossiper.Member {
	hasLog := func(m gossiper.Member) bool { return m.VoterID != "" }
	hasNoLog := func(m gossiper.Member) bool { return m.VoterID == "" }
	storage := slices.DeleteFunc(slices.Clone(members), hasNoLog)
	return append(storage, slices.DeleteFunc(slices.Clone(members), hasLog)...)
}

// isLocal reports whether a member is in the data centre of this instance.
func (c *Controller) isLocal(m gossiper.Member) bool {
	return m.DataCentre == c.settings.Self.DataCentre
}

// likelyFetchSource returns a storage instance of this data centre that has not been asked since it
// last brought something newer. Each instance ranks them differently, so that not all ask the same one.
// While a call is unanswered there is none: the members may be unable to answer.
func (c *Controller) likelyFetchSource() (gossiper.Member, bool) {
	var best gossiper.Member
	if c.fetch.calls > 0 {
		return best, false
	}
	first := highestRanked{key: ranker.Hash(c.settings.Self.Name)}
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if c.isLocal(m) && m.Alive() && m.VoterID != "" && c.fetch.asked[m.Name] == 0 && first.consider(m.Name) {
			best = m
		}
		return true
	})
	return best, best.Name != ""
}

// highestRanked is the instance with the highest score among those that were considered, in the
// rendezvous ranking for a key.
type highestRanked struct {
	key   uint64
	score uint64
	name  string // "" while none was considered
}

// consider adds an instance, and reports whether it has the highest score so far.
func (h *highestRanked) consider(name string) bool {
	score := ranker.Score(h.key, ranker.Hash(name))
	if h.name != "" && score <= h.score {
		return false
	}
	h.name, h.score = name, score
	return true
}

// fetchesForDataCentre reports whether this instance is the one of its data centre that fetches a
// configuration version from another data centre: the first of the rendezvous ranking among those
// that have no log.
func (c *Controller) fetchesForDataCentre(version uint64) bool {
	own := ranker.Score(version, ranker.Hash(c.settings.Self.Name))
	isFirst := true
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if c.isLocal(m) && m.Alive() && m.VoterID == "" {
			isFirst = ranker.Score(version, ranker.Hash(m.Name)) < own
		}
		return isFirst
	})
	return isFirst
}

// relaySubscribers returns the members of this data centre that are told at once of a version that
// was fetched from another one.
func (c *Controller) relaySubscribers() []string {
	var names []string
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if c.isLocal(m) && m.Alive() {
			names = append(names, m.Name)
		}
		return len(names) < maxRelayReports
	})
	return names
}
