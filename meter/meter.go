// Package meter makes the metrics of an instance. Label sets are bounded: tenants
// and classes beyond a limit are counted together.
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
	namespace       = "almondpick"
	labelLimit      = 200 // pairs of tenant and class
	otherLabel      = "other"
	firstBucket     = 0.001 // seconds
	firstFlowBucket = 0.1   // seconds
	bucketRatio     = 2
	bucketCount     = 18
)

// Meter holds the metrics of one instance.
type Meter struct {
	registry *prometheus.Registry
	requests *prometheus.HistogramVec
	waits    *prometheus.HistogramVec
	flows    *prometheus.HistogramVec

	mu     sync.Mutex
	labels map[[2]string]bool
}

// New returns a meter with the metrics of the process and of requests.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry(), labels: make(map[[2]string]bool)}
	m.requests = histogram("request_seconds", "Time from a request to the end of its answer.", firstBucket, "tenant", "class", "outcome")
	m.waits = histogram("wait_seconds", "Time that a request waited for a slot.", firstBucket, "tenant", "class")
	m.flows = histogram("flow_seconds", "Length of a flow, as its owner saw it.", firstFlowBucket, "tenant", "class")
	m.registry.MustRegister(m.requests, m.waits, m.flows, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func histogram(name, help string, first float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(first, bucketRatio, bucketCount),
	}, labels)
}

// Waited implements requester.Observer.
func (m *Meter) ObserveSlotWait(tenant, class string, d time.Duration) {
	tenant, class = m.bounded(tenant, class)
	m.waits.WithLabelValues(tenant, class).Observe(d.Seconds())
}

// Flow notes the end of a flow.
func (m *Meter) ObserveFlowDuration(tenant, class string, lasted time.Duration) {
	tenant, class = m.bounded(tenant, class)
	m.flows.WithLabelValues(tenant, class).Observe(lasted.Seconds())
}

// Gatherer returns the metrics for a handler.
func (m *Meter) Gatherer() prometheus.Gatherer {
	return m.registry
}

// Request implements requester.Observer.
func (m *Meter) ObserveRequest(tenant, class string, o requester.Outcome, took time.Duration) {
	tenant, class = m.bounded(tenant, class)
	outcome := string(o)
	if outcome == "" {
		outcome = "none"
	}
	m.requests.WithLabelValues(tenant, class, outcome).Observe(took.Seconds())
}

func (m *Meter) bounded(tenant, class string) (string, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pair := [2]string{tenant, class}
	if m.labels[pair] {
		return tenant, class
	}
	if len(m.labels) >= labelLimit {
		return otherLabel, otherLabel
	}
	m.labels[pair] = true
	return tenant, class
}

// State is what gauges are read from at every scrape.
type InstanceState struct {
	ConfigVersion        uint64
	Ready                bool
	QuorumUnreachable    bool
	LiveMembers          int
	KnownTargets         int
	AcceptingTargetShare float64
}

// Watch adds the metrics of a flow door and of the control state.
func (m *Meter) RegisterInstanceMetrics(f *forwarder.Forwarder, d *requester.Proxy, state func() InstanceState) {
	c := f.Counters()
	m.counter("packets_received_total", "Packets from the fabric.", c.Received.Load)
	m.counter("packets_forwarded_total", "Packets sent to targets.", c.Forwarded.Load)
	m.counter("packets_relayed_total", "Packets sent to other instances.", c.Relayed.Load)
	m.counter("packets_relayed_in_total", "Packets from other instances.", c.RelayedIn.Load)
	m.counter("packets_refused_total", "Packets answered with a refusal.", c.Refused.Load)
	m.counter("packets_too_big_total", "Packets that do not fit into the path.", c.TooBig.Load)
	m.counter("packets_forged_total", "Relays, hints and datagrams whose code does not match.", c.Forged.Load)
	m.counter("send_failed_total", "Datagrams that the system did not take.", c.SendFailed.Load)
	m.counter("control_bytes_in_total", "Bytes of gossip and replicas received.", c.ControlIn.Load)
	m.counter("control_bytes_out_total", "Bytes of gossip, replicas and hints sent.", c.ControlOut.Load)
	m.counter("control_dropped_total", "Control datagrams that were not taken in.", c.ControlDropped.Load)
	m.counter("records_out_total", "Records of exceptional flows sent.", c.RecordsOut.Load)
	m.counter("records_in_total", "Records of exceptional flows received.", c.RecordsIn.Load)
	for _, fault := range parser.Faults() {
		m.labelled("packets_faulty_total", "Packets dropped by fault.", "fault", fault.Name(), func() uint64 { return c.Fault(fault) })
	}
	for _, reason := range picker.Reasons() {
		m.labelled("decisions_total", "Flow decisions by reason.", "reason", reason.String(), func() uint64 { return c.Reason(reason) })
	}
	m.gauge("flows_owned", "Flows that this instance decides about.", func() float64 { return float64(f.Sizes().Owned) })
	m.gauge("flows_hinted", "Flows known by a hint.", func() float64 { return float64(f.Sizes().Hints) })
	m.gauge("flows_replicated", "Replicas kept for other instances.", func() float64 { return float64(f.Sizes().Replicas) })
	m.gauge("flows_exceptional", "Flows that others cannot derive.", func() float64 { return float64(f.Sizes().Exceptions) })
	m.gauge("flow_imbalance", "Largest over mean number of owned flows on a target.", func() float64 { return f.Imbalance() })
	m.gauge("requests_waiting", "Requests that wait for a slot here.", func() float64 { return float64(total(d.QueuedRequests())) })
	m.gauge("configuration_version", "Configuration in force.", func() float64 { return float64(state().ConfigVersion) })
	m.gauge("ready", "Whether the instance serves.", func() float64 { return truth(state().Ready) })
	m.gauge("cut_off", "Whether too few voters are in reach.", func() float64 { return truth(state().QuorumUnreachable) })
	m.gauge("members_alive", "Live instances, this one included.", func() float64 { return float64(state().LiveMembers) })
	m.gauge("targets_known", "Targets that are known.", func() float64 { return float64(state().KnownTargets) })
	m.gauge("targets_fit_share", "Share of the known targets that take new work.", func() float64 { return state().AcceptingTargetShare })
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *Meter) counter(name, help string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(read()) }))
}

func (m *Meter) labelled(name, help, label, value string, read func() uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}},
		func() float64 { return float64(read()) }))
}

func (m *Meter) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}
