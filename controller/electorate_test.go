package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"almondpick/voter"
)

// disks plays a deployment whose leader follows the policy of the electorate.
type disks struct {
	size    int
	present voter.Membership
	live    map[voter.ID]string // to its data centre
}

func (d *disks) electorate() membershipPolicy {
	e := membershipPolicy{WantedVoters: d.size, Current: d.present}
	for id, dc := range d.live {
		e.Live = append(e.Live, storageInstance{ID: id, DataCentre: dc, CaughtUp: d.present.Has(id)})
	}
	slices.SortFunc(e.Live, func(a, b storageInstance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, s := range e.Live {
		if d.present.Votes(s.ID) {
			e.Leader = s.ID
		}
	}
	return e
}

// settle takes steps until none is left, and checks each.
func (d *disks) settle(t *testing.T) {
	t.Helper()
	for range 100 {
		next, ok := d.electorate().nextMembership()
		if !ok {
			return
		}
		changed := 0
		for _, id := range slices.Concat(next.Voters, d.present.Voters) {
			if next.Votes(id) != d.present.Votes(id) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("from %v to %v in one step", d.present, next)
		}
		if len(next.Voters) < min(len(d.present.Voters), d.size) {
			t.Fatalf("voters fell short: %v to %v", d.present, next)
		}
		d.present = next
	}
	t.Fatalf("it does not settle: %v", d.present)
}

func TestElectorateGrowsSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	d := &disks{size: 5, live: make(map[voter.ID]string)}
	for i := range 8 {
		d.live[voter.ID(fmt.Sprintf("s%d#x", i))] = fmt.Sprintf("dc%d", i/2)
	}
	for _, seed := range []voter.ID{"s0#x", "s2#x", "s4#x"} {
		d.present = d.present.WithVoter(seed)
	}
	d.settle(t)
	is.Equal(len(d.present.Voters), 5)
	is.Equal(len(d.present.Learners), 3)
	count := make(map[string]int)
	for _, v := range d.present.Voters {
		count[d.live[v]]++
	}
	is.Equal(len(count), 4) // every data centre has one
}

func TestALostVoterIsReplacedBeforeItGoes(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *disks)
		want   []voter.ID
	}{
		{"gone for good, a spare learner", func(d *disks) { delete(d.live, "a#1"); d.live["d#1"] = "dc4" }, []voter.ID{"b#1", "c#1", "d#1"}},
		{"another machine in its place", func(d *disks) { delete(d.live, "a#1"); d.live["e#1"] = "dc1" }, []voter.ID{"b#1", "c#1", "e#1"}},
		{"same address, empty disk", func(d *disks) { delete(d.live, "a#1"); d.live["a#2"] = "dc1" }, []voter.ID{"a#2", "b#1", "c#1"}},
		{"away, nobody to replace it", func(d *disks) { delete(d.live, "a#1") }, []voter.ID{"a#1", "b#1", "c#1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &disks{size: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3"}}
			for id := range d.live {
				d.present = d.present.WithVoter(id)
			}
			c.change(d)
			d.settle(t)
			is.Equal(d.present.Voters, c.want)
		})
	}
}

func TestElectorateSettlesAfterAnyLosses(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	d := &disks{size: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3", "d#1": "dc4"}}
	d.present = d.present.WithVoter("a#1").WithVoter("b#1").WithVoter("c#1")
	identity := 1
	for range 300 {
		name, dc := string(rune('a'+random.IntN(4))), ""
		for id, at := range d.live {
			if instanceNameOf(id) == name {
				dc = at
				delete(d.live, id)
			}
		}
		d.settle(t)
		if dc == "" {
			dc = "dc1"
		}
		if random.IntN(2) == 0 {
			identity++
		}
		d.live[voter.ID(fmt.Sprintf("%s#%d", name, identity))] = dc
		d.settle(t)
		live := 0
		for _, v := range d.present.Voters {
			if _, ok := d.live[v]; ok {
				live++
			}
		}
		if live != 3 || len(d.present.Voters) != 3 {
			t.Fatalf("voters %v, live %v", d.present.Voters, d.live)
		}
	}
}
