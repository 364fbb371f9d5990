package voter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondpick/planner"
	"almondpick/voter"
)

// confirmation is one operator's attempt to put a plan into force.
type confirmation struct {
	Plan string
	Base uint64
}

type confirmed struct {
	Known   bool // false: the operator got no answer
	Version uint64
	Refused planner.Code
}

// truth is the sequential state that confirmations are checked against.
type truth struct {
	Revision uint64
	Done     string // plans in force, in order
}

// model says when a history of confirmations is linear: a plan is accepted once, and
// only while the revision it rests on is the present one; a plan that is in force is
// answered as such again.
var model = porcupine.Model{
	Init: func() any { return truth{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(truth), input.(confirmation), output.(confirmed)
		done := contains(s.Done, in.Plan)
		accepts := !done && in.Base == s.Revision
		next := s
		if accepts {
			next = truth{Revision: s.Revision + 1, Done: s.Done + in.Plan + ";"}
		}
		switch {
		case !out.Known:
			return true, next
		case out.Refused == planner.CodeStalePlan:
			return !done && !accepts, s
		case out.Refused != "":
			return false, s
		}
		return done || accepts, next
	},
	Equal: func(a, b any) bool { return a == b },
}

func contains(done, plan string) bool {
	for at := 0; at+len(plan) <= len(done); at++ {
		if done[at:at+len(plan)] == plan {
			return true
		}
	}
	return false
}

// race plays two operators who state intents and confirm plans while nodes crash, lose
// their disks and are cut off. It returns the history and the faults that were seen.
func race(seed uint64, f flaw, steps int) ([]porcupine.Operation, *cluster) {
	c := newCluster(seed, 3, f)
	var history []porcupine.Operation
	plans := []planner.Plan{}
	renamed := 0
	for i := range steps {
		c.step()
		if i%3 == 0 {
			c.operate(i, &plans, &history)
		}
		c.trouble(&renamed)
	}
	c.heal()
	c.run(300)
	return history, c
}

func (c *cluster) operate(i int, plans *[]planner.Plan, history *[]porcupine.Operation) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	if len(*plans) == 0 || c.random.IntN(2) == 0 {
		id := fmt.Sprintf("intent-%d", i/2) // at times the same one again
		intent := planner.Intent{ID: id, Action: planner.Drain, Name: fmt.Sprintf("10.0.0.%d:80", i%200+1)}
		c.propose(n, planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(o outcome) {
			if o.decided && o.answer.Plan != nil {
				*plans = append(*plans, *o.answer.Plan)
			}
		})
		return
	}
	p := (*plans)[max(0, len(*plans)-1-c.random.IntN(4))]
	op := porcupine.Operation{
		ClientId: len(*history), Input: confirmation{Plan: p.ID, Base: p.BaseRevision}, Call: int64(c.now), Output: confirmed{}, Return: int64(time.Hour),
	}
	at := len(*history)
	*history = append(*history, op)
	proposed := c.propose(n, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: p.ID}}, func(o outcome) {
		if !o.decided {
			return
		}
		answer := confirmed{Known: true}
		if o.answer.Plan != nil {
			answer.Version = o.answer.Plan.ConfirmedVersion
		} else {
			answer.Refused = o.answer.Refusal.Code
		}
		(*history)[at].Output = answer
		(*history)[at].Return = int64(c.now)
	})
	if !proposed {
		*history = (*history)[:at]
	}
}

// trouble crashes, restarts, cuts off, heals, compacts and hands over at random. A lost disk comes
// only while all others are up, as a repair would see to.
func (c *cluster) trouble(renamed *int) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(60) {
	case 0:
		if n.up {
			c.crash(n)
		}
	case 1, 2, 3:
		if !n.up {
			c.start(n)
		}
	case 4:
		c.cut = map[voter.ID]bool{n.id: true}
	case 5, 6:
		c.cut = map[voter.ID]bool{}
	case 7:
		c.compact(n)
	case 8:
		*renamed++
		c.replace(n, voter.ID(fmt.Sprintf("w%d", *renamed)))
	case 9, 10:
		if n.up {
			n.voter.TransferLeadership(c.now)
			c.carryOut(n)
		}
	}
	c.repair()
}

// replace takes a node's disk away, if the others are a quorum without it and no
// earlier replacement is under way.
func (c *cluster) replace(n *node, id voter.ID) {
	leader := c.leader()
	if leader == nil || leader == n || len(leader.voter.Membership().Learners) > 0 {
		return
	}
	for _, o := range c.nodes {
		if !o.up || !leader.voter.Membership().IsVoter(o.id) {
			return
		}
	}
	c.lose(n, id)
}

// repair does what the controller does: a new disk learns, the old name goes, and then
// the new one votes.
func (c *cluster) repair() {
	leader := c.leader()
	if leader == nil {
		return
	}
	m := leader.voter.Membership()
	for _, n := range c.nodes {
		if m.IsVoter(n.id) || !n.up {
			continue
		}
		next := m.WithLearner(n.id)
		switch {
		case !m.IsMember(n.id):
		case !leader.voter.CaughtUp(n.id):
			continue
		default:
			next = m.WithVoter(n.id)
			for _, old := range m.Voters {
				if c.node(old) == nil {
					next = m.Without(old)
				}
			}
		}
		if leader.voter.ChangeMembership(c.now, next) == nil {
			c.carryOut(leader)
		}
		return
	}
}

func (c *cluster) heal() {
	c.cut = map[voter.ID]bool{}
	for _, n := range c.nodes {
		if !n.up {
			c.start(n)
		}
	}
}

func TestConfirmationsAreLinearUnderFaults(t *testing.T) {
	known := 0
	for seed := range uint64(40) {
		is := is.New(t)
		history, c := race(seed, sound, 1500)
		is.Equal(c.faults, nil) // two leaders, two contents, or a version that went back
		is.True(porcupine.CheckOperations(model, history))
		for _, op := range history {
			if op.Output.(confirmed).Known {
				known++
			}
		}
		for _, n := range c.nodes[1:] {
			is.Equal(n.machine.Config().Version, c.nodes[0].machine.Config().Version) // all agree in the end
		}
	}
	is.New(t).True(known > 1000) // confirmations that were answered
}

func TestBrokenVotersAreCaught(t *testing.T) {
	for _, f := range []flaw{forgetsVote, speaksBeforeSync} {
		t.Log(f)
		caught := false
		for seed := uint64(0); seed < 200 && !caught; seed++ {
			history, c := race(seed, f, 1500)
			caught = len(c.faults) > 0 || !porcupine.CheckOperations(model, history)
		}
		is.New(t).True(caught)
	}
}

func TestRestartOfAllAfterManyChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(7, 3, sound)
	c.run(100)
	for i := range 500 {
		c.confirmOne(i)
		if i%100 == 0 {
			c.compact(c.nodes[i/100%3])
		}
	}
	before := c.leader().machine.Config()
	for _, n := range c.nodes {
		c.crash(n)
	}
	for _, n := range c.nodes {
		c.start(n)
	}
	c.run(300)
	for _, n := range c.nodes {
		is.Equal(n.machine.Config().Version, before.Version)
		is.Equal(n.machine.Config().Revision, uint64(500))
	}
	is.Equal(c.faults, nil)
}

// confirmOne states an intent and confirms its plan, and waits for both.
func (c *cluster) confirmOne(i int) {
	var plan *planner.Plan
	intent := planner.Intent{ID: fmt.Sprintf("i-%d", i), Action: planner.Drain, Name: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)}
	for plan == nil {
		c.step()
		if l := c.leader(); l != nil {
			c.propose(l, planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(o outcome) { plan = o.answer.Plan })
		}
		c.run(5)
	}
	for done := false; !done; {
		if l := c.leader(); l != nil {
			c.propose(l, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: plan.ID}}, func(o outcome) { done = o.decided })
		}
		c.run(5)
	}
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3, sound)
	c.run(100)
	c.confirmOne(1)
	l := c.leader()
	var others []*node
	for _, n := range c.nodes {
		if n != l {
			others = append(others, n)
		}
	}
	c.lose(others[0], "w1")
	for i := 0; !c.leaderVotes("w1") && i < 2000; i++ {
		c.repair()
		c.step()
	}
	is.True(c.leaderVotes("w1"))
	c.crash(others[1]) // the repaired one has to carry the quorum now
	c.confirmOne(2)
	is.Equal(c.leader().machine.Config().Revision, uint64(2))
	is.Equal(c.faults, nil)
}

func (c *cluster) leaderVotes(id voter.ID) bool {
	l := c.leader()
	return l != nil && l.voter.Membership().IsVoter(id)
}

func TestCutOffLeaderRefusesWithinItsLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(5, 3, sound)
	c.run(100)
	old := c.leader()
	c.cut = map[voter.ID]bool{old.id: true}
	c.run(18) // 180 ms: 0.9 of the election timeout
	is.True(!old.voter.HoldsLease(c.now))
	accepted := c.propose(old, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: "x"}}, func(outcome) {})
	is.True(!accepted)
	c.run(100)
	is.True(c.leader() != nil && c.leader() != old)
}

// machineOfVoters drives the voters with steps drawn by rapid.
type machineOfVoters struct {
	c       *cluster
	renamed int
	number  int
}

func (m *machineOfVoters) Check(t *rapid.T) {
	if len(m.c.faults) > 0 {
		t.Fatal(m.c.faults)
	}
}

func (m *machineOfVoters) Step(t *rapid.T)    { m.c.run(rapid.IntRange(1, 20).Draw(t, "steps")) }
func (m *machineOfVoters) Compact(t *rapid.T) { m.c.compact(m.pick(t)) }
func (m *machineOfVoters) Heal(*rapid.T)      { m.c.heal() }

func (m *machineOfVoters) pick(t *rapid.T) *node {
	return m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
}

func (m *machineOfVoters) Crash(t *rapid.T) {
	if n := m.pick(t); n.up {
		m.c.crash(n)
	} else {
		m.c.start(n)
	}
}

func (m *machineOfVoters) Cut(t *rapid.T) {
	m.c.cut = map[voter.ID]bool{m.pick(t).id: true}
}

func (m *machineOfVoters) Propose(t *rapid.T) {
	m.number++
	intent := planner.Intent{ID: fmt.Sprintf("r-%d", m.number), Action: planner.Undrain, Name: "10.0.0.1:80"}
	m.c.propose(m.pick(t), planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(outcome) {})
}

func (m *machineOfVoters) Replace(t *rapid.T) {
	m.renamed++
	m.c.replace(m.pick(t), voter.ID(fmt.Sprintf("w%d", m.renamed)))
	m.c.repair()
}

func TestVotersAsAStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machineOfVoters{c: newCluster(rapid.Uint64().Draw(t, "seed"), 3, sound)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
