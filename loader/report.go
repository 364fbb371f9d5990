package loader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report holds the results of a run.
type Report struct {
	OpenedFlows         int            `json:"flows"`
	FinishedFlows       int            `json:"finished-flows"`
	BrokenFlows         int            `json:"broken-flows"`
	BrokenFlowsByCause  map[string]int `json:"broken-by"`
	RefusedFlows        int            `json:"refused-flows"`
	Misrouted           int            `json:"misrouted"` // packets and requests
	Requests            int            `json:"requests"`
	RequestsByOutcome   map[string]int `json:"outcomes"`
	DuplicateRuns       int            `json:"doubled"`       // of requests that may run only once
	FalseNotRun         int            `json:"false-not-run"` // requests that ran although the caller was told "not-run"
	WrongResponses      int            `json:"wrong-answers"`
	MeanImbalance       float64        `json:"imbalance"`   // largest over mean number of open flows; 1 without samples
	LatencyP50          time.Duration  `json:"latency-p50"` // of all requests, also those without an outcome
	LatencyP99          time.Duration  `json:"latency-p99"`
	MaxTimeUntilInForce time.Duration  `json:"in-force"` // of a confirmed plan
	ImbalanceSamples    []float64      `json:"imbalance-over-time"`
}

// Report returns the results so far.
func (c *Collector) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{
		OpenedFlows: c.openedFlows, FinishedFlows: c.finishedFlows, BrokenFlowsByCause: maps.Clone(c.brokenFlowsByCause), RefusedFlows: c.refusedFlows, Misrouted: c.misrouted,
		Requests: c.requests, RequestsByOutcome: maps.Clone(c.requestsByOutcome), DuplicateRuns: c.duplicateRuns, FalseNotRun: c.falseNotRun,
		WrongResponses: c.wrongResponses, ImbalanceSamples: slices.Clone(c.imbalanceSamples), MeanImbalance: 1,
	}
	for _, n := range c.brokenFlowsByCause {
		r.BrokenFlows += n
	}
	sum := 0.0
	for _, imbalance := range c.imbalanceSamples {
		sum += imbalance
	}
	if len(c.imbalanceSamples) > 0 {
		r.MeanImbalance = sum / float64(len(c.imbalanceSamples))
	}
	sorted := slices.Sorted(slices.Values(c.latencies))
	if n := len(sorted); n > 0 {
		r.LatencyP50 = sorted[n/2]
		r.LatencyP99 = sorted[n*99/100]
	}
	for _, elapsed := range c.timesUntilInForce {
		r.MaxTimeUntilInForce = max(r.MaxTimeUntilInForce, elapsed)
	}
	return r
}

// Passed reports whether the run showed no violation of what the load balancer guarantees.
func (r Report) Passed() bool {
	return r.BrokenFlows == 0 && r.Misrouted == 0 && r.DuplicateRuns == 0 && r.FalseNotRun == 0 && r.WrongResponses == 0
}

// SummaryLine returns the report as key=value pairs on one line.
func (r Report) SummaryLine() string {
	var causes []string
	for _, cause := range slices.Sorted(maps.Keys(r.BrokenFlowsByCause)) {
		causes = append(causes, fmt.Sprintf(" broken-%s=%d", cause, r.BrokenFlowsByCause[cause]))
	}
	return fmt.Sprintf("flows=%d broken-flows=%d%s misrouted=%d requests=%d doubled=%d false-not-run=%d wrong-answers=%d unknown=%d refused-flows=%d imbalance=%.3f in-force-ms=%d",
		r.OpenedFlows, r.BrokenFlows, strings.Join(causes, ""), r.Misrouted, r.Requests, r.DuplicateRuns, r.FalseNotRun, r.WrongResponses,
		r.RequestsByOutcome["unknown"], r.RefusedFlows, r.MeanImbalance, r.MaxTimeUntilInForce.Milliseconds())
}
