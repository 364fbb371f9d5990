package announcer

import (
	"net/netip"
	"time"

	"almondpick/gossiper"
)

// Leave takes in the word of a target with that identity that it has ended, and returns
// its endpoint. ok is false when no such target is known here.
func (r *Registry) Deregister(now time.Duration, identity uint64, p Publisher) (endpoint netip.AddrPort, ok bool) {
	for _, t := range r.targets {
		if t.Identity != identity {
			continue
		}
		endpoint, ok = t.Endpoint, true
		if t.State == Deregistered {
			continue // an earlier one of that identity, or one that says so again
		}
		a := t.Announcement
		a.State = Deregistered
		a.Sequence++
		r.setTarget(now, a, r.self, false)
		p.Broadcast(r.newRecord(a, gossiper.LivenessSelfReported))
		delete(r.localTargets, a.Endpoint)
		return endpoint, true
	}
	return endpoint, ok
}
