package announcer

import (
	"net/netip"
	"time"

	"almondpick/gossiper"
)

// Deregister marks the target with the given identity as ended, publishes that, and returns
// its endpoint. ok is false if no such target is known. A target that is already Deregistered
// is not published again.
func (r *Registry) Deregister(now time.Duration, identity uint64, p Publisher) (endpoint netip.AddrPort, ok bool) {
	for _, t := range r.targets {
		if t.Identity != identity {
			continue
		}
		endpoint, ok = t.Endpoint, true
		if t.State == Deregistered {
			continue // an earlier target with the same identity, or a repeated notice
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
