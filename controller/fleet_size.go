package controller

import (
	"almondpick/gossiper"
	"almondpick/messenger"
	"almondpick/ranker"
	"almondpick/voter"
)

// fleetSizeKey is the key of the record of the fleet size. Its incarnation is the term of the
// leader that published it.
const fleetSizeKey = "f/forwarding"

// fleetSize is the body of the record of the fleet size. After a restart of everything, an
// instance that has found few others yet knows from it how many share the targets with it.
type fleetSize struct {
	ForwardingInstances int `cbor:"forwarding-instances"`
}

// Validate returns a *gossiper.FieldError for a negative number.
func (s fleetSize) Validate() error {
	if s.ForwardingInstances < 0 {
		return &gossiper.FieldError{Field: "forwarding-instances", Value: s.ForwardingInstances}
	}
	return nil
}

// instanceCount is the result of forwardingInstances and what it was computed from.
type instanceCount struct {
	instances int
	revision  uint64 // of gossip
	settled   bool
	members   forwardingMembers
}

// forwardingMembers is what the slow start of targets depends on. The names are hashed, so that two
// values can be compared without a list.
type forwardingMembers struct {
	namesHash       uint64 // of the live instances that forward flows
	fleetSize       int
	majorityReached bool
}

// forwardingInstances returns the number of instances that forward flows, this one included, or
// 0 if this one does not. Until this instance has had time to find the others, they are at
// least as many as the leader last counted.
func (c *Controller) forwardingInstances() int {
	if !c.settings.HandlesFlows {
		return 0
	}
	revision, settled := c.gossip.Revision(), c.now() >= c.allAnnouncedAt
	if c.counted.instances > 0 && c.counted.revision == revision && c.counted.settled == settled {
		return c.counted.instances
	}
	n, recorded := 0, c.recordedFleetSize()
	members := forwardingMembers{fleetSize: recorded, majorityReached: c.reachesStorageMajority()}
	c.eachForwardingInstance(func(name string) {
		n++
		members.namesHash += ranker.Hash(name) // a sum, because the members are in no order
	})
	if !settled {
		n = max(n, recorded)
	}
	c.counted = instanceCount{instances: n, revision: revision, settled: settled, members: members}
	return n
}

// forwardingNames returns the names of the live instances that forward flows, this one included,
// or nil if this one does not.
func (c *Controller) forwardingNames() []string {
	if !c.settings.HandlesFlows {
		return nil
	}
	names := make([]string, 0, c.counted.instances)
	c.eachForwardingInstance(func(name string) { names = append(names, name) })
	return names
}

// reachesStorageMajority reports whether this instance reaches more than half of the storage
// instances that it knows, dead ones included. Of the sides of a partition, at most one does.
func (c *Controller) reachesStorageMajority() bool {
	known, alive := 0, 0
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if m.VoterID == "" {
			return true
		}
		known++
		if m.Alive() {
			alive++
		}
		return true
	})
	if c.settings.DataFolder != "" {
		known, alive = known+1, alive+1
	}
	return alive > known/2
}

// liveForwardingInstances returns the number of live instances that forward flows.
func (c *Controller) liveForwardingInstances() int {
	n := 0
	c.eachForwardingInstance(func(string) { n++ })
	return n
}

// eachForwardingInstance calls f with the name of each live instance that forwards flows. If this
// instance forwards flows and has an operator address, those are the instances that have one
// too; otherwise they are the instances without one.
func (c *Controller) eachForwardingInstance(f func(name string)) {
	operates := c.settings.HandlesFlows && c.settings.Self.OperatorAddress != ""
	if c.settings.HandlesFlows {
		f(c.settings.Self.Name)
	}
	c.gossip.EachMember(func(m gossiper.Member) bool {
		if m.Alive() && (m.OperatorAddress != "") == operates {
			f(m.Name)
		}
		return true
	})
}

// recordedFleetSize returns the number of forwarding instances that a leader last counted, or 0
// if no record of it is known.
func (c *Controller) recordedFleetSize() int {
	r, ok := c.gossip.Record(fleetSizeKey)
	if !ok {
		return 0
	}
	var s fleetSize
	if err := messenger.Decode(r.Body, &s); err != nil {
		c.log.Warn("fleet-size-unread", "error", err)
		return 0
	}
	return s.ForwardingInstances
}

// publishFleetSize publishes the number of forwarding instances if this instance leads the
// voters, has had time to find them, and their number has changed.
func (c *Controller) publishFleetSize() {
	if c.voter == nil || c.voterErr != nil || c.voter.Role() != voter.Leader || c.now() < c.allAnnouncedAt {
		return
	}
	n := c.liveForwardingInstances()
	if n == 0 || n == c.recordedFleetSize() {
		return
	}
	body, err := messenger.Encode(fleetSize{ForwardingInstances: n})
	if err != nil {
		c.log.Error("fleet-size-unpublished", "error", err)
		return
	}
	old, _ := c.gossip.Record(fleetSizeKey)
	c.gossip.Publish(gossiper.Record{Key: fleetSizeKey, Incarnation: c.voter.Term(), Sequence: old.Sequence + 1, Body: body})
}
