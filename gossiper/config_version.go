package gossiper

import (
	"slices"
	"time"
)

// SetConfigVersion sets the version of the configuration that this instance applies. The
// version is a field of every message, and a changed version is sent to the members named in
// subscribers at the next tick. A new version is not published as a record, because a record
// of each instance for each change would cost every instance traffic in proportion to the
// number of instances.
func (g *Gossiper) SetConfigVersion(version uint64, subscribers []string) {
	g.versionSubscribers = subscribers
	if version == g.self.ConfigVersion {
		return
	}
	g.self.ConfigVersion = version
	g.nextVersionReport = 0
	g.versionReportsToRepeat = versionReportRepeats
	g.versionChanged = true
	g.revision++
}

// NewestConfigMember returns a live member with the highest known configuration version, if
// that is above this instance's own. It prefers members of its own data centre and chooses at
// random, so that instances that catch up at the same time do not all ask the same one.
func (g *Gossiper) NewestConfigMember() (Member, bool) {
	newest, ok := g.members[g.newestVersionMember]
	if !ok || !newest.Alive() || newest.ConfigVersion <= g.self.ConfigVersion {
		return Member{}, false
	}
	var candidates, otherDataCentres []string
	for name, m := range g.members {
		switch {
		case !m.Alive() || m.ConfigVersion != newest.ConfigVersion:
		case m.DataCentre == g.self.DataCentre:
			candidates = append(candidates, name)
		default:
			otherDataCentres = append(otherDataCentres, name)
		}
	}
	if len(candidates) == 0 {
		candidates = otherDataCentres
	}
	slices.Sort(candidates)
	return *g.members[candidates[g.random.IntN(len(candidates))]], true
}

// reportVersion sends the configuration version of this instance to the subscribers: at once
// and again versionReportRepeats times when the version changes, then every
// versionReportInterval for subscribers that have restarted. A new version is also sent once
// to versionFanout random members.
func (g *Gossiper) reportVersion(now time.Duration) {
	if now < g.nextVersionReport {
		return
	}
	g.nextVersionReport = now + versionReportInterval
	if g.versionReportsToRepeat > 0 {
		g.versionReportsToRepeat--
		g.nextVersionReport = now + versionReportRepeatDelay // the previous report may have been lost
	}
	if g.versionChanged {
		g.versionChanged = false
		for _, to := range g.randomAliveAddresses(versionFanout) {
			g.enqueue(to, Message{Kind: KindConfigVersion})
		}
	}
	for _, name := range g.versionSubscribers {
		if m, ok := g.members[name]; ok && m.Alive() {
			g.enqueue(m.PeerAddress, Message{Kind: KindConfigVersion})
		}
	}
}

// noteVersion records the configuration version in a message from a member. A version below
// the recorded one is ignored.
func (g *Gossiper) noteVersion(m *Member, version uint64) {
	if version > m.ConfigVersion {
		m.ConfigVersion = version
		g.revision++
	}
	newest, ok := g.members[g.newestVersionMember]
	if !ok || !newest.Alive() || m.ConfigVersion > newest.ConfigVersion {
		g.newestVersionMember = m.Name
	}
}
