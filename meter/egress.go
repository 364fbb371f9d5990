package meter

import (
	"time"

	"almondpick/diverter"
)

// EgressQueue is the queue of packets that wait for the instance's link.
type EgressQueue interface {
	Counters() *diverter.Counters
	QueuedBytes() int
}

// RegisterEgress registers the metrics of the queue in front of the instance's link. It must be
// called at most once.
func (s *SteeringMetrics) RegisterEgress(q EgressQueue) {
	m, c := s.meter, q.Counters()
	m.registry.MustRegister(s.egressSeconds)
	m.registerCounter("egress_queued_total", "Packets to targets that had to wait for the instance's link.", c.Queued.Load)
	m.registerCounter("egress_duplicates_total", "Packets that were dropped because an earlier transmission was waiting for the link, or had just been sent.", c.Duplicates.Load)
	m.registerCounter("egress_dropped_total", "Packets that were dropped because too many waited for the link.", c.QueueFull.Load)
	m.registerCounter("egress_late_total", "Packets that waited for the link for longer than their sender's retransmission timeout, and were sent.", c.SentLate.Load)
	m.registerGauge("egress_queued_bytes", "Bytes of the packets that wait for the link.", func() float64 { return float64(q.QueuedBytes()) })
}

// SentFromQueue records how long a packet waited for the instance's link. It implements
// diverter.Observer.
func (s *SteeringMetrics) SentFromQueue(waited time.Duration) {
	s.egressSeconds.WithLabelValues().Observe(waited.Seconds())
}
