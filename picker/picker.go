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
	maxRelayHops             = 20
	hintIdleTimeout          = time.Minute
	maxSettleTime            = 30 * time.Second
	unreachableLookupTimeout = time.Second
	unreachableSettleTime    = 10 * time.Second
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
	view               *View
	ownershipView      *View    // at the last change of who owns flows
	previousOwners     []uint64 // who owned flows before the last change, as far as alive
	ownershipChangedAt time.Duration
	viewGeneration     uint32
	hashKey            parser.SipHashKey
	table              *flowTable
	openFlows          map[TargetID]int
	openLookups        []lookup
	replication        replicator
	settleTime         time.Duration
	renewalInterval    time.Duration
	lookupRate         float64
	lookupTokens       float64
	lookupTokensAt     time.Duration
	counters           Counters
	onFlowEnd          func(s *Service, lasted time.Duration)
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
	return func(p *Picker) { p.hashKey = s }
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
		p.replication.mode = m
		p.replication.window = window
	}
}

// WithFlowEndCallback has f called at the end of every flow that this instance owns.
func WithFlowEndCallback(f func(s *Service, lasted time.Duration)) Option {
	return func(p *Picker) { p.onFlowEnd = f }
}

// WithSettleTime sets how long after a change of the membership a new owner asks the
// previous one before it decides about an opening packet.
func WithSettleTime(d time.Duration) Option {
	return func(p *Picker) { p.settleTime = d }
}

// WithRenewalInterval sets how often a packet that a hint covers goes through the owner,
// so that the owner learns the flow is alive.
func WithRenewalInterval(d time.Duration) Option {
	return func(p *Picker) { p.renewalInterval = d }
}

// New returns a Picker without members or services.
func New(opts ...Option) *Picker {
	p := &Picker{
		view:            NewView(0, nil, nil),
		viewGeneration:  1,
		openFlows:       make(map[TargetID]int),
		onFlowEnd:       func(*Service, time.Duration) {},
		settleTime:      DefaultSettleTime,
		renewalInterval: DefaultRenewalInterval,
		lookupRate:      DefaultLookupRate,
		replication:     newReplicator(ReplicateWindow, DefaultReplicationWindow),
	}
	p.table = newFlowTable(DefaultOwnedLimit, DefaultHintLimit, DefaultReplicaLimit, p.handleEviction)
	p.ownershipView = p.view
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
		NonDefaultFlows: len(p.replication.records),
	}
}

// OpenFlowsByTarget returns the open flows that this instance owns on each place.
func (p *Picker) OpenFlowsByTarget() map[TargetID]int {
	return p.openFlows
}

func (p *Picker) handleEviction(e *flowEntry) {
	switch e.kind {
	case kindOwned:
		p.counters.EvictedOwned++
		p.subtractLoad(e)
		p.replication.withdrawRecord(e.flowHash)
	case kindHint:
		p.counters.EvictedHints++
	default:
		p.counters.EvictedReplicas++
	}
}

// HandlePacket decides about a packet from the fabric.
func (p *Picker) HandlePacket(now time.Duration, pkt *parser.Packet) Decision {
	hash := pkt.Key.Hash(p.hashKey)
	if e := p.table.get(hash); e != nil && p.isFastPath(now, pkt, e) {
		p.table.touch(e, now)
		return Decision{Verdict: Forward, Reason: ReasonKnown, Endpoint: p.view.targets[e.targetIndex].target.Endpoint}
	}
	return p.decide(now, packetInfo{Packet: *pkt, flowHash: hash})
}

// straight tells whether a packet needs nothing but to be forwarded, as nearly all do:
// the flow is under way and neither begins nor ends, its place is of the present view,
// and the owner need not be told that it is alive.
func (p *Picker) isFastPath(now time.Duration, pkt *parser.Packet, e *flowEntry) bool {
	if pkt.SYN || pkt.FINOrRST || e.viewGeneration != p.viewGeneration || e.targetIndex < 0 || !e.hasFlag(flagConfirmed) {
		return false
	}
	return e.kind == kindOwned || now-e.renewedAt < p.renewalInterval
}

// HandleRelayed decides about a packet that another instance passed on.
func (p *Picker) HandleRelayed(now time.Duration, pkt *parser.Packet, t RelayHeader) Decision {
	return p.decide(now, packetInfo{Packet: *pkt, flowHash: pkt.Key.Hash(p.hashKey), relay: t})
}

func (p *Picker) decide(now time.Duration, in packetInfo) Decision {
	e := p.table.get(in.flowHash)
	if e != nil && p.resolveTarget(e, in) {
		return p.handleKnownFlow(now, in, e)
	}
	service := p.view.services[serviceAddressOf(in.Key)]
	if service == nil {
		return Decision{Reason: ReasonNoAddress}
	}
	owner, ok := p.view.owner(in.flowHash)
	if !ok {
		return Decision{Reason: ReasonNoOwner}
	}
	if in.SYN || (in.Key.Protocol == parser.ProtocolUDP && owner == p.view.self) {
		return p.handleNewFlow(now, in, service, owner)
	}
	return p.handleUnknownFlow(now, in, service, owner)
}

func serviceAddressOf(k parser.FlowKey) ServiceAddress {
	return ServiceAddress{Addr: k.ServiceIP, Port: k.ServicePort, Protocol: k.Protocol}
}

// locate makes e.index valid for the present view. It is false when the place of
// the entry is not, or no longer, one of the service that the packet is for.
func (p *Picker) resolveTarget(e *flowEntry, in packetInfo) bool {
	if e.viewGeneration == p.viewGeneration {
		return e.targetIndex >= 0
	}
	e.viewGeneration = p.viewGeneration
	e.targetIndex = -1
	service := p.view.services[serviceAddressOf(in.Key)]
	if service == nil {
		return false
	}
	index, ok := service.indexByID[e.target]
	if !ok {
		return false
	}
	e.targetIndex = index
	return true
}

// known handles a packet of a flow that is in the table.
func (p *Picker) handleKnownFlow(now time.Duration, in packetInfo, e *flowEntry) Decision {
	if in.SYN {
		return p.handleSYNOfKnownFlow(now, in, e)
	}
	if e.kind != kindOwned && in.relay.Hops == 0 && p.mustNotifyOwner(now, in, e) {
		if owner, ok := p.view.owner(in.flowHash); ok && owner != p.view.self {
			e.renewedAt = now
			p.recordPacket(now, in, e)
			in.relay.KnownAtIngress = true
			return p.relayTo(in, owner, ReasonRenewal)
		}
	}
	p.recordPacket(now, in, e)
	return p.forwardEntry(in, e, ReasonKnown)
}

// wantsOwner tells whether a packet that could go straight to its target should
// pass through the owner, which otherwise would not learn that the flow is alive
// or has ended.
func (p *Picker) mustNotifyOwner(now time.Duration, in packetInfo, e *flowEntry) bool {
	if in.FINOrRST && !e.hasFlag(flagClosing) {
		return true
	}
	return now-e.renewedAt >= p.renewalInterval
}

// note brings the entry up to date with the packet.
func (p *Picker) recordPacket(now time.Duration, in packetInfo, e *flowEntry) {
	p.table.touch(e, now)
	if e.hasFlag(flagConfirmed) && !in.FINOrRST {
		return
	}
	e.flags |= flagConfirmed
	if in.FINOrRST && !e.hasFlag(flagClosing) {
		if e.kind == kindOwned {
			p.subtractLoad(e)
			if target := p.targetOf(e); target != nil {
				p.onFlowEnd(&target.service.Service, now-e.openedAt)
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
func (p *Picker) handleSYNOfKnownFlow(now time.Duration, in packetInfo, e *flowEntry) Decision {
	owner, ok := p.view.owner(in.flowHash)
	if ok && owner != p.view.self && in.relay.Hops < maxRelayHops && e.kind != kindOwned {
		return p.relayTo(in, owner, ReasonToOwner)
	}
	if e.kind != kindOwned {
		p.takeOwnership(now, e)
	}
	target := &p.view.targets[e.targetIndex]
	retransmitted := e.hasFlag(flagSYNSequence) && e.synSequence == in.TCPSequence
	switch {
	case retransmitted && (!target.target.Failed || e.hasFlag(flagConfirmed)):
		p.table.touch(e, now)
		return p.forwardEntry(in, e, ReasonKnown)
	case retransmitted:
		p.counters.TargetsReplaced++
		return p.replaceTarget(now, in, e, target.service, ReasonRepicked)
	case target.target.AcceptsNewFlows:
		p.restartFlow(now, in, e)
		return p.forwardEntry(in, e, ReasonKnown)
	}
	return p.replaceTarget(now, in, e, target.service, ReasonPicked)
}

// restart makes the entry that of a new flow on the same place.
func (p *Picker) restartFlow(now time.Duration, in packetInfo, e *flowEntry) {
	if e.hasFlag(flagClosing) {
		p.openFlows[e.target]++
	}
	e.flags = flagSYNSequence
	e.synSequence = in.TCPSequence
	e.openedAt = now
	p.table.touch(e, now)
}

// repick gives a flow in the table a target anew and corrects the hints that were
// given out for the earlier one.
func (p *Picker) replaceTarget(now time.Duration, in packetInfo, e *flowEntry, service *compiledService, reason Reason) Decision {
	oldTarget := e.target
	p.subtractLoad(e)
	e.flags |= flagClosing
	d := p.pickTarget(now, in, service, e, reason)
	if d.Verdict == Forward && d.Hint.Target != oldTarget {
		d.HintToAllMembers = true
		p.counters.CorrectedHints++
	}
	return d
}

// opening handles an opening packet of a flow that is not in the table.
func (p *Picker) handleNewFlow(now time.Duration, in packetInfo, service *compiledService, owner MemberID) Decision {
	if owner != p.view.self {
		if in.relay.Hops >= maxRelayHops {
			return Decision{Reason: ReasonHops}
		}
		if in.relay.LookupOwner == owner {
			return p.returnToLookupOwner(in)
		}
		return p.relayTo(in, owner, ReasonToOwner)
	}
	settled := p.ownershipSettled(now)
	if in.Key.Protocol == parser.ProtocolUDP {
		settled = settled && now-p.ownershipChangedAt >= service.IdleTimeouts.Datagram
	}
	if in.relay.Hops < 2 && !settled {
		if previous, ok := p.previousOwner(in); ok {
			return p.relayLookup(now, in, previous, 2)
		}
	}
	return p.pickTarget(now, in, service, nil, ReasonPicked)
}

// giveBack returns an opening packet to the owner that asked about it.
func (p *Picker) returnToLookupOwner(in packetInfo) Decision {
	header := in.relay
	header.Hops++
	return Decision{Verdict: Relay, Reason: ReasonReturned, RelayTo: header.LookupOwner, RelayHeader: header}
}

// previousOwner returns who owned the flow before the last change of membership,
// if that is someone else who does not already know of the packet.
func (p *Picker) previousOwner(in packetInfo) (MemberID, bool) {
	i := ranker.Best(in.flowHash, p.previousOwners)
	if i < 0 {
		return 0, false
	}
	previous := MemberID(p.previousOwners[i])
	if previous == p.view.self || previous == in.relay.IngressInstance {
		return 0, false
	}
	return previous, true
}

// forward answers with the place of the entry and the hints that are due.
func (p *Picker) forwardEntry(in packetInfo, e *flowEntry, reason Reason) Decision {
	d := Decision{Verdict: Forward, Reason: reason, Endpoint: p.view.targets[e.targetIndex].target.Endpoint}
	if in.relay.Hops == 0 && reason == ReasonKnown {
		return d
	}
	d.Hint = Hint{FlowHash: e.flowHash, Target: e.target, SYNSequence: e.synSequence}
	if in.relay.Hops == 0 {
		return d
	}
	if in.relay.LookupOwner == 0 || in.relay.LookupOwner == p.view.self {
		return d
	}
	if p.view.targets[e.targetIndex].service.isDefaultTarget(e.flowHash, e.target) {
		return d // the asker will come to the same place
	}
	d.HintToLookupOwner = in.relay.LookupOwner
	if in.relay.IngressInstance != p.view.self {
		d.HintToIngress = in.relay.IngressInstance
	}
	return d
}

// Tick does the housekeeping that is due: it looks at a part of the table and
// forgets flows that have been idle too long.
func (p *Picker) Tick(now time.Duration) {
	const sweepCalls = 16 // a full sweep takes this many calls
	p.table.sweep(len(p.table.slots)/sweepCalls+64, func(e *flowEntry) {
		if now-e.lastSeen > p.idleTimeout(e) {
			p.removeFlow(e)
		}
	})
}

func (p *Picker) idleTimeout(e *flowEntry) time.Duration {
	limits := DefaultIdleTimeouts()
	if e.viewGeneration == p.viewGeneration && e.targetIndex >= 0 {
		limits = p.view.targets[e.targetIndex].service.IdleTimeouts
	}
	switch {
	case e.hasFlag(flagUDP):
		return limits.Datagram
	case e.kind == kindHint:
		return hintIdleTimeout
	case e.hasFlag(flagClosing):
		return limits.Closing
	case e.kind == kindOwned && !e.hasFlag(flagConfirmed):
		return limits.Opening
	}
	return limits.Established
}
