// Package meter registers the Prometheus metrics of an instance. The number of label values
// is bounded: beyond a limit, all further pairs of tenant and class are recorded under the
// value "other".
package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"almondpick/forwarder"
	"almondpick/parser"
	"almondpick/picker"
	"almondpick/requester"
)

const (
	namespace          = "almondpick"
	maxLabelPairs      = 200 // pairs of tenant and class
	overflowLabel      = "other"
	smallestBucket     = 0.001 // seconds
	smallestFlowBucket = 0.1   // seconds
	bucketRatio        = 2
	bucketCount        = 18
)

// Meter holds the metrics of one instance.
type Meter struct {
	registry        *prometheus.Registry
	requestSeconds  *prometheus.HistogramVec
	slotWaitSeconds *prometheus.HistogramVec
	flowSeconds     *prometheus.HistogramVec
	refusedConfigs  prometheus.Counter

	mu         sync.Mutex
	labelPairs map[[2]string]bool
}

// New returns a Meter with the metrics of the process and the histograms of requests and
// flows.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry(), labelPairs: make(map[[2]string]bool)}
	m.requestSeconds = newHistogram("request_seconds", "Time from the arrival of a request to the end of its response.", smallestBucket, "tenant", "class", "outcome")
	m.slotWaitSeconds = newHistogram("wait_seconds", "Time that a request waited for a slot.", smallestBucket, "tenant", "class")
	m.flowSeconds = newHistogram("flow_seconds", "Duration of a flow, as seen by the instance that owns it.", smallestFlowBucket, "tenant", "class")
	m.refusedConfigs = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "configurations_refused_total", Help: "Configurations that this instance refused as invalid.",
	})
	m.registry.MustRegister(m.requestSeconds, m.slotWaitSeconds, m.flowSeconds, m.refusedConfigs, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// newHistogram returns a histogram with bucketCount buckets, of which the first ends at
// smallest seconds and each other at bucketRatio times the end of the one before.
func newHistogram(name, help string, smallest float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(smallest, bucketRatio, bucketCount),
	}, labels)
}

// ObserveSlotWait records the time that a request waited for a slot. It implements
// requester.Observer.
func (m *Meter) ObserveSlotWait(tenant, class string, wait time.Duration) {
	tenant, class = m.limitLabels(tenant, class)
	m.slotWaitSeconds.WithLabelValues(tenant, class).Observe(wait.Seconds())
}

// ObserveFlow records the duration of a flow that has ended.
func (m *Meter) ObserveFlow(tenant, class string, duration time.Duration) {
	tenant, class = m.limitLabels(tenant, class)
	m.flowSeconds.WithLabelValues(tenant, class).Observe(duration.Seconds())
}

// ConfigurationRefused counts a configuration that was refused as invalid. It implements
// platform.Observer.
func (m *Meter) ConfigurationRefused() {
	m.refusedConfigs.Inc()
}

// Gatherer returns the registered metrics, for an HTTP handler.
func (m *Meter) Gatherer() prometheus.Gatherer {
	return m.registry
}

// ObserveRequest records the duration and the outcome of a request. An empty outcome is
// recorded as "none". It implements requester.Observer.
func (m *Meter) ObserveRequest(tenant, class string, o requester.Outcome, duration time.Duration) {
	tenant, class = m.limitLabels(tenant, class)
	outcome := string(o)
	if outcome == "" {
		outcome = "none"
	}
	m.requestSeconds.WithLabelValues(tenant, class, outcome).Observe(duration.Seconds())
}

// limitLabels returns tenant and class, or overflowLabel for both when maxLabelPairs other
// pairs are in use.
func (m *Meter) limitLabels(tenant, class string) (string, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := [2]string{tenant, class}
	if m.labelPairs[pair] {
		return tenant, class
	}
	if len(m.labelPairs) >= maxLabelPairs {
		return overflowLabel, overflowLabel
	}
	m.labelPairs[pair] = true
	return tenant, class
}

// InstanceState holds the values of gauges that are read at every scrape.
type InstanceState struct {
	ConfigVersion        uint64
	Ready                bool
	QuorumUnreachable    bool // fewer voters are reachable than a quorum needs
	LiveMembers          int  // this instance included
	KnownTargets         int
	AcceptingTargetShare float64 // of the known targets, those that accept new flows; 0 to 1
}

// RegisterInstanceMetrics registers the metrics of the forwarder, the request proxy and the
// control state. It must be called at most once. state is called at every scrape, once for
// each gauge that needs it.
func (m *Meter) RegisterInstanceMetrics(f *forwarder.Forwarder, proxy *requester.Proxy, state func() InstanceState) {
	c := f.Counters()
	m.registerCounter("packets_received_total", "Packets from the fabric.", c.PacketsReceived.Load)
	m.registerCounter("packets_forwarded_total", "Packets sent to targets.", c.PacketsForwarded.Load)
	m.registerCounter("packets_relayed_total", "Packets sent to other instances.", c.PacketsRelayed.Load)
	m.registerCounter("packets_relayed_in_total", "Packets from other instances.", c.RelaysReceived.Load)
	m.registerCounter("packets_refused_total", "Packets rejected with a reply to the caller.", c.PacketsRefused.Load)
	m.registerCounter("packets_too_big_total", "Packets larger than the MTU of the path.", c.PacketsTooBig.Load)
	m.registerCounter("packets_forged_total", "Relayed packets, hints and control datagrams whose authentication code does not match.", c.DatagramsForged.Load)
	m.registerCounter("send_failed_total", "Datagrams that the operating system did not accept for sending.", c.SendErrors.Load)
	m.registerCounter("control_bytes_in_total", "Bytes of gossip and flow replication received.", c.ControlBytesReceived.Load)
	m.registerCounter("control_bytes_out_total", "Bytes of gossip, flow replication and hints sent.", c.ControlBytesSent.Load)
	m.registerCounter("control_dropped_total", "Control datagrams that were dropped.", c.ControlDatagramsDropped.Load)
	m.registerCounter("records_out_total", "Replication records sent, of flows whose target other instances cannot compute.", c.RecordsSent.Load)
	m.registerCounter("records_in_total", "Replication records received, of flows whose target this instance cannot compute.", c.RecordsReceived.Load)
	for _, fault := range parser.Faults() {
		m.registerLabelledCounter("packets_faulty_total", "Dropped packets, by fault.", "fault", fault.Name(), func() uint64 { return c.PacketsDropped(fault) })
	}
	for _, reason := range picker.Reasons() {
		m.registerLabelledCounter("decisions_total", "Flow decisions, by reason.", "reason", reason.String(), func() uint64 { return c.Decisions(reason) })
	}
	m.registerGauge("flows_owned", "Flows that this instance owns.", func() float64 { return float64(f.EntryCounts().Owned) })
	m.registerGauge("flows_hinted", "Flows owned by other instances that are known by a hint.", func() float64 { return float64(f.EntryCounts().Hints) })
	m.registerGauge("flows_replicated", "Flow replicas kept for other instances.", func() float64 { return float64(f.EntryCounts().Replicas) })
	m.registerGauge("flows_exceptional", "Flows whose target other instances cannot compute.", func() float64 { return float64(f.EntryCounts().NonDefaultFlows) })
	m.registerGauge("flow_imbalance", "Largest number of owned open flows on a target, divided by the mean over the targets that have any.", func() float64 { return f.OpenFlowImbalance() })
	m.registerGauge("requests_waiting", "Requests queued for a slot on this instance.", func() float64 { return float64(sum(proxy.QueuedRequests())) })
	m.registerGauge("configuration_version", "Version of the configuration in force.", func() float64 { return float64(state().ConfigVersion) })
	m.registerGauge("ready", "Whether the instance takes traffic.", func() float64 { return boolValue(state().Ready) })
	m.registerGauge("cut_off", "Whether fewer voters are reachable than a quorum needs.", func() float64 { return boolValue(state().QuorumUnreachable) })
	m.registerGauge("members_alive", "Live instances, this one included.", func() float64 { return float64(state().LiveMembers) })
	m.registerGauge("targets_known", "Known targets.", func() float64 { return float64(state().KnownTargets) })
	m.registerGauge("targets_fit_share", "Share of the known targets that accept new flows.", func() float64 { return state().AcceptingTargetShare })
}

// RegisterEvacuations registers a gauge for each data centre that is or was evacuated. evacuations is
// called at every scrape and says of each whether it is evacuated at present. RegisterEvacuations
// must be called at most once.
func (m *Meter) RegisterEvacuations(evacuations func() map[string]bool) {
	m.registry.MustRegister(&evacuationCollector{
		evacuations: evacuations,
		evacuated:   prometheus.NewDesc(namespace+"_evacuated", "Whether the data centre is evacuated: its targets get no new work.", []string{"data_centre"}, nil),
	})
}

// evacuationCollector collects the evacuations that are known at the time of a scrape.
type evacuationCollector struct {
	evacuations func() map[string]bool
	evacuated   *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c *evacuationCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.evacuated
}

// Collect implements prometheus.Collector.
func (c *evacuationCollector) Collect(metrics chan<- prometheus.Metric) {
	for dataCentre, inForce := range c.evacuations() {
		metrics <- prometheus.MustNewConstMetric(c.evacuated, prometheus.GaugeValue, boolValue(inForce), dataCentre)
	}
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *Meter) registerCounter(name, help string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

func (m *Meter) registerLabelledCounter(name, help, label, value string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}},
		func() float64 { return float64(read()) }))
}

func (m *Meter) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
