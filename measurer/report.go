package measurer

import (
	"math"
	"time"

	"almondpick/picker"
)

// cause is why a flow broke.
type cause uint8

const (
	causeWrongTarget cause = iota // a packet reached a target that did not know the flow
	causeSilent                   // packets were lost again and again
	causeRefused                  // the flow was reset by an instance
	causeTarget                   // its target died
)

var causeNames = [...]string{"wrong-target", "silent", "refused", "target-death"}

// String returns the name of the cause.
func (c cause) String() string {
	return causeNames[c]
}

// Sample is the balance at one time.
type ImbalanceSample struct {
	Seconds     float64 `json:"at"` // seconds
	MaxOverMean float64 `json:"max-mean"`
	CV          float64 `json:"cv"`
}

// Report is what a run gave. Its keys are the same in every scenario; what a
// scenario does not touch is 0.
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
	BrokenFlowShare         float64        `json:"broken-share"`
	OldestBrokenFlowSeconds float64        `json:"oldest-broken-seconds"`
	FlowsEndedWithTarget    int            `json:"ended-with-target"`
	FlowsEndedByPartition   int            `json:"ended-cut-off"`
	MisroutedPackets        int            `json:"misrouted-packets"`
	Reverts                 int            `json:"reverts"`
	Lost                    int            `json:"lost"`
	Doubled                 int            `json:"doubled"`
	FalseNotRun             int            `json:"false-not-run"`
	Unknown                 int            `json:"unknown"`
	ImbalanceMaxOverMean    float64        `json:"imbalance-max-mean"`
	ImbalanceCV             float64        `json:"imbalance-cv"`
	RelayedPacketShare      float64        `json:"relayed-share"`
	LookupShare             float64        `json:"asked-share"`
	ControlBytesPerSecond   float64        `json:"control-bytes-per-second"`
	NonDefaultFlowShare     float64        `json:"exceptions-share"`
	TrackedFlowsPerInstance float64        `json:"tracked-flows-per-instance"`
	BytesPerFlow            float64        `json:"bytes-per-flow"`
	NewFlowsPerSecond       float64        `json:"new-flows-per-second"`
	ConfigPropagationMS     float64        `json:"in-force-ms"`
	DeathDetectionMS        float64        `json:"recovery-ms"`

	MessagesPerSecond    float64 `json:"messages-per-second"`
	BytesPerConfigChange float64 `json:"bytes-per-change"`

	WaitP99MS           float64           `json:"wait-p99-ms"`
	IdealWaitP99MS      float64           `json:"ideal-wait-p99-ms"`
	RefusedRequests     int               `json:"refused-work"`
	RequestsMaxOverMean float64           `json:"work-max-mean"`
	GoodputShare        float64           `json:"goodput-share"`
	ExtraRequestShare   float64           `json:"extra-work-share"`
	ImbalanceOverTime   []ImbalanceSample `json:"imbalance-over-time"`

	packets, relayed, records int
	controlBytes              float64
	oldestBroken              time.Duration
}

// samples sums up the balance over time, service by service.
type samples struct {
	maxMean, cv float64
	n           int
}

func pow(x, y float64) float64 {
	return math.Pow(x, y)
}

// sample looks at the balance of every service.
func (s *sim) sample() {
	s.queue.add(s.now+sampleEvery, evSample)
	for _, t := range s.targets {
		s.loads[t.name] = t.open
	}
	if s.now < s.started {
		return
	}
	one := ImbalanceSample{Seconds: s.now.Seconds()}
	n := 0
	for svc := range s.size.Services {
		var counts []float64
		for _, i := range s.serving(svc) {
			if !s.unfair[i] {
				counts = append(counts, float64(s.targets[i].open))
			}
		}
		maxMean, cv := balance(counts)
		if maxMean > 0 {
			one.MaxOverMean = max(one.MaxOverMean, maxMean)
			one.CV = max(one.CV, cv)
			n++
		}
		if svc == 0 && maxMean > 0 {
			s.samples.maxMean += maxMean
			s.samples.cv += cv
			s.samples.n++
		}
	}
	if n > 0 {
		s.report.ImbalanceOverTime = append(s.report.ImbalanceOverTime, one)
	}
}

// balance returns the largest value over the mean, and the coefficient of variation.
func balance(counts []float64) (float64, float64) {
	sum, most := 0.0, 0.0
	for _, c := range counts {
		sum += c
		most = max(most, c)
	}
	if sum == 0 {
		return 0, 0
	}
	mean := sum / float64(len(counts))
	square := 0.0
	for _, c := range counts {
		square += (c - mean) * (c - mean)
	}
	return most / mean, math.Sqrt(square/float64(len(counts))) / mean
}

// finish sums the run up.
func (s *sim) finish() Report {
	r := s.report
	r.Scenario, r.Deployment, r.Policy, r.Seed = s.set.Scenario, s.size.Name, s.policy, s.set.Seed
	r.DurationSeconds = s.now.Seconds()
	r.NewFlowsPerSecond = s.rate
	var opened, exceptions uint64
	asked := uint64(0)
	running := 0
	for _, one := range s.instances {
		if !one.running {
			continue
		}
		running++
		sizes, c := one.decider.EntryCounts(), one.decider.Counters()
		r.TrackedFlowsPerInstance += float64(sizes.Owned + sizes.Hints + sizes.Replicas)
		opened += c.FlowsOpened
		exceptions += c.NonDefaultFlowsOpened
		asked += c.Lookups
	}
	for i := range s.flows {
		if s.flows[i].state == flowOpen {
			r.FlowsOpenAtEnd++
		}
	}
	r.TrackedFlowsPerInstance /= float64(max(1, running))
	r.BytesPerFlow = float64(picker.FlowEntrySize())
	r.NonDefaultFlowShare = share(float64(exceptions), float64(opened))
	r.RelayedPacketShare = share(float64(r.relayed), float64(r.packets))
	r.LookupShare = share(float64(asked), float64(r.packets))
	r.BrokenFlowShare = share(float64(r.BrokenFlows), float64(r.FlowsOpenAtEnd+r.BrokenFlows))
	r.OldestBrokenFlowSeconds = r.oldestBroken.Seconds()
	r.ControlBytesPerSecond = r.controlBytes / float64(len(s.instances)) / (s.now - s.started).Seconds()
	if s.samples.n > 0 {
		r.ImbalanceMaxOverMean = s.samples.maxMean / float64(s.samples.n)
		r.ImbalanceCV = s.samples.cv / float64(s.samples.n)
	}
	return r
}

func share(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
