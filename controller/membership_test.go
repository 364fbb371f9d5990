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

func (cluster *simulatedCluster) membershipPolicy() membershipPolicy {
	policy := membershipPolicy{WantedVoters: cluster.wantedVoters, Current: cluster.current}
	for id, dc := range cluster.live {
		policy.Live = append(policy.Live, storageInstance{ID: id, DataCentre: dc, CaughtUp: cluster.current.IsMember(id)})
	}
	slices.SortFunc(policy.Live, func(a, b storageInstance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, s := range policy.Live {
		if cluster.current.IsVoter(s.ID) {
			policy.Leader = s.ID
		}
	}
	return policy
}

// converge takes steps until none is left, and checks each step.
func (cluster *simulatedCluster) converge(t *testing.T) {
	t.Helper()
	for range 100 {
		next, ok := cluster.membershipPolicy().nextMembership()
		if !ok {
			return
		}
		changed := 0
		for _, id := range slices.Concat(next.Voters, cluster.current.Voters) {
			if next.IsVoter(id) != cluster.current.IsVoter(id) {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("more than one voter changed in one step: %v to %v", cluster.current, next)
		}
		if len(next.Voters) < min(len(cluster.current.Voters), cluster.wantedVoters) {
			t.Fatalf("too few voters: %v to %v", cluster.current, next)
		}
		cluster.current = next
	}
	t.Fatalf("membership does not converge: %v", cluster.current)
}

func TestVotersSpreadOverDataCentres(t *testing.T) {
	is := is.New(t)
	cluster := &simulatedCluster{wantedVoters: 5, live: make(map[voter.ID]string)}
	for i := range 8 {
		cluster.live[voter.ID(fmt.Sprintf("s%d#x", i))] = fmt.Sprintf("dc%d", i/2)
	}
	for _, seed := range []voter.ID{"s0#x", "s2#x", "s4#x"} {
		cluster.current = cluster.current.WithVoter(seed)
	}
	cluster.converge(t)
	is.Equal(len(cluster.current.Voters), 5)
	is.Equal(len(cluster.current.Learners), 3)
	count := make(map[string]int)
	for _, v := range cluster.current.Voters {
		count[cluster.live[v]]++
	}
	is.Equal(len(count), 4) // every data centre has one voter
}

func TestLostVoterIsReplacedBeforeRemoval(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(cluster *simulatedCluster)
		want   []voter.ID
	}{
		{"lost for good, spare learner", func(cluster *simulatedCluster) { delete(cluster.live, "a#1"); cluster.live["d#1"] = "dc4" }, []voter.ID{"b#1", "c#1", "d#1"}},
		{"replaced by another machine", func(cluster *simulatedCluster) { delete(cluster.live, "a#1"); cluster.live["e#1"] = "dc1" }, []voter.ID{"b#1", "c#1", "e#1"}},
		{"same address, empty disk", func(cluster *simulatedCluster) { delete(cluster.live, "a#1"); cluster.live["a#2"] = "dc1" }, []voter.ID{"a#2", "b#1", "c#1"}},
		{"unreachable, no replacement", func(cluster *simulatedCluster) { delete(cluster.live, "a#1") }, []voter.ID{"a#1", "b#1", "c#1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := &simulatedCluster{wantedVoters: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3"}}
			for id := range cluster.live {
				cluster.current = cluster.current.WithVoter(id)
			}
			c.change(cluster)
			cluster.converge(t)
			is.Equal(cluster.current.Voters, c.want)
		})
	}
}

func TestVotersConvergeAfterAnyLosses(t *testing.T) {
	random := rand.New(rand.NewPCG(4, 4))
	cluster := &simulatedCluster{wantedVoters: 3, live: map[voter.ID]string{"a#1": "dc1", "b#1": "dc2", "c#1": "dc3", "d#1": "dc4"}}
	cluster.current = cluster.current.WithVoter("a#1").WithVoter("b#1").WithVoter("c#1")
	identity := 1
	for range 300 {
		name, dc := string(rune('a'+random.IntN(4))), ""
		for id, at := range cluster.live {
			if instanceNameOf(id) == name {
				dc = at
				delete(cluster.live, id)
			}
		}
		cluster.converge(t)
		if dc == "" {
			dc = "dc1"
		}
		if random.IntN(2) == 0 {
			identity++
		}
		cluster.live[voter.ID(fmt.Sprintf("%s#%d", name, identity))] = dc
		cluster.converge(t)
		live := 0
		for _, v := range cluster.current.Voters {
			if _, ok := cluster.live[v]; ok {
				live++
			}
		}
		if live != 3 || len(cluster.current.Voters) != 3 {
			t.Fatalf("voters %v, live %v", cluster.current.Voters, cluster.live)
		}
	}
}
