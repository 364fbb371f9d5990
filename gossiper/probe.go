package gossiper

import (
	"slices"
	"time"
)

// probeNext probes the next member of the round or, at the end of a round, a dead member or
// a seed instead. While no member is alive, it probes all seeds, because some of them may
// have started earlier than others.
func (g *Gossiper) probeNext(now time.Duration) {
	if g.aliveMembers == 0 {
		g.seedAttempts++
		g.nextProbe = now + seedRetryDelay(g.seedAttempts)
		for _, to := range g.seeds {
			if to != g.self.PeerAddress {
				g.enqueueWithRumors("", to, Message{Kind: KindPing, Sequence: g.nextProbeSequence()})
			}
		}
		return
	}
	g.seedAttempts = 0
	for len(g.probeOrder) > 0 {
		name := g.probeOrder[0]
		g.probeOrder = g.probeOrder[1:]
		m, ok := g.members[name]
		if ok && m.Alive() {
			g.sendProbe(now, m.Name, m.PeerAddress)
			return
		}
	}
	g.startProbeRound()
	if to, ok := g.unreachableAddress(); ok {
		g.enqueueWithRumors("", to, Message{Kind: KindPing, Sequence: g.nextProbeSequence()})
	}
}

// seedRetryDelay returns the delay after the given number of probes of the seeds: constant
// for the first fastSeedRetries, then doubled each time up to maxSeedRetryDelay.
func seedRetryDelay(attempts int) time.Duration {
	delay := minSeedRetryDelay
	for range attempts - fastSeedRetries {
		if delay >= maxSeedRetryDelay {
			break
		}
		delay *= 2
	}
	return delay
}

// startProbeRound shuffles the live members into a new probe order.
func (g *Gossiper) startProbeRound() {
	for name, m := range g.members {
		if m.Alive() {
			g.probeOrder = append(g.probeOrder, name)
		}
	}
	slices.Sort(g.probeOrder)
	g.random.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
}

// unreachableAddress returns the address of a random dead member or seed, leaving out
// addresses of live members and of this instance. It reports false if there is none.
func (g *Gossiper) unreachableAddress() (string, bool) {
	alive := map[string]bool{g.self.PeerAddress: true}
	var unreachable []string
	for _, m := range g.members {
		if m.Alive() {
			alive[m.PeerAddress] = true
		} else {
			unreachable = append(unreachable, m.PeerAddress)
		}
	}
	unreachable = append(unreachable, g.seeds...)
	unreachable = slices.DeleteFunc(unreachable, func(a string) bool { return alive[a] })
	if len(unreachable) == 0 {
		return "", false
	}
	slices.Sort(unreachable)
	return unreachable[g.random.IntN(len(unreachable))], true
}

// nextProbeSequence returns a new sequence number for a ping.
func (g *Gossiper) nextProbeSequence() uint64 {
	g.lastProbeSequence++
	return g.lastProbeSequence
}

// probe is a ping that has not been acknowledged yet.
type probe struct {
	sequence     uint64
	member       string // name
	sentAt       time.Duration
	indirectSent bool // other members have been asked to ping the member
}

// checkProbes starts indirect probes for pings that have had no ack for half a probe period,
// and suspects the member one and a half periods after the ping. It also removes indirect
// probes for other instances after four periods.
func (g *Gossiper) checkProbes(now time.Duration) {
	kept := g.pendingProbes[:0]
	for _, p := range g.pendingProbes {
		age := now - p.sentAt
		if !p.indirectSent && age >= g.probePeriod/2 {
			p.indirectSent = true
			g.sendPingRequests(p)
		}
		if age >= g.probePeriod*3/2 {
			g.raiseLiveness(now, p.member, LivenessSuspect)
			continue
		}
		kept = append(kept, p)
	}
	g.pendingProbes = kept
	g.indirectProbes = slices.DeleteFunc(g.indirectProbes, func(f indirectProbe) bool { return now-f.sentAt > 4*g.probePeriod })
}

// sendPingRequests asks indirectProbeFanout random members that are not suspected to ping the
// member of a probe.
func (g *Gossiper) sendPingRequests(p probe) {
	var intermediaries []string
	for name, m := range g.members {
		if name != p.member && m.Liveness == LivenessSelfReported {
			intermediaries = append(intermediaries, name)
		}
	}
	slices.Sort(intermediaries)
	for range min(indirectProbeFanout, len(intermediaries)) {
		i := g.random.IntN(len(intermediaries))
		to := g.members[intermediaries[i]].PeerAddress
		g.enqueue(to, Message{Kind: KindPingRequest, Sequence: p.sequence, ProbedMember: p.member})
		intermediaries = slices.Delete(intermediaries, i, i+1)
	}
}

// raiseLiveness marks the record of a member as suspect or dead, unless it already is at
// least that.
func (g *Gossiper) raiseLiveness(now time.Duration, name string, liveness Liveness) {
	r, ok := g.store.records[InstanceKeyPrefix+name]
	if !ok || r.Liveness >= liveness {
		return
	}
	r.Liveness = liveness
	g.mergeRecord(now, r)
}

// expireMembers declares members dead that have been suspected for suspicionTimeout, and
// deletes members that have been dead for deadRetention.
func (g *Gossiper) expireMembers(now time.Duration) {
	var expired []string
	for name, m := range g.members {
		if (m.Liveness == LivenessSuspect && now-m.LivenessSince >= g.suspicionTimeout) || (m.Liveness == LivenessDead && now-m.LivenessSince >= g.deadRetention) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		if g.members[name].Liveness == LivenessSuspect {
			g.raiseLiveness(now, name, LivenessDead)
			continue
		}
		delete(g.members, name)
		g.DeleteRecord(InstanceKeyPrefix + name)
	}
}

// handleAck ends the probe that the message acknowledges, or forwards the ack to the instance
// that requested the indirect probe.
func (g *Gossiper) handleAck(m Message) {
	g.pendingProbes = slices.DeleteFunc(g.pendingProbes, func(p probe) bool { return p.sequence == m.Sequence })
	for _, f := range g.indirectProbes {
		if f.sequence == m.Sequence {
			g.enqueue(f.requesterAddress, Message{Kind: KindAck, Sequence: f.requesterSequence})
		}
	}
}

// handlePingRequest pings a member for another instance. The ack is forwarded by handleAck.
func (g *Gossiper) handlePingRequest(now time.Duration, from string, m Message) {
	probed, ok := g.members[m.ProbedMember]
	if !ok {
		return
	}
	n := g.nextProbeSequence()
	g.indirectProbes = append(g.indirectProbes, indirectProbe{sequence: n, requesterAddress: from, requesterSequence: m.Sequence, sentAt: now})
	g.enqueue(probed.PeerAddress, Message{Kind: KindPing, Sequence: n})
}
