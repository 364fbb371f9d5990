package gossiper

import (
	"slices"
	"time"
)

// SetVersion changes the version that this instance has in force. It travels with
// every message, and at once to the watchers; it is no record, because a record of
// each instance for each change would cost every instance in proportion to their
// number. watchers are those who need to know soon.
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

// Newest returns a live member whose version is the highest that was heard of, if it
// is above this instance's own: one of this data centre if there is any, drawn at random
// so that instances that catch up at the same time do not all ask the same one.
func (g *Gossiper) NewestConfigMember() (Member, bool) {
	newest, ok := g.members[g.newestVersionMember]
	if !ok || !newest.Alive() || newest.ConfigVersion <= g.self.ConfigVersion {
		return Member{}, false
	}
	var sameDataCentre, otherDataCentres []string
	for name, m := range g.members {
		switch {
		case !m.Alive() || m.ConfigVersion != newest.ConfigVersion:
		case m.DataCentre == g.self.DataCentre:
			sameDataCentre = append(sameDataCentre, name)
		default:
			otherDataCentres = append(otherDataCentres, name)
		}
	}
	if len(sameDataCentre) == 0 {
		sameDataCentre = otherDataCentres
	}
	slices.Sort(sameDataCentre)
	return *g.members[sameDataCentre[g.random.IntN(len(sameDataCentre))]], true
}

// report tells the watchers which version is in force here: at once when it changes,
// and now and then, for those that have restarted.
func (g *Gossiper) reportVersion(now time.Duration) {
	if now < g.nextVersionReport {
		return
	}
	g.nextVersionReport = now + versionReportInterval
	if g.versionReportsToRepeat > 0 {
		g.versionReportsToRepeat--
		g.nextVersionReport = now + versionReportRepeatDelay // the report may have been lost
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

// heard notes the version of the sender of a message.
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
