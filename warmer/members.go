package warmer

import (
	"slices"
	"time"

	"almondpick/ranker"
)

const (
	// memberRetention is how long an instance is counted after it was last seen. It is longer
	// than contactRetention: while instances of the other side of a partition may still send,
	// each side goes on to count the other.
	memberRetention = 90 * time.Second
	// contactRetention is how long an instance sends after it lost contact to the storage
	// instances. It covers the partitions that heal by themselves.
	contactRetention = 60 * time.Second
	// settleTime is how long instances count as new. Within it all others that can be reached
	// have heard of them by gossip.
	settleTime = 2 * time.Second
	// maxNewFraction is the fraction of new instances up to which the number of instances counts
	// as known. Instances that disagree by it send that much more together.
	maxNewFraction = 0.25
	// unsettledFactor multiplies the number of instances while it is not known: instances that
	// know only the number before a growth to three times as many send twice the rate together.
	unsettledFactor = 2
)

// Members is what an instance knows of the forwarding instances.
type Members struct {
	Names []string // of the live ones; this instance need not be among them
	// FleetSize is the number of forwarding instances that the leader of the voters last counted,
	// or 0 if it is not known. An instance that has just started knows it before the names.
	FleetSize int
	// Connected says that this instance reaches a majority of the storage instances.
	Connected bool
}

// memberState is what is known of one instance.
type memberState struct {
	firstSeen    time.Duration
	missing      bool // not among the live ones
	missingSince time.Duration
}

// memberList counts the forwarding instances.
type memberList struct {
	self          string
	states        map[string]*memberState
	hashes        []uint64 // of the names in states
	revision      uint64   // increases when hashes changes
	fleetSize     int
	connected     bool
	everConnected bool
	contactLostAt time.Duration // if connected is false and everConnected true
	settledAt     time.Duration // when the number counts as known
	nextExpiry    time.Duration // when the next missing instance is no longer counted
}

func newMemberList(self string) memberList {
	return memberList{self: self, states: make(map[string]*memberState)}
}

// set replaces the live instances.
func (l *memberList) set(now time.Duration, m Members) {
	live := map[string]bool{l.self: true}
	for _, name := range m.Names {
		live[name] = true
	}
	for name := range live {
		if state := l.states[name]; state != nil {
			state.missing = false
			continue
		}
		l.states[name] = &memberState{firstSeen: now}
	}
	regained := m.Connected && !l.connected
	for name, state := range l.states {
		// Those that were missing during a partition have had no time to be seen again.
		if !live[name] && (!state.missing || regained) {
			state.missing, state.missingSince = true, now
		}
	}
	if l.connected && !m.Connected {
		l.contactLostAt = now
	}
	l.connected, l.fleetSize = m.Connected, m.FleetSize
	l.everConnected = l.everConnected || m.Connected
	l.update(now)
}

// update removes the instances that have been missing for memberRetention, unless contact to the
// storage instances is lost, and computes what depends on the list.
func (l *memberList) update(now time.Duration) {
	l.nextExpiry = now + memberRetention
	names := make([]string, 0, len(l.states))
	firstSeen := make([]time.Duration, 0, len(l.states))
	for name, state := range l.states {
		if l.connected && state.missing && now-state.missingSince >= memberRetention {
			delete(l.states, name)
			continue
		}
		if l.connected && state.missing {
			l.nextExpiry = min(l.nextExpiry, state.missingSince+memberRetention)
		}
		names = append(names, name)
		firstSeen = append(firstSeen, state.firstSeen)
	}
	slices.Sort(firstSeen)
	slices.Reverse(firstSeen)
	l.settledAt = firstSeen[int(maxNewFraction*float64(len(firstSeen)))] + settleTime
	l.setHashes(names)
}

// setHashes replaces the hashes by those of names.
func (l *memberList) setHashes(names []string) {
	hashes := make([]uint64, 0, len(names))
	for _, name := range names {
		hashes = append(hashes, ranker.Hash(name))
	}
	slices.Sort(hashes)
	if !slices.Equal(hashes, l.hashes) {
		l.hashes = hashes
		l.revision++
	}
}

// rateDivisor returns the number of instances by which the rate of a target is divided, or 0 if this
// instance must not send.
func (l *memberList) rateDivisor(now time.Duration) int {
	if !l.everConnected || (!l.connected && now-l.contactLostAt >= contactRetention) {
		return 0
	}
	if now >= l.nextExpiry {
		l.update(now)
	}
	instances := max(len(l.states), l.fleetSize)
	switch {
	case now >= l.settledAt:
		return instances
	case l.fleetSize > 0:
		return unsettledFactor * instances
	}
	return 0
}

// order returns the place of this instance in the period of a target, from 0 to 1.
func (l *memberList) order(target uint64) float64 {
	own := ranker.Score(target, ranker.Hash(l.self))
	before := 0
	for _, hash := range l.hashes {
		if ranker.Score(target, hash) < own {
			before++
		}
	}
	return float64(before) / float64(max(len(l.hashes), 1))
}
