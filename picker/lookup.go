package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// unknown handles a later packet of a flow that is not in the table. It goes to
// the owner; the owner asks the other members in rank order, hop by hop; the
// last one that is asked gives the base set's answer.
func (p *Picker) handleUnknownFlow(now time.Duration, in packetInfo, service *compiledService, owner MemberID) Decision {
	if in.relay.Hops == 0 && owner != p.view.self {
		return p.handlePendingFlow(now, in, service, owner)
	}
	if in.relay.LookupOwner == 0 && owner != p.view.self && in.relay.Hops < maxRelayHops {
		return p.relayTo(in, owner, ReasonToOwner)
	}
	if in.Key.Protocol == parser.ProtocolUDP && in.relay.LookupOwner == owner && in.relay.Hops < maxRelayHops {
		return p.returnToLookupOwner(in)
	}
	if in.relay.Hops >= maxRelayHops {
		return Decision{Reason: ReasonHops} // the caller will send it again
	}
	if in.relay.LookupOwner == 0 {
		if d, ok := p.decideWithoutLookup(now, in, service); ok {
			return d
		}
	}
	if member, ok := p.nextLookupMember(in); ok {
		return p.relayLookup(now, in, member, max(2, in.relay.Hops+1))
	}
	if member, ok := p.unreachableCandidate(now, in); ok {
		return p.relayLookup(now, in, member, maxRelayHops)
	}
	return p.forwardToDefault(now, in, service)
}

// withoutOthers is what an owner decides about a flow that it does not know, where it
// need not ask all others: the origin knows the flow; or the streams are complete, so
// that only a member out of reach can know more; or the budget for questions is spent.
func (p *Picker) decideWithoutLookup(now time.Duration, in packetInfo, service *compiledService) (Decision, bool) {
	if in.relay.KnownAtIngress && p.view.isReachable(in.relay.IngressInstance) {
		return p.relayLookup(now, in, in.relay.IngressInstance, 2), true
	}
	if p.ownedFlowsComplete(now) {
		if member, ok := p.unreachableCandidate(now, in); ok {
			return p.relayLookup(now, in, member, maxRelayHops), true
		}
		return p.forwardToDefault(now, in, service), true
	}
	if !p.takeLookupToken(now) {
		p.counters.LookupsRateLimited++
		return p.forwardToDefault(now, in, service), true
	}
	return Decision{}, false
}

// tryLost returns the first in rank of the members that are out of reach without
// having left, for the first packet of a flow that no other member knows. Where the
// partition has just healed it may know the flow; where it has not, the packet is
// lost and the caller's retransmission is derived.
func (p *Picker) unreachableCandidate(now time.Duration, in packetInfo) (MemberID, bool) {
	i := ranker.Best(in.flowHash, p.view.unreachableIDs)
	if i < 0 || in.relay.Hops >= maxRelayHops || in.Key.Protocol == parser.ProtocolUDP {
		return 0, false
	}
	e := p.table.get(in.flowHash)
	if e == nil {
		e = p.table.put(in.flowHash, kindHint)
		e.lastSeen, e.openedAt = now, now
		e.flags = flagTargetPending
		return MemberID(p.view.unreachableIDs[i]), true
	}
	return MemberID(p.view.unreachableIDs[i]), e.hasFlag(flagTargetPending) && now-e.openedAt < unreachableLookupTimeout
}

// pending handles a packet from the fabric of a flow that another instance owns and
// this one has no place for. It is relayed; once the owner's stream of exceptions is
// complete up to the first such packet, the flow is known to be derivable.
func (p *Picker) handlePendingFlow(now time.Duration, in packetInfo, service *compiledService, owner MemberID) Decision {
	e := p.table.get(in.flowHash)
	switch {
	case e == nil:
		e = p.table.put(in.flowHash, kindHint)
		e.lastSeen, e.openedAt = now, now
		e.flags = flagTargetPending
		if in.Key.Protocol == parser.ProtocolUDP {
			e.flags |= flagUDP
		}
	case e.kind == kindHint && e.hasFlag(flagTargetPending) && p.defaultConfirmedBy(owner, e.openedAt):
		if index := service.defaultTarget(in.flowHash); index >= 0 && !p.view.targets[index].target.Failed {
			p.counters.PendingFlowsResolved++
			e.flags = e.flags&^flagTargetPending | flagConfirmed
			e.renewedAt = now
			p.setTarget(e, index)
			return p.handleKnownFlow(now, in, e)
		}
	default:
		p.table.touch(e, now)
	}
	return p.relayTo(in, owner, ReasonToOwner)
}

// nextToAsk returns the first in rank of the members that the question has not
// reached. The asker and the origin do not know.
func (p *Picker) nextLookupMember(in packetInfo) (MemberID, bool) {
	if in.relay.Hops+1 >= maxRelayHops {
		return 0, false
	}
	visited := in.relay.VisitedMembers | memberBit(p.view.self) | memberBit(in.relay.LookupOwner)
	if in.relay.Hops > 0 {
		visited |= memberBit(in.relay.IngressInstance)
	}
	var best MemberID
	var bestScore uint64
	for _, node := range p.view.memberIDs {
		id := MemberID(node)
		if visited&memberBit(id) != 0 {
			continue
		}
		if s := ranker.Score(in.flowHash, node); best == 0 || s > bestScore {
			best, bestScore = id, s
		}
	}
	return best, best != 0
}

// mayAsk spends one question from the budget. Packets of no flow at all would
// otherwise be multiplied by the number of members.
func (p *Picker) takeLookupToken(now time.Duration) bool {
	p.lookupTokens += p.lookupRate * (now - p.lookupTokensAt).Seconds()
	p.lookupTokensAt = now
	p.lookupTokens = min(p.lookupTokens, p.lookupRate)
	if p.lookupTokens < 1 {
		return false
	}
	p.lookupTokens--
	return true
}

// ask passes the packet of a flow that this owner does not know to another
// member, or passes on somebody else's question.
func (p *Picker) relayLookup(now time.Duration, in packetInfo, to MemberID, hops uint8) Decision {
	header := in.relay
	if header.Hops == 0 {
		header.IngressInstance = p.view.self
	}
	if header.LookupOwner == 0 {
		header.LookupOwner = p.view.self
		p.counters.Lookups++
		if len(p.openLookups) < openLookupLimit {
			p.openLookups = append(p.openLookups, lookup{flowHash: in.flowHash, startedAt: now})
		}
	}
	header.Hops = hops
	header.VisitedMembers |= memberBit(p.view.self) | memberBit(to)
	return Decision{Verdict: Relay, Reason: ReasonAsk, RelayTo: to, RelayHeader: header}
}

func (p *Picker) relayTo(in packetInfo, to MemberID, reason Reason) Decision {
	header := in.relay
	if header.Hops == 0 {
		header.IngressInstance = p.view.self
	}
	header.Hops++
	return Decision{Verdict: Relay, Reason: reason, RelayTo: to, RelayHeader: header}
}

// derive sends the packet of a flow that nobody knows where the base set says.
func (p *Picker) forwardToDefault(now time.Duration, in packetInfo, service *compiledService) Decision {
	index := p.defaultTargetAtOwnershipChange(service, in.flowHash)
	if index < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	p.counters.DefaultTargetUsed++
	if !p.ownedFlowsComplete(now) || p.recentlyUnreachable(now) || p.view.targets[index].target.Failed {
		// Another instance may yet turn out to know better: nothing is remembered.
		return Decision{Verdict: Forward, Reason: ReasonDerived, Endpoint: p.view.targets[index].target.Endpoint}
	}
	e := p.insertFlow(now, in, index)
	e.flags |= flagConfirmed
	d := p.forwardEntry(in, e, ReasonDerived)
	if in.RST {
		p.removeFlow(e)
	}
	return d
}

// doubtful tells whether members have been out of reach only for so short a time that
// the targets beyond the same partition may not be known as lost yet.
func (p *Picker) recentlyUnreachable(now time.Duration) bool {
	return len(p.view.unreachableIDs) > 0 && now-p.ownershipChangedAt < unreachableSettleTime
}

// fallback returns the index of the place that a flow which its owner does not know
// has by the base set, or -1. Such a flow was opened before the last change of
// ownership, so the base sets of that time count, not those they have moved to since.
func (p *Picker) defaultTargetAtOwnershipChange(service *compiledService, hash uint64) int32 {
	if oldService := p.ownershipView.services[service.address]; oldService != nil {
		if i := ranker.Best(hash, oldService.defaultNodes); i >= 0 {
			if index, ok := service.indexByID[oldService.defaultIDs[i]]; ok {
				return index
			}
		}
	}
	return service.defaultTarget(hash)
}
