package measurer

import (
	"time"

	"almondpick/picker"
)

// kind is what an event is about.
type kind uint8

const (
	evOpen   kind = iota // a caller opens a flow
	evSend               // a caller sends the next packet of a flow
	evArrive             // a packet reaches an instance from the fabric
	evRelay              // a packet reaches an instance from another one
	evTarget             // a packet reaches a target
	evHint               // a hint reaches an instance
	evSync               // a message of a stream reaches an instance
	evTick               // an instance does its periodic work
	evSample             // the balance is looked at
	evAction             // a step of the scenario, or news that reaches an instance
)

// event is something that happens at a time. Events at the same time happen in the
// order in which they were scheduled.
type event struct {
	at     time.Duration
	order  uint64
	kind   kind
	packet packetKind
	tries  uint8
	who    int32 // instance or target
	flow   int32
	from   int32 // the instance that sent it
	trail  picker.RelayHeader
	hint   picker.Hint
	sync   picker.SyncMessage
	action func()
}

// queue is a binary heap of events by time and order.
type queue struct {
	heap  []*event
	free  []*event
	count uint64
}

// add schedules an event. The fields at and kind are set by the caller of the
// returned pointer's owner; the event is recycled after it has happened.
func (q *queue) add(at time.Duration, k kind) *event {
	var e *event
	if n := len(q.free); n > 0 {
		e = q.free[n-1]
		q.free = q.free[:n-1]
		*e = event{}
	} else {
		e = &event{}
	}
	q.count++
	e.at, e.kind, e.order = at, k, q.count
	q.heap = append(q.heap, e)
	q.up(len(q.heap) - 1)
	return e
}

func (q *queue) recycle(e *event) {
	q.free = append(q.free, e)
}

func before(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.order < b.order
}

func (q *queue) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !before(q.heap[i], q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// next takes the earliest event out of the queue; nil when there is none.
func (q *queue) next() *event {
	if len(q.heap) == 0 {
		return nil
	}
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.down(0)
	return top
}

func (q *queue) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if before(q.heap[child], q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
