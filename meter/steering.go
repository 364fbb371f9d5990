package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"almondpick/admitter"
	"almondpick/steerer"
)

// poolLabel is the label for the name of a pool.
const poolLabel = "pool"

// SteeringMetrics holds the metrics of a diverter, which routes packets by their labels.
type SteeringMetrics struct {
	meter             *Meter
	decisionsByReason map[steerer.Reason]prometheus.Counter
	holdSeconds       *prometheus.HistogramVec
	egressSeconds     *prometheus.HistogramVec // without labels; see RegisterEgress
	slowStartPlaced   prometheus.Counter
	slowStartHeld     prometheus.Counter
}

// RegisterSteeringMetrics registers the metrics of a diverter. It must be called at most
// once.
func (m *Meter) RegisterSteeringMetrics() *SteeringMetrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steering_decisions_total", Help: "Decisions about packets, by reason. A packet that remains held is not counted again.",
	}, []string{"reason"})
	s := &SteeringMetrics{meter: m, decisionsByReason: make(map[steerer.Reason]prometheus.Counter)}
	s.holdSeconds = newHistogram("hold_seconds", "Time for which a packet was held before it was forwarded, refused or dropped.", smallestBucket, "tenant", "class", "action")
	s.egressSeconds = newHistogram("egress_wait_seconds", "Time for which a packet waited for the instance's link.", smallestBucket)
	slowStart := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "slow_start_flows_total", Help: "Flows placed on targets in slow start whose rate is known, and flows held because only such targets were left.",
	}, []string{"outcome"})
	s.slowStartPlaced, s.slowStartHeld = slowStart.WithLabelValues("placed"), slowStart.WithLabelValues("held")
	m.registry.MustRegister(decisions, s.holdSeconds, slowStart)
	for _, r := range steerer.Reasons {
		s.decisionsByReason[r] = decisions.WithLabelValues(string(r))
	}
	return s
}

// Decided counts a decision about a packet. It implements diverter.Observer.
func (s *SteeringMetrics) Decided(decision steerer.Decision) {
	s.decisionsByReason[decision.Reason].Inc()
	if decision.ToSlowStart {
		s.slowStartPlaced.Inc()
	}
	if decision.Reason == steerer.SlowStart {
		s.slowStartHeld.Inc()
	}
}

// ObserveFlowEnd records the duration of a flow whose target this instance selected. The
// class of the route is recorded as the tenant, and the name of the route as the class.
func (s *SteeringMetrics) ObserveFlowEnd(class, route string, duration time.Duration) {
	s.meter.ObserveFlow(class, route, duration)
}

// Released records how long a packet was held. The labels are those of ObserveFlowEnd; they are
// empty for a packet to an address without a route. It implements diverter.Observer.
func (s *SteeringMetrics) Released(decision steerer.Decision, heldFor time.Duration) {
	tenant, class := "", ""
	if decision.Route != nil {
		tenant, class = s.meter.limitLabels(decision.Route.Class, decision.Route.Name)
	}
	s.holdSeconds.WithLabelValues(tenant, class, decision.Action.String()).Observe(heldFor.Seconds())
}

// RegisterPoolLoads registers the requests in progress of each pool, and their limit. loads is
// called at every scrape. RegisterPoolLoads must be called at most once.
func (m *Meter) RegisterPoolLoads(loads func() []admitter.PoolLoad) {
	m.registry.MustRegister(&poolLoadCollector{
		loads:      loads,
		inProgress: prometheus.NewDesc(namespace+"_pool_requests", "Requests of this instance in progress at the targets of a pool.", []string{poolLabel}, nil),
		limit:      prometheus.NewDesc(namespace+"_pool_request_limit", "Requests of this instance that may be in progress at the targets of a pool.", []string{poolLabel}, nil),
	})
}

// poolLoadCollector collects the loads of the pools that exist at the time of a scrape.
type poolLoadCollector struct {
	loads             func() []admitter.PoolLoad
	inProgress, limit *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *poolLoadCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.inProgress
	descs <- c.limit
}

// Collect implements prometheus.Collector.
func (c *poolLoadCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, load := range c.loads() {
		metrics <- prometheus.MustNewConstMetric(c.inProgress, prometheus.GaugeValue, float64(load.InProgress), load.Pool)
		metrics <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, load.Limit, load.Pool)
	}
}

// AdmissionSource tells the state of admission. It is implemented by diverter.Listener.
type AdmissionSource interface {
	Loads() []admitter.LoadState
	Waiting() []admitter.WaitingState
}

// RegisterAdmission registers the requests in progress and the limit of each load, and the requests
// that wait, by route. source is asked at every scrape. RegisterAdmission must be called at most
// once.
func (m *Meter) RegisterAdmission(source AdmissionSource) {
	m.registry.MustRegister(&admissionCollector{
		meter: m, source: source,
		inProgress: prometheus.NewDesc(namespace+"_admission_in_progress", "Requests, or flows, of this instance in progress at a load.", []string{"load", poolLabel}, nil),
		limit:      prometheus.NewDesc(namespace+"_admission_limit", "Requests, or flows, of this instance that may be in progress at a load.", []string{"load", poolLabel}, nil),
		waiting:    prometheus.NewDesc(namespace+"_admission_waiting", "Requests that wait for a load, by pool and route.", []string{"load", poolLabel, "route"}, nil),
	})
}

// admissionCollector collects the loads that exist at the time of a scrape.
type admissionCollector struct {
	meter                      *Meter
	source                     AdmissionSource
	inProgress, limit, waiting *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *admissionCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.inProgress
	descs <- c.limit
	descs <- c.waiting
}

// Collect implements prometheus.Collector. Routes beyond the number of label values are added up.
func (c *admissionCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, load := range c.source.Loads() {
		metrics <- prometheus.MustNewConstMetric(c.inProgress, prometheus.GaugeValue, float64(load.InProgress), string(load.Reason), load.Pool)
		metrics <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, load.Limit, string(load.Reason), load.Pool)
	}
	waiting := make(map[[3]string]int)
	for _, w := range c.source.Waiting() {
		pool, route := c.meter.limitLabels(w.Pool, w.Route)
		waiting[[3]string{string(w.Reason), pool, route}] += w.Requests
	}
	for labels, n := range waiting {
		metrics <- prometheus.MustNewConstMetric(c.waiting, prometheus.GaugeValue, float64(n), labels[0], labels[1], labels[2])
	}
}
