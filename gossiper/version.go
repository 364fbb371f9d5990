package gossiper

import (
	"slices"
	"time"
)

// SetVersion changes the version that this instance has in force. It travels with
// every message, and at once to the watchers; it is no record, because a record of
// each instance for each change would cost every instance in proportion to their
// number. watchers are those who need to know soon.
func (g *Gossiper) SetConfigVersion(v uint64, watchers []string) {
	g.watchers = watchers
	if v == g.self.ConfigVersion {
		return
	}
	g.self.ConfigVersion = v
	g.nextReport = 0
	g.repeats = reportTimes
	g.fresh = true
	g.revision++
}

// Newest returns a live member whose version is the highest that was heard of, if it
// is above this instance's own: one of this data centre if there is any, drawn at random
// so that instances that catch up at the same time do not all ask the same one.
func (g *Gossiper) NewestConfigMember() (Member, bool) {
	top, ok := g.members[g.newest]
	if !ok || !top.Alive() || top.ConfigVersion <= g.self.ConfigVersion {
		return Member{}, false
	}
	var near, far []string
	for name, m := range g.members {
		switch {
		case !m.Alive() || m.ConfigVersion != top.ConfigVersion:
		case m.DataCentre == g.self.DataCentre:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	if len(near) == 0 {
		near = far
	}
	slices.Sort(near)
	return *g.members[near[g.random.IntN(len(near))]], true
}

// report tells the watchers which version is in force here: at once when it changes,
// and now and then, for those that have restarted.
func (g *Gossiper) report(now time.Duration) {
	if now < g.nextReport {
		return
	}
	g.nextReport = now + reportEvery
	if g.repeats > 0 {
		g.repeats--
		g.nextReport = now + reportAgain // the report may have been lost
	}
	if g.fresh {
		g.fresh = false
		for _, to := range g.anyAlive(versionFanout) {
			g.send(to, Message{Kind: KindConfigVersion})
		}
	}
	for _, name := range g.watchers {
		if m, ok := g.members[name]; ok && m.Alive() {
			g.send(m.PeerAddress, Message{Kind: KindConfigVersion})
		}
	}
}

// heard notes the version of the sender of a message.
func (g *Gossiper) heard(m *Member, v uint64) {
	if v > m.ConfigVersion {
		m.ConfigVersion = v
		g.revision++
	}
	top, ok := g.members[g.newest]
	if !ok || !top.Alive() || m.ConfigVersion > top.ConfigVersion {
		g.newest = m.Name
	}
}
