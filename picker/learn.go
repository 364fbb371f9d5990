package picker

import (
	"slices"
	"time"
)

// ApplyHint takes in a hint from another instance.
func (p *Picker) ApplyHint(now time.Duration, h Hint) {
	owner, ok := p.view.owner(h.FlowHash)
	mine := ok && owner == p.view.self
	e := p.table.get(h.FlowHash)
	if e != nil && e.kind == kindOwned {
		if mine && e.place == h.Target {
			return
		}
		if mine && !h.ReceiverOwnsFlow {
			return
		}
	}
	if e == nil {
		e = p.table.put(h.FlowHash, kindHint)
		e.opened = now
	} else if e.kind == kindOwned {
		p.unload(e)
		p.streams.end(e.hash)
		p.table.convert(e, kindHint)
	}
	e.place = h.Target
	e.view = 0
	e.seen = now
	e.renewed = now
	if e.opened == now {
		e.renewed = now - p.renewal // as for a record of a stream
	}
	e.flags |= flagConfirmed
	e.flags &^= flagSequence | flagPending
	if h.ReceiverOwnsFlow {
		e.sequence = h.SYNSequence
		e.flags |= flagSequence
	}
	e.flags &^= flagClosing
	if e.kind == kindReplica && !mine {
		p.table.convert(e, kindHint)
	}
	if mine {
		p.own(now, e)
	}
}

// own makes this instance the one that decides about the flow of the entry.
func (p *Picker) own(now time.Duration, e *entry) {
	if e.has(flagPending) {
		return
	}
	p.table.convert(e, kindOwned)
	if !e.has(flagClosing) {
		p.loads[e.place]++
	}
	p.classify(now, e)
}

// SetView puts a new view into use. Where the members or the base sets differ
// from those of the last view, every flow is looked at again: whether this
// instance owns it, and whether it is an exception.
func (p *Picker) SetView(now time.Duration, v *View) {
	old := p.view
	p.view = v
	p.generation++
	p.streams.setMembers(v.self, v.members)
	if !slices.Equal(old.serving, v.serving) {
		p.changed = now
		p.origin = v
		p.previous = p.stillAlive(old)
	}
	if slices.Equal(old.members, v.members) && sameBases(old, v) {
		return
	}
	p.table.each(func(e *entry) { p.review(now, e) })
}

// stillAlive returns the members that owned flows in the old view and still
// answer. An instance that has only now learnt of others takes all of them.
func (p *Picker) stillAlive(old *View) []uint64 {
	var ids []uint64
	for _, id := range old.serving {
		if p.view.alive(MemberID(id)) {
			ids = append(ids, id)
		}
	}
	if len(ids) > 1 {
		return ids
	}
	for _, id := range p.view.ids {
		if id != uint64(p.view.self) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) > 1 {
		ids = slices.DeleteFunc(ids, func(id uint64) bool { return id == uint64(p.view.self) })
	}
	return ids
}

func sameBases(a, b *View) bool {
	if len(a.services) != len(b.services) {
		return false
	}
	for address, c := range b.services {
		o := a.services[address]
		if o == nil || !slices.Equal(o.DefaultTargets, c.DefaultTargets) || !slices.Equal(o.NextDefaultTargets, c.NextDefaultTargets) {
			return false
		}
	}
	return true
}

func (p *Picker) review(now time.Duration, e *entry) {
	owner, ok := p.view.owner(e.hash)
	mine := ok && owner == p.view.self
	switch {
	case e.has(flagPending):
		p.table.remove(e.hash) // the next packet asks the present owner
	case mine && e.kind != kindOwned:
		p.own(now, e)
	case mine:
		p.classify(now, e)
	case e.kind == kindOwned:
		// Its record stays in the stream until the members have it.
		p.unload(e)
		p.table.convert(e, kindHint)
		e.renewed = now
		p.streams.hasten(e.hash)
	}
}
