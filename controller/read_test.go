package controller

import (
	"testing"

	"github.com/matryer/is"

	"almondpick/messenger"
	"almondpick/planner"
)

// An instance that catches up from the kept commands has to end with the ruleset that
// is in force at the sender, also when an older one arrived after it.
func TestKeptCommandsEndWithTheRulesetInForce(t *testing.T) {
	for _, order := range [][]uint64{{4, 46, 48}, {4, 48, 46}, {48, 4, 46}} {
		is := is.New(t)
		sender := planner.NewMachine()
		var kept []messenger.Applied
		for i, version := range order {
			a := messenger.Applied{Index: uint64(i + 1), Command: planner.Command{Replace: &planner.Ruleset{Version: version}}}
			sender.Apply(a.Index, a.Command)
			kept = append(kept, a)
			dropOvertaken(kept, rulesetVersion(sender.Config()))
		}
		behind := planner.NewMachine()
		behind.Apply(1, planner.Command{Replace: &planner.Ruleset{Version: order[0]}})
		for _, a := range kept {
			if a.Command != (planner.Command{}) {
				behind.Apply(a.Index, a.Command)
			}
		}
		is.Equal(rulesetVersion(behind.Config()), uint64(48))
	}
}
