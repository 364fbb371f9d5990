package measurer

import (
	"time"

	"almondpick/picker"
)

// eventKind selects the handler of an event.
type eventKind uint8

const (
	eventOpenFlow        eventKind = iota // a caller opens a flow
	eventCallerSends                      // a caller sends the next packet of a flow
	eventFabricPacket                     // a packet from the fabric arrives at an instance
	eventRelayedPacket                    // a packet that another instance relayed arrives at an instance
	eventTargetPacket                     // a packet arrives at a target
	eventHint                             // a hint arrives at an instance
	eventSync                             // a sync message arrives at an instance
	eventTick                             // an instance does its periodic work
	eventSampleImbalance                  // the imbalance of the targets is sampled
	eventCallback                         // a step of the scenario, or an instance learns a change
)

// event is an event of the simulation. Events with the same time are handled in the order
// in which they were scheduled.
type event struct {
	at          time.Duration
	sequence    uint64
	kind        eventKind
	packet      packetKind
	retransmits uint8 // of the packet; for eventTick, the low byte of the instance's incarnation
	receiver    int32 // index of an instance or a target
	flowIndex   int32
	sender      int32 // index of the instance that sent a sync message
	relayHeader picker.RelayHeader
	hint        picker.Hint
	sync        picker.SyncMessage
	callback    func()
}

// eventQueue is a binary heap of events, ordered by time and sequence.
type eventQueue struct {
	heap         []*event
	freeList     []*event
	lastSequence uint64
}

// schedule adds an event of a kind and returns the event, so that the caller sets the
// fields that the kind needs. The event must not be kept: it is recycled once handled.
func (q *eventQueue) schedule(at time.Duration, kind eventKind) *event {
	var e *event
	if n := len(q.freeList); n > 0 {
		e = q.freeList[n-1]
		q.freeList = q.freeList[:n-1]
		*e = event{}
	} else {
		e = &event{}
	}
	q.lastSequence++
	e.at, e.kind, e.sequence = at, kind, q.lastSequence
	q.heap = append(q.heap, e)
	q.siftUp(len(q.heap) - 1)
	return e
}

// recycle makes the memory of a handled event available to schedule.
func (q *eventQueue) recycle(e *event) {
	q.freeList = append(q.freeList, e)
}

func eventBefore(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.sequence < b.sequence
}

func (q *eventQueue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !eventBefore(q.heap[i], q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// pop removes and returns the earliest event. It returns nil if the queue is empty.
func (q *eventQueue) pop() *event {
	if len(q.heap) == 0 {
		return nil
	}
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.siftDown(0)
	return top
}

func (q *eventQueue) siftDown(i int) {
	for {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if eventBefore(q.heap[child], q.heap[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		q.heap[i], q.heap[smallest] = q.heap[smallest], q.heap[i]
		i = smallest
	}
}
