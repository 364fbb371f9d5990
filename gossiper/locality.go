package gossiper

import "time"

// Most rumors and digest comparisons stay within a data centre, because traffic between data
// centres is charged for and competes with that of callers on slow links. A record that has reached a few
// members of a data centre spreads among them, so few messages to other data centres suffice.
const (
	// minLocalMembers is the number of live members of the own data centre from which on they
	// are preferred. Among fewer, it is likely that none has received a change.
	minLocalMembers = 8
	// remoteRumorRatio is the number of messages with rumors of which one, on average, goes to a
	// member of any data centre.
	remoteRumorRatio = 8
	// remoteSyncInterval is the least time between two digest comparisons with members of other
	// data centres. minLocalMembers together begin one a second.
	remoteSyncInterval = minLocalMembers * syncInterval
)

// isLocal reports whether a member is in the data centre of this instance.
func (g *Gossiper) isLocal(m *Member) bool {
	return m.DataCentre == g.self.DataCentre
}

// anyMember makes all members eligible.
func anyMember(*Member) bool { return true }

// avoids reports whether messages that any member could receive should go to members of the own data
// centre rather than to the member called name. It is false for an unknown member.
func (g *Gossiper) avoids(name string) bool {
	m, ok := g.members[name]
	return ok && !g.isLocal(m) && g.aliveLocalMembers >= minLocalMembers
}

// takeRumorsFor returns the rumors to piggyback on a message to the member called name.
func (g *Gossiper) takeRumorsFor(name string, maxBytes int) []Record {
	if g.avoids(name) && g.random.IntN(remoteRumorRatio) > 0 {
		return nil
	}
	return g.store.takeRumors(maxBytes, g.liveInstanceCount())
}

// rumorReceivers returns the addresses of the members that are sent the next round of rumors.
func (g *Gossiper) rumorReceivers() []string {
	if g.aliveLocalMembers >= minLocalMembers && g.random.IntN(remoteRumorRatio) > 0 {
		return g.randomAliveAddresses(rumorFanout, g.isLocal)
	}
	return g.randomAliveAddresses(rumorFanout, anyMember)
}

// mayCompareDigest reports whether digests may be compared with the member called name now.
func (g *Gossiper) mayCompareDigest(now time.Duration, name string) bool {
	return now >= g.nextRemoteSync || !g.avoids(name)
}
