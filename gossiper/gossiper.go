// Package gossiper keeps the membership of the instances and spreads small
// records among them. It is a state machine: a driver hands it messages and the
// time, and sends the envelopes it answers with.
//
// Failure detection follows the SWIM family: in each period an instance probes
// one other, in a shuffled round; a probe that is not answered is repeated
// through two others; an instance that stays silent is suspected, and declared
// dead unless it refutes the suspicion in time. Load on each instance does not
// depend on the number of instances. Records spread as rumours on the probes and
// in rounds of their own while there is news; digests of buckets of records find
// what rumours have missed. Dead instances are probed now and then, so that a
// healed partition is noticed.
package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Times and limits; see the options of New.
const (
	DefaultProbePeriod       = 250 * time.Millisecond
	DefaultSuspicionTimeout  = time.Second
	DefaultDeadRetention     = 24 * time.Hour
	maxRecordBytes           = 1200 // bytes of records in one message
	rumorFanout              = 2
	indirectProbeFanout      = 2
	syncInterval             = time.Second // at most, while records differ
	maxSyncMessages          = 4
	syncRumorDelay           = 500 * time.Millisecond // that rumours get to settle a difference
	versionReportInterval    = 30 * time.Second
	versionReportRepeatDelay = 2 * time.Second
	versionReportRepeats     = 2
	minSeedRetryDelay        = 40 * time.Millisecond  // between the first probes of seeds while nobody is known
	maxSeedRetryDelay        = 16 * minSeedRetryDelay // between later ones; a whole deployment may be looking for them
	fastSeedRetries          = 25                     // first probes; processes that start together are there by then
	maxBroadcastMembers      = 1024                   // members that news of this instance's own goes to at once
	broadcastRumorSends      = 2                      // times that each receiver passes on what everybody was told
	versionFanout            = 3                      // instances that are told of a new version at random
)

// Member is what this instance believes of another.
type Member struct {
	Instance
	Incarnation   uint64
	Liveness      Liveness
	LivenessSince time.Duration // when the rank was last changed
	LastContact   time.Duration // when a message from it last arrived
}

// Alive tells whether the member takes part, suspected or not.
func (m Member) Alive() bool {
	return m.Liveness != LivenessDead
}

type indirectProbe struct {
	sequence          uint64 // ours
	requesterAddress  string
	requesterSequence uint64
	sentAt            time.Duration
}

// Gossiper holds the membership as one instance sees it.
type Gossiper struct {
	self                   Instance
	incarnation            uint64
	sequence               uint64
	seeds                  []string
	probePeriod            time.Duration
	suspicionTimeout       time.Duration
	deadRetention          time.Duration
	random                 *rand.Rand
	store                  *store
	members                map[string]*Member
	aliveMembers           int // members that are alive
	nextVersionReport      time.Duration
	versionSubscribers     []string
	versionChanged         bool   // the version has just changed
	versionReportsToRepeat int    // reports of it that are still to be repeated soon
	newestVersionMember    string // member with the highest version, "" for none above self
	probeOrder             []string
	pendingProbes          []probe
	indirectProbes         []indirectProbe
	nextProbe              time.Duration
	seedAttempts           int // probes of seeds since somebody was last known
	nextRumor              time.Duration
	nextSync               time.Duration
	lastProbeSequence      uint64
	revision               uint64
	pendingBroadcasts      []string // keys of records announced here since the last tick
	mergedRecords          []Record
	relayedHeartbeats      []Record // that other instances hear from
	outgoing               []Envelope
}

// Option sets a property of a new Gossiper.
type Option func(*Gossiper)

// WithSeeds sets UDP addresses that are contacted while no member is known, and
// now and then later on.
func WithSeeds(addrs ...string) Option {
	return func(g *Gossiper) { g.seeds = addrs }
}

// WithPeriod sets the time between probes and, with it, how long a silent
// instance is suspected before it is declared dead.
func WithProbePeriod(period, suspicionTimeout time.Duration) Option {
	return func(g *Gossiper) {
		g.probePeriod = period
		g.suspicionTimeout = suspicionTimeout
	}
}

// WithRandom sets the source of the probing order.
func WithRandom(r *rand.Rand) Option {
	return func(g *Gossiper) { g.random = r }
}

// New returns a Gossiper for self. The incarnation must be higher than that of
// any earlier process under the same name.
func New(self Instance, incarnation uint64, opts ...Option) *Gossiper {
	g := &Gossiper{
		self:             self,
		incarnation:      incarnation,
		probePeriod:      DefaultProbePeriod,
		suspicionTimeout: DefaultSuspicionTimeout,
		deadRetention:    DefaultDeadRetention,
		store:            newStore(),
		members:          make(map[string]*Member),
		random:           rand.New(rand.NewPCG(incarnation, 1)),
	}
	for _, o := range opts {
		o(g)
	}
	g.publishSelf()
	return g
}

// Revision rises with every change of a member or record.
func (g *Gossiper) Revision() uint64 {
	return g.revision
}

// Self returns the record body that this instance spreads of itself.
func (g *Gossiper) Self() Instance {
	return g.self
}

// Incarnation returns the incarnation that this instance spreads of itself.
func (g *Gossiper) Incarnation() uint64 {
	return g.incarnation
}

// Update changes what this instance says of itself and spreads it.
func (g *Gossiper) UpdateSelf(change func(Instance) Instance) {
	next := change(g.self)
	if next == g.self {
		return
	}
	g.self = next
	g.publishSelf()
}

func (g *Gossiper) publishSelf() {
	g.sequence++
	body, err := cbor.Marshal(g.self)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	g.store.merge(Record{
		Key:         InstanceKeyPrefix + g.self.Name,
		Incarnation: g.incarnation,
		Sequence:    g.sequence,
		Body:        body,
	})
	g.revision++
}

// Publish spreads a record that is not an instance's. It returns whether the
// record was newer than the one held.
func (g *Gossiper) Publish(r Record) bool {
	if !g.store.merge(r) {
		return false
	}
	g.revision++
	g.mergedRecords = append(g.mergedRecords, r)
	return true
}

// SetSeeds replaces the addresses that are contacted while no member is known.
func (g *Gossiper) SetSeeds(addrs []string) {
	g.seeds = addrs
}

// News returns the records other than instances' that were merged since the last
// call, oldest first.
func (g *Gossiper) TakeMergedRecords() []Record {
	records := g.mergedRecords
	g.mergedRecords = nil
	return records
}

// Forget drops a record locally. Others drop it on their own.
func (g *Gossiper) DeleteRecord(key string) {
	g.store.remove(key)
	g.revision++
}

// Record returns the record of a key that is held.
func (g *Gossiper) Record(key string) (Record, bool) {
	r, ok := g.store.records[key]
	return r, ok
}

// Records calls f for every record whose key begins with prefix.
func (g *Gossiper) EachRecord(prefix string, f func(Record)) {
	for k, r := range g.store.records {
		if strings.HasPrefix(k, prefix) {
			f(r)
		}
	}
}

// Len returns the number of other instances that are known.
func (g *Gossiper) MemberCount() int {
	return len(g.members)
}

// Each calls f for the other instances that are known, in no order, until it is false.
func (g *Gossiper) EachMember(f func(m Member) bool) {
	for _, m := range g.members {
		if !f(*m) {
			return
		}
	}
}

// Members returns the other instances that are known, ordered by name.
func (g *Gossiper) Members() []Member {
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Member returns one other instance by name.
func (g *Gossiper) Member(name string) (Member, bool) {
	m, ok := g.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// aliveCount returns the number of live instances, this one included.
func (g *Gossiper) liveInstanceCount() int {
	return g.aliveMembers + 1
}

// Tick does what is due and returns the messages to send.
func (g *Gossiper) Tick(now time.Duration) []Envelope {
	g.checkProbes(now)
	g.expireMembers(now)
	if now >= g.nextProbe {
		g.nextProbe = now + g.probePeriod
		g.probeNext(now)
	}
	if now >= g.nextRumor && len(g.store.rumors) > 0 {
		g.nextRumor = now + g.probePeriod/4
		g.sendRumors()
	}
	g.sendBroadcasts()
	g.reportVersion(now)
	return g.takeOutgoing()
}

func (g *Gossiper) takeOutgoing() []Envelope {
	out := g.outgoing
	g.outgoing = nil
	return out
}

func (g *Gossiper) enqueue(to string, m Message) {
	m.From = g.self.Name
	m.StoreDigest = g.store.digest
	m.ConfigVersion = g.self.ConfigVersion
	g.outgoing = append(g.outgoing, Envelope{To: to, Message: m})
}

// withRumors sends a message with as many rumours as fit.
func (g *Gossiper) enqueueWithRumors(to string, m Message) {
	m.Records = g.store.takeRumors(maxRecordBytes, g.liveInstanceCount())
	g.enqueue(to, m)
}

func (g *Gossiper) sendProbe(now time.Duration, name, to string) {
	n := g.nextProbeSequence()
	g.pendingProbes = append(g.pendingProbes, probe{sequence: n, member: name, sentAt: now})
	m := Message{Kind: KindPing, Sequence: n}
	if r := g.store.records[InstanceKeyPrefix+name]; r.Liveness != LivenessSelfReported {
		m.Records = append(m.Records, r) // lets it refute
	}
	m.Records = append(m.Records, g.store.takeRumors(maxRecordBytes-MaxBodySize, g.liveInstanceCount())...)
	g.enqueue(to, m)
}

func (g *Gossiper) sendRumors() {
	for _, to := range g.randomAliveAddresses(rumorFanout) {
		records := g.store.takeRumors(maxRecordBytes, g.liveInstanceCount())
		if len(records) == 0 {
			return
		}
		g.enqueue(to, Message{Kind: KindRecords, Records: records})
	}
}

// anyAlive returns the addresses of at most n live members, drawn at random.
func (g *Gossiper) randomAliveAddresses(n int) []string {
	var addresses []string
	for _, m := range g.members {
		if m.Alive() {
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

// Depart returns the messages that tell others this instance has stopped, so that
// they need not find out.
func (g *Gossiper) Leave() []Envelope {
	const maxRecipients = 16 // the others hear of it from these
	r := g.store.records[InstanceKeyPrefix+g.self.Name]
	r.Liveness = LivenessDead
	for _, m := range g.Members() {
		if m.Alive() && len(g.outgoing) < maxRecipients {
			g.enqueue(m.PeerAddress, Message{Kind: KindRecords, Records: []Record{r}})
		}
	}
	return g.takeOutgoing()
}

// Handle takes in a message that arrived from the UDP address from, and returns
// the messages to send. The message must have passed Validate.
func (g *Gossiper) Handle(now time.Duration, from string, m Message) []Envelope {
	if m.From == g.self.Name {
		return nil
	}
	g.handleRecords(now, m)
	if sender, ok := g.members[m.From]; ok {
		sender.LastContact = now
		g.noteVersion(sender, m.ConfigVersion)
	}
	switch m.Kind {
	case KindPing:
		g.enqueueWithRumors(from, Message{Kind: KindAck, Sequence: m.Sequence})
	case KindAck:
		g.handleAck(m)
	case KindPingRequest:
		g.handlePingRequest(now, from, m)
	case KindBucketDigests:
		g.handleBucketDigests(from, m)
	default:
	}
	g.compareDigest(now, from, m)
	return g.takeOutgoing()
}

// takeIn takes in the records of a message.
func (g *Gossiper) handleRecords(now time.Duration, m Message) {
	if m.Kind == KindHeartbeatRelay {
		g.relayedHeartbeats = append(g.relayedHeartbeats, m.Records...)
		return
	}
	for _, r := range m.Records {
		g.mergeRecord(now, r)
		if m.Kind == KindBroadcast {
			g.store.limitRumor(r, g.liveInstanceCount())
		}
	}
}

// compare asks for the records that differ when the sender's digest is another one.
// Rumours that are under way may explain it, so a known sender is asked only now and
// then; it is asked even so, because rumours may never end.
func (g *Gossiper) compareDigest(now time.Duration, from string, m Message) {
	if m.StoreDigest == g.store.digest || m.Kind == KindBucketDigests || now < g.nextSync {
		return
	}
	_, known := g.members[m.From]
	if known && len(g.store.rumors) > 0 && now < g.nextSync+syncRumorDelay {
		return
	}
	g.nextSync = now + syncInterval
	g.enqueue(from, Message{Kind: KindBucketDigests, Sequence: 1, BucketDigests: g.store.bucketDigests[:]})
}

// answerBuckets sends the records of differing buckets and, the first time, our
// own digests, so that the exchange goes both ways.
func (g *Gossiper) handleBucketDigests(from string, m Message) {
	offset := g.random.IntN(1 << 16)
	records := g.store.recordsInDifferingBuckets(m.BucketDigests, maxSyncMessages*maxRecordBytes, offset)
	for _, batch := range batchRecords(records) {
		g.enqueue(from, Message{Kind: KindRecords, Records: batch})
	}
	if m.Sequence == 1 {
		g.enqueue(from, Message{Kind: KindBucketDigests, BucketDigests: g.store.bucketDigests[:]})
	}
}

// accept merges a record and keeps the members in step. A word about this
// instance that is newer than its own is refuted.
func (g *Gossiper) mergeRecord(now time.Duration, r Record) {
	if r.Key == InstanceKeyPrefix+g.self.Name {
		g.refute(r)
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
	if m.Alive() {
		g.aliveMembers--
	}
	if r.Liveness != LivenessDead {
		g.aliveMembers++
	}
	body.ConfigVersion = max(body.ConfigVersion, m.ConfigVersion)
	if !ok || m.Liveness != r.Liveness || m.Incarnation != r.Incarnation {
		m.LivenessSince = now
	}
	m.Instance = body
	m.Incarnation = r.Incarnation
	m.Liveness = r.Liveness
	g.noteVersion(m, body.ConfigVersion)
}

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
