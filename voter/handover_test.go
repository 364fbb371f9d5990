package voter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/voter"
)

// quiet is a cluster whose network neither loses nor delays.
func (c *cluster) quiet(steps int) {
	for range steps {
		c.now += 10 * time.Millisecond
		for _, n := range c.nodes {
			if n.up {
				n.voter.Tick(c.now)
				c.carryOut(n)
			}
		}
		for len(c.network) > 0 {
			m := c.network[0]
			c.network = c.network[1:]
			c.deliver(m)
		}
	}
}

// The leader stops as planned. Another voter leads within a few messages, long before an
// election would have begun, and the old leader no longer believes that it leads.
func TestALeaderHandsOverWithoutAnElectionTimeout(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		c := newCluster(seed, 5, sound)
		c.quiet(100)
		old := c.leader()
		is.True(old != nil)
		to, ok := old.voter.TransferLeadership(c.now)
		is.True(ok)
		is.True(!old.voter.HoldsLease(c.now)) // before anybody else can lead
		is.True(old.voter.Role() != voter.Leader)
		c.carryOut(old)
		c.crash(old)
		c.quiet(2)
		is.Equal(c.leader().id, to)
		c.start(old)
		c.quiet(100)
		is.Equal(c.leader().id, to) // the old one follows
		is.Equal(len(c.faults), 0)
	}
}

// Only a leader whose log is decided and held by another hands over.
func TestHandOverNeedsASuccessorThatHoldsAll(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3, sound)
	c.quiet(100)
	leader := c.leader()
	for _, n := range c.nodes {
		if n == leader {
			continue
		}
		_, ok := n.voter.TransferLeadership(c.now)
		is.True(!ok)
	}
	_, _, err := leader.voter.Propose(c.now, nil)
	is.NoErr(err)
	_, ok := leader.voter.TransferLeadership(c.now)
	is.True(!ok) // what was proposed is not decided yet
	is.Equal(leader.voter.Role(), voter.Leader)
}

// The message to the successor is lost, or comes when somebody else leads: the voters
// elect one leader all the same.
func TestAHandoverWhoseMessageIsLostOrLate(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3, sound)
	c.quiet(100)
	old := c.leader()
	_, ok := old.voter.TransferLeadership(c.now)
	is.True(ok)
	late := old.voter.TakeOutput().Messages
	c.quiet(100)
	next := c.leader()
	is.True(next != nil)
	for _, m := range late {
		c.deliver(m)
	}
	c.quiet(100)
	is.Equal(c.leader(), next)
	is.Equal(len(c.faults), 0)
}
