package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// insert puts a flow into the table: owned where this instance is the owner,
// otherwise as a hint. The flow must not be in the table with a valid place.
func (p *Picker) insertFlow(now time.Duration, in packetInfo, index int32) *flowEntry {
	if existing := p.table.get(in.flowHash); existing != nil {
		p.removeFlow(existing)
	}
	k := kindHint
	if owner, ok := p.view.owner(in.flowHash); ok && owner == p.view.self {
		k = kindOwned
	}
	e := p.table.put(in.flowHash, k)
	e.lastSeen, e.openedAt, e.renewedAt = now, now, now
	if in.Key.Protocol == parser.ProtocolUDP {
		e.flags |= flagUDP
	}
	if k == kindOwned {
		p.assignTarget(now, e, index)
	} else {
		p.setTarget(e, index)
	}
	return e
}

// drop forgets an entry together with its load and its exception.
func (p *Picker) removeFlow(e *flowEntry) {
	if e.kind == kindOwned {
		p.subtractLoad(e)
		p.replication.withdrawRecord(e.flowHash)
	} else {
		p.replication.discardRecord(e.flowHash)
	}
	p.table.remove(e.flowHash)
}

// pick chooses the target of a new flow: the first of its ranking over the fit
// targets, or the second while the first carries too much. e is the entry of an
// earlier flow with the same five values, or nil.
func (p *Picker) pickTarget(now time.Duration, in packetInfo, service *compiledService, e *flowEntry, reason Reason) Decision {
	i, j := ranker.BestTwo(in.flowHash, service.eligible)
	if i < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	index := service.eligibleIndex[i]
	if j >= 0 && p.isOverloaded(service, index, service.eligibleIndex[j]) {
		index = service.eligibleIndex[j]
		reason = ReasonSecondChoice
		p.counters.SecondChoice++
	}
	p.counters.FlowsOpened++
	if e == nil {
		e = p.insertFlow(now, in, index)
	} else {
		p.assignTarget(now, e, index)
	}
	e.openedAt = now
	e.synSequence = in.TCPSequence
	e.flags = flagSYNSequence | e.flags&flagUDP
	p.table.touch(e, now)
	d := p.forwardEntry(in, e, reason)
	if _, nonDefault := p.replication.records[e.flowHash]; nonDefault {
		p.counters.NonDefaultFlowsOpened++
		p.hintToTargetDataCentre(&d, e)
	}
	return d
}

// keepNear has an exception told at once to an instance in the data centre of its
// target, when the owner is in another one: a partition between the two would
// otherwise leave nobody on the target's side who knows the flow.
func (p *Picker) hintToTargetDataCentre(d *Decision, e *flowEntry) {
	dataCentre := p.view.targets[e.targetIndex].target.DataCentre
	if p.view.dataCentre == dataCentre || p.replication.mode == ReplicateNever {
		return
	}
	if id, ok := p.view.firstMemberIn(e.flowHash, dataCentre); ok {
		d.HintToTargetDataCentre = id
		d.Hint = Hint{FlowHash: e.flowHash, Target: e.target, SYNSequence: e.synSequence}
	}
}

// overloaded compares the load of the first and second choice, each in relation
// to its weight. One flow of difference never counts.
func (p *Picker) isOverloaded(service *compiledService, first, second int32) bool {
	if service.Epsilon < 0 {
		return false
	}
	firstTarget, secondTarget := &p.view.targets[first], &p.view.targets[second]
	firstLoad := float64(p.openFlows[firstTarget.id]) / firstTarget.target.Weight
	secondLoad := float64(p.openFlows[secondTarget.id]) / secondTarget.target.Weight
	return firstLoad > (1+service.Epsilon)*secondLoad+1
}

// aim points the entry at a place of the present view.
func (p *Picker) setTarget(e *flowEntry, index int32) {
	e.targetIndex = index
	e.viewGeneration = p.viewGeneration
	e.target = p.view.targets[index].id
}

// assign places an owned flow: it counts as load, and as an exception where
// others could not derive the place.
func (p *Picker) assignTarget(now time.Duration, e *flowEntry, index int32) {
	p.setTarget(e, index)
	p.openFlows[e.target]++
	p.updateRecord(now, e)
}

// unload takes an owned entry off the load of its place, unless the end of the
// flow already has.
func (p *Picker) subtractLoad(e *flowEntry) {
	if e.hasFlag(flagClosing) {
		return
	}
	p.openFlows[e.target]--
	if p.openFlows[e.target] <= 0 {
		delete(p.openFlows, e.target)
	}
}
