package picker

import (
	"time"

	"almondpick/ranker"
)

// senderComplete reports whether this instance knows all non-default flows among the
// flows that it owns, up to its replication lag: it has the records of the earlier
// owners, and the list of open lookups is not full.
func (p *Picker) senderComplete(now time.Duration) bool {
	return len(p.openLookups) < openLookupLimit && p.ownedFlowsComplete(now)
}

// unpublishedLag returns the age of the oldest flow whose record has not been published,
// which is the lag of the replication once all queues are empty.
func (s *replicator) unpublishedLag(now time.Duration) time.Duration {
	lag := time.Duration(0)
	for _, record := range s.unpublished {
		lag = max(lag, now-record.openedAt)
	}
	return lag
}

// defaultConfirmedBy reports whether a flow that this instance first relayed at
// firstRelayedAt must be on its default target: the owner has sent all records of flows
// opened until then, without one of this flow, and has the same default target sets.
func (p *Picker) defaultConfirmedBy(owner MemberID, firstRelayedAt time.Duration) bool {
	peer, ok := p.replication.peers[owner]
	return ok && firstRelayedAt <= peer.completeUntil && peer.viewDigest == p.view.digest
}

// ownedFlowsComplete reports whether a flow that this instance owns and does not know
// must be on its default target: the change of owners has settled, all members have the
// same view, and their records of all non-default flows from before the change are here.
func (p *Picker) ownedFlowsComplete(now time.Duration) bool {
	if !p.ownershipSettled(now) || !p.AllViewsAgree() {
		return false
	}
	for _, peer := range p.replication.peers {
		if peer.receivedUntil < p.ownershipChangedAt {
			return false
		}
	}
	return true
}

// AllViewsAgree reports whether the last message of every member had the same owners and
// default target sets as the view of this instance.
func (p *Picker) AllViewsAgree() bool {
	for _, peer := range p.replication.peers {
		if peer.viewDigest != p.view.digest {
			return false
		}
	}
	return true
}

// ownershipSettled reports whether the last change of owners counts as known to all
// members: after maxSettleTime, or after the settle time once all views agree. Until then
// another instance may still decide about flows that this one owns now. With
// ReplicateNever there are no messages that tell the views, and the settle time suffices.
func (p *Picker) ownershipSettled(now time.Duration) bool {
	age := now - p.ownershipChangedAt
	return age >= maxSettleTime || (age >= p.settleTime && (p.AllViewsAgree() || p.replication.mode == ReplicateNever))
}

// viewDigest returns a hash of the owners and of the default target sets of a view.
func viewDigest(ownerIDs []uint64, services []Service) uint64 {
	var digest uint64
	for _, id := range ownerIDs {
		digest ^= ranker.Score(id, 2)
	}
	for _, s := range services {
		serviceDigest := ranker.Hash(s.Name)
		for _, t := range s.DefaultTargets {
			serviceDigest = ranker.Score(serviceDigest, ranker.Hash(t))
		}
		serviceDigest = ranker.Score(serviceDigest, 1)
		for _, t := range s.NextDefaultTargets {
			serviceDigest = ranker.Score(serviceDigest, ranker.Hash(t))
		}
		digest ^= serviceDigest
	}
	return digest
}
