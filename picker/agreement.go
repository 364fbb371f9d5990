package picker

import (
	"time"

	"almondpick/ranker"
)

// claims tells whether this instance knows all exceptions among the flows it owns, as
// far as its lag allows: it has what earlier owners streamed to it.
func (p *Picker) claims(now time.Duration) bool {
	return len(p.questions) < questionLimit && p.complete(now)
}

// lag returns how far the stream is behind once all queues are empty.
func (s *streams) lag(now time.Duration) time.Duration {
	lag := time.Duration(0)
	for _, d := range s.waiting {
		lag = max(lag, now-d.opened)
	}
	return lag
}

// derivedBy tells whether a flow that this instance first relayed at a time can be
// derived here: the owner's stream is complete up to then, held no record of the
// flow, and rests on the same base sets.
func (p *Picker) derivedBy(owner MemberID, since time.Duration) bool {
	s, ok := p.streams.peers[owner]
	return ok && since <= s.through && s.view == p.view.digest
}

// complete tells whether this instance, as the owner of a flow that it does not know,
// can derive it: all members agree on the view, and their streams have brought all
// exceptions from before they did.
func (p *Picker) complete(now time.Duration) bool {
	if !p.settled(now) || !p.AllViewsAgree() {
		return false
	}
	for _, s := range p.streams.peers {
		if s.drained < p.changed {
			return false
		}
	}
	return true
}

// AllViewsAgree tells whether every member is known to hold the same view of who owns flows
// and of the base sets.
func (p *Picker) AllViewsAgree() bool {
	for _, s := range p.streams.peers {
		if s.view != p.view.digest {
			return false
		}
	}
	return true
}

// settled tells whether the last change of the membership is known everywhere, as far
// as that can be told: until then another instance may still decide about flows of
// this one.
func (p *Picker) settled(now time.Duration) bool {
	age := now - p.changed
	return age >= settleMost || (age >= p.settle && (p.AllViewsAgree() || p.streams.mode == ReplicateNever))
}

// digestOf names the serving members and base sets of a view.
func digestOf(serving []uint64, services []Service) uint64 {
	var digest uint64
	for _, id := range serving {
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
