package gossiper

import (
	"slices"
	"strings"
	"time"
)

// Announce spreads a record that begins at this instance. The next tick sends it to every
// live member: a message each, where rumours would take several rounds and a dozen.
func (g *Gossiper) Broadcast(r Record) bool {
	if !g.Publish(r) {
		return false
	}
	g.pendingBroadcasts = append(g.pendingBroadcasts, r.Key)
	return true
}

// spreadUrgent sends what has been announced here to all members, if they are few.
func (g *Gossiper) sendBroadcasts() {
	keys := g.pendingBroadcasts
	g.pendingBroadcasts = nil
	if len(keys) == 0 || g.aliveMembers > maxBroadcastMembers {
		return
	}
	var records []Record
	for _, k := range keys {
		if r, ok := g.store.records[k]; ok {
			records = append(records, r)
		}
	}
	members := g.Members()
	for _, batch := range batchRecords(records) {
		for _, m := range members {
			if m.Alive() {
				g.enqueue(m.PeerAddress, Message{Kind: KindBroadcast, Records: batch})
			}
		}
	}
	for _, r := range records {
		g.store.limitRumor(r, g.liveInstanceCount())
	}
}

// Relay tells one member that what the keys of the records name goes on. That is no news
// for others, and the records need no body.
func (g *Gossiper) RelayHeartbeats(to string, records []Record) {
	m, ok := g.members[to]
	if !ok || !m.Alive() {
		return
	}
	for _, batch := range batchRecords(records) {
		g.enqueue(m.PeerAddress, Message{Kind: KindHeartbeatRelay, Records: batch})
	}
}

// HeardOf returns what other instances have relayed since the last call.
func (g *Gossiper) TakeRelayedHeartbeats() []Record {
	heartbeats := g.relayedHeartbeats
	g.relayedHeartbeats = nil
	return heartbeats
}

// All returns every record that is held, for an instance that catches up.
func (g *Gossiper) AllRecords() []Record {
	out := make([]Record, 0, len(g.store.records))
	for _, r := range g.store.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// TakeAll takes in records that another instance held. They are not passed on: the
// others have them. What refutes one of them about this instance is.
func (g *Gossiper) ImportRecords(now time.Duration, records []Record) {
	own := InstanceKeyPrefix + g.self.Name
	before := g.store.records[own]
	g.store.suppressRumors = true
	for _, r := range records {
		g.mergeRecord(now, r)
	}
	g.store.suppressRumors = false
	if g.store.records[own].Supersedes(before) {
		g.store.startRumor(own)
	}
}

// LastContact returns when a message of any member last arrived.
func (g *Gossiper) LastContact() time.Duration {
	var last time.Duration
	for _, m := range g.members {
		last = max(last, m.LastContact)
	}
	return last
}
