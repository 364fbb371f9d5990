package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// insert puts a flow into the table: owned where this instance is the owner,
// otherwise as a hint. The flow must not be in the table with a valid place.
func (p *Picker) insert(now time.Duration, in packetInfo, index int32) *entry {
	if stale := p.table.get(in.hash); stale != nil {
		p.drop(stale)
	}
	k := kindHint
	if owner, ok := p.view.owner(in.hash); ok && owner == p.view.self {
		k = kindOwned
	}
	e := p.table.put(in.hash, k)
	e.seen, e.opened, e.renewed = now, now, now
	if in.Key.Protocol == parser.ProtocolUDP {
		e.flags |= flagDatagram
	}
	if k == kindOwned {
		p.assign(now, e, index)
	} else {
		p.aim(e, index)
	}
	return e
}

// drop forgets an entry together with its load and its exception.
func (p *Picker) drop(e *entry) {
	if e.kind == kindOwned {
		p.unload(e)
		p.streams.end(e.hash)
	} else {
		p.streams.forget(e.hash)
	}
	p.table.remove(e.hash)
}

// pick chooses the target of a new flow: the first of its ranking over the fit
// targets, or the second while the first carries too much. e is the entry of an
// earlier flow with the same five values, or nil.
func (p *Picker) pick(now time.Duration, in packetInfo, c *compiled, e *entry, why Reason) Decision {
	i, j := ranker.BestTwo(in.hash, c.fit)
	if i < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	index := c.fitIndex[i]
	if j >= 0 && p.overloaded(c, index, c.fitIndex[j]) {
		index = c.fitIndex[j]
		why = ReasonSecondChoice
		p.counters.SecondChoice++
	}
	p.counters.FlowsOpened++
	if e == nil {
		e = p.insert(now, in, index)
	} else {
		p.assign(now, e, index)
	}
	e.opened = now
	e.sequence = in.TCPSequence
	e.flags = flagSequence | e.flags&flagDatagram
	p.table.touch(e, now)
	d := p.forward(in, e, why)
	if _, exception := p.streams.records[e.hash]; exception {
		p.counters.NonDefaultFlowsOpened++
		p.keepNear(&d, e)
	}
	return d
}

// keepNear has an exception told at once to an instance in the data centre of its
// target, when the owner is in another one: a partition between the two would
// otherwise leave nobody on the target's side who knows the flow.
func (p *Picker) keepNear(d *Decision, e *entry) {
	near := p.view.places[e.index].target.DataCentre
	if p.view.dataCentre == near || p.streams.mode == ReplicateNever {
		return
	}
	if id, ok := p.view.nearest(e.hash, near); ok {
		d.HintToTargetDataCentre = id
		d.Hint = Hint{FlowHash: e.hash, Target: e.place, SYNSequence: e.sequence}
	}
}

// overloaded compares the load of the first and second choice, each in relation
// to its weight. One flow of difference never counts.
func (p *Picker) overloaded(c *compiled, first, second int32) bool {
	if c.Epsilon < 0 {
		return false
	}
	a, b := &p.view.places[first], &p.view.places[second]
	one := float64(p.loads[a.id]) / a.target.Weight
	two := float64(p.loads[b.id]) / b.target.Weight
	return one > (1+c.Epsilon)*two+1
}

// aim points the entry at a place of the present view.
func (p *Picker) aim(e *entry, index int32) {
	e.index = index
	e.view = p.generation
	e.place = p.view.places[index].id
}

// assign places an owned flow: it counts as load, and as an exception where
// others could not derive the place.
func (p *Picker) assign(now time.Duration, e *entry, index int32) {
	p.aim(e, index)
	p.loads[e.place]++
	p.classify(now, e)
}

// unload takes an owned entry off the load of its place, unless the end of the
// flow already has.
func (p *Picker) unload(e *entry) {
	if e.has(flagClosing) {
		return
	}
	p.loads[e.place]--
	if p.loads[e.place] <= 0 {
		delete(p.loads, e.place)
	}
}
