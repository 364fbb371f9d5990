package announcer

import (
	"time"

	"almondpick/gossiper"
)

// Leave takes in the word of a target with that identity that it has ended. It is
// false when no such target is known here.
func (r *Registry) Leave(now time.Duration, identity uint64, p Publisher) bool {
	for _, t := range r.targets {
		if t.Identity != identity || t.State == Gone {
			continue
		}
		a := t.Announcement
		a.State = Gone
		a.Sequence++
		r.take(now, a, r.self, false)
		p.Announce(r.record(a, gossiper.RankOwn))
		delete(r.home, a.Endpoint)
		return true
	}
	return false
}
