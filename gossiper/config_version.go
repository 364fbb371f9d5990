package gossiper

import (
	"slices"
	"strings"
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

// NewestConfigMembers returns the live members with the highest known configuration version, if
// that is above this instance's own, in the order in which to ask them for it: members of its own
// data centre first. The order among these is random, so that instances that catch up at the same
// time do not all ask the same one.
func (g *Gossiper) NewestConfigMembers() []Member {
	newest := g.newestVersion()
	if newest <= g.self.ConfigVersion {
		return nil
	}
	var members []Member
	for _, m := range g.members {
		if m.Alive() && m.ConfigVersion == newest {
			members = append(members, *m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	g.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	slices.SortStableFunc(members, func(a, b Member) int {
		return g.distance(a) - g.distance(b)
	})
	return members
}

// distance returns 0 for a member of this instance's data centre, and 1 for any other.
func (g *Gossiper) distance(m Member) int {
	if m.DataCentre == g.self.DataCentre {
		return 0
	}
	return 1
}

// newestVersion returns the highest configuration version of the live members, or 0.
func (g *Gossiper) newestVersion() uint64 {
	if newest, ok := g.members[g.newestVersionMember]; ok && newest.Alive() {
		return newest.ConfigVersion
	}
	var version uint64
	for _, m := range g.members {
		if m.Alive() && m.ConfigVersion >= version {
			g.newestVersionMember, version = m.Name, m.ConfigVersion
		}
	}
	return version
}

// reportVersion sends the configuration version of this instance to the subscribers: at once
// and again versionReportRepeats times when the version changes, then every
// versionReportInterval for subscribers that have restarted. A new version is also sent once
// to versionFanout members.
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
		for _, to := range g.versionReceivers() {
			g.enqueue(to, Message{Kind: KindConfigVersion})
		}
	}
	for _, name := range g.versionSubscribers {
		if m, ok := g.members[name]; ok && m.Alive() {
			g.enqueue(m.PeerAddress, Message{Kind: KindConfigVersion})
		}
	}
}

// versionReceivers returns the addresses of at most versionFanout random members, first
// localVersionFanout of this instance's data centre: a member of its own data centre is the one
// that an instance fetches a configuration from.
func (g *Gossiper) versionReceivers() []string {
	receivers := g.randomAliveAddresses(localVersionFanout, g.isLocal)
	others := g.randomAliveAddresses(versionFanout-len(receivers), func(m *Member) bool {
		return !slices.Contains(receivers, m.PeerAddress)
	})
	return append(receivers, others...)
}

// noteVersion records the configuration version in a message from a member. A version below
// the recorded one is ignored.
func (g *Gossiper) noteVersion(m *Member, version uint64) {
	if version > m.ConfigVersion {
		m.ConfigVersion = version
		g.revision++
	}
	if m.Alive() && m.ConfigVersion > g.newestVersion() {
		g.newestVersionMember = m.Name
	}
}
