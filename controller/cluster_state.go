package controller

import (
	"slices"
	"time"

	"almondpick/announcer"
	"almondpick/gossiper"
	"almondpick/planner"
)

// ClusterState is an immutable snapshot of the control state for the code that handles
// traffic.
type ClusterState struct {
	Self            gossiper.Instance
	Config          planner.Config
	Members         []gossiper.Member // all known instances except Self
	Targets         []announcer.Target
	KeyTableHolders map[string]string // instance that holds the idempotency-key table of each issuer, by issuer ID
	// ForwardingInstances is the number of instances that forward flows, this one included.
	ForwardingInstances int
	// ForwardingNames are the names of the live instances that forward flows, in no order. It is nil
	// if this instance does not forward flows.
	ForwardingNames []string
	// FleetSize is the number of instances that forward flows as the leader last counted them, or
	// 0 if that is not known.
	FleetSize int
	// MajorityReached says that this instance has been in contact with a majority of the voters
	// since its start, and reaches a majority of the storage instances now.
	MajorityReached bool
	Ready           bool          // the control state is recent enough to serve with
	ConfigConfirmed bool          // Config was confirmed by a majority of the voters since the start
	Leaving         bool          // Leave was called
	TakenAt         time.Duration // since the start of the controller
}

// stateRevisions are the revisions that the last published ClusterState was made from.
type stateRevisions struct {
	gossip, registry, version       uint64
	forwardingInstances             int
	forwardingMembers               forwardingMembers
	ready, configConfirmed, leaving bool
}

// publishClusterState builds a new ClusterState and calls the state handler if anything in it
// has changed.
func (c *Controller) publishClusterState() {
	r := stateRevisions{
		gossip: c.gossip.Revision(), registry: c.registry.Revision(), version: c.stateMachine.Config().Version,
		ready: c.ready, configConfirmed: c.configConfirmed, leaving: c.leaving,
	}
	if c.settings.LabelSteering {
		r.gossip = 0 // steering by label depends only on the number of members
		r.forwardingInstances = c.forwardingInstances()
		r.forwardingMembers = c.counted.members
	}
	if c.settings.LabelSteering && !c.settings.HandlesFlows {
		r.registry = 0
	}
	if r == c.publishedRevisions || c.delaysPublication(r) {
		return
	}
	c.logEvacuations()
	c.gossip.SetConfigVersion(r.version, c.versionSubscribers())
	c.gossip.UpdateSelf(func(i gossiper.Instance) gossiper.Instance {
		i.Serving = c.ready && !c.leaving
		return i
	})
	if !c.settings.LabelSteering {
		r.gossip = c.gossip.Revision()
	}
	c.publishedRevisions = r
	c.batchUntil = c.now() + time.Duration(c.registry.Len())*batchTimePerTarget
	c.onClusterState(c.clusterState())
}

// batchTimePerTarget is how long changes of targets are batched, for each known target.
// Building a ClusterState takes time in proportion to the number of targets, and more targets
// change more often.
const batchTimePerTarget = 200 * time.Microsecond

// delaysPublication reports whether only targets have changed since the last ClusterState and
// the batching time has not ended yet.
func (c *Controller) delaysPublication(r stateRevisions) bool {
	r.registry = c.publishedRevisions.registry
	return c.settings.LabelSteering && r == c.publishedRevisions && c.now() < c.batchUntil
}

// clusterState returns the present control state. With label steering, which does not need them,
// the members and the key-table holders are omitted, and the targets are not sorted.
func (c *Controller) clusterState() ClusterState {
	s := ClusterState{
		Self: c.gossip.Self(), Config: c.stateMachine.Config(),
		Ready: c.ready, ConfigConfirmed: c.configConfirmed, Leaving: c.leaving, TakenAt: c.now(),
	}
	s.Targets = make([]announcer.Target, 0, c.registry.Len())
	c.registry.EachTarget(func(t announcer.Target) { s.Targets = append(s.Targets, t) })
	s.ForwardingInstances = c.forwardingInstances()
	s.ForwardingNames, s.FleetSize = c.forwardingNames(), c.counted.members.fleetSize
	s.MajorityReached = c.configConfirmed && c.counted.members.majorityReached
	if c.settings.LabelSteering {
		return s
	}
	s.Members = c.gossip.Members()
	s.KeyTableHolders = c.keyTableHolders()
	slices.SortFunc(s.Targets, func(a, b announcer.Target) int { return a.Endpoint.Compare(b.Endpoint) })
	return s
}
