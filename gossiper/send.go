package gossiper

import (
	"slices"
	"time"
)

// takeOutgoing returns and clears the queued messages.
func (g *Gossiper) takeOutgoing() []Envelope {
	out := g.outgoing
	g.outgoing = nil
	return out
}

// enqueue queues a message to a UDP address. It fills in the header fields that are the same
// for every kind of message.
func (g *Gossiper) enqueue(to string, m Message) {
	m.From = g.self.Name
	m.StoreDigest = g.store.digest
	m.ConfigVersion = g.self.ConfigVersion
	g.outgoing = append(g.outgoing, Envelope{To: to, Message: m})
}

// enqueueWithRumors queues a message to the member called name with as many piggybacked rumors as
// fit. The name is empty if it is not known.
func (g *Gossiper) enqueueWithRumors(name, to string, m Message) {
	m.Records = g.takeRumorsFor(name, maxRecordBytes)
	g.enqueue(to, m)
}

// sendProbe pings a member and expects an ack. The member's own record is attached if it is
// suspected or dead, so that it can refute that.
func (g *Gossiper) sendProbe(now time.Duration, name, to string) {
	n := g.nextProbeSequence()
	g.pendingProbes = append(g.pendingProbes, probe{sequence: n, member: name, sentAt: now})
	m := Message{Kind: KindPing, Sequence: n}
	if r := g.store.records[InstanceKeyPrefix+name]; r.Liveness != LivenessSelfReported {
		m.Records = append(m.Records, r)
	}
	m.Records = append(m.Records, g.takeRumorsFor(name, maxRecordBytes-MaxBodySize)...)
	g.enqueue(to, m)
}

// sendRumors sends one batch of rumors to each of rumorReceivers.
func (g *Gossiper) sendRumors() {
	for _, to := range g.rumorReceivers() {
		records := g.store.takeRumors(maxRecordBytes, g.liveInstanceCount())
		if len(records) == 0 {
			return
		}
		g.enqueue(to, Message{Kind: KindRecords, Records: records})
	}
}

// randomAliveAddresses returns the peer addresses of at most n random live members of those that
// are eligible.
func (g *Gossiper) randomAliveAddresses(n int, eligible func(m *Member) bool) []string {
	var addresses []string
	for _, m := range g.members {
		if m.Alive() && eligible(m) {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	slices.Sort(addresses)
	var out []string
	for range min(n, len(addresses)) {
		i := g.random.IntN(len(addresses))
		out = append(out, addresses[i])
		addresses = slices.Delete(addresses, i, i+1)
	}
	return out
}

// Leave returns the messages that declare this instance dead to other members before it
// stops, so that these need not detect it with probes.
func (g *Gossiper) Leave() []Envelope {
	const maxRecipients = 16 // these spread the record to all other members as a rumor
	r := g.store.records[InstanceKeyPrefix+g.self.Name]
	r.Liveness = LivenessDead
	for _, m := range g.Members() {
		if m.Alive() && len(g.outgoing) < maxRecipients {
			g.enqueue(m.PeerAddress, Message{Kind: KindRecords, Records: []Record{r}})
		}
	}
	return g.takeOutgoing()
}
