// Package picker takes the flow decisions: which instance owns a flow, which
// target it goes to, who is told. It has no sockets, no clock and no goroutines;
// a driver hands it packets and messages with the time, and carries out what it
// answers. A Picker is not safe for concurrent use.
//
// Every flow has one owner, the first of its rendezvous ranking over the serving
// members. Only the owner picks a target, once, at the opening packet. Any other
// instance relays the first packet it sees of a flow to the owner and is sent a
// hint in return, after which it forwards directly. An instance that owns a flow
// it does not know, because the membership has just changed, asks the others in
// rank order by passing the packet along: whoever knows the flow forwards the
// packet and tells both the asker and the instance that got it from the fabric.
// When nobody does, the base set gives the target that any instance computes.
package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// Limits and times of a Picker; see the options of New.
const (
	DefaultOwnedLimit        = 1 << 20
	DefaultHintLimit         = 1 << 20
	DefaultReplicaLimit      = 1 << 18
	DefaultReplicationWindow = 0 * time.Second
	DefaultSettleTime        = 3 * time.Second
	DefaultRenewalInterval   = time.Minute
	DefaultLookupRate        = 20000 // questions a second
	maxHops                  = 20
	hintIdle                 = time.Minute
	settleMost               = 30 * time.Second
	lostPatience             = time.Second
	lostSettle               = 10 * time.Second
)

// ReplicationMode chooses how exceptions reach their backup.
type ReplicationMode uint8

// The modes. The last one is a baseline for measurements.
const (
	ReplicateWindow ReplicationMode = iota
	ReplicateNever
)

// Picker holds the flows of one instance.
type Picker struct {
	view       *View
	origin     *View    // at the last change of who owns flows
	previous   []uint64 // who owned flows before the last change, as far as alive
	changed    time.Duration
	generation uint32
	seed       parser.SipHashKey
	table      *table
	loads      map[TargetID]int
	questions  []question
	streams    streams
	settle     time.Duration
	renewal    time.Duration
	askRate    float64
	askTokens  float64
	askSince   time.Duration
	counters   Counters
	ended      func(s *Service, lasted time.Duration)
}

// Counters are the running totals of a Picker.
type Counters struct {
	FlowsOpened, SecondChoice, DefaultTargetUsed, Lookups, LookupsRateLimited, TargetsReplaced uint64
	EvictedOwned, EvictedHints, EvictedReplicas, CorrectedHints                                uint64
	NonDefaultFlowsOpened, PendingFlowsResolved                                                uint64
	HintsIgnored                                                                               uint64
}

// EntryCounts are the numbers of entries of each kind.
type EntryCounts struct {
	Owned, Hints, Replicas, NonDefaultFlows int
}

// Option sets a property of a new Picker.
type Option func(*Picker)

// WithHashKey sets the secret seed of flow identities.
func WithHashKey(s parser.SipHashKey) Option {
	return func(p *Picker) { p.seed = s }
}

// WithTableLimits sets the most entries of each kind.
func WithTableLimits(owned, hints, replicas int) Option {
	return func(p *Picker) {
		p.table.limits[kindOwned] = owned
		p.table.limits[kindHint] = hints
		p.table.limits[kindReplica] = replicas
	}
}

// WithReplication sets the mode, and the age from which an exception is streamed.
func WithReplication(m ReplicationMode, window time.Duration) Option {
	return func(p *Picker) {
		p.streams.mode = m
		p.streams.window = window
	}
}

// WithFlowEndCallback has f called at the end of every flow that this instance owns.
func WithFlowEndCallback(f func(s *Service, lasted time.Duration)) Option {
	return func(p *Picker) { p.ended = f }
}

// WithSettleTime sets how long after a change of the membership a new owner asks the
// previous one before it decides about an opening packet.
func WithSettleTime(d time.Duration) Option {
	return func(p *Picker) { p.settle = d }
}

// WithRenewalInterval sets how often a packet that a hint covers goes through the owner,
// so that the owner learns the flow is alive.
func WithRenewalInterval(d time.Duration) Option {
	return func(p *Picker) { p.renewal = d }
}

// New returns a Picker without members or services.
func New(opts ...Option) *Picker {
	p := &Picker{
		view:       NewView(0, nil, nil),
		generation: 1,
		loads:      make(map[TargetID]int),
		ended:      func(*Service, time.Duration) {},
		settle:     DefaultSettleTime,
		renewal:    DefaultRenewalInterval,
		askRate:    DefaultLookupRate,
		streams:    newStreams(ReplicateWindow, DefaultReplicationWindow),
	}
	p.table = newTable(DefaultOwnedLimit, DefaultHintLimit, DefaultReplicaLimit, p.evicted)
	p.origin = p.view
	for _, o := range opts {
		o(p)
	}
	return p
}

// Counters returns the running totals.
func (p *Picker) Counters() Counters {
	return p.counters
}

// EntryCounts returns the numbers of entries.
func (p *Picker) EntryCounts() EntryCounts {
	return EntryCounts{
		Owned:           p.table.lists[kindOwned].size,
		Hints:           p.table.lists[kindHint].size,
		Replicas:        p.table.lists[kindReplica].size,
		NonDefaultFlows: len(p.streams.records),
	}
}

// OpenFlowsByTarget returns the open flows that this instance owns on each place.
func (p *Picker) OpenFlowsByTarget() map[TargetID]int {
	return p.loads
}

func (p *Picker) evicted(e *entry) {
	switch e.kind {
	case kindOwned:
		p.counters.EvictedOwned++
		p.unload(e)
		p.streams.end(e.hash)
	case kindHint:
		p.counters.EvictedHints++
	default:
		p.counters.EvictedReplicas++
	}
}

// HandlePacket decides about a packet from the fabric.
func (p *Picker) HandlePacket(now time.Duration, pkt *parser.Packet) Decision {
	hash := pkt.Key.Hash(p.seed)
	if e := p.table.get(hash); e != nil && p.straight(now, pkt, e) {
		p.table.touch(e, now)
		return Decision{Verdict: Forward, Reason: ReasonKnown, Endpoint: p.view.places[e.index].target.Endpoint}
	}
	return p.decide(now, packetInfo{Packet: *pkt, hash: hash})
}

// straight tells whether a packet needs nothing but to be forwarded, as nearly all do:
// the flow is under way and neither begins nor ends, its place is of the present view,
// and the owner need not be told that it is alive.
func (p *Picker) straight(now time.Duration, pkt *parser.Packet, e *entry) bool {
	if pkt.SYN || pkt.FINOrRST || e.view != p.generation || e.index < 0 || !e.has(flagConfirmed) {
		return false
	}
	return e.kind == kindOwned || now-e.renewed < p.renewal
}

// HandleRelayed decides about a packet that another instance passed on.
func (p *Picker) HandleRelayed(now time.Duration, pkt *parser.Packet, t RelayHeader) Decision {
	return p.decide(now, packetInfo{Packet: *pkt, hash: pkt.Key.Hash(p.seed), trail: t})
}

func (p *Picker) decide(now time.Duration, in packetInfo) Decision {
	e := p.table.get(in.hash)
	if e != nil && p.locate(e, in) {
		return p.known(now, in, e)
	}
	c := p.view.services[addressOf(in.Key)]
	if c == nil {
		return Decision{Reason: ReasonNoAddress}
	}
	owner, ok := p.view.owner(in.hash)
	if !ok {
		return Decision{Reason: ReasonNoOwner}
	}
	if in.SYN || (in.Key.Protocol == parser.ProtocolUDP && owner == p.view.self) {
		return p.opening(now, in, c, owner)
	}
	return p.unknown(now, in, c, owner)
}

func addressOf(k parser.FlowKey) ServiceAddress {
	return ServiceAddress{Addr: k.ServiceIP, Port: k.ServicePort, Protocol: k.Protocol}
}

// locate makes e.index valid for the present view. It is false when the place of
// the entry is not, or no longer, one of the service that the packet is for.
func (p *Picker) locate(e *entry, in packetInfo) bool {
	if e.view == p.generation {
		return e.index >= 0
	}
	e.view = p.generation
	e.index = -1
	c := p.view.services[addressOf(in.Key)]
	if c == nil {
		return false
	}
	index, ok := c.byID[e.place]
	if !ok {
		return false
	}
	e.index = index
	return true
}

// known handles a packet of a flow that is in the table.
func (p *Picker) known(now time.Duration, in packetInfo, e *entry) Decision {
	if in.SYN {
		return p.reopening(now, in, e)
	}
	if e.kind != kindOwned && in.trail.Hops == 0 && p.wantsOwner(now, in, e) {
		if owner, ok := p.view.owner(in.hash); ok && owner != p.view.self {
			e.renewed = now
			p.note(now, in, e)
			in.trail.KnownAtIngress = true
			return p.relay(in, owner, ReasonRenewal)
		}
	}
	p.note(now, in, e)
	return p.forward(in, e, ReasonKnown)
}

// wantsOwner tells whether a packet that could go straight to its target should
// pass through the owner, which otherwise would not learn that the flow is alive
// or has ended.
func (p *Picker) wantsOwner(now time.Duration, in packetInfo, e *entry) bool {
	if in.FINOrRST && !e.has(flagClosing) {
		return true
	}
	return now-e.renewed >= p.renewal
}

// note brings the entry up to date with the packet.
func (p *Picker) note(now time.Duration, in packetInfo, e *entry) {
	p.table.touch(e, now)
	if e.has(flagConfirmed) && !in.FINOrRST {
		return
	}
	e.flags |= flagConfirmed
	if in.FINOrRST && !e.has(flagClosing) {
		if e.kind == kindOwned {
			p.unload(e)
			if pl := p.placeOf(e); pl != nil {
				p.ended(&pl.service.Service, now-e.opened)
			}
		}
		e.flags |= flagClosing
	}
}

// reopening handles an opening packet for a flow in the table: a retransmission,
// or the caller using the port again. Only the owner can tell, by the sequence
// number. A retransmission keeps its target, however slow that is, and is moved
// only when the target was found dead and nothing but opening packets was seen. A
// new flow keeps the target of the old one while that takes new flows: others may
// still remember it. Otherwise every member is told of the new one.
func (p *Picker) reopening(now time.Duration, in packetInfo, e *entry) Decision {
	owner, ok := p.view.owner(in.hash)
	if ok && owner != p.view.self && in.trail.Hops < maxHops && e.kind != kindOwned {
		return p.relay(in, owner, ReasonToOwner)
	}
	if e.kind != kindOwned {
		p.own(now, e)
	}
	pl := &p.view.places[e.index]
	again := e.has(flagSequence) && e.sequence == in.TCPSequence
	switch {
	case again && (!pl.target.Failed || e.has(flagConfirmed)):
		p.table.touch(e, now)
		return p.forward(in, e, ReasonKnown)
	case again:
		p.counters.TargetsReplaced++
		return p.repick(now, in, e, pl.service, ReasonRepicked)
	case pl.target.AcceptsNewFlows:
		p.restart(now, in, e)
		return p.forward(in, e, ReasonKnown)
	}
	return p.repick(now, in, e, pl.service, ReasonPicked)
}

// restart makes the entry that of a new flow on the same place.
func (p *Picker) restart(now time.Duration, in packetInfo, e *entry) {
	if e.has(flagClosing) {
		p.loads[e.place]++
	}
	e.flags = flagSequence
	e.sequence = in.TCPSequence
	e.opened = now
	p.table.touch(e, now)
}

// repick gives a flow in the table a target anew and corrects the hints that were
// given out for the earlier one.
func (p *Picker) repick(now time.Duration, in packetInfo, e *entry, c *compiled, why Reason) Decision {
	old := e.place
	p.unload(e)
	e.flags |= flagClosing
	d := p.pick(now, in, c, e, why)
	if d.Verdict == Forward && d.Hint.Target != old {
		d.HintToAllMembers = true
		p.counters.CorrectedHints++
	}
	return d
}

// opening handles an opening packet of a flow that is not in the table.
func (p *Picker) opening(now time.Duration, in packetInfo, c *compiled, owner MemberID) Decision {
	if owner != p.view.self {
		if in.trail.Hops >= maxHops {
			return Decision{Reason: ReasonHops}
		}
		if in.trail.LookupOwner == owner {
			return p.giveBack(in)
		}
		return p.relay(in, owner, ReasonToOwner)
	}
	settled := p.settled(now)
	if in.Key.Protocol == parser.ProtocolUDP {
		settled = settled && now-p.changed >= c.IdleTimeouts.Datagram
	}
	if in.trail.Hops < 2 && !settled {
		if prev, ok := p.previousOwner(in); ok {
			return p.ask(now, in, prev, 2)
		}
	}
	return p.pick(now, in, c, nil, ReasonPicked)
}

// giveBack returns an opening packet to the owner that asked about it.
func (p *Picker) giveBack(in packetInfo) Decision {
	t := in.trail
	t.Hops++
	return Decision{Verdict: Relay, Reason: ReasonReturned, RelayTo: t.LookupOwner, RelayHeader: t}
}

// previousOwner returns who owned the flow before the last change of membership,
// if that is someone else who does not already know of the packet.
func (p *Picker) previousOwner(in packetInfo) (MemberID, bool) {
	i := ranker.Best(in.hash, p.previous)
	if i < 0 {
		return 0, false
	}
	prev := MemberID(p.previous[i])
	if prev == p.view.self || prev == in.trail.IngressInstance {
		return 0, false
	}
	return prev, true
}

// forward answers with the place of the entry and the hints that are due.
func (p *Picker) forward(in packetInfo, e *entry, why Reason) Decision {
	d := Decision{Verdict: Forward, Reason: why, Endpoint: p.view.places[e.index].target.Endpoint}
	if in.trail.Hops == 0 && why == ReasonKnown {
		return d
	}
	d.Hint = Hint{FlowHash: e.hash, Target: e.place, SYNSequence: e.sequence}
	if in.trail.Hops == 0 {
		return d
	}
	if in.trail.LookupOwner == 0 || in.trail.LookupOwner == p.view.self {
		return d
	}
	if p.view.places[e.index].service.derivable(e.hash, e.place) {
		return d // the asker will come to the same place
	}
	d.HintToLookupOwner = in.trail.LookupOwner
	if in.trail.IngressInstance != p.view.self {
		d.HintToIngress = in.trail.IngressInstance
	}
	return d
}

// Tick does the housekeeping that is due: it looks at a part of the table and
// forgets flows that have been idle too long.
func (p *Picker) Tick(now time.Duration) {
	const part = 16 // a full sweep takes this many calls
	p.table.step(len(p.table.slots)/part+64, func(e *entry) {
		if now-e.seen > p.idle(e) {
			p.drop(e)
		}
	})
}

func (p *Picker) idle(e *entry) time.Duration {
	limits := DefaultIdleTimeouts()
	if e.view == p.generation && e.index >= 0 {
		limits = p.view.places[e.index].service.IdleTimeouts
	}
	switch {
	case e.has(flagDatagram):
		return limits.Datagram
	case e.kind == kindHint:
		return hintIdle
	case e.has(flagClosing):
		return limits.Closing
	case e.kind == kindOwned && !e.has(flagConfirmed):
		return limits.Opening
	}
	return limits.Established
}
