package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLateWorkCanStillBeCancelled(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	p.SetTargets(0, []Target{{Name: "a", Slots: 1, Eligible: true}})
	_, start := p.Submit(0, Request{ID: 1, Deadline: time.Second})
	is.Equal(start.Target, "a")
	verdict, _ := p.Submit(0, Request{ID: 2, Deadline: time.Second})
	is.Equal(verdict, Queued)
	is.Equal(len(p.Finish(2*time.Second, "a", ResultOK, time.Second)), 0) // too late to start
	is.True(p.Cancel(2))                                                  // by its caller, before Expire
	late, _ := p.Expire(2 * time.Second)
	is.Equal(len(late), 0)
}

func TestEjectionHasACeiling(t *testing.T) {
	is := is.New(t)
	p := NewPool()
	p.SetTargets(0, []Target{{Name: "a", Slots: 1, Eligible: true}, {Name: "b", Slots: 1, Eligible: true}})
	for i := range 40 {
		_, start := p.Submit(0, Request{ID: RequestID(i), Deadline: time.Hour})
		if start.Target != "" {
			p.Finish(0, start.Target, ResultConnectionFailed, 0) // everything looks broken from here
		}
	}
	verdict, _ := p.Submit(0, Request{ID: 99, Deadline: time.Hour})
	is.Equal(verdict, Started) // more likely the observer is at fault
}

// TestSlotsAreNeverExceeded drives a pool with steps drawn by rapid.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		now := time.Duration(0)
		slots := map[string]int{"a": 2, "b": 3}
		running := map[string]int{}
		p.SetTargets(now, []Target{{Name: "a", Slots: 2, Eligible: true}, {Name: "b", Slots: 3, Eligible: true}})
		started := map[RequestID]bool{}
		next := RequestID(0)
		begin := func(list ...Assignment) {
			for _, s := range list {
				if started[s.RequestID] {
					t.Fatal("started twice")
				}
				started[s.RequestID] = true
				running[s.Target]++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				next++
				w := Request{ID: next, Tenant: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"), Deadline: now + time.Second}
				if verdict, s := p.Submit(now, w); verdict == Started {
					begin(s)
				}
			},
			"finish": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target")
				if running[name] == 0 {
					return
				}
				running[name]--
				r := Result(rapid.IntRange(0, 3).Draw(t, "result"))
				begin(p.Finish(now, name, r, time.Millisecond)...)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
				late, starts := p.Expire(now)
				for _, id := range late {
					started[id] = true // may not start any more
				}
				begin(starts...)
			},
			"": func(t *rapid.T) {
				for name, n := range running {
					if n > slots[name] {
						t.Fatalf("%s runs %d", name, n)
					}
				}
			},
		})
	})
}
