package voter_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"almondpick/planner"
	"almondpick/voter"
)

// rulesetOp is a write of a version, or a read where Version is 0.
type rulesetOp struct {
	Version uint64
}

type rulesetAnswer struct {
	Known   bool
	Version uint64 // read
}

// rulesets says when a history of writes and reads is linear: the highest version
// written is in force.
var rulesets = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(uint64), input.(rulesetOp), output.(rulesetAnswer)
		if in.Version != 0 {
			return true, max(s, in.Version)
		}
		return !out.Known || out.Version == s, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// reader plays operators who put and read rulesets at any node, while nodes freeze,
// crash and are cut off.
type reader struct {
	*cluster
	history  []porcupine.Operation
	waiting  map[voter.ID]map[uint64]int // read to its place in the history
	frozen   map[voter.ID]int            // steps left
	answered int
	trusting bool // a broken driver that answers reads wherever it believes to lead
}

func (r *reader) begin(in rulesetOp) int {
	r.history = append(r.history, porcupine.Operation{
		ClientId: len(r.history), Input: in, Call: int64(r.now), Output: rulesetAnswer{}, Return: int64(time.Hour),
	})
	return len(r.history) - 1
}

func (r *reader) end(at int, version uint64) {
	r.history[at].Output = rulesetAnswer{Known: true, Version: version}
	r.history[at].Return = int64(r.now) + 1
	r.answered++
}

func versionAt(n *node) uint64 {
	if n.machine.Config().Ruleset == nil {
		return 0
	}
	return n.machine.Config().Ruleset.Version
}

func (r *reader) read(n *node) {
	if !n.up || r.frozen[n.id] > 0 {
		return
	}
	if r.trusting && n.voter.Role() == voter.Leader {
		r.end(r.begin(rulesetOp{}), versionAt(n))
		return
	}
	id, err := n.voter.ReadIndex(r.now)
	if err != nil {
		return
	}
	if r.waiting[n.id] == nil {
		r.waiting[n.id] = make(map[uint64]int)
	}
	r.waiting[n.id][id] = r.begin(rulesetOp{})
	r.carryOut(n)
}

func (r *reader) put(n *node, version uint64) {
	if !n.up || r.frozen[n.id] > 0 {
		return
	}
	at := r.begin(rulesetOp{Version: version})
	cmd := planner.Command{ReplaceRuleset: &planner.Ruleset{Version: version}}
	if !r.propose(n, cmd, func(o outcome) {
		if o.decided {
			r.end(at, 0)
		}
	}) {
		r.history = r.history[:at]
	}
}

// stepFrozen is step, with nodes that stand still while their messages wait.
func (r *reader) stepFrozen() {
	for _, n := range r.nodes {
		if r.frozen[n.id] > 0 {
			r.frozen[n.id]--
			n.up = false
		}
	}
	r.step()
	for _, n := range r.nodes {
		if _, ok := r.frozen[n.id]; ok && r.frozen[n.id] == 0 {
			delete(r.frozen, n.id)
			n.up = true
		}
	}
}

func playReads(seed uint64, steps int, trusting bool) *reader {
	r := &reader{
		cluster: newCluster(seed, 3, sound), waiting: make(map[voter.ID]map[uint64]int),
		frozen: make(map[voter.ID]int), trusting: trusting,
	}
	r.onRead = func(n *node, done voter.ReadIndexResult) {
		if at, ok := r.waiting[n.id][done.ID]; ok {
			delete(r.waiting[n.id], done.ID)
			r.end(at, versionAt(n))
		}
	}
	version := uint64(1)
	for i := range steps {
		r.stepFrozen()
		if i%4 == 0 {
			version += 1 + r.random.Uint64N(3)
			r.put(r.nodes[r.random.IntN(3)], version)
		}
		r.read(r.nodes[r.random.IntN(3)])
		switch r.random.IntN(120) {
		case 0:
			n := r.nodes[r.random.IntN(3)]
			if n.up && len(r.frozen) == 0 {
				r.frozen[n.id] = 20 + r.random.IntN(100)
			}
		case 1:
			clear(r.cut)
			r.cut[r.nodes[r.random.IntN(3)].id] = true
		case 2, 3:
			clear(r.cut)
		case 4:
			n := r.nodes[r.random.IntN(3)]
			if n.up {
				r.crash(n)
				r.start(n)
				delete(r.waiting, n.id)
			}
		}
	}
	return r
}

// Reads are linear whatever freezes, is cut off or restarts.
func TestReadsAreLinearUnderFaults(t *testing.T) {
	is := is.New(t)
	answered := 0
	for seed := uint64(1); seed <= 20; seed++ {
		r := playReads(seed, 600, false)
		is.Equal(len(r.faults), 0)
		answered += r.answered
		result := porcupine.CheckOperationsTimeout(rulesets, r.history, 20*time.Second)
		if result != porcupine.Ok {
			t.Fatalf("seed %d: history is %v", seed, result)
		}
	}
	is.True(answered > 500) // otherwise the check has little to go by
}

// A driver that trusts a leader's own belief is caught.
func TestTrustingReadsAreCaught(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		r := playReads(seed, 600, true)
		if porcupine.CheckOperationsTimeout(rulesets, r.history, 20*time.Second) == porcupine.Illegal {
			return
		}
	}
	t.Fatal("no seed showed a stale read")
}
