package picker

import (
	"reflect"
	"time"
)

// entryKind is the role of this instance for the flow of an entry.
type entryKind uint8

const (
	kindFree    entryKind = iota // the slot is free
	kindOwned                    // this instance decides about the flow
	kindHint                     // learned from the owner
	kindReplica                  // kept for the owner in case the owner fails
	kindCount
)

// Bits of flowEntry.flags.
const (
	flagConfirmed     uint8 = 1 << iota // a packet other than an opening one was seen
	flagClosing                         // a FIN or RST was seen
	flagUDP                             // the flow is a UDP flow
	flagSYNSequence                     // flowEntry.synSequence is known
	flagTargetPending                   // the target is not known yet, so packets are relayed
)

// flowEntry is one flow in the table. It has no pointers, so the garbage collector does
// not scan the table.
type flowEntry struct {
	flowHash       uint64
	lastSeen       time.Duration // last packet or update
	openedAt       time.Duration
	renewedAt      time.Duration // last packet relayed to the owner; hints and replicas only
	target         TargetID
	targetIndex    int32  // index in View.targets, or -1 if the target is gone
	viewGeneration uint32 // Picker.viewGeneration that targetIndex is valid for
	synSequence    uint32 // TCP sequence number of the SYN
	newer          int32  // neighbour in the recency list, or noSlot
	older          int32  // neighbour in the recency list, or noSlot
	kind           entryKind
	flags          uint8
}

func (e *flowEntry) hasFlag(flag uint8) bool {
	return e.flags&flag != 0
}

// FlowEntrySize returns the size of one table entry in bytes, without the map from flow
// hash to slot.
func FlowEntrySize() int {
	return int(reflect.TypeFor[flowEntry]().Size())
}

// recencyList orders the entries of one kind by their last use. The entries are linked by
// slot number.
type recencyList struct {
	newest, oldest int32
	size           int
}

const noSlot int32 = -1

// flowTable stores entries in one slice, with a map from flow hash to slot and a recency
// list for each kind. Each kind has a limit. At the limit, the least recently used entry
// of the kind is evicted for a new one.
type flowTable struct {
	slots      []flowEntry
	slotByHash map[uint64]int32
	freeSlots  []int32
	lists      [kindCount]recencyList
	limits     [kindCount]int
	onEvict    func(*flowEntry)
	sweepSlot  int // slot that sweep visited last
}

func newFlowTable(owned, hints, replicas int, onEvict func(*flowEntry)) *flowTable {
	t := &flowTable{slotByHash: make(map[uint64]int32), onEvict: onEvict}
	t.limits[kindOwned] = owned
	t.limits[kindHint] = hints
	t.limits[kindReplica] = replicas
	for k := range t.lists {
		t.lists[k] = recencyList{newest: noSlot, oldest: noSlot}
	}
	return t
}

// get returns the entry of a flow, or nil. The pointer is valid until the next put.
func (t *flowTable) get(flowHash uint64) *flowEntry {
	slot, ok := t.slotByHash[flowHash]
	if !ok {
		return nil
	}
	return &t.slots[slot]
}

// put adds an entry for a flow that has none, and evicts one if the kind is at its limit.
func (t *flowTable) put(flowHash uint64, k entryKind) *flowEntry {
	if t.lists[k].size >= t.limits[k] {
		t.evict(k)
	}
	slot := t.allocateSlot()
	t.slots[slot] = flowEntry{flowHash: flowHash, kind: k, newer: noSlot, older: noSlot}
	t.slotByHash[flowHash] = slot
	t.link(slot, k)
	return &t.slots[slot]
}

// allocateSlot returns a free slot, and extends the slice if there is none.
func (t *flowTable) allocateSlot() int32 {
	if n := len(t.freeSlots); n > 0 {
		slot := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return slot
	}
	t.slots = append(t.slots, flowEntry{})
	return int32(len(t.slots) - 1)
}

// evict removes the least recently used entry of a kind.
func (t *flowTable) evict(k entryKind) {
	slot := t.lists[k].oldest
	e := &t.slots[slot]
	t.onEvict(e)
	t.remove(e.flowHash)
}

// remove removes the entry of a flow, if there is one.
func (t *flowTable) remove(flowHash uint64) {
	slot, ok := t.slotByHash[flowHash]
	if !ok {
		return
	}
	t.unlink(slot)
	t.slots[slot] = flowEntry{}
	t.freeSlots = append(t.freeSlots, slot)
	delete(t.slotByHash, flowHash)
}

// convert changes the kind of an entry and makes it the newest of that kind. Entries that
// are converted between two puts may exceed the limit of the new kind.
func (t *flowTable) convert(e *flowEntry, k entryKind) {
	slot := t.slotByHash[e.flowHash]
	t.unlink(slot)
	e.kind = k
	t.link(slot, k)
}

// touch records the use of an entry. Moving an entry in the recency list costs more than
// finding it, so an entry moves only if listUpdateInterval has passed since its last use.
func (t *flowTable) touch(e *flowEntry, now time.Duration) {
	const listUpdateInterval = time.Second
	previous := e.lastSeen
	e.lastSeen = now
	if now-previous < listUpdateInterval {
		return
	}
	slot := t.slotByHash[e.flowHash]
	t.unlink(slot)
	t.link(slot, e.kind)
}

// link inserts a slot as the newest of the recency list of a kind.
func (t *flowTable) link(slot int32, k entryKind) {
	l := &t.lists[k]
	e := &t.slots[slot]
	e.newer = noSlot
	e.older = l.newest
	if l.newest != noSlot {
		t.slots[l.newest].newer = slot
	}
	l.newest = slot
	if l.oldest == noSlot {
		l.oldest = slot
	}
	l.size++
}

// unlink removes a slot from the recency list of its kind.
func (t *flowTable) unlink(slot int32) {
	e := &t.slots[slot]
	l := &t.lists[e.kind]
	if e.newer != noSlot {
		t.slots[e.newer].older = e.older
	} else {
		l.newest = e.older
	}
	if e.older != noSlot {
		t.slots[e.older].newer = e.newer
	} else {
		l.oldest = e.newer
	}
	l.size--
}

// forEach calls f for every entry. f may remove or convert the entry that it gets.
func (t *flowTable) forEach(f func(*flowEntry)) {
	for i := range t.slots {
		if t.slots[i].kind != kindFree {
			f(&t.slots[i])
		}
	}
}

// sweep calls f for the entries in the next n slots, continuing after the last slot of the
// previous call, so that a sweep of the whole table is spread over many calls.
func (t *flowTable) sweep(n int, f func(*flowEntry)) {
	n = min(n, len(t.slots))
	for range n {
		t.sweepSlot++
		if t.sweepSlot >= len(t.slots) {
			t.sweepSlot = 0
		}
		if t.slots[t.sweepSlot].kind != kindFree {
			f(&t.slots[t.sweepSlot])
		}
	}
}
