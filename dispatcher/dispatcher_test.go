package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestExpiredRequestCanStillBeCancelled cancels a request that has left the queue after its
// deadline. Expire must not return the request any more.
func TestExpiredRequestCanStillBeCancelled(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	p.SetTargets(0, []Target{{Name: "a", Slots: 1, Eligible: true}})
	_, assignment := p.Submit(0, Request{ID: 1, Deadline: time.Second})
	is.Equal(assignment.Target, "a")
	admission, _ := p.Submit(0, Request{ID: 2, Deadline: time.Second})
	is.Equal(admission, Queued)
	is.Equal(len(p.Finish(2*time.Second, "a", ResultOK, time.Second)), 0) // past the deadline of request 2
	is.True(p.Cancel(2))                                                  // before Expire returns the request
	expired, _ := p.Expire(2 * time.Second)
	is.Equal(len(expired), 0)
}

func TestPanicThresholdKeepsEjectedTargetsInUse(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	p.SetTargets(0, []Target{{Name: "a", Slots: 1, Eligible: true}, {Name: "b", Slots: 1, Eligible: true}})
	for i := range 40 {
		_, assignment := p.Submit(0, Request{ID: RequestID(i), Deadline: time.Hour})
		if assignment.Target != "" {
			p.Finish(0, assignment.Target, ResultConnectionFailed, 0) // every connection from this instance fails
		}
	}
	admission, _ := p.Submit(0, Request{ID: 99, Deadline: time.Hour})
	is.Equal(admission, Started) // the fault is more likely on this instance than on all targets
}

// TestRunningRequestsNeverExceedSlots makes random sequences of calls. No target may run
// more requests than it has slots, and no request may start twice or after its expiry.
func TestRunningRequestsNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		now := time.Duration(0)
		slotsByTarget := map[string]int{"a": 2, "b": 3}
		runningByTarget := map[string]int{}
		p.SetTargets(now, []Target{{Name: "a", Slots: 2, Eligible: true}, {Name: "b", Slots: 3, Eligible: true}})
		startedIDs := map[RequestID]bool{}
		nextID := RequestID(0)
		recordStarts := func(assignments ...Assignment) {
			for _, s := range assignments {
				if startedIDs[s.RequestID] {
					t.Fatal("started twice")
				}
				startedIDs[s.RequestID] = true
				runningByTarget[s.Target]++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				nextID++
				request := Request{ID: nextID, Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"), Deadline: now + time.Second}
				if admission, s := p.Submit(now, request); admission == Started {
					recordStarts(s)
				}
			},
			"finish": func(t *rapid.T) {
				target := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")
				if runningByTarget[target] == 0 {
					return
				}
				runningByTarget[target]--
				result := Result(rapid.IntRange(0, 3).Draw(t, "result"))
				recordStarts(p.Finish(now, target, result, time.Millisecond)...)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
				expired, assignments := p.Expire(now)
				for _, id := range expired {
					startedIDs[id] = true // must not start any more
				}
				recordStarts(assignments...)
			},
			"": func(t *rapid.T) {
				for name, n := range runningByTarget {
					if n > slotsByTarget[name] {
						t.Fatalf("%s runs %d", name, n)
					}
				}
			},
		})
	})
}
