package loader

import "time"

const balanceEvery = 500 * time.Millisecond

// Watch samples the imbalance of open flows over the targets that take new ones,
// until done is closed.
func SampleImbalance(clock Clock, ledger *Collector, groups func() [][]*Target, done <-chan struct{}) {
	ticks, stop := clock.Ticker(balanceEvery)
	defer stop()
	for {
		select {
		case <-done:
			return
		case <-ticks:
		}
		for _, group := range groups() {
			if v, ok := imbalance(group); ok {
				ledger.sampleBalance(v)
			}
		}
	}
}

// imbalance returns the largest number of open flows over the mean. Few flows say
// nothing about balance.
func imbalance(group []*Target) (float64, bool) {
	const least = 20 // flows a target
	most, sum := 0, 0
	for _, t := range group {
		n := t.OpenFlowCount()
		most = max(most, n)
		sum += n
	}
	if sum < least*len(group) || len(group) == 0 {
		return 0, false
	}
	return float64(most) * float64(len(group)) / float64(sum), true
}
