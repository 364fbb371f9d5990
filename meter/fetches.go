package meter

import (
	"github.com/prometheus/client_golang/prometheus"

	"almondpick/controller"
)

// FetchMetrics holds the metrics of the replies by which an instance gets a newer configuration. It
// implements controller.FetchObserver.
type FetchMetrics struct {
	repliesByKind map[controller.FetchKind]prometheus.Counter
	bytesByKind   map[controller.FetchKind]prometheus.Counter
	discarded     prometheus.Counter
}

// RegisterFetchMetrics registers the metrics of the replies that bring a newer configuration. It
// must be called at most once.
func (m *Meter) RegisterFetchMetrics() *FetchMetrics {
	replies := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "configuration_fetches_total", Help: "Replies to calls for a newer configuration, by what they held.",
	}, []string{"kind"})
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "configuration_fetch_bytes_total", Help: "Bytes of the replies to calls for a newer configuration, by what they held.",
	}, []string{"kind"})
	f := &FetchMetrics{
		repliesByKind: make(map[controller.FetchKind]prometheus.Counter),
		bytesByKind:   make(map[controller.FetchKind]prometheus.Counter),
		discarded: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "configuration_changes_discarded_total", Help: "Changes that did not fit the configuration of this instance.",
		}),
	}
	for _, kind := range controller.FetchKinds() {
		f.repliesByKind[kind], f.bytesByKind[kind] = replies.WithLabelValues(string(kind)), bytes.WithLabelValues(string(kind))
	}
	m.registry.MustRegister(replies, bytes, f.discarded)
	return f
}

// Fetched counts a reply and its size in bytes. It implements controller.FetchObserver.
func (f *FetchMetrics) Fetched(kind controller.FetchKind, size int) {
	f.repliesByKind[kind].Inc()
	f.bytesByKind[kind].Add(float64(size))
}

// ChangeDiscarded counts a change that did not fit. It implements controller.FetchObserver.
func (f *FetchMetrics) ChangeDiscarded() {
	f.discarded.Inc()
}
