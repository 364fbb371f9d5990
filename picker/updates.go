package picker

import (
	"slices"
	"time"
)

// ApplyHint stores the target of a flow from a hint of another instance. A flow that this
// instance owns and knows keeps its target unless the hint has ReceiverOwnsFlow set.
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
		e.renewedAt = now - p.renewalInterval // the first packet is relayed to the owner as a renewal, as after applyRecord
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

// takeOwnership makes the entry an owned one, which counts as load and is replicated if
// the flow is a non-default one.
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

// SetView replaces the view. If the members or the default target sets differ from those
// of the old view, the ownership and the replicated record of every flow are updated.
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

// reachableOwners returns the owners of the old view that are still reachable. For an
// instance that has only just learned of other members, these are all other members.
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

// sameDefaultTargets reports whether two views have the same services with the same
// default target sets.
func sameDefaultTargets(before, after *View) bool {
	if len(before.services) != len(after.services) {
		return false
	}
	for address, newService := range after.services {
		oldService := before.services[address]
		if oldService == nil || !slices.Equal(oldService.DefaultTargets, newService.DefaultTargets) || !slices.Equal(oldService.NextDefaultTargets, newService.NextDefaultTargets) {
			return false
		}
	}
	return true
}

// updateOwnership converts an entry between owned and hint as the current view requires,
// and updates the replicated record of an owned flow.
func (p *Picker) updateOwnership(now time.Duration, e *flowEntry) {
	owner, ok := p.view.owner(e.flowHash)
	owned := ok && owner == p.view.self
	switch {
	case e.hasFlag(flagTargetPending):
		p.table.remove(e.flowHash) // the next packet is relayed to the current owner
	case owned && e.kind != kindOwned:
		p.takeOwnership(now, e)
	case owned:
		p.updateRecord(now, e)
	case e.kind == kindOwned:
		// The record stays queued until the members have acknowledged it.
		p.subtractLoad(e)
		p.table.convert(e, kindHint)
		e.renewedAt = now
		p.replication.publishIfUnpublished(e.flowHash)
	}
}
