package picker

import (
	"time"

	"almondpick/parser"
	"almondpick/ranker"
)

// insertFlow adds a flow to the table: as an owned entry if this instance is the owner,
// otherwise as a hint. The target has the given index in View.targets. The flow must not
// be in the table with a valid target.
func (p *Picker) insertFlow(now time.Duration, in packetInfo, index int32) *flowEntry {
	if existing := p.table.get(in.flowHash); existing != nil {
		p.removeFlow(existing)
	}
	newKind := kindHint
	if owner, ok := p.view.owner(in.flowHash); ok && owner == p.view.self {
		newKind = kindOwned
	}
	e := p.table.put(in.flowHash, newKind)
	e.lastSeen, e.openedAt, e.renewedAt = now, now, now
	if in.Key.Protocol == parser.ProtocolUDP {
		e.flags |= flagUDP
	}
	if newKind == kindOwned {
		p.assignTarget(now, e, index)
	} else {
		p.setTarget(e, index)
	}
	return e
}

// removeFlow removes an entry together with its load and its replicated record.
func (p *Picker) removeFlow(e *flowEntry) {
	if e.kind == kindOwned {
		p.subtractLoad(e)
		p.replication.withdrawRecord(e.flowHash)
	} else {
		p.replication.discardRecord(e.flowHash)
	}
	p.table.remove(e.flowHash)
}

// pickTarget selects the target of a new flow: the one that ranks first among the targets
// that accept new flows, or the second while the first is overloaded. e is the entry that
// the flow or an earlier one with the same five-tuple has in the table, or nil.
func (p *Picker) pickTarget(now time.Duration, in packetInfo, service *compiledService, e *flowEntry, reason Reason) Decision {
	first, second := ranker.BestTwo(in.flowHash, service.acceptingNodes)
	if first < 0 {
		return Decision{Verdict: Refuse, Reason: ReasonNoTarget}
	}
	index := service.acceptingIndexes[first]
	if second >= 0 && p.isOverloaded(service, index, service.acceptingIndexes[second]) {
		index = service.acceptingIndexes[second]
		reason = ReasonSecondChoice
		p.counters.SecondChoicePicked++
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

// hintToTargetDataCentre adds a hint about a non-default flow to an instance in the data
// centre of the target, if the owner is in another data centre. The hint is sent at once,
// before the record of the flow is replicated. Otherwise, after a partition between the
// two, no instance on the side of the target would know the flow.
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

// isOverloaded reports whether the load of the first target exceeds that of the second by
// more than the service's Epsilon, each relative to its weight. A difference of 1, which is
// one flow at weight 1, is never too much.
func (p *Picker) isOverloaded(service *compiledService, firstIndex, secondIndex int32) bool {
	if service.Epsilon < 0 {
		return false
	}
	firstTarget, secondTarget := &p.view.targets[firstIndex], &p.view.targets[secondIndex]
	firstLoad := float64(p.openFlows[firstTarget.id]) / firstTarget.target.Weight
	secondLoad := float64(p.openFlows[secondTarget.id]) / secondTarget.target.Weight
	return firstLoad > (1+service.Epsilon)*secondLoad+1
}

// setTarget sets the target of the entry by its index in the current view.
func (p *Picker) setTarget(e *flowEntry, index int32) {
	e.targetIndex = index
	e.viewGeneration = p.viewGeneration
	e.target = p.view.targets[index].id
}

// assignTarget sets the target of an owned flow, counts the flow as load of the target,
// and replicates a record if the target is not the default one.
func (p *Picker) assignTarget(now time.Duration, e *flowEntry, index int32) {
	p.setTarget(e, index)
	p.openFlows[e.target]++
	p.updateRecord(now, e)
}

// subtractLoad removes an owned flow from the load of its target, unless the end of the
// flow has done so already.
func (p *Picker) subtractLoad(e *flowEntry) {
	if e.hasFlag(flagClosing) {
		return
	}
	p.openFlows[e.target]--
	if p.openFlows[e.target] <= 0 {
		delete(p.openFlows, e.target)
	}
}
