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

// confirmInput is an operator's request to confirm a plan.
type confirmInput struct {
	PlanID       string
	BaseRevision uint64
}

// confirmOutput is the answer to a confirmInput.
type confirmOutput struct {
	Answered    bool   // false: the operator got no answer, and the outcome is unknown
	Version     uint64 // configuration version that the plan created
	RefusalCode planner.Code
}

// confirmState is the state of the sequential model of confirmations.
type confirmState struct {
	Revision       uint64
	ConfirmedPlans string // IDs of the confirmed plans in order, each followed by ";"
}

// confirmModel is the sequential specification of confirmations: a plan is accepted once,
// and only while its base revision is the current revision. Another confirmation of the
// same plan succeeds again.
var confirmModel = porcupine.Model{
	Init: func() any { return confirmState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(confirmState), input.(confirmInput), output.(confirmOutput)
		confirmedBefore := containsPlan(s.ConfirmedPlans, in.PlanID)
		accepts := !confirmedBefore && in.BaseRevision == s.Revision
		next := s
		if accepts {
			next = confirmState{Revision: s.Revision + 1, ConfirmedPlans: s.ConfirmedPlans + in.PlanID + ";"}
		}
		switch {
		case !out.Answered:
			return true, next
		case out.RefusalCode == planner.CodeStalePlan:
			return !confirmedBefore && !accepts, s
		case out.RefusalCode != "":
			return false, s
		}
		return confirmedBefore || accepts, next
	},
	Equal: func(a, b any) bool { return a == b },
}

func containsPlan(plans, planID string) bool {
	for at := 0; at+len(planID) <= len(plans); at++ {
		if plans[at:at+len(planID)] == planID {
			return true
		}
	}
	return false
}

// runWithFaults runs a cluster in which operators state intents and confirm plans while
// nodes crash, lose their disks and are partitioned. It returns the history of
// confirmations and the cluster.
func runWithFaults(seed uint64, bug injectedBug, steps int) ([]porcupine.Operation, *cluster) {
	c := newCluster(seed, 3, bug)
	var history []porcupine.Operation
	plans := []planner.Plan{}
	replacements := 0
	for i := range steps {
		c.step()
		if i%3 == 0 {
			c.stateOrConfirm(i, &plans, &history)
		}
		c.injectRandomFault(&replacements)
	}
	c.heal()
	c.run(300)
	return history, c
}

// stateOrConfirm states a new intent or confirms one of the latest four plans, at a random
// node. A committed answer is added to plans or to history.
func (c *cluster) stateOrConfirm(i int, plans *[]planner.Plan, history *[]porcupine.Operation) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	if len(*plans) == 0 || c.random.IntN(2) == 0 {
		id := fmt.Sprintf("intent-%d", i/2) // never repeats, because i is a multiple of 3
		intent := planner.Intent{ID: id, Action: planner.Drain, Name: fmt.Sprintf("10.0.0.%d:80", i%200+1)}
		c.propose(n, planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(o proposalOutcome) {
			if o.committed && o.result.Plan != nil {
				*plans = append(*plans, *o.result.Plan)
			}
		})
		return
	}
	p := (*plans)[max(0, len(*plans)-1-c.random.IntN(4))]
	op := porcupine.Operation{
		ClientId: len(*history), Input: confirmInput{PlanID: p.ID, BaseRevision: p.BaseRevision}, Call: int64(c.now), Output: confirmOutput{}, Return: int64(time.Hour),
	}
	at := len(*history)
	*history = append(*history, op)
	proposed := c.propose(n, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: p.ID}}, func(o proposalOutcome) {
		if !o.committed {
			return
		}
		answer := confirmOutput{Answered: true}
		if o.result.Plan != nil {
			answer.Version = o.result.Plan.ConfirmedVersion
		} else {
			answer.RefusalCode = o.result.Refusal.Code
		}
		(*history)[at].Output = answer
		(*history)[at].Return = int64(c.now)
	})
	if !proposed {
		*history = (*history)[:at]
	}
}

// injectRandomFault crashes, restarts, partitions, heals or compacts a node, replaces its
// disk or transfers leadership, at random.
func (c *cluster) injectRandomFault(replacements *int) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(60) {
	case 0:
		if n.running {
			c.crash(n)
		}
	case 1, 2, 3:
		if !n.running {
			c.start(n)
		}
	case 4:
		c.partitioned = map[voter.ID]bool{n.id: true}
	case 5, 6:
		c.partitioned = map[voter.ID]bool{}
	case 7:
		c.compact(n)
	case 8:
		*replacements++
		c.replaceDisk(n, voter.ID(fmt.Sprintf("w%d", *replacements)))
	case 9, 10:
		if n.running {
			n.voter.TransferLeadership(c.now)
			c.processOutput(n)
		}
	}
	c.repair()
}

// replaceDisk erases the disk of a node if all nodes run and vote, so that the others form a
// quorum without it. It does nothing if the node leads or an earlier replacement is not
// finished.
func (c *cluster) replaceDisk(n *node, id voter.ID) {
	leader := c.leader()
	if leader == nil || leader == n || len(leader.voter.Membership().Learners) > 0 {
		return
	}
	for _, o := range c.nodes {
		if !o.running || !leader.voter.Membership().IsVoter(o.id) {
			return
		}
	}
	c.loseDisk(n, id)
}

// repair takes the next membership change of a disk replacement, as the controller does:
// the new ID becomes a learner, the old ID is removed, and the new ID becomes a voter.
func (c *cluster) repair() {
	leader := c.leader()
	if leader == nil {
		return
	}
	m := leader.voter.Membership()
	for _, n := range c.nodes {
		if m.IsVoter(n.id) || !n.running {
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
			c.processOutput(leader)
		}
		return
	}
}

// heal ends the partition and starts all nodes that are down.
func (c *cluster) heal() {
	c.partitioned = map[voter.ID]bool{}
	for _, n := range c.nodes {
		if !n.running {
			c.start(n)
		}
	}
}

func TestConfirmationsAreLinearizableUnderFaults(t *testing.T) {
	answered := 0
	for seed := range uint64(40) {
		is := is.New(t)
		history, c := runWithFaults(seed, noBug, 1500)
		is.Equal(c.violations, nil) // two leaders in a term, two contents of an index, or a version that decreased
		is.True(porcupine.CheckOperations(confirmModel, history))
		for _, op := range history {
			if op.Output.(confirmOutput).Answered {
				answered++
			}
		}
		for _, n := range c.nodes[1:] {
			is.Equal(n.machine.Config().Version, c.nodes[0].machine.Config().Version) // all nodes have applied the same configuration
		}
	}
	is.New(t).True(answered > 1000) // otherwise the check would cover too few confirmations
}

func TestInjectedBugsAreDetected(t *testing.T) {
	for _, bug := range []injectedBug{losesHardState, sendsBeforeSync} {
		t.Log(bug)
		detected := false
		for seed := uint64(0); seed < 200 && !detected; seed++ {
			history, c := runWithFaults(seed, bug, 1500)
			detected = len(c.violations) > 0 || !porcupine.CheckOperations(confirmModel, history)
		}
		is.New(t).True(detected)
	}
}

func TestRestartOfAllAfterManyChanges(t *testing.T) {
	is := is.New(t)
	c := newCluster(7, 3, noBug)
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
	is.Equal(c.violations, nil)
}

// confirmOne states an intent and confirms its plan, and retries until both are committed.
func (c *cluster) confirmOne(i int) {
	var plan *planner.Plan
	intent := planner.Intent{ID: fmt.Sprintf("i-%d", i), Action: planner.Drain, Name: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)}
	for plan == nil {
		c.step()
		if l := c.leader(); l != nil {
			c.propose(l, planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(o proposalOutcome) { plan = o.result.Plan })
		}
		c.run(5)
	}
	for done := false; !done; {
		if l := c.leader(); l != nil {
			c.propose(l, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: plan.ID}}, func(o proposalOutcome) { done = o.committed })
		}
		c.run(5)
	}
}

func TestSecondFailureRightAfterADiskReplacement(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3, noBug)
	c.run(100)
	c.confirmOne(1)
	l := c.leader()
	var others []*node
	for _, n := range c.nodes {
		if n != l {
			others = append(others, n)
		}
	}
	c.loseDisk(others[0], "w1")
	for i := 0; !c.leaderHasVoter("w1") && i < 2000; i++ {
		c.repair()
		c.step()
	}
	is.True(c.leaderHasVoter("w1"))
	c.crash(others[1]) // the quorum now needs the node with the replaced disk
	c.confirmOne(2)
	is.Equal(c.leader().machine.Config().Revision, uint64(2))
	is.Equal(c.violations, nil)
}

func (c *cluster) leaderHasVoter(id voter.ID) bool {
	l := c.leader()
	return l != nil && l.voter.Membership().IsVoter(id)
}

func TestPartitionedLeaderRefusesAfterItsLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(5, 3, noBug)
	c.run(100)
	old := c.leader()
	c.partitioned = map[voter.ID]bool{old.id: true}
	c.run(18) // 180 ms: 0.9 of the election timeout
	is.True(!old.voter.HoldsLease(c.now))
	accepted := c.propose(old, planner.Command{ConfirmPlan: &planner.ConfirmPlan{PlanID: "x"}}, func(proposalOutcome) {})
	is.True(!accepted)
	c.run(100)
	is.True(c.leader() != nil && c.leader() != old)
}

// clusterStateMachine runs actions that rapid draws on a cluster. The method names must stay:
// rapid draws from the actions in order of their names, so a rename changes the actions that a
// seed gives.
type clusterStateMachine struct {
	cluster      *cluster
	replacements int
	intents      int
}

func (m *clusterStateMachine) Check(t *rapid.T) {
	if len(m.cluster.violations) > 0 {
		t.Fatal(m.cluster.violations)
	}
}

func (m *clusterStateMachine) Step(t *rapid.T)    { m.cluster.run(rapid.IntRange(1, 20).Draw(t, "steps")) }
func (m *clusterStateMachine) Compact(t *rapid.T) { m.cluster.compact(m.pick(t)) }
func (m *clusterStateMachine) Heal(*rapid.T)      { m.cluster.heal() }

func (m *clusterStateMachine) pick(t *rapid.T) *node {
	return m.cluster.nodes[rapid.IntRange(0, len(m.cluster.nodes)-1).Draw(t, "node")]
}

func (m *clusterStateMachine) Crash(t *rapid.T) {
	if n := m.pick(t); n.running {
		m.cluster.crash(n)
	} else {
		m.cluster.start(n)
	}
}

func (m *clusterStateMachine) Cut(t *rapid.T) {
	m.cluster.partitioned = map[voter.ID]bool{m.pick(t).id: true}
}

func (m *clusterStateMachine) Propose(t *rapid.T) {
	m.intents++
	intent := planner.Intent{ID: fmt.Sprintf("r-%d", m.intents), Action: planner.Undrain, Name: "10.0.0.1:80"}
	m.cluster.propose(m.pick(t), planner.Command{StateIntent: &planner.StateIntent{Intent: intent}}, func(proposalOutcome) {})
}

func (m *clusterStateMachine) Replace(t *rapid.T) {
	m.replacements++
	m.cluster.replaceDisk(m.pick(t), voter.ID(fmt.Sprintf("w%d", m.replacements)))
	m.cluster.repair()
}

func TestVotersAsAStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &clusterStateMachine{cluster: newCluster(rapid.Uint64().Draw(t, "seed"), 3, noBug)}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
