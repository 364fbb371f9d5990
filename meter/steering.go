package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"almondpick/steerer"
)

// SteeringMetrics holds the metrics of a diverter, which routes packets by their labels. It
// implements diverter.Observer.
type SteeringMetrics struct {
	meter             *Meter
	decisionsByReason map[steerer.Reason]prometheus.Counter
}

// RegisterSteeringMetrics registers the metrics of a diverter. It must be called at most
// once.
func (m *Meter) RegisterSteeringMetrics() *SteeringMetrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steering_decisions_total", Help: "Packets by the reason of the decision about them.",
	}, []string{"reason"})
	m.registry.MustRegister(decisions)
	s := &SteeringMetrics{meter: m, decisionsByReason: make(map[steerer.Reason]prometheus.Counter)}
	for _, r := range steerer.Reasons {
		s.decisionsByReason[r] = decisions.WithLabelValues(string(r))
	}
	return s
}

// Decided counts the decision about a packet.
func (s *SteeringMetrics) Decided(v steerer.Decision) {
	s.decisionsByReason[v.Reason].Inc()
}

// ObserveFlowEnd records the duration of a flow whose target this instance chose. The class
// of the route is recorded as the tenant, and its name as the class.
func (s *SteeringMetrics) ObserveFlowEnd(route *steerer.Route, duration time.Duration) {
	s.meter.ObserveFlow(route.Class, route.Name, duration)
}
