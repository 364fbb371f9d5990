package measurer

import (
	"time"

	"almondpick/picker"
)

// kind is what an event is about.
type eventKind uint8

const (
	eventOpenFlow        eventKind = iota // a caller opens a flow
	eventCallerSends                      // a caller sends the next packet of a flow
	eventFabricPacket                     // a packet reaches an instance from the fabric
	eventRelayedPacket                    // a packet reaches an instance from another one
	eventTargetPacket                     // a packet reaches a target
	eventHint                             // a hint reaches an instance
	eventSync                             // a message of a stream reaches an instance
	eventTick                             // an instance does its periodic work
	eventSampleImbalance                  // the balance is looked at
	eventCallback                         // a step of the scenario, or news that reaches an instance
)

// event is something that happens at a time. Events at the same time happen in the
// order in which they were scheduled.
type event struct {
	at          time.Duration
	sequence    uint64
	kind        eventKind
	packet      packetKind
	retransmits uint8
	receiver    int32 // instance or target
	flowIndex   int32
	sender      int32 // the instance that sent it
	relayHeader picker.RelayHeader
	hint        picker.Hint
	sync        picker.SyncMessage
	callback    func()
}

// queue is a binary heap of events by time and order.
type eventQueue struct {
	heap         []*event
	freeList     []*event
	lastSequence uint64
}

// add schedules an event. The fields at and kind are set by the caller of the
// returned pointer's owner; the event is recycled after it has happened.
func (q *eventQueue) schedule(at time.Duration, k eventKind) *event {
	var e *event
	if n := len(q.freeList); n > 0 {
		e = q.freeList[n-1]
		q.freeList = q.freeList[:n-1]
		*e = event{}
	} else {
		e = &event{}
	}
	q.lastSequence++
	e.at, e.kind, e.sequence = at, k, q.lastSequence
	q.heap = append(q.heap, e)
	q.siftUp(len(q.heap) - 1)
	return e
}

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

// next takes the earliest event out of the queue; nil when there is none.
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
