package voter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/voter"
)

// runReliable runs the cluster with a network that neither loses nor delays messages.
func (c *cluster) runReliable(steps int) {
	for range steps {
		c.now += 10 * time.Millisecond
		for _, n := range c.nodes {
			if n.running {
				n.voter.Tick(c.now)
				c.processOutput(n)
			}
		}
		for len(c.inFlight) > 0 {
			m := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.deliver(m)
		}
	}
}

// On a planned stop of the leader, the successor must lead after a few messages, long before
// an election timeout, and the old leader must have given up its lease.
func TestLeadershipTransferNeedsNoElectionTimeout(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		c := newCluster(seed, 5, noBug)
		c.runReliable(100)
		old := c.leader()
		is.True(old != nil)
		to, ok := old.voter.TransferLeadership(c.now)
		is.True(ok)
		is.True(!old.voter.HoldsLease(c.now)) // the lease ends before another voter can lead
		is.True(old.voter.Role() != voter.Leader)
		c.processOutput(old)
		c.crash(old)
		c.runReliable(2)
		is.Equal(c.leader().id, to)
		c.start(old)
		c.runReliable(100)
		is.Equal(c.leader().id, to) // the old leader follows after its restart
		is.Equal(len(c.violations), 0)
	}
}

// Followers and a leader with an uncommitted entry must refuse to transfer leadership.
func TestLeadershipTransferIsRefusedWithUncommittedEntries(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3, noBug)
	c.runReliable(100)
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
	is.True(!ok) // the proposed entry is not committed yet
	is.Equal(leader.voter.Role(), voter.Leader)
}

// The message to the successor is lost, and delivered later when another voter leads. The
// voters must elect one leader in spite of both.
func TestLeadershipTransferMessageLostOrLate(t *testing.T) {
	is := is.New(t)
	c := newCluster(3, 3, noBug)
	c.runReliable(100)
	old := c.leader()
	_, ok := old.voter.TransferLeadership(c.now)
	is.True(ok)
	late := old.voter.TakeOutput().Messages
	c.runReliable(100)
	next := c.leader()
	is.True(next != nil)
	for _, m := range late {
		c.deliver(m)
	}
	c.runReliable(100)
	is.Equal(c.leader(), next)
	is.Equal(len(c.violations), 0)
}
