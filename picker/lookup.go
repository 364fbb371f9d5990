package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// handleUnknownFlow handles a packet, other than an opening one, of a flow that is not in
// the table. The packet goes to the owner, which relays it to the other members in rank
// order, hop by hop. The last of them forwards the packet to the default target. A UDP
// packet is instead returned to the owner by the first member that does not know the flow,
// and opens a new flow there.
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
		return Decision{Reason: ReasonHops} // the caller will retransmit the packet
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

// decideWithoutLookup returns the decision of the owner about a flow that it does not
// know, if a lookup at all members is not needed or not allowed: the ingress instance
// knows the flow; or the records of all members are here, so that only an unreachable
// member can know more; or the rate limit of lookups is reached.
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

// unreachableCandidate returns the unreachable member that ranks first for a flow that no
// reachable member knows. If a partition has just healed, that member may know the flow; if
// not, the packet is lost. So there is a candidate only until unreachableLookupTimeout has
// passed since the first packet of the flow here; a later retransmission by the caller goes
// to the default target.
func (p *Picker) unreachableCandidate(now time.Duration, in packetInfo) (MemberID, bool) {
	first := ranker.Best(in.flowHash, p.view.unreachableIDs)
	if first < 0 || in.relay.Hops >= maxRelayHops || in.Key.Protocol == parser.ProtocolUDP {
		return 0, false
	}
	e := p.table.get(in.flowHash)
	if e == nil {
		e = p.table.put(in.flowHash, kindHint)
		e.lastSeen, e.openedAt = now, now
		e.flags = flagTargetPending
		return MemberID(p.view.unreachableIDs[first]), true
	}
	return MemberID(p.view.unreachableIDs[first]), e.hasFlag(flagTargetPending) && now-e.openedAt < unreachableLookupTimeout
}

// handlePendingFlow handles a packet from the fabric of a flow that another instance owns
// and whose target is not known here. The packet is relayed to the owner. Once the owner
// has sent all records of flows opened up to the first such packet, the flow is known to
// be on its default target, and its packets are forwarded directly.
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

// nextLookupMember returns the highest-ranking member that the lookup has not reached. The
// lookup owner and the ingress instance are left out, because they do not know the flow.
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

// takeLookupToken takes one token from the token bucket of lookups, and returns false if
// the bucket is empty. Without the limit, packets that belong to no flow would be
// multiplied by the number of members.
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

// relayLookup relays a packet of an unknown flow to another member. It starts a lookup of
// this owner, or continues the lookup of another one. hops is the hop count in the relay
// header. It is at least 2, from which handleNewFlow knows that the previous owner has been
// reached already.
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
	return Decision{Verdict: Relay, Reason: ReasonLookup, RelayTo: to, RelayHeader: header}
}

// relayTo relays a packet to another instance with one more hop.
func (p *Picker) relayTo(in packetInfo, to MemberID, reason Reason) Decision {
	header := in.relay
	if header.Hops == 0 {
		header.IngressInstance = p.view.self
	}
	header.Hops++
	return Decision{Verdict: Relay, Reason: reason, RelayTo: to, RelayHeader: header}
}

// forwardToDefault forwards a packet of a flow that no member knows to its default target.
func (p *Picker) forwardToDefault(now time.Duration, in packetInfo, service *compiledService) Decision {
	index := p.defaultTargetAtOwnershipChange(service, in.flowHash)
	if index < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	p.counters.DefaultTargetUsed++
	if !p.ownedFlowsComplete(now) || p.recentlyUnreachable(now) || p.view.targets[index].target.Failed {
		// Another instance may still have a record with another target, so the flow
		// is not added to the table.
		return Decision{Verdict: Forward, Reason: ReasonDefaultTarget, Endpoint: p.view.targets[index].target.Endpoint}
	}
	e := p.insertFlow(now, in, index)
	e.flags |= flagConfirmed
	d := p.forwardEntry(in, e, ReasonDefaultTarget)
	if in.RST {
		p.removeFlow(e)
	}
	return d
}

// recentlyUnreachable reports whether members have been unreachable for so short a time
// that the targets behind the same partition may not be known as failed yet.
func (p *Picker) recentlyUnreachable(now time.Duration) bool {
	return len(p.view.unreachableIDs) > 0 && now-p.ownershipChangedAt < unreachableSettleTime
}

// defaultTargetAtOwnershipChange returns the index of the default target of a flow that
// its owner does not know, or -1. Such a flow was opened before the last change of owners,
// so the default target set of that time applies, not a set that has replaced it since.
func (p *Picker) defaultTargetAtOwnershipChange(service *compiledService, flowHash uint64) int32 {
	if oldService := p.ownershipView.services[service.address]; oldService != nil {
		if i := ranker.Best(flowHash, oldService.defaultNodes); i >= 0 {
			if index, ok := service.indexByID[oldService.defaultIDs[i]]; ok {
				return index
			}
		}
	}
	return service.defaultTarget(flowHash)
}
