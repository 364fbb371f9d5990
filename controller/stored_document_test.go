package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/planner"
)

// A ruleset without routes, of a document that is no JSON text, was accepted by earlier versions
// (incidents 11 and 12). Disks that hold one must start, return it as it was sent, and give way to a
// higher version.
func TestStoredRulesetOfAnInvalidDocumentIsKept(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	document := []byte("{\"version\":7,\"rou\xf2es\":[]}")
	invalid := planner.Ruleset{Version: 7, Pools: rulesetWithRoutes(1, 0).Pools, Source: document}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	eventually(t, "the ruleset is accepted", func() bool {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		return network.controllerAt(peerAddress(0)).ReplaceRuleset(attempt, invalid) == nil
	})
	network.stopAll(t)
	for n := range folders {
		network.start(t, n, folders[n], false)
	}
	for n := range folders {
		c := network.controllerAt(peerAddress(n))
		is.Equal(confirmedRulesetVersion(t, c), uint64(7))
		r, err := c.Ruleset(ctx)
		is.NoErr(err)
		is.Equal(r.Source, document)
		is.True(c.HoldsDocument(ctx, document))
		is.True(!c.HoldsDocument(ctx, []byte("{}")))
	}
	eventually(t, "a higher version is accepted", func() bool { return replaceRuleset(network.controllerAt(peerAddress(1)), 8) == nil })
	is.Equal(confirmedRulesetVersion(t, network.controllerAt(peerAddress(2))), uint64(8))
	is.True(!network.controllerAt(peerAddress(2)).HoldsDocument(ctx, document))
	network.stopAll(t)
}
