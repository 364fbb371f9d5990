package picker

import (
	"slices"
	"time"
)

// ApplyHint takes in a hint from another instance.
func (p *Picker) ApplyHint(now time.Duration, h Hint) {
	owner, ok := p.view.owner(h.FlowHash)
	owned := ok && owner == p.view.self
	e := p.table.get(h.FlowHash)
	if e != nil && e.kind == kindOwned {
		if owned && e.target == h.Target {
			return
		}
		if owned && !h.ReceiverOwnsFlow {
			return
		}
	}
	if e == nil {
		e = p.table.put(h.FlowHash, kindHint)
		e.openedAt = now
	} else if e.kind == kindOwned {
		p.subtractLoad(e)
		p.replication.withdrawRecord(e.flowHash)
		p.table.convert(e, kindHint)
	}
	e.target = h.Target
	e.viewGeneration = 0
	e.lastSeen = now
	e.renewedAt = now
	if e.openedAt == now {
		e.renewedAt = now - p.renewalInterval // as for a record of a stream
	}
	e.flags |= flagConfirmed
	e.flags &^= flagSYNSequence | flagTargetPending
	if h.ReceiverOwnsFlow {
		e.synSequence = h.SYNSequence
		e.flags |= flagSYNSequence
	}
	e.flags &^= flagClosing
	if e.kind == kindReplica && !owned {
		p.table.convert(e, kindHint)
	}
	if owned {
		p.takeOwnership(now, e)
	}
}

// own makes this instance the one that decides about the flow of the entry.
func (p *Picker) takeOwnership(now time.Duration, e *flowEntry) {
	if e.hasFlag(flagTargetPending) {
		return
	}
	p.table.convert(e, kindOwned)
	if !e.hasFlag(flagClosing) {
		p.openFlows[e.target]++
	}
	p.updateRecord(now, e)
}

// SetView puts a new view into use. Where the members or the base sets differ
// from those of the last view, every flow is looked at again: whether this
// instance owns it, and whether it is an exception.
func (p *Picker) SetView(now time.Duration, v *View) {
	old := p.view
	p.view = v
	p.viewGeneration++
	p.replication.setMembers(v.self, v.members)
	if !slices.Equal(old.ownerIDs, v.ownerIDs) {
		p.ownershipChangedAt = now
		p.ownershipView = v
		p.previousOwners = p.reachableOwners(old)
	}
	if slices.Equal(old.members, v.members) && sameDefaultTargets(old, v) {
		return
	}
	p.table.forEach(func(e *flowEntry) { p.updateOwnership(now, e) })
}

// stillAlive returns the members that owned flows in the old view and still
// answer. An instance that has only now learnt of others takes all of them.
func (p *Picker) reachableOwners(old *View) []uint64 {
	var ids []uint64
	for _, id := range old.ownerIDs {
		if p.view.isReachable(MemberID(id)) {
			ids = append(ids, id)
		}
	}
	if len(ids) > 1 {
		return ids
	}
	for _, id := range p.view.memberIDs {
		if id != uint64(p.view.self) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) > 1 {
		ids = slices.DeleteFunc(ids, func(id uint64) bool { return id == uint64(p.view.self) })
	}
	return ids
}

func sameDefaultTargets(a, b *View) bool {
	if len(a.services) != len(b.services) {
		return false
	}
	for address, c := range b.services {
		before := a.services[address]
		if before == nil || !slices.Equal(before.DefaultTargets, c.DefaultTargets) || !slices.Equal(before.NextDefaultTargets, c.NextDefaultTargets) {
			return false
		}
	}
	return true
}

func (p *Picker) updateOwnership(now time.Duration, e *flowEntry) {
	owner, ok := p.view.owner(e.flowHash)
	owned := ok && owner == p.view.self
	switch {
	case e.hasFlag(flagTargetPending):
		p.table.remove(e.flowHash) // the next packet asks the present owner
	case owned && e.kind != kindOwned:
		p.takeOwnership(now, e)
	case owned:
		p.updateRecord(now, e)
	case e.kind == kindOwned:
		// Its record stays in the stream until the members have it.
		p.subtractLoad(e)
		p.table.convert(e, kindHint)
		e.renewedAt = now
		p.replication.publishIfUnpublished(e.flowHash)
	}
}
