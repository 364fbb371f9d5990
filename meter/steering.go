package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"almondpick/steerer"
)

// Steering holds the metrics of a flow door that steers by label.
type SteeringMetrics struct {
	meter     *Meter
	decisions map[steerer.Reason]prometheus.Counter
}

// Steering adds the metrics of a flow door that steers by label.
func (m *Meter) RegisterSteeringMetrics() *SteeringMetrics {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steering_decisions_total", Help: "Packets by what their verdict rests on.",
	}, []string{"reason"})
	m.registry.MustRegister(vec)
	s := &SteeringMetrics{meter: m, decisions: make(map[steerer.Reason]prometheus.Counter)}
	for _, r := range steerer.Reasons {
		s.decisions[r] = vec.WithLabelValues(string(r))
	}
	return s
}

// Decided counts a verdict.
func (s *SteeringMetrics) Decided(v steerer.Verdict) {
	s.decisions[v.Reason].Inc()
}

// Ended notes the end of a flow that was placed here.
func (s *SteeringMetrics) ObserveFlowEnd(r *steerer.Route, lasted time.Duration) {
	s.meter.ObserveFlowDuration(r.Class, r.Name, lasted)
}
