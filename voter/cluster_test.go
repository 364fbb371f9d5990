package voter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondpick/planner"
	"almondpick/voter"
)

// disk is what a voter has synced.
type disk struct {
	hard    voter.HardState
	snap    voter.Snapshot
	entries []voter.Entry
}

// flaw breaks a voter on purpose; a check that does not catch it is worth nothing.
type flaw int

const (
	sound       flaw = iota
	forgetsVote      // and the term
	speaksBeforeSync
)

// node is one voter with its disk and the state it has applied.
type node struct {
	id       voter.ID
	disk     disk
	unsynced disk // what a flawed node would have to sync yet
	voter    *voter.Voter
	machine  *planner.StateMachine
	up       bool
	highest  uint64 // version that was ever in force here
}

// outcome is how a proposal ended.
type outcome struct {
	answer  planner.Result
	decided bool
}

type pendingOp struct {
	term uint64
	done func(outcome)
}

// cluster is a few voters with a network that loses, delays, doubles and reorders.
type cluster struct {
	now     time.Duration
	random  *rand.Rand
	nodes   []*node
	network []voter.Message
	cut     map[voter.ID]bool
	waiting map[voter.ID]map[uint64]pendingOp
	flaw    flaw
	faults  []string // broken invariants
	leaders map[uint64]voter.ID
	applied map[uint64]string // position to content, over all nodes
	onRead  func(n *node, done voter.ReadIndexResult)
}

func newCluster(seed uint64, n int, f flaw) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 99)), cut: make(map[voter.ID]bool), flaw: f,
		waiting: make(map[voter.ID]map[uint64]pendingOp), leaders: make(map[uint64]voter.ID), applied: make(map[uint64]string),
	}
	var m voter.Membership
	for i := range n {
		m = m.WithVoter(voter.ID(fmt.Sprintf("v%d", i)))
	}
	machine := planner.NewStateMachine()
	machine.SkipEntry(1)
	data, err := machine.Snapshot()
	if err != nil {
		panic(err)
	}
	for _, id := range m.Voters {
		one := &node{id: id, disk: disk{
			hard: voter.HardState{Term: 1, Commit: 1}, snap: voter.Snapshot{Index: 1, Term: 1, Membership: m, Data: data},
		}}
		c.nodes = append(c.nodes, one)
		c.start(one)
	}
	return c
}

func (c *cluster) start(n *node) {
	n.machine = planner.NewStateMachine()
	if len(n.disk.snap.Data) > 0 {
		if err := n.machine.Restore(n.disk.snap.Data); err != nil {
			panic(err)
		}
	}
	n.unsynced = n.disk
	n.voter = voter.New(n.id, c.now, n.disk.hard, n.disk.snap, slices.Clone(n.disk.entries),
		voter.WithTiming(50*time.Millisecond, 200*time.Millisecond), voter.WithRandom(rand.New(rand.NewPCG(c.random.Uint64(), 1))))
	n.up = true
	c.waiting[n.id] = make(map[uint64]pendingOp)
	c.carryOut(n)
}

// crash ends a node; its clients learn nothing of what they waited for.
func (c *cluster) crash(n *node) {
	n.up = false
	for _, p := range c.waiting[n.id] {
		p.done(outcome{})
	}
	c.waiting[n.id] = nil
	if c.flaw == forgetsVote {
		n.disk.hard = voter.HardState{Commit: n.disk.hard.Commit}
	}
}

// lose is a crash that takes the disk with it; the node comes back under a new name.
func (c *cluster) lose(n *node, id voter.ID) {
	c.crash(n)
	n.id = id
	n.disk = disk{}
	n.highest = 0
	c.start(n)
}

func (c *cluster) node(id voter.ID) *node {
	for _, n := range c.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// carryOut does what a driver does with a voter's output.
func (c *cluster) carryOut(n *node) {
	out := n.voter.TakeOutput()
	next := n.unsynced
	if out.InstallSnapshot != nil {
		next.snap, next.entries = *out.InstallSnapshot, nil
		if err := n.machine.Restore(out.InstallSnapshot.Data); err != nil {
			panic(err)
		}
	}
	if out.HardState != nil {
		next.hard = *out.HardState
	}
	for _, e := range out.Entries {
		keep := e.Index - next.snap.Index - 1
		next.entries = append(slices.Clone(next.entries[:keep]), e)
	}
	n.unsynced = next
	if c.flaw != speaksBeforeSync || c.random.IntN(4) == 0 {
		n.disk = next
	}
	c.network = append(c.network, out.Messages...)
	for _, e := range out.CommittedEntries {
		c.apply(n, e)
	}
	for _, done := range out.ReadResults {
		c.onRead(n, done)
	}
	c.check(n)
}

func (c *cluster) apply(n *node, e voter.Entry) {
	content := fmt.Sprint(e.Term, e.Kind, string(e.Data))
	if old, ok := c.applied[e.Index]; ok && old != content {
		c.faults = append(c.faults, fmt.Sprintf("position %d holds two contents", e.Index))
	}
	c.applied[e.Index] = content
	var answer planner.Result
	if e.Kind == voter.EntryCommand {
		var cmd planner.Command
		if err := cbor.Unmarshal(e.Data, &cmd); err != nil {
			panic(err)
		}
		answer = n.machine.Apply(e.Index, cmd)
	} else {
		n.machine.SkipEntry(e.Index)
	}
	if p, ok := c.waiting[n.id][e.Index]; ok {
		delete(c.waiting[n.id], e.Index)
		p.done(outcome{answer: answer, decided: p.term == e.Term})
	}
}

// check looks for two leaders of one term and for a version that went back.
func (c *cluster) check(n *node) {
	if n.voter.Role() == voter.Leader {
		if other, ok := c.leaders[n.voter.Term()]; ok && other != n.id {
			c.faults = append(c.faults, fmt.Sprintf("term %d has two leaders", n.voter.Term()))
		}
		c.leaders[n.voter.Term()] = n.id
	}
	v := n.machine.Config().Version
	if v < n.highest {
		c.faults = append(c.faults, fmt.Sprintf("%s went back from %d to %d", n.id, n.highest, v))
	}
	n.highest = max(n.highest, v)
}

// step lets a little time pass: a tick for each node, and some of the messages.
func (c *cluster) step() {
	c.now += 10 * time.Millisecond
	for _, n := range c.nodes {
		if n.up {
			n.voter.Tick(c.now)
			c.carryOut(n)
		}
	}
	c.random.Shuffle(len(c.network), func(i, j int) { c.network[i], c.network[j] = c.network[j], c.network[i] })
	for range len(c.network) {
		m := c.network[0]
		c.network = c.network[1:]
		switch c.random.IntN(20) {
		case 0: // lost
			continue
		case 1: // doubled
			c.network = append(c.network, m)
		case 2, 3: // delayed
			c.network = append(c.network, m)
			continue
		}
		c.deliver(m)
	}
}

func (c *cluster) deliver(m voter.Message) {
	to := c.node(m.To)
	if to == nil || !to.up || c.cut[m.From] != c.cut[m.To] {
		return
	}
	if err := m.Validate(); err != nil {
		c.faults = append(c.faults, err.Error())
		return
	}
	to.voter.Step(c.now, m)
	c.carryOut(to)
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
	}
}

// propose hands a command to a node; done is called once its fate is known there.
func (c *cluster) propose(n *node, cmd planner.Command, done func(outcome)) bool {
	if !n.up {
		return false
	}
	data, err := cbor.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	index, term, err := n.voter.Propose(c.now, data)
	if err != nil {
		return false
	}
	c.waiting[n.id][index] = pendingOp{term: term, done: done}
	c.carryOut(n)
	return true
}

func (c *cluster) leader() *node {
	for _, n := range c.nodes {
		if n.up && n.voter.HoldsLease(c.now) {
			return n
		}
	}
	return nil
}

// compact makes a snapshot of what a node has applied.
func (c *cluster) compact(n *node) {
	index := n.machine.AppliedIndex()
	if !n.up || index <= n.disk.snap.Index {
		return
	}
	data, err := n.machine.Snapshot()
	if err != nil {
		panic(err)
	}
	term, m := n.voter.SnapshotMetadata(index)
	s := voter.Snapshot{Index: index, Term: term, Membership: m, Data: data}
	n.disk = disk{hard: n.voter.HardState(), snap: s, entries: n.voter.EntriesAfter(index)}
	n.unsynced = n.disk
	n.voter.CompactLog(s)
}
