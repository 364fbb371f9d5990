package measurer

import (
	"time"

	"almondpick/parser"
	"almondpick/picker"
	"almondpick/ranker"
)

// Policy names a way to decide about flows.
type Policy string

// The policies. All but Ours are baselines.
const (
	Almondpick          Policy = "ours"
	NoReplication       Policy = "no-replication"
	WindowedReplication Policy = "window-consistent"
	NoSecondChoice      Policy = "no-second-choice"
	Rendezvous          Policy = "rendezvous"
	RoundRobin          Policy = "round-robin"
	LeastLoad           Policy = "least-load"
)

// Policies lists every policy.
func Policies() []Policy {
	return []Policy{Almondpick, NoReplication, WindowedReplication, NoSecondChoice, Rendezvous, RoundRobin, LeastLoad}
}

// decider is what one instance decides with.
type decider interface {
	HandlePacket(now time.Duration, p *parser.Packet) picker.Decision
	HandleRelayed(now time.Duration, p *parser.Packet, t picker.RelayHeader) picker.Decision
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

// newDecider returns the decider of an instance under a policy.
func newDecider(p Policy, seed uint64, window time.Duration, loads func(string) int) decider {
	s := picker.WithHashKey(parser.SipHashKey{K0: seed, K1: seed + 1})
	switch p {
	case NoReplication:
		return picker.New(s, picker.WithReplication(picker.ReplicateNever, window))
	case WindowedReplication:
		return picker.New(s, picker.WithReplication(picker.ReplicateWindow, max(window, time.Second)))
	case Rendezvous, RoundRobin, LeastLoad:
		return newBaseline(p, parser.SipHashKey{K0: seed, K1: seed + 1}, loads)
	default:
		return picker.New(s, picker.WithReplication(picker.ReplicateWindow, window))
	}
}

// baseline decides alone: by a hash without memory, or by a table of its own.
type baseline struct {
	policy   Policy
	seed     parser.SipHashKey
	services []picker.Service
	table    map[uint64]picker.Target
	turn     int
	loads    func(target string) int
}

func newBaseline(p Policy, seed parser.SipHashKey, loads func(string) int) *baseline {
	return &baseline{policy: p, seed: seed, table: make(map[uint64]picker.Target), loads: loads}
}

func (b *baseline) setServices(services []picker.Service) {
	b.services = services
}

func (b *baseline) service(k parser.FlowKey) *picker.Service {
	for i := range b.services {
		for _, a := range b.services[i].Addresses {
			if a.Addr == k.ServiceIP && a.Port == k.ServicePort && a.Protocol == k.Protocol {
				return &b.services[i]
			}
		}
	}
	return nil
}

// HandlePacket implements decider.
func (b *baseline) HandlePacket(_ time.Duration, p *parser.Packet) picker.Decision {
	s := b.service(p.Key)
	if s == nil {
		return picker.Decision{Reason: picker.ReasonNoAddress}
	}
	hash := p.Key.Hash(b.seed)
	if t, ok := b.table[hash]; ok {
		return forwardTo(t)
	}
	var fit []picker.Target
	var ids []uint64
	for _, t := range s.Targets {
		if t.AcceptsNewFlows {
			fit = append(fit, t)
			ids = append(ids, ranker.Hash(t.Name))
		}
	}
	if len(fit) == 0 {
		return picker.Decision{Verdict: picker.Refuse, Reason: picker.ReasonNoTarget}
	}
	switch b.policy {
	case RoundRobin:
		b.turn++
		b.table[hash] = fit[b.turn%len(fit)]
		return forwardTo(b.table[hash])
	case LeastLoad:
		least := fit[0]
		for _, t := range fit[1:] {
			if b.loads(t.Name) < b.loads(least.Name) {
				least = t
			}
		}
		b.table[hash] = least
		return forwardTo(least)
	default:
		return forwardTo(fit[ranker.Best(hash, ids)])
	}
}

func forwardTo(t picker.Target) picker.Decision {
	return picker.Decision{Verdict: picker.Forward, Reason: picker.ReasonKnown, Endpoint: t.Endpoint}
}

// HandleRelayed implements decider.
func (b *baseline) HandleRelayed(now time.Duration, p *parser.Packet, _ picker.RelayHeader) picker.Decision {
	return b.HandlePacket(now, p)
}

// ApplyHint implements decider.
func (b *baseline) ApplyHint(time.Duration, picker.Hint) {}

// ApplySync implements decider.
func (b *baseline) ApplySync(time.Duration, picker.MemberID, picker.SyncMessage) {}

// SetView implements decider.
func (b *baseline) SetView(time.Duration, *picker.View) {}

// NextSync implements decider.
func (b *baseline) NextSync(time.Duration, picker.MemberID, int) (picker.SyncMessage, bool) {
	return picker.SyncMessage{}, false
}

// PublishAll implements decider.
func (b *baseline) PublishAll() {}

// OtherMembers implements decider.
func (b *baseline) OtherMembers() []picker.MemberID { return nil }

// Tick implements decider.
func (b *baseline) Tick(time.Duration) {}

// EntryCounts implements decider.
func (b *baseline) EntryCounts() picker.EntryCounts { return picker.EntryCounts{Owned: len(b.table)} }

// Counters implements decider.
func (b *baseline) Counters() picker.Counters { return picker.Counters{} }
