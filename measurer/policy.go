package measurer

import (
	"time"

	"almondpick/parser"
	"almondpick/picker"
	"almondpick/ranker"
)

// Policy names a load-balancing policy for flows or requests.
type Policy string

// The policies for flows. Almondpick is the policy of this load balancer, and the others are
// baselines for comparison.
const (
	Almondpick          Policy = "ours"
	NoReplication       Policy = "no-replication"    // Almondpick without replication of non-default flows
	WindowedReplication Policy = "window-consistent" // Almondpick with a replication window of at least a second
	NoSecondChoice      Policy = "no-second-choice"  // Almondpick without a second choice of target
	Rendezvous          Policy = "rendezvous"        // rendezvous hashing for every packet, without a flow table
	RoundRobin          Policy = "round-robin"       // targets that accept new flows, in turn, kept in a flow table of the instance
	LeastLoad           Policy = "least-load"        // of the targets that accept new flows, the one with the least reported load, kept in a flow table of the instance
)

// Policies returns the policies for flows.
func Policies() []Policy {
	return []Policy{Almondpick, NoReplication, WindowedReplication, NoSecondChoice, Rendezvous, RoundRobin, LeastLoad}
}

// flowPicker decides about the packets of one instance. It is a *picker.Picker or a
// *baseline.
type flowPicker interface {
	HandlePacket(now time.Duration, p *parser.Packet) picker.Decision
	HandleRelayed(now time.Duration, p *parser.Packet, header picker.RelayHeader) picker.Decision
	ApplyHint(now time.Duration, h picker.Hint)
	ApplySync(now time.Duration, from picker.MemberID, m picker.SyncMessage)
	SetView(now time.Duration, v *picker.View)
	NextSync(now time.Duration, to picker.MemberID, limit int) (picker.SyncMessage, bool)
	PublishAll()
	OtherMembers() []picker.MemberID
	Tick(now time.Duration)
	EntryCounts() picker.EntryCounts
	Counters() picker.Counters
}

// newFlowPicker returns the flowPicker of an instance for a policy. reportedLoad returns
// the load of a target by its name.
func newFlowPicker(p Policy, seed uint64, window time.Duration, reportedLoad func(string) int) flowPicker {
	hashKey := picker.WithHashKey(parser.SipHashKey{K0: seed, K1: seed + 1})
	switch p {
	case NoReplication:
		return picker.New(hashKey, picker.WithReplication(picker.ReplicateNever, window))
	case WindowedReplication:
		return picker.New(hashKey, picker.WithReplication(picker.ReplicateWindow, max(window, time.Second)))
	case Rendezvous, RoundRobin, LeastLoad:
		return newBaseline(p, parser.SipHashKey{K0: seed, K1: seed + 1}, reportedLoad)
	default:
		return picker.New(hashKey, picker.WithReplication(picker.ReplicateWindow, window))
	}
}

// baseline is the flowPicker of Rendezvous, RoundRobin and LeastLoad. A baseline decides
// without messages to other instances: by hashing each packet, or by a flow table of its own.
type baseline struct {
	policy          Policy
	hashKey         parser.SipHashKey
	services        []picker.Service
	flows           map[uint64]picker.Target // by flow hash
	roundRobinCount int                      // flows that round-robin has assigned
	reportedLoad    func(target string) int
}

func newBaseline(p Policy, hashKey parser.SipHashKey, reportedLoad func(string) int) *baseline {
	return &baseline{policy: p, hashKey: hashKey, flows: make(map[uint64]picker.Target), reportedLoad: reportedLoad}
}

func (b *baseline) setServices(services []picker.Service) {
	b.services = services
}

// findService returns the service with the address of the flow, or nil.
func (b *baseline) findService(k parser.FlowKey) *picker.Service {
	for i := range b.services {
		for _, a := range b.services[i].Addresses {
			if a.Addr == k.ServiceIP && a.Port == k.ServicePort && a.Protocol == k.Protocol {
				return &b.services[i]
			}
		}
	}
	return nil
}

// HandlePacket implements flowPicker.
func (b *baseline) HandlePacket(_ time.Duration, p *parser.Packet) picker.Decision {
	s := b.findService(p.Key)
	if s == nil {
		return picker.Decision{Reason: picker.ReasonNoAddress}
	}
	flowHash := p.Key.Hash(b.hashKey)
	if t, ok := b.flows[flowHash]; ok {
		return forwardDecision(t)
	}
	var acceptingTargets []picker.Target
	var acceptingHashes []uint64
	for _, t := range s.Targets {
		if t.AcceptsNewFlows {
			acceptingTargets = append(acceptingTargets, t)
			acceptingHashes = append(acceptingHashes, ranker.Hash(t.Name))
		}
	}
	if len(acceptingTargets) == 0 {
		return picker.Decision{Verdict: picker.Refuse, Reason: picker.ReasonNoTarget}
	}
	switch b.policy {
	case RoundRobin:
		b.roundRobinCount++
		b.flows[flowHash] = acceptingTargets[b.roundRobinCount%len(acceptingTargets)]
		return forwardDecision(b.flows[flowHash])
	case LeastLoad:
		leastLoaded := acceptingTargets[0]
		for _, t := range acceptingTargets[1:] {
			if b.reportedLoad(t.Name) < b.reportedLoad(leastLoaded.Name) {
				leastLoaded = t
			}
		}
		b.flows[flowHash] = leastLoaded
		return forwardDecision(leastLoaded)
	default:
		return forwardDecision(acceptingTargets[ranker.Best(flowHash, acceptingHashes)])
	}
}

func forwardDecision(t picker.Target) picker.Decision {
	return picker.Decision{Verdict: picker.Forward, Reason: picker.ReasonKnown, Endpoint: t.Endpoint}
}

// HandleRelayed implements flowPicker.
func (b *baseline) HandleRelayed(now time.Duration, p *parser.Packet, _ picker.RelayHeader) picker.Decision {
	return b.HandlePacket(now, p)
}

// ApplyHint implements flowPicker.
func (b *baseline) ApplyHint(time.Duration, picker.Hint) {}

// ApplySync implements flowPicker.
func (b *baseline) ApplySync(time.Duration, picker.MemberID, picker.SyncMessage) {}

// SetView implements flowPicker.
func (b *baseline) SetView(time.Duration, *picker.View) {}

// NextSync implements flowPicker.
func (b *baseline) NextSync(time.Duration, picker.MemberID, int) (picker.SyncMessage, bool) {
	return picker.SyncMessage{}, false
}

// PublishAll implements flowPicker.
func (b *baseline) PublishAll() {}

// OtherMembers implements flowPicker.
func (b *baseline) OtherMembers() []picker.MemberID { return nil }

// Tick implements flowPicker.
func (b *baseline) Tick(time.Duration) {}

// EntryCounts implements flowPicker.
func (b *baseline) EntryCounts() picker.EntryCounts { return picker.EntryCounts{Owned: len(b.flows)} }

// Counters implements flowPicker.
func (b *baseline) Counters() picker.Counters { return picker.Counters{} }
