package picker

import (
	"time"

	"almondpick/ranker"
)

// claims tells whether this instance knows all exceptions among the flows it owns, as
// far as its lag allows: it has what earlier owners streamed to it.
func (p *Picker) ownerComplete(now time.Duration) bool {
	return len(p.openLookups) < openLookupLimit && p.ownedFlowsComplete(now)
}

// lag returns how far the stream is behind once all queues are empty.
func (s *replicator) unpublishedLag(now time.Duration) time.Duration {
	lag := time.Duration(0)
	for _, d := range s.unpublished {
		lag = max(lag, now-d.openedAt)
	}
	return lag
}

// derivedBy tells whether a flow that this instance first relayed at a time can be
// derived here: the owner's stream is complete up to then, held no record of the
// flow, and rests on the same base sets.
func (p *Picker) defaultConfirmedBy(owner MemberID, firstRelayedAt time.Duration) bool {
	s, ok := p.replication.peers[owner]
	return ok && firstRelayedAt <= s.completeUntil && s.viewDigest == p.view.digest
}

// complete tells whether this instance, as the owner of a flow that it does not know,
// can derive it: all members agree on the view, and their streams have brought all
// exceptions from before they did.
func (p *Picker) ownedFlowsComplete(now time.Duration) bool {
	if !p.ownershipSettled(now) || !p.AllViewsAgree() {
		return false
	}
	for _, s := range p.replication.peers {
		if s.receivedUntil < p.ownershipChangedAt {
			return false
		}
	}
	return true
}

// AllViewsAgree tells whether every member is known to hold the same view of who owns flows
// and of the base sets.
func (p *Picker) AllViewsAgree() bool {
	for _, s := range p.replication.peers {
		if s.viewDigest != p.view.digest {
			return false
		}
	}
	return true
}

// settled tells whether the last change of the membership is known everywhere, as far
// as that can be told: until then another instance may still decide about flows of
// this one.
func (p *Picker) ownershipSettled(now time.Duration) bool {
	age := now - p.ownershipChangedAt
	return age >= maxSettleTime || (age >= p.settleTime && (p.AllViewsAgree() || p.replication.mode == ReplicateNever))
}

// digestOf names the serving members and base sets of a view.
func viewDigest(ownerIDs []uint64, services []Service) uint64 {
	var digest uint64
	for _, id := range ownerIDs {
		digest ^= ranker.Score(id, 2)
	}
	for _, s := range services {
		d := ranker.Hash(s.Name)
		for _, t := range s.DefaultTargets {
			d = ranker.Score(d, ranker.Hash(t))
		}
		d = ranker.Score(d, 1)
		for _, t := range s.NextDefaultTargets {
			d = ranker.Score(d, ranker.Hash(t))
		}
		digest ^= d
	}
	return digest
}
