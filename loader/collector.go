// Package loader is a load generator. It simulates the surroundings of the instances: a
// network fabric that sprays packets, targets that announce themselves, and callers that
// open flows and send requests. Its results come from what these simulations observe.
package loader

import (
	"sync"
	"time"

	"almondpick/parser"
)

// Collector collects what simulated callers and targets observe during one run.
type Collector struct {
	mu                 sync.Mutex
	openedFlows        int
	brokenFlowsByCause map[string]int // established flows that were lost
	refusedFlows       int            // flows that were never established
	misrouted          int            // packets and requests that reached a target of another service
	finishedFlows      int
	runsByRequest      map[string]*requestRuns
	requests           int
	requestsByOutcome  map[string]int
	duplicateRuns      int             // additional runs of requests that may run only once
	falseNotRun        int             // requests that ran although the caller was told "not-run"
	wrongResponses     int             // complete for their caller, but truncated or of another request
	latencies          []time.Duration // of all requests, also those without an outcome
	imbalanceSamples   []float64
	timesUntilInForce  []time.Duration // from the confirmation of a plan until it is in force everywhere
}

// requestRuns counts the runs of one request.
type requestRuns struct {
	count         int
	nonIdempotent bool
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{brokenFlowsByCause: make(map[string]int), runsByRequest: make(map[string]*requestRuns), requestsByOutcome: make(map[string]int)}
}

func (c *Collector) recordOpenedFlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedFlows++
}

func (c *Collector) recordBrokenFlow(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenFlowsByCause[cause]++
}

func (c *Collector) recordRefusedFlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusedFlows++
}

func (c *Collector) recordFinishedFlow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishedFlows++
}

// checkDestination checks that a packet for key reached a target of the right service. The
// target has the given service addresses.
func (c *Collector) checkDestination(serviceAddresses []string, key parser.FlowKey) {
	destination := key.ServiceAddrPort().String()
	for _, a := range serviceAddresses {
		if a == destination {
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misrouted++
}

// recordRun records that a target runs a request. A request with nonIdempotent may run at
// most once.
func (c *Collector) recordRun(requestID string, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runsByRequest[requestID]
	if runs == nil {
		runs = &requestRuns{nonIdempotent: nonIdempotent}
		c.runsByRequest[requestID] = runs
	}
	runs.count++
	if runs.count > 1 && nonIdempotent {
		c.duplicateRuns++
	}
}

// recordMisroutedRequest records a request that reached a target of another service.
func (c *Collector) recordMisroutedRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.misrouted++
}

// recordOutcome records the outcome that a caller received for its request, or noOutcome.
func (c *Collector) recordOutcome(requestID, outcome string, responseCorrect bool, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.requestsByOutcome[outcome]++
	runs := c.runsByRequest[requestID]
	if outcome == "not-run" && runs != nil {
		c.falseNotRun++
	}
	if !responseCorrect {
		c.wrongResponses++
	}
	c.latencies = append(c.latencies, latency)
}

func (c *Collector) recordImbalance(imbalance float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.imbalanceSamples = append(c.imbalanceSamples, imbalance)
}

// RecordTimeUntilInForce records the time from the confirmation of a plan until it was in
// force on all instances.
func (c *Collector) RecordTimeUntilInForce(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timesUntilInForce = append(c.timesUntilInForce, elapsed)
}
