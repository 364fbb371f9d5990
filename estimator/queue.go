package estimator

import "math"

// maxUtilisation is the highest utilisation that is assumed of a target. The queue of a target is
// bounded, and takes a while to grow after its speed has changed, so that its latency is lower than
// that of an unlimited queue.
const maxUtilisation = 0.8

// latencyFactor returns the latency of a target relative to the time that it works on a request,
// at a utilisation of its slots, by Sakasegawa's approximation for a queue with several servers.
func latencyFactor(utilisation float64, slots int) float64 {
	u, c := min(utilisation, maxUtilisation), float64(max(slots, 1))
	return 1 + math.Pow(u, math.Sqrt(2*(c+1))-1)/(c*(1-u))
}

// utilisationAt returns the utilisation at which a target has inProgress requests on average. It
// is the inverse of utilisation * slots * latencyFactor, which increases with the utilisation.
func utilisationAt(inProgress float64, slots int) float64 {
	const steps = 20 // halvings of the interval
	low, high := 0.0, maxUtilisation
	for range steps {
		middle := (low + high) / 2
		if middle*float64(max(slots, 1))*latencyFactor(middle, slots) < inProgress {
			low = middle
		} else {
			high = middle
		}
	}
	return (low + high) / 2
}

// workTime returns the time that a target works on a request, from its latency in seconds and the
// requests that it answers per second.
func workTime(latency, rate float64, slots int) float64 {
	return latency / latencyFactor(utilisationAt(rate*latency, slots), slots)
}
