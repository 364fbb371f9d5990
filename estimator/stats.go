package estimator

import (
	"slices"
	"strings"
	"time"
)

// Stats is the distribution of the estimates of a pool.
type Stats struct {
	Pool        string
	Lowest      float64 // speed
	Median      float64 // speed
	BelowNormal int     // number of targets
	Shared      bool    // rests on the evidence of many instances
	SharedAge   time.Duration
}

// Stats returns the distribution of the estimates of each pool.
func (e *Estimator) Stats(now time.Duration) []Stats {
	all := make([]Stats, 0, len(e.pools))
	for name, p := range e.pools {
		s := Stats{Pool: name, Shared: p.sharedIsRecent(now), SharedAge: now - p.sharedAt}
		speeds := make([]float64, 0, len(p.own.targets))
		for k := range p.own.targets {
			estimate := e.Estimate(now, name, k)
			speeds = append(speeds, estimate.Speed)
			if estimate.Deviates() {
				s.BelowNormal++
			}
		}
		if len(speeds) > 0 {
			slices.Sort(speeds)
			s.Lowest, s.Median = speeds[0], speeds[len(speeds)/2]
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Stats) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}
