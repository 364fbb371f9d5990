package picker

import (
	"reflect"
	"time"
)

// kind says by what right an entry is in the table.
type entryKind uint8

const (
	kindFree    entryKind = iota
	kindOwned             // this instance decides about the flow
	kindHint              // learnt from the owner
	kindReplica           // kept for the owner, against its death
	kindCount
)

// Bits of entry.flags.
const (
	flagConfirmed     uint8 = 1 << iota // a packet beyond the opening one was seen
	flagClosing                         // a FIN or RST was seen
	flagUDP                             // UDP
	flagSYNSequence                     // entry.sequence is known
	flagTargetPending                   // the place is not known yet; the flow is relayed
)

// entry is one flow. It holds no pointers, so the collector does not scan the table.
type flowEntry struct {
	flowHash       uint64
	lastSeen       time.Duration // last packet or update
	openedAt       time.Duration
	renewedAt      time.Duration // hints: last packet that went through the owner
	target         TargetID
	targetIndex    int32  // position of place in the view of generation
	viewGeneration uint32 // generation that index belongs to
	synSequence    uint32
	newer          int32
	older          int32
	kind           entryKind
	flags          uint8
}

func (e *flowEntry) hasFlag(flag uint8) bool {
	return e.flags&flag != 0
}

// FlowEntrySize returns the size of one flow in the table without its share of the index,
// in bytes.
func FlowEntrySize() int {
	return int(reflect.TypeFor[flowEntry]().Size())
}

// list is the recency list of one kind: newest first, linked by slot number.
type recencyList struct {
	newest, oldest int32
	size           int
}

const noSlot int32 = -1

// table holds entries in one slab with an index by flow hash and a recency list
// for each kind. Each kind has a limit; at the limit the least recently used
// entry of that kind makes room.
type flowTable struct {
	slots      []flowEntry
	slotByHash map[uint64]int32
	freeSlots  []int32
	lists      [kindCount]recencyList
	limits     [kindCount]int
	onEvict    func(*flowEntry)
	sweepSlot  int
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

// get returns the entry of a flow or nil. The pointer is valid until the next put.
func (t *flowTable) get(hash uint64) *flowEntry {
	slot, ok := t.slotByHash[hash]
	if !ok {
		return nil
	}
	return &t.slots[slot]
}

// put makes an entry for a flow that has none.
func (t *flowTable) put(hash uint64, k entryKind) *flowEntry {
	if t.lists[k].size >= t.limits[k] {
		t.evict(k)
	}
	slot := t.allocateSlot()
	t.slots[slot] = flowEntry{flowHash: hash, kind: k, newer: noSlot, older: noSlot}
	t.slotByHash[hash] = slot
	t.link(slot, k)
	return &t.slots[slot]
}

func (t *flowTable) allocateSlot() int32 {
	if n := len(t.freeSlots); n > 0 {
		slot := t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
		return slot
	}
	t.slots = append(t.slots, flowEntry{})
	return int32(len(t.slots) - 1)
}

func (t *flowTable) evict(k entryKind) {
	slot := t.lists[k].oldest
	e := &t.slots[slot]
	t.onEvict(e)
	t.remove(e.flowHash)
}

// remove drops the entry of a flow; without one it does nothing.
func (t *flowTable) remove(hash uint64) {
	slot, ok := t.slotByHash[hash]
	if !ok {
		return
	}
	t.unlink(slot)
	t.slots[slot] = flowEntry{}
	t.freeSlots = append(t.freeSlots, slot)
	delete(t.slotByHash, hash)
}

// convert changes the kind of an entry and makes it the newest of that kind. The
// limit of the new kind may be passed by the entries converted between two puts.
func (t *flowTable) convert(e *flowEntry, k entryKind) {
	slot := t.slotByHash[e.flowHash]
	t.unlink(slot)
	e.kind = k
	t.link(slot, k)
}

// touch notes the use of an entry. Moving it in the recency list costs more than
// the lookup, so it is done only once in a while.
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

// each calls f for every entry. f may remove or convert the entry it is given.
func (t *flowTable) forEach(f func(*flowEntry)) {
	for i := range t.slots {
		if t.slots[i].kind != kindFree {
			f(&t.slots[i])
		}
	}
}

// step calls f for the next n slots in turn, so that a full sweep is spread over
// many calls.
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
