package controller

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"almondpick/journaler"
	"almondpick/planner"
	"almondpick/voter"
)

func rulesetWithRoutes(version uint64, routes int) planner.Ruleset {
	r := planner.Ruleset{Version: version, Pools: []planner.Pool{{Name: "pool-a", HealthPath: "/health", MaxConnections: 2000}}}
	for i := range routes {
		r.Routes = append(r.Routes, planner.Route{
			Name: fmt.Sprintf("route-%d", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			RetryPolicy: planner.Idempotent, CallerTimeout: time.Second, LatencyObjective: time.Second, WeightedPools: []planner.WeightedPool{{Pool: "pool-a", Weight: 1}},
		})
		r.Source = append(r.Source, fmt.Sprintf(`{"name":"route-%d","host":"198.18.0.%d","pathPrefix":"/443/","type":"safe","timeoutMs":1000,"sloMs":1000,"priority":2,"service":"pool-a","maxAttempts":2},`, i, i)...)
	}
	return r
}

// BenchmarkRestart measures reading a data folder whose log holds 38 rulesets of 120 routes, and
// applying its entries.
func BenchmarkRestart(b *testing.B) {
	folder := b.TempDir()
	j, _, err := journaler.Open(folder, journaler.WithIdentity("first"))
	if err != nil {
		b.Fatal(err)
	}
	m := voter.Membership{Voters: []voter.ID{"a#first"}}
	machine := planner.NewStateMachine()
	machine.SkipEntry(1)
	data, _ := machine.Snapshot()
	if err := j.Compact(voter.Snapshot{Index: 1, Term: 1, Membership: m, Data: data}, voter.HardState{Term: 1, Commit: 1}, nil); err != nil {
		b.Fatal(err)
	}
	for i := uint64(2); i < 40; i++ {
		r := rulesetWithRoutes(i, 120)
		e := voter.Entry{Index: i, Term: 1, Data: encodeCommand(planner.Command{ReplaceRuleset: &r})}
		if err := j.Save(&voter.HardState{Term: 1, Commit: i}, []voter.Entry{e}); err != nil {
			b.Fatal(err)
		}
	}
	b.Logf("log of %d bytes", j.LogSize())
	j.Close()
	for b.Loop() {
		j, state, err := journaler.Open(folder)
		if err != nil {
			b.Fatal(err)
		}
		c := &Controller{journal: j, stateMachine: planner.NewStateMachine(), log: slog.New(slog.DiscardHandler)}
		for _, e := range state.Entries {
			c.applyEntry(e)
		}
		j.Close()
	}
}
