// Package picker decides which instance owns a flow, which target the flow goes to,
// and which instances are told. The package has no sockets, clock or goroutines: the
// calling code passes in packets and messages together with the time, and carries out
// the returned decisions. A Picker is not safe for concurrent use.
//
// Every flow has one owner, the member that ranks first for the flow hash by
// rendezvous hashing over the members that are not draining. Only the owner picks a
// target, once, for the opening packet: the SYN of a TCP flow, or the first packet of a
// UDP flow. Every other instance relays the first packet that it sees of a flow to the
// owner and receives a hint in return, after which it forwards the packets of the flow
// directly to the target.
//
// The default target of a flow ranks first for the flow hash over the default targets
// of the service. All instances compute the same default target without exchanging
// messages. A flow on another target is a non-default flow; its owner replicates a
// record of it to the other members.
//
// An instance that owns a flow which is not in its table, because the membership has
// just changed, looks the flow up: it relays the packet to the other members in rank
// order, hop by hop. The first member that knows the flow forwards the packet and
// sends a hint to the owner and to the ingress instance, which received the packet
// from the fabric. If no member knows the flow, the packet goes to the default target.
package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// Default values of the options of New, and fixed limits and timeouts.
const (
	DefaultOwnedLimit        = 1 << 20
	DefaultHintLimit         = 1 << 20
	DefaultReplicaLimit      = 1 << 18
	DefaultReplicationWindow = 0 * time.Second
	DefaultSettleTime        = 3 * time.Second
	DefaultRenewalInterval   = time.Minute
	DefaultLookupRate        = 20000 // lookups per second
	maxRelayHops             = 20
	hintIdleTimeout          = time.Minute
	maxSettleTime            = 30 * time.Second // see ownershipSettled
	unreachableLookupTimeout = time.Second      // see unreachableCandidate
	unreachableSettleTime    = 10 * time.Second // see recentlyUnreachable
)

// ReplicationMode selects how non-default flows are replicated to the other members.
type ReplicationMode uint8

// The replication modes.
const (
	// ReplicateWindow replicates the non-default flows that are older than the window.
	ReplicateWindow ReplicationMode = iota
	// ReplicateNever replicates nothing. It is a baseline for measurements.
	ReplicateNever
)

// Picker holds the flow table of one instance and decides about its packets.
type Picker struct {
	view               *View
	ownershipView      *View    // the view that last changed the set of owners
	previousOwners     []uint64 // owners before that change that are still reachable
	ownershipChangedAt time.Duration
	viewGeneration     uint32 // incremented with every SetView
	hashKey            parser.SipHashKey
	table              *flowTable
	openFlows          map[TargetID]int // owned flows that have not ended
	openLookups        []lookup
	replication        replicator
	settleTime         time.Duration
	renewalInterval    time.Duration
	lookupRate         float64       // lookups per second, and size of the token bucket
	lookupTokens       float64       // tokens in the bucket at lookupTokensAt
	lookupTokensAt     time.Duration // last update of lookupTokens
	counters           Counters
	onFlowEnd          func(s *Service, lasted time.Duration)
}

// Counters are the totals since the start of a Picker.
type Counters struct {
	FlowsOpened, SecondChoicePicked, DefaultTargetUsed, Lookups, LookupsRateLimited, TargetsReplaced uint64
	EvictedOwned, EvictedHints, EvictedReplicas, HintsCorrected                                      uint64
	NonDefaultFlowsOpened, PendingFlowsResolved                                                      uint64
}

// EntryCounts are the numbers of table entries of each kind, and of the non-default
// flows among the owned ones.
type EntryCounts struct {
	Owned, Hints, Replicas, NonDefaultFlows int
}

// Option sets a property of a new Picker.
type Option func(*Picker)

// WithHashKey sets the secret key of the flow hash.
func WithHashKey(key parser.SipHashKey) Option {
	return func(p *Picker) { p.hashKey = key }
}

// WithTableLimits sets the maximum number of table entries of each kind.
func WithTableLimits(owned, hints, replicas int) Option {
	return func(p *Picker) {
		p.table.limits[kindOwned] = owned
		p.table.limits[kindHint] = hints
		p.table.limits[kindReplica] = replicas
	}
}

// WithReplication sets the replication mode, and the age from which a non-default flow
// is replicated.
func WithReplication(mode ReplicationMode, window time.Duration) Option {
	return func(p *Picker) {
		p.replication.mode = mode
		p.replication.window = window
	}
}

// WithFlowEndCallback sets a function that is called with the service and the duration
// of every owned flow when a packet ends the flow.
func WithFlowEndCallback(f func(s *Service, lasted time.Duration)) Option {
	return func(p *Picker) { p.onFlowEnd = f }
}

// WithSettleTime sets the minimum time after a membership change for which a new owner
// relays opening packets to the previous owner before it picks a target itself.
func WithSettleTime(d time.Duration) Option {
	return func(p *Picker) { p.settleTime = d }
}

// WithRenewalInterval sets how often an instance that only has a hint relays a packet of
// the flow to the owner, so that the owner does not expire the flow as idle.
func WithRenewalInterval(d time.Duration) Option {
	return func(p *Picker) { p.renewalInterval = d }
}

// New returns a Picker that knows no members or services until SetView is called.
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

// Counters returns the totals since the start.
func (p *Picker) Counters() Counters {
	return p.counters
}

// EntryCounts returns the current numbers of entries.
func (p *Picker) EntryCounts() EntryCounts {
	return EntryCounts{
		Owned:           p.table.lists[kindOwned].size,
		Hints:           p.table.lists[kindHint].size,
		Replicas:        p.table.lists[kindReplica].size,
		NonDefaultFlows: len(p.replication.records),
	}
}

// OpenFlowsByTarget returns the number of open flows that this instance owns on each
// target. The map belongs to the Picker and must not be changed.
func (p *Picker) OpenFlowsByTarget() map[TargetID]int {
	return p.openFlows
}

// handleEviction counts the eviction of an entry at the table limit, and removes the
// load and the replicated record of an owned one.
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

// HandlePacket decides about a packet that arrived from the fabric.
func (p *Picker) HandlePacket(now time.Duration, pkt *parser.Packet) Decision {
	flowHash := pkt.Key.Hash(p.hashKey)
	if e := p.table.get(flowHash); e != nil && p.isFastPath(now, pkt, e) {
		p.table.touch(e, now)
		return Decision{Verdict: Forward, Reason: ReasonKnown, Endpoint: p.view.targets[e.targetIndex].target.Endpoint}
	}
	return p.decide(now, packetInfo{Packet: *pkt, flowHash: flowHash})
}

// isFastPath reports whether a packet only has to be forwarded, which is so for nearly
// all packets: the packet neither opens nor closes the flow, the flow is confirmed, its
// target index belongs to the current view, and no renewal with the owner is due.
func (p *Picker) isFastPath(now time.Duration, pkt *parser.Packet, e *flowEntry) bool {
	if pkt.SYN || pkt.FINOrRST || e.viewGeneration != p.viewGeneration || e.targetIndex < 0 || !e.hasFlag(flagConfirmed) {
		return false
	}
	return e.kind == kindOwned || now-e.renewedAt < p.renewalInterval
}

// HandleRelayed decides about a packet that another instance relayed with header.
func (p *Picker) HandleRelayed(now time.Duration, pkt *parser.Packet, header RelayHeader) Decision {
	return p.decide(now, packetInfo{Packet: *pkt, flowHash: pkt.Key.Hash(p.hashKey), relay: header})
}

// decide handles a packet by its table entry, or without one as a packet of a new or an
// unknown flow. At the owner, a UDP packet without an entry opens a new flow.
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

// serviceAddressOf returns the address of the service that the flow belongs to.
func serviceAddressOf(k parser.FlowKey) ServiceAddress {
	return ServiceAddress{Addr: k.ServiceIP, Port: k.ServicePort, Protocol: k.Protocol}
}

// resolveTarget updates e.targetIndex for the current view. It returns false when the
// target of the entry does not, or no longer, belong to the service that the packet is
// addressed to.
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

// handleKnownFlow handles a packet of a flow that is in the table.
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

// mustNotifyOwner reports whether a packet that could be forwarded directly has to be
// relayed to the owner, because the owner would otherwise not learn that the flow is
// still active or has ended.
func (p *Picker) mustNotifyOwner(now time.Duration, in packetInfo, e *flowEntry) bool {
	if in.FINOrRST && !e.hasFlag(flagClosing) {
		return true
	}
	return now-e.renewedAt >= p.renewalInterval
}

// recordPacket updates the entry with the packet, and ends the flow at its first FIN or
// RST.
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

// handleSYNOfKnownFlow handles a SYN of a flow in the table: either a retransmission, or
// the start of a new flow for which the caller reuses the port. Only the owner can tell
// the two apart, by the sequence number. A retransmitted SYN stays on its target, even a
// slow one, and is moved only if the target has failed and nothing but SYNs was seen. A
// new flow keeps the target of the old flow while that target accepts new flows, because
// other instances may still have the old flow in their tables. Otherwise a hint with the
// new target goes to every member.
func (p *Picker) handleSYNOfKnownFlow(now time.Duration, in packetInfo, e *flowEntry) Decision {
	owner, ok := p.view.owner(in.flowHash)
	if ok && owner != p.view.self && in.relay.Hops < maxRelayHops && e.kind != kindOwned {
		return p.relayTo(in, owner, ReasonToOwner)
	}
	if e.kind != kindOwned {
		p.takeOwnership(now, e)
	}
	current := &p.view.targets[e.targetIndex]
	retransmitted := e.hasFlag(flagSYNSequence) && e.synSequence == in.TCPSequence
	switch {
	case retransmitted && (!current.target.Failed || e.hasFlag(flagConfirmed)):
		p.table.touch(e, now)
		return p.forwardEntry(in, e, ReasonKnown)
	case retransmitted:
		p.counters.TargetsReplaced++
		return p.replaceTarget(now, in, e, current.service, ReasonRepicked)
	case current.target.AcceptsNewFlows:
		p.restartFlow(now, in, e)
		return p.forwardEntry(in, e, ReasonKnown)
	}
	return p.replaceTarget(now, in, e, current.service, ReasonPicked)
}

// restartFlow reuses the entry for a new flow on the same target.
func (p *Picker) restartFlow(now time.Duration, in packetInfo, e *flowEntry) {
	if e.hasFlag(flagClosing) {
		p.openFlows[e.target]++
	}
	e.flags = flagSYNSequence
	e.synSequence = in.TCPSequence
	e.openedAt = now
	p.table.touch(e, now)
}

// replaceTarget picks a new target for a flow in the table. If the target changes, the
// decision asks for a hint to all members, because they may have hints with the old target.
func (p *Picker) replaceTarget(now time.Duration, in packetInfo, e *flowEntry, service *compiledService, reason Reason) Decision {
	oldTarget := e.target
	p.subtractLoad(e)
	e.flags |= flagClosing
	d := p.pickTarget(now, in, service, e, reason)
	if d.Verdict == Forward && d.Hint.Target != oldTarget {
		d.HintToAllMembers = true
		p.counters.HintsCorrected++
	}
	return d
}

// handleNewFlow handles an opening packet of a flow that is not in the table. Until the
// last change of owners has settled, the owner relays the packet to the previous owner
// first. For UDP the change settles no earlier than one UDP idle timeout after it.
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
		settled = settled && now-p.ownershipChangedAt >= service.IdleTimeouts.UDP
	}
	if in.relay.Hops < 2 && !settled {
		if previous, ok := p.previousOwner(in); ok {
			return p.relayLookup(now, in, previous, 2)
		}
	}
	return p.pickTarget(now, in, service, nil, ReasonPicked)
}

// returnToLookupOwner relays a packet back to the owner that started the lookup, because
// this instance does not know the flow either.
func (p *Picker) returnToLookupOwner(in packetInfo) Decision {
	header := in.relay
	header.Hops++
	return Decision{Verdict: Relay, Reason: ReasonReturned, RelayTo: header.LookupOwner, RelayHeader: header}
}

// previousOwner returns the owner of the flow from before the last change of owners, unless
// that is this instance or the ingress instance.
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

// forwardEntry returns the decision to forward a packet to the target of its entry, with
// the hints that other instances need.
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
		return d // the lookup owner computes the same default target
	}
	d.HintToLookupOwner = in.relay.LookupOwner
	if in.relay.IngressInstance != p.view.self {
		d.HintToIngress = in.relay.IngressInstance
	}
	return d
}

// Tick sweeps a part of the table and removes the flows whose idle timeout has passed.
func (p *Picker) Tick(now time.Duration) {
	const sweepCalls = 16 // calls for a sweep of the whole table
	p.table.sweep(len(p.table.slots)/sweepCalls+64, func(e *flowEntry) {
		if now-e.lastSeen > p.idleTimeout(e) {
			p.removeFlow(e)
		}
	})
}

// idleTimeout returns the time without a packet after which an entry is removed.
func (p *Picker) idleTimeout(e *flowEntry) time.Duration {
	timeouts := DefaultIdleTimeouts()
	if e.viewGeneration == p.viewGeneration && e.targetIndex >= 0 {
		timeouts = p.view.targets[e.targetIndex].service.IdleTimeouts
	}
	switch {
	case e.hasFlag(flagUDP):
		return timeouts.UDP
	case e.kind == kindHint:
		return hintIdleTimeout
	case e.hasFlag(flagClosing):
		return timeouts.AfterClose
	case e.kind == kindOwned && !e.hasFlag(flagConfirmed):
		return timeouts.Unconfirmed
	}
	return timeouts.Established
}
