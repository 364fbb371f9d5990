package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// unknown handles a later packet of a flow that is not in the table. It goes to
// the owner; the owner asks the other members in rank order, hop by hop; the
// last one that is asked gives the base set's answer.
func (p *Picker) unknown(now time.Duration, in packetInfo, c *compiled, owner MemberID) Decision {
	if in.trail.Hops == 0 && owner != p.view.self {
		return p.pending(now, in, c, owner)
	}
	if in.trail.LookupOwner == 0 && owner != p.view.self && in.trail.Hops < maxHops {
		return p.relay(in, owner, ReasonToOwner)
	}
	if in.Key.Protocol == parser.ProtocolUDP && in.trail.LookupOwner == owner && in.trail.Hops < maxHops {
		return p.giveBack(in)
	}
	if in.trail.Hops >= maxHops {
		return Decision{Reason: ReasonHops} // the caller will send it again
	}
	if in.trail.LookupOwner == 0 {
		if d, ok := p.withoutOthers(now, in, c); ok {
			return d
		}
	}
	if next, ok := p.nextToAsk(in); ok {
		return p.ask(now, in, next, max(2, in.trail.Hops+1))
	}
	if lost, ok := p.tryLost(now, in); ok {
		return p.ask(now, in, lost, maxHops)
	}
	return p.derive(now, in, c)
}

// withoutOthers is what an owner decides about a flow that it does not know, where it
// need not ask all others: the origin knows the flow; or the streams are complete, so
// that only a member out of reach can know more; or the budget for questions is spent.
func (p *Picker) withoutOthers(now time.Duration, in packetInfo, c *compiled) (Decision, bool) {
	if in.trail.KnownAtIngress && p.view.alive(in.trail.IngressInstance) {
		return p.ask(now, in, in.trail.IngressInstance, 2), true
	}
	if p.complete(now) {
		if lost, ok := p.tryLost(now, in); ok {
			return p.ask(now, in, lost, maxHops), true
		}
		return p.derive(now, in, c), true
	}
	if !p.mayAsk(now) {
		p.counters.LookupsRateLimited++
		return p.derive(now, in, c), true
	}
	return Decision{}, false
}

// tryLost returns the first in rank of the members that are out of reach without
// having left, for the first packet of a flow that no other member knows. Where the
// partition has just healed it may know the flow; where it has not, the packet is
// lost and the caller's retransmission is derived.
func (p *Picker) tryLost(now time.Duration, in packetInfo) (MemberID, bool) {
	i := ranker.Best(in.hash, p.view.lost)
	if i < 0 || in.trail.Hops >= maxHops || in.Key.Protocol == parser.ProtocolUDP {
		return 0, false
	}
	e := p.table.get(in.hash)
	if e == nil {
		e = p.table.put(in.hash, kindHint)
		e.seen, e.opened = now, now
		e.flags = flagPending
		return MemberID(p.view.lost[i]), true
	}
	return MemberID(p.view.lost[i]), e.has(flagPending) && now-e.opened < lostPatience
}

// pending handles a packet from the fabric of a flow that another instance owns and
// this one has no place for. It is relayed; once the owner's stream of exceptions is
// complete up to the first such packet, the flow is known to be derivable.
func (p *Picker) pending(now time.Duration, in packetInfo, c *compiled, owner MemberID) Decision {
	e := p.table.get(in.hash)
	switch {
	case e == nil:
		e = p.table.put(in.hash, kindHint)
		e.seen, e.opened = now, now
		e.flags = flagPending
		if in.Key.Protocol == parser.ProtocolUDP {
			e.flags |= flagDatagram
		}
	case e.kind == kindHint && e.has(flagPending) && p.derivedBy(owner, e.opened):
		if index := c.fallback(in.hash); index >= 0 && !p.view.places[index].target.Failed {
			p.counters.PendingFlowsResolved++
			e.flags = e.flags&^flagPending | flagConfirmed
			e.renewed = now
			p.aim(e, index)
			return p.known(now, in, e)
		}
	default:
		p.table.touch(e, now)
	}
	return p.relay(in, owner, ReasonToOwner)
}

// nextToAsk returns the first in rank of the members that the question has not
// reached. The asker and the origin do not know.
func (p *Picker) nextToAsk(in packetInfo) (MemberID, bool) {
	if in.trail.Hops+1 >= maxHops {
		return 0, false
	}
	asked := in.trail.VisitedMembers | memberBit(p.view.self) | memberBit(in.trail.LookupOwner)
	if in.trail.Hops > 0 {
		asked |= memberBit(in.trail.IngressInstance)
	}
	var best MemberID
	var top uint64
	for _, node := range p.view.ids {
		id := MemberID(node)
		if asked&memberBit(id) != 0 {
			continue
		}
		if s := ranker.Score(in.hash, node); best == 0 || s > top {
			best, top = id, s
		}
	}
	return best, best != 0
}

// mayAsk spends one question from the budget. Packets of no flow at all would
// otherwise be multiplied by the number of members.
func (p *Picker) mayAsk(now time.Duration) bool {
	p.askTokens += p.askRate * (now - p.askSince).Seconds()
	p.askSince = now
	p.askTokens = min(p.askTokens, p.askRate)
	if p.askTokens < 1 {
		return false
	}
	p.askTokens--
	return true
}

// ask passes the packet of a flow that this owner does not know to another
// member, or passes on somebody else's question.
func (p *Picker) ask(now time.Duration, in packetInfo, to MemberID, hops uint8) Decision {
	t := in.trail
	if t.Hops == 0 {
		t.IngressInstance = p.view.self
	}
	if t.LookupOwner == 0 {
		t.LookupOwner = p.view.self
		p.counters.Lookups++
		if len(p.questions) < questionLimit {
			p.questions = append(p.questions, question{hash: in.hash, at: now})
		}
	}
	t.Hops = hops
	t.VisitedMembers |= memberBit(p.view.self) | memberBit(to)
	return Decision{Verdict: Relay, Reason: ReasonAsk, RelayTo: to, RelayHeader: t}
}

func (p *Picker) relay(in packetInfo, to MemberID, why Reason) Decision {
	t := in.trail
	if t.Hops == 0 {
		t.IngressInstance = p.view.self
	}
	t.Hops++
	return Decision{Verdict: Relay, Reason: why, RelayTo: to, RelayHeader: t}
}

// derive sends the packet of a flow that nobody knows where the base set says.
func (p *Picker) derive(now time.Duration, in packetInfo, c *compiled) Decision {
	index := p.fallback(c, in.hash)
	if index < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	p.counters.DefaultTargetUsed++
	if !p.complete(now) || p.doubtful(now) || p.view.places[index].target.Failed {
		// Another instance may yet turn out to know better: nothing is remembered.
		return Decision{Verdict: Forward, Reason: ReasonDerived, Endpoint: p.view.places[index].target.Endpoint}
	}
	e := p.insert(now, in, index)
	e.flags |= flagConfirmed
	d := p.forward(in, e, ReasonDerived)
	if in.RST {
		p.drop(e)
	}
	return d
}

// doubtful tells whether members have been out of reach only for so short a time that
// the targets beyond the same partition may not be known as lost yet.
func (p *Picker) doubtful(now time.Duration) bool {
	return len(p.view.lost) > 0 && now-p.changed < lostSettle
}

// fallback returns the index of the place that a flow which its owner does not know
// has by the base set, or -1. Such a flow was opened before the last change of
// ownership, so the base sets of that time count, not those they have moved to since.
func (p *Picker) fallback(c *compiled, hash uint64) int32 {
	if old := p.origin.services[c.key]; old != nil {
		if i := ranker.Best(hash, old.base); i >= 0 {
			if index, ok := c.byID[old.baseID[i]]; ok {
				return index
			}
		}
	}
	return c.fallback(hash)
}
