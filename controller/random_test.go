package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/voter"
)

// Three voters start at exactly the same time, and every message takes the same time. They
// must not draw the same election timeouts: all would become candidates at the same time in
// every term, and none would get a majority.
func TestVotersThatStartTogetherElectALeader(t *testing.T) {
	is := is.New(t)
	const (
		step    = time.Millisecond
		timeout = 200 * time.Millisecond
	)
	startTime := time.Unix(1_800_000_000, 0)
	names := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	snapshot := voter.Snapshot{Index: 1, Term: 1}
	for _, name := range names {
		snapshot.Membership = snapshot.Membership.WithVoter(voter.ID(name))
	}
	voters := make(map[voter.ID]*voter.Voter)
	for _, name := range names {
		voters[voter.ID(name)] = voter.New(voter.ID(name), 0, voter.HardState{Term: 1, Commit: 1}, snapshot, nil,
			voter.WithTiming(timeout/4, timeout), voter.WithRandom(newRandom(name, startTime, electionStream)))
	}
	var inFlight []voter.Message
	leaders := 0
	for now := step; now <= 10*timeout; now += step {
		arrived := inFlight
		inFlight = nil
		for _, m := range arrived {
			voters[m.To].Step(now, m)
		}
		leaders = 0
		for _, v := range voters {
			v.Tick(now)
			inFlight = append(inFlight, v.TakeOutput().Messages...)
			if v.Role() == voter.Leader {
				leaders++
			}
		}
	}
	is.Equal(leaders, 1)
}
