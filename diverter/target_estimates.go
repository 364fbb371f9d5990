package diverter

import (
	"log/slog"

	"almondpick/estimator"
	"almondpick/steerer"
)

// TakeReports returns what this instance has observed of targets since the last call, by pool.
func (l *Listener) TakeReports() map[string][]estimator.Report {
	l.mu.Lock()
	reports, changes := l.steerer.TakeReports(), l.steerer.TakeEstimateChanges()
	l.mu.Unlock()
	l.logEstimateChanges(changes)
	return reports
}

// HandleSummary replaces the shared estimates of a pool.
func (l *Listener) HandleSummary(pool string, s estimator.Summary) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steerer.HandleSummary(l.now(), pool, s)
}

// EstimateStats returns the distribution of the estimates of targets, by pool.
func (l *Listener) EstimateStats() []estimator.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.steerer.EstimateStats(l.now())
}

// logEstimateChanges logs the targets whose estimates have fallen below half, or have recovered.
func (l *Listener) logEstimateChanges(changes []steerer.EstimateChange) {
	for _, c := range changes {
		state := "recovered"
		if c.Slow {
			state = "slow"
		}
		l.log.Info("target-estimate", slog.Any("endpoint", c.Target.Endpoint), slog.Uint64("identity", c.Target.Identity),
			slog.String("pool", c.Target.Pool), slog.String("state", state), slog.Float64("speed", c.Estimate.Speed),
			slog.Float64("concurrency", c.Estimate.Concurrency), slog.Int("slots", c.Target.Slots), slog.Float64("confidence", c.Estimate.Confidence),
			slog.Bool("shared", c.Estimate.Shared), slog.Duration("age", c.Estimate.Age))
	}
}
