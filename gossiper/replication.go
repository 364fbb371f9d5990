package gossiper

import (
	"slices"
	"strings"
	"time"
)

// Broadcast publishes a record that originates at this instance and has the next tick send it
// to every live member directly. That takes one message per member, where rumors would take
// several rounds and about a dozen messages per member. Broadcast reports whether the record
// superseded the stored one.
func (g *Gossiper) Broadcast(r Record) bool {
	if !g.Publish(r) {
		return false
	}
	g.pendingBroadcasts = append(g.pendingBroadcasts, r.Key)
	return true
}

// sendBroadcasts sends the pending broadcasts to all live members. In a group of more than
// maxBroadcastMembers, the records spread as rumors only.
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

// RelayHeartbeats tells the member named to that the subjects of the record keys are still
// sending heartbeats to this instance. The records need no body. They are neither stored nor
// spread, because nothing changes for other members.
func (g *Gossiper) RelayHeartbeats(to string, records []Record) {
	m, ok := g.members[to]
	if !ok || !m.Alive() {
		return
	}
	for _, batch := range batchRecords(records) {
		g.enqueue(m.PeerAddress, Message{Kind: KindHeartbeatRelay, Records: batch})
	}
}

// TakeRelayedHeartbeats returns and clears the records that other instances have sent with
// RelayHeartbeats since the last call.
func (g *Gossiper) TakeRelayedHeartbeats() []Record {
	heartbeats := g.relayedHeartbeats
	g.relayedHeartbeats = nil
	return heartbeats
}

// AllRecords returns every stored record, sorted by key, for an instance that catches up.
func (g *Gossiper) AllRecords() []Record {
	out := make([]Record, 0, len(g.store.records))
	for _, r := range g.store.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// ImportRecords merges all records of another instance. The records start no rumors, because
// other instances have them already. Only a refutation that this instance publishes because of
// one of them starts a rumor.
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

// LastContact returns when the last message from any member arrived, or 0 if none has.
func (g *Gossiper) LastContact() time.Duration {
	var last time.Duration
	for _, m := range g.members {
		last = max(last, m.LastContact)
	}
	return last
}
