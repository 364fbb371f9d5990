package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"almondpick/voter"
)

// simulatedCluster simulates a deployment whose leader follows membershipPolicy.
type simulatedCluster struct {
	wantedVoters int
	current      voter.Membership
	live         map[voter.ID]string // to the data centre of the instance
}

func (d *simulatedCluster) membershipPolicy() membershipPolicy {
	policy := membershipPolicy{WantedVoters: d.wantedVoters, Current: d.current}
	for id, dc := range d.live {
		policy.Live = append(policy.Live, storageInstance{ID: id, DataCentre: dc, CaughtUp: d.current.IsMember(id)})
	}
	slices.SortFunc(policy.Live, func(a, b storageInstance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, s := range policy.Live {
		if d.current.IsVoter(s.ID) {
			policy.Leader = s.ID
		}
	}
	return policy
}

// converge takes steps until none is left, and checks each step.
func (d *simulatedCluster) converge(t *testing.T) {
	t.Helper()
	for range 100 {
		next, ok := d.membershipPolicy().nextMembership()
		if !ok {
			return
		}
		changed := 0
		for _, id := range slices.Concat(next.Voters, d.current.Voters) {
			if next.IsVoter(id) != d.current.IsVoter(id) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("more than one voter changed in one step: %v to %v", d.current, next)
		}
		if len(next.Voters) < min(len(d.current.Voters), d.wantedVoters) {
			t.Fatalf("too few voters: %v to %v", d.current, next)
		}
		d.current = next
	}
	t.Fatalf("membership does not converge: %v", d.current)
}

func TestVotersSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	d := &simulatedCluster{wantedVoters: 5, live: make(map[voter.ID]string)}
	for i := range 8 {
		d.live[voter.ID(fmt.Sprintf("s%d#x", i))] = fmt.Sprintf("dc%d", i/2)
	}
	for _, seed := range []voter.ID{"s0#x", "s2#x", "s4#x"} {
		d.current = d.current.WithVoter(seed)
	}
	d.converge(t)
	is.Equal(len(d.current.Voters), 5)
	is.Equal(len(d.current.Learners), 3)
	count := make(map[string]int)
	for _, v := range d.current.Voters {
		count[d.live[v]]++
	}
	is.Equal(len(count), 4) // every data centre has one voter
}

func TestLostVoterIsReplacedBeforeRemoval(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(d *simulatedCluster)
		want   []voter.ID
	}{
		{"lost for good, spare learner", func(d *simulatedCluster) { delete(d.live, "a#1"); d.live["d#1"] = "dc4" }, []voter.ID{"b#1", "c#1", "d#1"}},
		{"replaced by another machine", func(d *simulatedCluster) { delete(d.live, "a#1"); d.live["e#1"] = "dc1" }, []voter.ID{"b#1", "c#1", "e#1"}},
		{"same address, empty disk", func(d *simulatedCluster) { delete(d.live, "a#1"); d.live["a#2"] = "dc1" }, []voter.ID{"a#2", "b#1", "c#1"}},
		{"unreachable, no replacement", func(d *simulatedCluster) { delete(d.live, "a#1") }, []voter.ID{"a#1", "b#1", "c#1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &simulatedCluster{wantedVoters: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3"}}
			for id := range d.live {
				d.current = d.current.WithVoter(id)
			}
			c.change(d)
			d.converge(t)
			is.Equal(d.current.Voters, c.want)
		})
	}
}

func TestVotersConvergeAfterAnyLosses(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	d := &simulatedCluster{wantedVoters: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3", "d#1": "dc4"}}
	d.current = d.current.WithVoter("a#1").WithVoter("b#1").WithVoter("c#1")
	identity := 1
	for range 300 {
		name, dc := string(rune('a'+random.IntN(4))), ""
		for id, at := range d.live {
			if instanceNameOf(id) == name {
				dc = at
				delete(d.live, id)
			}
		}
		d.converge(t)
		if dc == "" {
			dc = "dc1"
		}
		if random.IntN(2) == 0 {
			identity++
		}
		d.live[voter.ID(fmt.Sprintf("%s#%d", name, identity))] = dc
		d.converge(t)
		live := 0
		for _, v := range d.current.Voters {
			if _, ok := d.live[v]; ok {
				live++
			}
		}
		if live != 3 || len(d.current.Voters) != 3 {
			t.Fatalf("voters %v, live %v", d.current.Voters, d.live)
		}
	}
}
