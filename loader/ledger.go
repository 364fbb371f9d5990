// Package loader stands in for the world around the instances: a fabric that
// sprays packets, targets that announce themselves, and callers that open flows and
// send requests. Its counts come from what these stand-ins saw.
package loader

import (
	"sync"
	"time"

	"almondpick/parser"
)

// Ledger is what the stand-ins saw, for one run.
type Collector struct {
	mu        sync.Mutex
	flows     int
	broken    map[string]int // by cause
	refused   int
	misrouted int
	finished  int
	runs      map[string]*run // by request
	requests  int
	outcomes  map[string]int
	doubled   int
	falseNot  int
	wrong     int // answers to another caller's request, or cut and taken as whole
	latencies []time.Duration
	balance   []float64
	inForce   []time.Duration
}

type run struct {
	started      int
	unrepeatable bool
}

// NewLedger returns an empty ledger.
func NewCollector() *Collector {
	return &Collector{broken: make(map[string]int), runs: make(map[string]*run), outcomes: make(map[string]int)}
}

func (l *Collector) flowOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flows++
}

func (l *Collector) flowBroken(cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken[cause]++
}

func (l *Collector) flowRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

func (l *Collector) flowFinished() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished++
}

// arrived checks that a packet is for the service of the target that got it.
func (l *Collector) arrived(own []string, k parser.FlowKey) {
	at := k.ServiceAddrPort().String()
	for _, a := range own {
		if a == at {
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misrouted++
}

// ran notes that a target runs a request.
func (l *Collector) ran(id string, unrepeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil {
		r = &run{unrepeatable: unrepeatable}
		l.runs[id] = r
	}
	r.started++
	if r.started > 1 && unrepeatable {
		l.doubled++
	}
}

// misroutedRequest notes a request that reached a target of another service.
func (l *Collector) misroutedRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.misrouted++
}

// answered notes what a caller was told about its request.
func (l *Collector) answered(id, outcome string, whole bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	l.outcomes[outcome]++
	r := l.runs[id]
	if outcome == "not-run" && r != nil {
		l.falseNot++
	}
	if !whole {
		l.wrong++
	}
	l.latencies = append(l.latencies, took)
}

func (l *Collector) sampleBalance(v float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance = append(l.balance, v)
}

// InForce notes how long a confirmed plan took to be in force everywhere.
func (l *Collector) RecordTimeUntilInForce(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = append(l.inForce, d)
}
