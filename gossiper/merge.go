package gossiper

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// mergeRecord merges a received record and, for the record of another instance, updates the
// member. A record of this instance itself is never merged, but refuted if it supersedes the
// stored one. Records of instances with an invalid body are dropped.
func (g *Gossiper) mergeRecord(now time.Duration, r Record) {
	if r.Key == InstanceKeyPrefix+g.self.Name {
		g.refute(r)
		return
	}
	if g.store.noteDuplicate(r) {
		return
	}
	if !strings.HasPrefix(r.Key, InstanceKeyPrefix) {
		g.Publish(r)
		return
	}
	var body Instance
	if cbor.Unmarshal(r.Body, &body) != nil || body.Validate() != nil {
		return
	}
	if InstanceKeyPrefix+body.Name != r.Key || !g.store.merge(r) {
		return
	}
	g.revision++
	m, ok := g.members[body.Name]
	if !ok {
		m = &Member{Liveness: LivenessDead}
		g.members[body.Name] = m
	}
	g.countAlive(m, -1)
	if r.Incarnation == m.Incarnation {
		body.ConfigVersion = max(body.ConfigVersion, m.ConfigVersion)
	} else if g.newestVersionMember == body.Name {
		g.newestVersionMember = "" // a new process need not hold the version of the earlier one
	}
	if !ok || m.Liveness != r.Liveness || m.Incarnation != r.Incarnation {
		m.LivenessSince = now
	}
	m.Instance = body
	m.Incarnation = r.Incarnation
	m.Liveness = r.Liveness
	g.countAlive(m, 1)
	g.noteVersion(m, body.ConfigVersion)
}

// countAlive adds n to the numbers of live members if the member is one of them.
func (g *Gossiper) countAlive(m *Member, n int) {
	if !m.Alive() {
		return
	}
	g.aliveMembers += n
	if g.isLocal(m) {
		g.aliveLocalMembers += n
	}
}

// refute publishes this instance's own record with a version above that of r, if r
// supersedes the stored one: another instance suspects this one or has declared it dead, or
// an earlier process with the same name had a higher incarnation.
func (g *Gossiper) refute(r Record) {
	own := g.store.records[r.Key]
	if !r.Supersedes(own) {
		return
	}
	if r.Incarnation > g.incarnation {
		g.incarnation = r.Incarnation + 1
	}
	g.sequence = max(g.sequence, r.Sequence)
	g.publishSelf()
}
