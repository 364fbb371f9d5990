package controller

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"almondpick/announcer"
)

// Another writer announces targets of a job that no ruleset names at the endpoints of the good
// ones, at each instance, ready and draining, before the first ruleset and after it. The good
// targets must get work, also after a restart of all instances, and none of the departures of
// the other writer may stand in the way.
func TestUnnamedJobDisplacesNoTarget(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range folders {
		network.start(t, n, folders[n], true)
	}
	const targets = 3
	sequence := uint64(0)
	announceAll := func() {
		sequence++
		for n := range targets {
			a := servingTarget(n + 1)
			a.Sequence = sequence
			is.NoErr(network.controllerAt(peerAddress(n)).Announce(context.Background(), a))
		}
	}
	announceOdd := func() {
		for n := range targets {
			odd := servingTarget(n + 1)
			odd.Job, odd.Identity, odd.Incarnation, odd.Sequence = "legacy-print", uint64(100+n), 1000, 1000
			for at := range folders {
				_ = network.controllerAt(peerAddress(at)).Announce(context.Background(), odd)
				odd.State, odd.Sequence = announcer.Draining, odd.Sequence+1
			}
		}
	}
	checkOffered := func() {
		for n := range folders {
			eventually(t, "instance offers the good targets", func() bool {
				offered := true
				for target := range targets {
					offered = offered && acceptsNewWork(network.controllerAt(peerAddress(n)), servingTarget(target+1).Endpoint)
				}
				return offered && jobsOfTargets(network.controllerAt(peerAddress(n)))["legacy-print"] == 0
			})
		}
	}
	announceOdd()
	announceAll()
	announceOdd()
	eventually(t, "first ruleset is accepted", func() bool { return replaceRuleset(network.controllerAt(peerAddress(0)), 1) == nil })
	for n := range folders {
		eventually(t, "ruleset is in force", func() bool { return readRulesetVersion(network.controllerAt(peerAddress(n))) == 1 })
	}
	announceAll()
	checkOffered()
	announceOdd()
	announceAll()
	checkOffered()
	network.stopAll(t)
	for n := range folders {
		network.start(t, n, folders[n], false)
	}
	announceAll()
	checkOffered()
	network.stopAll(t)
}

// jobsOfTargets returns the number of targets of each job that an instance knows.
func jobsOfTargets(c *Controller) map[string]int {
	jobs := make(map[string]int)
	c.runInLoop(context.Background(), func() {
		c.registry.EachTarget(func(t announcer.Target) { jobs[t.Job]++ })
	})
	return jobs
}
