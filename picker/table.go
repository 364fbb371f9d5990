package picker

import (
	"reflect"
	"time"
)

// kind says by what right an entry is in the table.
type kind uint8

const (
	kindFree    kind = iota
	kindOwned        // this instance decides about the flow
	kindHint         // learnt from the owner
	kindReplica      // kept for the owner, against its death
	kindCount
)

// Bits of entry.flags.
const (
	flagConfirmed uint8 = 1 << iota // a packet beyond the opening one was seen
	flagClosing                     // a FIN or RST was seen
	flagDatagram                    // UDP
	flagSequence                    // entry.sequence is known
	flagPending                     // the place is not known yet; the flow is relayed
)

// entry is one flow. It holds no pointers, so the collector does not scan the table.
type entry struct {
	hash     uint64
	seen     time.Duration // last packet or update
	opened   time.Duration
	renewed  time.Duration // hints: last packet that went through the owner
	place    TargetID
	index    int32  // position of place in the view of generation
	view     uint32 // generation that index belongs to
	sequence uint32
	newer    int32
	older    int32
	kind     kind
	flags    uint8
}

func (e *entry) has(flag uint8) bool {
	return e.flags&flag != 0
}

// FlowEntrySize returns the size of one flow in the table without its share of the index,
// in bytes.
func FlowEntrySize() int {
	return int(reflect.TypeFor[entry]().Size())
}

// list is the recency list of one kind: newest first, linked by slot number.
type list struct {
	newest, oldest int32
	size           int
}

const noSlot int32 = -1

// table holds entries in one slab with an index by flow hash and a recency list
// for each kind. Each kind has a limit; at the limit the least recently used
// entry of that kind makes room.
type table struct {
	slots   []entry
	index   map[uint64]int32
	free    []int32
	lists   [kindCount]list
	limits  [kindCount]int
	onEvict func(*entry)
	sweep   int
}

func newTable(owned, hints, replicas int, onEvict func(*entry)) *table {
	t := &table{index: make(map[uint64]int32), onEvict: onEvict}
	t.limits[kindOwned] = owned
	t.limits[kindHint] = hints
	t.limits[kindReplica] = replicas
	for k := range t.lists {
		t.lists[k] = list{newest: noSlot, oldest: noSlot}
	}
	return t
}

// get returns the entry of a flow or nil. The pointer is valid until the next put.
func (t *table) get(hash uint64) *entry {
	slot, ok := t.index[hash]
	if !ok {
		return nil
	}
	return &t.slots[slot]
}

// put makes an entry for a flow that has none.
func (t *table) put(hash uint64, k kind) *entry {
	if t.lists[k].size >= t.limits[k] {
		t.evict(k)
	}
	slot := t.take()
	t.slots[slot] = entry{hash: hash, kind: k, newer: noSlot, older: noSlot}
	t.index[hash] = slot
	t.link(slot, k)
	return &t.slots[slot]
}

func (t *table) take() int32 {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		return slot
	}
	t.slots = append(t.slots, entry{})
	return int32(len(t.slots) - 1)
}

func (t *table) evict(k kind) {
	slot := t.lists[k].oldest
	e := &t.slots[slot]
	t.onEvict(e)
	t.remove(e.hash)
}

// remove drops the entry of a flow; without one it does nothing.
func (t *table) remove(hash uint64) {
	slot, ok := t.index[hash]
	if !ok {
		return
	}
	t.unlink(slot)
	t.slots[slot] = entry{}
	t.free = append(t.free, slot)
	delete(t.index, hash)
}

// convert changes the kind of an entry and makes it the newest of that kind. The
// limit of the new kind may be passed by the entries converted between two puts.
func (t *table) convert(e *entry, k kind) {
	slot := t.index[e.hash]
	t.unlink(slot)
	e.kind = k
	t.link(slot, k)
}

// touch notes the use of an entry. Moving it in the recency list costs more than
// the lookup, so it is done only once in a while.
func (t *table) touch(e *entry, now time.Duration) {
	const moveAfter = time.Second
	old := e.seen
	e.seen = now
	if now-old < moveAfter {
		return
	}
	slot := t.index[e.hash]
	t.unlink(slot)
	t.link(slot, e.kind)
}

func (t *table) link(slot int32, k kind) {
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

func (t *table) unlink(slot int32) {
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
func (t *table) each(f func(*entry)) {
	for i := range t.slots {
		if t.slots[i].kind != kindFree {
			f(&t.slots[i])
		}
	}
}

// step calls f for the next n slots in turn, so that a full sweep is spread over
// many calls.
func (t *table) step(n int, f func(*entry)) {
	n = min(n, len(t.slots))
	for range n {
		t.sweep++
		if t.sweep >= len(t.slots) {
			t.sweep = 0
		}
		if t.slots[t.sweep].kind != kindFree {
			f(&t.slots[t.sweep])
		}
	}
}
