package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"almondpick/estimator"
)

// RegisterTargetEstimates registers the distribution of the estimates of targets, by pool. stats is
// called at every scrape. RegisterTargetEstimates must be called at most once.
func (m *Meter) RegisterTargetEstimates(stats func() []estimator.Stats) {
	labels := []string{poolLabel}
	m.registry.MustRegister(&estimateCollector{
		stats:       stats,
		lowest:      prometheus.NewDesc(namespace+"_target_speed_lowest", "Lowest estimate of the speed of a target, relative to a normal target of its pool.", labels, nil),
		median:      prometheus.NewDesc(namespace+"_target_speed_median", "Median of the estimates of the speeds of targets, relative to a normal target of their pool.", labels, nil),
		belowNormal: prometheus.NewDesc(namespace+"_targets_below_normal", "Targets that are estimated to be slower than the normal ones of their pool.", labels, nil),
		sharedAge:   prometheus.NewDesc(namespace+"_target_estimates_age_seconds", "Age of the shared evidence in use. Missing if an instance goes by its own.", labels, nil),
	})
}

// estimateCollector collects the estimates at the time of a scrape.
type estimateCollector struct {
	stats                                  func() []estimator.Stats
	lowest, median, belowNormal, sharedAge *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *estimateCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.lowest
	descs <- c.median
	descs <- c.belowNormal
	descs <- c.sharedAge
}

// Collect implements prometheus.Collector.
func (c *estimateCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, s := range c.stats() {
		metrics <- prometheus.MustNewConstMetric(c.lowest, prometheus.GaugeValue, s.Lowest, s.Pool)
		metrics <- prometheus.MustNewConstMetric(c.median, prometheus.GaugeValue, s.Median, s.Pool)
		metrics <- prometheus.MustNewConstMetric(c.belowNormal, prometheus.GaugeValue, float64(s.BelowNormal), s.Pool)
		if s.Shared {
			metrics <- prometheus.MustNewConstMetric(c.sharedAge, prometheus.GaugeValue, s.SharedAge.Seconds(), s.Pool)
		}
	}
}
