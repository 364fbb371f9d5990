package measurer

import (
	"math"
	"time"

	"almondpick/picker"
)

// breakCause is why a flow ended before its caller closed it.
type breakCause uint8

const (
	causeWrongTarget  breakCause = iota // a packet arrived at a target on which the flow is not open
	causeNoReply                        // a packet was lost with all its retransmissions
	causeRefused                        // an instance refused a packet of the flow
	causeTargetFailed                   // the target of the flow failed
)

var breakCauseNames = [...]string{"wrong-target", "silent", "refused", "target-death"}

// String returns the name of the cause.
func (c breakCause) String() string {
	return breakCauseNames[c]
}

// ImbalanceSample is the imbalance of the open flows per target at one time. Each value is
// the largest of any service.
type ImbalanceSample struct {
	Seconds     float64 `json:"at"` // since the start of the run
	MaxOverMean float64 `json:"max-mean"`
	CV          float64 `json:"cv"` // coefficient of variation
}

// Report holds the results of a run. The keys are the same for every scenario; the fields
// that a scenario does not measure are 0. Reverts, Lost, Doubled, FalseNotRun and Unknown
// are never set.
type Report struct {
	Scenario                string         `json:"scenario"`
	Deployment              string         `json:"deployment"`
	Policy                  Policy         `json:"policy"`
	Seed                    uint64         `json:"seed"`
	DurationSeconds         float64        `json:"seconds"`
	FlowsOpened             int            `json:"flows-opened"`
	FlowsFinished           int            `json:"flows-finished"`
	FlowsOpenAtEnd          int            `json:"flows-open"`
	RefusedFlows            int            `json:"refused-flows"`
	BrokenFlows             int            `json:"broken-flows"`
	BrokenFlowsByCause      map[string]int `json:"broken-by"`
	BrokenFlowShare         float64        `json:"broken-share"`          // of the broken flows and those open at the end
	OldestBrokenFlowSeconds float64        `json:"oldest-broken-seconds"` // largest age of a broken flow at the last crash, or at its end if no crash came after it opened
	FlowsEndedWithTarget    int            `json:"ended-with-target"`     // the target failed
	FlowsEndedByPartition   int            `json:"ended-cut-off"`         // caller or instances could not reach the target
	MisroutedPackets        int            `json:"misrouted-packets"`     // arrived at a target of another service
	Reverts                 int            `json:"reverts"`
	Lost                    int            `json:"lost"`
	Doubled                 int            `json:"doubled"`
	FalseNotRun             int            `json:"false-not-run"`
	Unknown                 int            `json:"unknown"`
	ImbalanceMaxOverMean    float64        `json:"imbalance-max-mean"`         // mean over time, of the first service
	ImbalanceCV             float64        `json:"imbalance-cv"`               // mean over time, of the first service
	RelayedPacketShare      float64        `json:"relayed-share"`              // relays per packet from the fabric
	LookupShare             float64        `json:"asked-share"`                // lookups per packet from the fabric
	ControlBytesPerSecond   float64        `json:"control-bytes-per-second"`   // sent per instance
	NonDefaultFlowShare     float64        `json:"exceptions-share"`           // of the opened flows
	TrackedFlowsPerInstance float64        `json:"tracked-flows-per-instance"` // flow table entries: owned flows, hints and replicas
	BytesPerFlow            float64        `json:"bytes-per-flow"`             // size of a flow table entry
	NewFlowsPerSecond       float64        `json:"new-flows-per-second"`       // rate at the end of the run
	ConfigPropagationMS     float64        `json:"in-force-ms"`                // until the first instance knows that all have the new configuration
	DeathDetectionMS        float64        `json:"recovery-ms"`                // until all live instances have declared a crashed one dead

	MessagesPerSecond    float64 `json:"messages-per-second"` // sent per instance
	BytesPerConfigChange float64 `json:"bytes-per-change"`    // sent per instance, beyond the idle traffic

	ConfigPropagationP50MS float64             `json:"in-force-p50-ms"`          // until an instance has a new configuration
	ConfigPropagationP99MS float64             `json:"in-force-p99-ms"`          // until an instance has a new configuration
	CallsPerConfigChange   float64             `json:"calls-per-change"`         // per instance
	RemoteCallShare        float64             `json:"remote-calls-share"`       // of the calls, those to another data centre
	ConfigChanges          []ConfigChangeBytes `json:"config-changes,omitempty"` // by what changed

	WaitP99MS           float64           `json:"wait-p99-ms"`       // from the arrival of a request to its start on a target
	IdealWaitP99MS      float64           `json:"ideal-wait-p99-ms"` // see idealQueue
	RefusedRequests     int               `json:"refused-work"`      // that were not completed, also because of an error or the deadline
	RequestsMaxOverMean float64           `json:"work-max-mean"`     // requests run per target
	GoodputShare        float64           `json:"goodput-share"`     // of the capacity
	ExtraRequestShare   float64           `json:"extra-work-share"`  // attempts beyond the completed requests, divided by these
	ImbalanceOverTime   []ImbalanceSample `json:"imbalance-over-time"`

	fabricPackets, relayedPackets int
	controlBytes                  float64
	oldestBrokenFlowAge           time.Duration
}

// imbalanceSums holds the sums of the imbalance samples of the first service.
type imbalanceSums struct {
	maxOverMean, cv float64
	count           int
}

func pow(x, y float64) float64 {
	return math.Pow(x, y)
}

// sampleImbalance updates the reported loads and samples the imbalance of every service.
func (s *flowSim) sampleImbalance() {
	s.events.schedule(s.now+imbalanceSampleInterval, eventSampleImbalance)
	for _, t := range s.targets {
		s.reportedLoads[t.name] = t.openFlows
	}
	if s.now < s.measuredSince {
		return
	}
	sample := ImbalanceSample{Seconds: s.now.Seconds()}
	sampledServices := 0
	for service := range s.deployment.Services {
		var openFlows []float64
		for _, i := range s.servingTargets(service) {
			if !s.excludedTargets[i] {
				openFlows = append(openFlows, float64(s.targets[i].openFlows))
			}
		}
		maxOverMean, cv := imbalance(openFlows)
		if maxOverMean > 0 {
			sample.MaxOverMean = max(sample.MaxOverMean, maxOverMean)
			sample.CV = max(sample.CV, cv)
			sampledServices++
		}
		if service == 0 && maxOverMean > 0 {
			s.imbalanceSums.maxOverMean += maxOverMean
			s.imbalanceSums.cv += cv
			s.imbalanceSums.count++
		}
	}
	if sampledServices > 0 {
		s.report.ImbalanceOverTime = append(s.report.ImbalanceOverTime, sample)
	}
}

// imbalance returns the largest value divided by the mean, and the coefficient of variation.
func imbalance(values []float64) (float64, float64) {
	sum, largest := 0.0, 0.0
	for _, value := range values {
		sum += value
		largest = max(largest, value)
	}
	if sum == 0 {
		return 0, 0
	}
	mean := sum / float64(len(values))
	squaredDeviations := 0.0
	for _, value := range values {
		squaredDeviations += (value - mean) * (value - mean)
	}
	return largest / mean, math.Sqrt(squaredDeviations/float64(len(values))) / mean
}

// finalReport returns the report of the finished run.
func (s *flowSim) finalReport() Report {
	r := s.report
	r.Scenario, r.Deployment, r.Policy, r.Seed = s.settings.Scenario, s.deployment.Name, s.policy, s.settings.Seed
	r.DurationSeconds = s.now.Seconds()
	r.NewFlowsPerSecond = s.newFlowRate
	var flowsOpened, nonDefaultFlows uint64
	lookups := uint64(0)
	runningInstances := 0
	for _, inst := range s.instances {
		if !inst.running {
			continue
		}
		runningInstances++
		entryCounts, counters := inst.flowPicker.EntryCounts(), inst.flowPicker.Counters()
		r.TrackedFlowsPerInstance += float64(entryCounts.Owned + entryCounts.Hints + entryCounts.Replicas)
		flowsOpened += counters.FlowsOpened
		nonDefaultFlows += counters.NonDefaultFlowsOpened
		lookups += counters.Lookups
	}
	for i := range s.flows {
		if s.flows[i].state == flowOpen {
			r.FlowsOpenAtEnd++
		}
	}
	r.TrackedFlowsPerInstance /= float64(max(1, runningInstances))
	r.BytesPerFlow = float64(picker.FlowEntrySize())
	r.NonDefaultFlowShare = ratio(float64(nonDefaultFlows), float64(flowsOpened))
	r.RelayedPacketShare = ratio(float64(r.relayedPackets), float64(r.fabricPackets))
	r.LookupShare = ratio(float64(lookups), float64(r.fabricPackets))
	r.BrokenFlowShare = ratio(float64(r.BrokenFlows), float64(r.FlowsOpenAtEnd+r.BrokenFlows))
	r.OldestBrokenFlowSeconds = r.oldestBrokenFlowAge.Seconds()
	r.ControlBytesPerSecond = r.controlBytes / float64(len(s.instances)) / (s.now - s.measuredSince).Seconds()
	if s.imbalanceSums.count > 0 {
		r.ImbalanceMaxOverMean = s.imbalanceSums.maxOverMean / float64(s.imbalanceSums.count)
		r.ImbalanceCV = s.imbalanceSums.cv / float64(s.imbalanceSums.count)
	}
	return r
}

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
