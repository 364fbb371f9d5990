package controller

import (
	"strings"
	"time"

	"almondpick/announcer"
	"almondpick/estimator"
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/ranker"
)

// TargetObserver observes how targets answer, and uses what other instances have observed.
type TargetObserver interface {
	// TakeReports returns what was observed since the last call, by pool.
	TakeReports() map[string][]estimator.Report
	// HandleSummary replaces what is known of a pool by the observations of all instances.
	HandleSummary(pool string, s estimator.Summary)
}

// noTargetObserver is the TargetObserver of a controller without one.
type noTargetObserver struct{}

func (noTargetObserver) TakeReports() map[string][]estimator.Report { return nil }
func (noTargetObserver) HandleSummary(string, estimator.Summary)    {}

// evidenceExchange is the state of sharing what instances observe of targets.
type evidenceExchange struct {
	collector  *estimator.Collector // nil if this instance collects nothing
	revision   uint64               // of the registry, when the targets were last passed to the collector
	nextReport time.Duration
	sequence   uint64 // of the last report
}

// shareEvidence sends the reports of this instance to the collectors of the pools, and the
// summaries that this instance has collected to all instances.
func (c *Controller) shareEvidence(now time.Duration) {
	if !c.settings.TargetEstimates {
		return
	}
	if now >= c.evidence.nextReport {
		c.evidence.nextReport = now + estimator.ReportInterval
		c.updateCollectedTargets(now)
		for pool, reports := range c.targetObserver.TakeReports() {
			c.sendReports(now, pool, reports)
		}
	}
	if c.evidence.collector == nil {
		return
	}
	for pool, summary := range c.evidence.collector.TakeSummaries(now) {
		c.publishSummary(pool, summary)
	}
}

// sendReports sends reports to the collector of a pool. If there is none, they are lost: the
// evidence would be too old for the next one.
func (c *Controller) sendReports(now time.Duration, pool string, reports []estimator.Report) {
	to := c.collectorOf(pool)
	var records []gossiper.Record
	for _, r := range reports {
		c.evidence.sequence++
		if to == c.settings.Self.Name {
			c.evidence.collector.HandleReport(now, to, c.gossip.Incarnation(), c.evidence.sequence, pool, r)
			continue
		}
		body, err := messenger.Encode(r)
		if err != nil {
			c.log.Error("target-evidence-unsent", "pool", pool, "error", err)
			return
		}
		records = append(records, gossiper.Record{
			Key: gossiper.EstimateKeyPrefix + pool, Incarnation: c.gossip.Incarnation(), Sequence: c.evidence.sequence, Body: body,
		})
	}
	if len(records) > 0 {
		c.gossip.SendEvidence(to, records)
	}
}

// collectorOf returns the name of the instance that collects the evidence of a pool: the first of
// the rendezvous ranking among the live storage instances. It returns "" if there is none.
func (c *Controller) collectorOf(pool string) string {
	first := highestRanked{key: ranker.Hash(pool)}
	if c.evidence.collector != nil {
		first.consider(c.settings.Self.Name)
	}
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if m.Alive() && m.VoterID != "" {
			first.consider(m.Name)
		}
		return true
	})
	return first.name
}

// collectEvidence passes the reports that other instances have sent to the collector.
func (c *Controller) collectEvidence(now time.Duration) {
	for _, e := range c.gossip.TakeEvidence() {
		pool, ok := strings.CutPrefix(e.Record.Key, gossiper.EstimateKeyPrefix)
		if c.evidence.collector == nil || !ok {
			continue
		}
		var r estimator.Report
		if err := messenger.Decode(e.Record.Body, &r); err != nil {
			c.log.Warn("target-evidence-unread", "from", e.From, "pool", pool, "error", err)
			continue
		}
		c.evidence.collector.HandleReport(now, e.From, e.Record.Incarnation, e.Record.Sequence, pool, r)
	}
}

// updateCollectedTargets passes the targets to the collector when they have changed.
func (c *Controller) updateCollectedTargets(now time.Duration) {
	revision := c.registry.Revision()
	if c.evidence.collector == nil || c.evidence.revision == revision {
		return
	}
	c.evidence.revision = revision
	targets := make(map[string][]estimator.Target)
	c.registry.EachTarget(func(t announcer.Target) {
		if t.AcceptsNewWork(now) {
			key := estimator.Key{Label: uint32(t.Identity), Incarnation: uint8(t.Incarnation)}
			targets[t.Job] = append(targets[t.Job], estimator.Target{Key: key, Slots: max(t.Slots, 1)})
		}
	})
	c.evidence.collector.SetTargets(targets)
}

// publishSummary sends a summary to all instances. Its version follows that of the summary before
// it, whichever instance that is from.
func (c *Controller) publishSummary(pool string, s estimator.Summary) {
	body, err := messenger.Encode(s)
	if err != nil {
		c.log.Error("target-estimates-unpublished", "pool", pool, "error", err)
		return
	}
	key := gossiper.EstimateKeyPrefix + pool
	old, _ := c.gossip.Record(key)
	c.gossip.Broadcast(gossiper.Record{Key: key, Incarnation: old.Incarnation, Sequence: old.Sequence + 1, Body: body})
}

// handleEstimates passes a summary of this or another instance to the observer of targets.
func (c *Controller) handleEstimates(r gossiper.Record) {
	if !c.settings.TargetEstimates {
		return
	}
	var s estimator.Summary
	if err := messenger.Decode(r.Body, &s); err != nil {
		c.log.Warn("target-estimates-unread", "key", r.Key, "error", err)
		return
	}
	c.targetObserver.HandleSummary(strings.TrimPrefix(r.Key, gossiper.EstimateKeyPrefix), s)
}
