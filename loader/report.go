package loader

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Report sums a ledger up.
type Report struct {
	OpenedFlows         int            `json:"flows"`
	FinishedFlows       int            `json:"finished-flows"`
	BrokenFlows         int            `json:"broken-flows"`
	BrokenFlowsByCause  map[string]int `json:"broken-by"`
	RefusedFlows        int            `json:"refused-flows"`
	Misrouted           int            `json:"misrouted"`
	Requests            int            `json:"requests"`
	RequestsByOutcome   map[string]int `json:"outcomes"`
	DuplicateRuns       int            `json:"doubled"`
	FalseNotRun         int            `json:"false-not-run"`
	WrongResponses      int            `json:"wrong-answers"`
	MeanImbalance       float64        `json:"imbalance"`
	LatencyP50          time.Duration  `json:"latency-p50"`
	LatencyP99          time.Duration  `json:"latency-p99"`
	MaxTimeUntilInForce time.Duration  `json:"in-force"`
	ImbalanceSamples    []float64      `json:"imbalance-over-time"`
}

// Report returns the sums as of now.
func (l *Collector) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{
		OpenedFlows: l.flows, FinishedFlows: l.finished, BrokenFlowsByCause: maps.Clone(l.broken), RefusedFlows: l.refused, Misrouted: l.misrouted,
		Requests: l.requests, RequestsByOutcome: maps.Clone(l.outcomes), DuplicateRuns: l.doubled, FalseNotRun: l.falseNot,
		WrongResponses: l.wrong, ImbalanceSamples: slices.Clone(l.balance), MeanImbalance: 1,
	}
	for _, n := range l.broken {
		r.BrokenFlows += n
	}
	sum := 0.0
	for _, b := range l.balance {
		sum += b
	}
	if len(l.balance) > 0 {
		r.MeanImbalance = sum / float64(len(l.balance))
	}
	sorted := slices.Sorted(slices.Values(l.latencies))
	if n := len(sorted); n > 0 {
		r.LatencyP50 = sorted[n/2]
		r.LatencyP99 = sorted[n*99/100]
	}
	for _, d := range l.inForce {
		r.MaxTimeUntilInForce = max(r.MaxTimeUntilInForce, d)
	}
	return r
}

// Clean tells whether nothing happened that never may.
func (r Report) Passed() bool {
	return r.BrokenFlows == 0 && r.Misrouted == 0 && r.DuplicateRuns == 0 && r.FalseNotRun == 0 && r.WrongResponses == 0
}

// Line returns the report as key=value pairs.
func (r Report) SummaryLine() string {
	var causes []string
	for _, c := range slices.Sorted(maps.Keys(r.BrokenFlowsByCause)) {
		causes = append(causes, fmt.Sprintf(" broken-%s=%d", c, r.BrokenFlowsByCause[c]))
	}
	return fmt.Sprintf("flows=%d broken-flows=%d%s misrouted=%d requests=%d doubled=%d false-not-run=%d wrong-answers=%d unknown=%d refused-flows=%d imbalance=%.3f in-force-ms=%d",
		r.OpenedFlows, r.BrokenFlows, strings.Join(causes, ""), r.Misrouted, r.Requests, r.DuplicateRuns, r.FalseNotRun, r.WrongResponses,
		r.RequestsByOutcome["unknown"], r.RefusedFlows, r.MeanImbalance, r.MaxTimeUntilInForce.Milliseconds())
}
