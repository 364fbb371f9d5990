package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"almondpick/steerer"
)

// SteeringMetrics holds the metrics of a diverter, which routes packets by their labels.
type SteeringMetrics struct {
	meter             *Meter
	decisionsByReason map[steerer.Reason]prometheus.Counter
}

// RegisterSteeringMetrics registers the metrics of a diverter. It must be called at most
// once.
func (m *Meter) RegisterSteeringMetrics() *SteeringMetrics {
	decisions := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "steering_decisions_total", Help: "Decisions about packets, by reason. A packet that remains held is not counted again.",
	}, []string{"reason"})
	m.registry.MustRegister(decisions)
	s := &SteeringMetrics{meter: m, decisionsByReason: make(map[steerer.Reason]prometheus.Counter)}
	for _, r := range steerer.Reasons {
		s.decisionsByReason[r] = decisions.WithLabelValues(string(r))
	}
	return s
}

// Decided counts a decision about a packet. It implements diverter.Observer.
func (s *SteeringMetrics) Decided(decision steerer.Decision) {
	s.decisionsByReason[decision.Reason].Inc()
}

// ObserveFlowEnd records the duration of a flow whose target this instance selected. The
// class of the route is recorded as the tenant, and the name of the route as the class.
func (s *SteeringMetrics) ObserveFlowEnd(route *steerer.Route, duration time.Duration) {
	s.meter.ObserveFlow(route.Class, route.Name, duration)
}
