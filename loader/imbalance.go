package loader

import "time"

const imbalanceSampleInterval = 500 * time.Millisecond

// SampleImbalance records the imbalance of open flows in each group of targets
// periodically until done is closed. Every group has to hold only targets of one service
// that accept new flows.
func SampleImbalance(clock Clock, collector *Collector, targetGroups func() [][]*Target, done <-chan struct{}) {
	ticks, stop := clock.Ticker(imbalanceSampleInterval)
	defer stop()
	for {
		select {
		case <-done:
			return
		case <-ticks:
		}
		for _, targets := range targetGroups() {
			if imbalance, ok := openFlowImbalance(targets); ok {
				collector.recordImbalance(imbalance)
			}
		}
	}
}

// openFlowImbalance returns the ratio of the largest to the mean number of open flows of a
// target. It returns false if the flows are too few for a meaningful ratio.
func openFlowImbalance(targets []*Target) (float64, bool) {
	const minFlowsPerTarget = 20
	maxFlows, totalFlows := 0, 0
	for _, t := range targets {
		flows := t.OpenFlowCount()
		maxFlows = max(maxFlows, flows)
		totalFlows += flows
	}
	if totalFlows < minFlowsPerTarget*len(targets) || len(targets) == 0 {
		return 0, false
	}
	return float64(maxFlows) * float64(len(targets)) / float64(totalFlows), true
}
