package gossiper

import (
	"slices"
	"time"
)

// probeNext probes the next member of the round; at the end of a round, a dead
// member or a seed instead. An instance that knows nobody probes all seeds: some of
// them may have started earlier than others.
func (g *Gossiper) probeNext(now time.Duration) {
	if g.alive == 0 {
		g.seedTries++
		g.nextProbe = now + seedWait(g.seedTries)
		for _, to := range g.seeds {
			if to != g.self.PeerAddress {
				g.withRumors(to, Message{Kind: KindPing, Sequence: g.nextSequence()})
			}
		}
		return
	}
	g.seedTries = 0
	for len(g.round) > 0 {
		name := g.round[0]
		g.round = g.round[1:]
		m, ok := g.members[name]
		if ok && m.Alive() {
			g.probe(now, m.Name, m.PeerAddress)
			return
		}
	}
	g.newRound()
	if to, ok := g.lostAddress(); ok {
		g.withRumors(to, Message{Kind: KindPing, Sequence: g.nextSequence()})
	}
}

// seedWait returns how long an instance that knows nobody waits after so many probes of
// its seeds.
func seedWait(tries int) time.Duration {
	wait := seedPeriod
	for range tries - seedQuick {
		if wait >= seedPeriodMost {
			break
		}
		wait *= 2
	}
	return wait
}

func (g *Gossiper) newRound() {
	for name, m := range g.members {
		if m.Alive() {
			g.round = append(g.round, name)
		}
	}
	slices.Sort(g.round)
	g.random.Shuffle(len(g.round), func(i, j int) { g.round[i], g.round[j] = g.round[j], g.round[i] })
}

// lostAddress returns the address of a dead member or of a seed that no live
// member has.
func (g *Gossiper) lostAddress() (string, bool) {
	alive := map[string]bool{g.self.PeerAddress: true}
	var lost []string
	for _, m := range g.members {
		if m.Alive() {
			alive[m.PeerAddress] = true
		} else {
			lost = append(lost, m.PeerAddress)
		}
	}
	lost = append(lost, g.seeds...)
	lost = slices.DeleteFunc(lost, func(a string) bool { return alive[a] })
	if len(lost) == 0 {
		return "", false
	}
	slices.Sort(lost)
	return lost[g.random.IntN(len(lost))], true
}

func (g *Gossiper) nextSequence() uint64 {
	g.probeNumber++
	return g.probeNumber
}

type probe struct {
	sequence uint64
	name     string
	sent     time.Duration
	indirect bool
}

// checkProbes repeats unanswered probes through others after half a period, and
// suspects the instance a period and a half after the first.
func (g *Gossiper) checkProbes(now time.Duration) {
	kept := g.probes[:0]
	for _, p := range g.probes {
		age := now - p.sent
		if !p.indirect && age >= g.period/2 {
			p.indirect = true
			g.probeIndirectly(p)
		}
		if age >= g.period*3/2 {
			g.claim(now, p.name, LivenessSuspect)
			continue
		}
		kept = append(kept, p)
	}
	g.probes = kept
	g.forwards = slices.DeleteFunc(g.forwards, func(f forwarded) bool { return now-f.sent > 4*g.period })
}

func (g *Gossiper) probeIndirectly(p probe) {
	var helpers []string
	for name, m := range g.members {
		if name != p.name && m.Liveness == LivenessSelfReported {
			helpers = append(helpers, name)
		}
	}
	slices.Sort(helpers)
	for range min(indirectProbes, len(helpers)) {
		i := g.random.IntN(len(helpers))
		to := g.members[helpers[i]].PeerAddress
		g.send(to, Message{Kind: KindPingRequest, Sequence: p.sequence, ProbedMember: p.name})
		helpers = slices.Delete(helpers, i, i+1)
	}
}

// claim raises the rank of a member's record: suspected, or dead.
func (g *Gossiper) claim(now time.Duration, name string, rank Liveness) {
	r, ok := g.store.records[InstanceKeyPrefix+name]
	if !ok || r.Liveness >= rank {
		return
	}
	r.Liveness = rank
	g.accept(now, r)
}

func (g *Gossiper) checkSuspects(now time.Duration) {
	var late []string
	for name, m := range g.members {
		if (m.Liveness == LivenessSuspect && now-m.LivenessSince >= g.suspect) || (m.Liveness == LivenessDead && now-m.LivenessSince >= g.retain) {
			late = append(late, name)
		}
	}
	slices.Sort(late)
	for _, name := range late {
		if g.members[name].Liveness == LivenessSuspect {
			g.claim(now, name, LivenessDead)
			continue
		}
		delete(g.members, name)
		g.DeleteRecord(InstanceKeyPrefix + name)
	}
}

// acknowledged ends the probe that the message answers, or passes the answer on
// to the instance that asked for it.
func (g *Gossiper) acknowledged(m Message) {
	g.probes = slices.DeleteFunc(g.probes, func(p probe) bool { return p.sequence == m.Sequence })
	for _, f := range g.forwards {
		if f.sequence == m.Sequence {
			g.send(f.asker, Message{Kind: KindAck, Sequence: f.theirs})
		}
	}
}

func (g *Gossiper) probeFor(now time.Duration, from string, m Message) {
	subject, ok := g.members[m.ProbedMember]
	if !ok {
		return
	}
	n := g.nextSequence()
	g.forwards = append(g.forwards, forwarded{sequence: n, asker: from, theirs: m.Sequence, sent: now})
	g.send(subject.PeerAddress, Message{Kind: KindPing, Sequence: n})
}
