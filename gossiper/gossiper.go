// Package gossiper maintains the group membership of the instances and replicates small
// records between them. It is a state machine that does no I/O: the caller passes in
// received messages and the current time, and sends the envelopes that are returned. Times
// are durations since a point that the caller chooses, such as its start.
//
// Failure detection follows SWIM. In each probe period an instance pings one other
// member, in the order of a shuffled round. If no ack arrives, two other members are asked
// to ping that member. A member that stays silent is suspected, and declared dead unless
// it refutes the suspicion in time. The load on an instance does not depend on the number
// of instances.
//
// Records spread as rumors: they are piggybacked on probes and, while there are any, also
// sent in rounds of their own. Anti-entropy finds the records that rumors have missed:
// instances compare digests of buckets of records and send each other the records of the
// buckets that differ. Dead members are probed from time to time, so that a healed
// partition is detected.
package gossiper

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Defaults of the options of New, and limits.
const (
	DefaultProbePeriod       = 250 * time.Millisecond
	DefaultSuspicionTimeout  = time.Second            // from the suspicion of a member to its declaration as dead
	DefaultDeadRetention     = 24 * time.Hour         // after which a dead member and its record are deleted
	maxRecordBytes           = 1200                   // bytes of records in one message
	rumorFanout              = 2                      // members that each round of rumors is sent to
	indirectProbeFanout      = 2                      // members that are asked for an indirect probe
	syncInterval             = time.Second            // least time between digest comparisons while records differ
	maxSyncMessages          = 4                      // batches of records in the reply to one digest comparison
	syncRumorDelay           = 500 * time.Millisecond // time for rumors to resolve a difference before digests are compared
	versionReportInterval    = 30 * time.Second       // between version reports while the version stays the same
	versionReportRepeatDelay = 2 * time.Second        // between a report of a new version and its repeats
	versionReportRepeats     = 2                      // repeats of the report of a new version
	minSeedRetryDelay        = 40 * time.Millisecond  // between the first probes of the seeds while no member is known
	maxSeedRetryDelay        = 16 * minSeedRetryDelay // between later ones, because every instance of a deployment may be probing the seeds
	fastSeedRetries          = 25                     // probes of the seeds at minSeedRetryDelay; processes started together are running by then
	maxBroadcastMembers      = 1024                   // in a larger group, records of this instance spread as rumors only
	broadcastRumorSends      = 2                      // times that each receiver of a broadcast record sends it on as a rumor
	versionFanout            = 3                      // members that are sent a new configuration version
	localVersionFanout       = 2                      // of them, random ones of this instance's data centre; the others are of any
)

// Member is the state of another instance as this instance knows it.
type Member struct {
	Instance
	Incarnation   uint64
	Liveness      Liveness
	LivenessSince time.Duration // when the liveness or the incarnation last changed
	LastContact   time.Duration // when the last message from the member arrived
}

// Alive reports whether the member has not been declared dead. A suspected member is alive.
func (m Member) Alive() bool {
	return m.Liveness != LivenessDead
}

// indirectProbe is a ping that this instance sent for another one, which gets the ack.
type indirectProbe struct {
	sequence          uint64 // of the ping from this instance
	requesterAddress  string
	requesterSequence uint64 // of the requester's own probe
	sentAt            time.Duration
}

// Gossiper holds the membership and the records as one instance knows them. It is not safe
// for concurrent use.
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
	members                map[string]*Member // by name
	aliveMembers           int                // number of members that are alive
	aliveLocalMembers      int                // number of those in the data centre of this instance
	nextVersionReport      time.Duration
	versionSubscribers     []string // names of the members that every version report is sent to
	versionChanged         bool     // random members have not been sent the new version yet
	versionReportsToRepeat int      // reports still to be repeated after versionReportRepeatDelay
	newestVersionMember    string   // name of a member with the highest version, which may have died since; "" if unknown
	probeOrder             []string // names still to be probed in this round
	pendingProbes          []probe
	indirectProbes         []indirectProbe
	nextProbe              time.Duration
	seedAttempts           int // probes of the seeds since a member was last alive
	nextRumor              time.Duration
	nextSync               time.Duration
	nextRemoteSync         time.Duration // see mayCompareDigest
	lastProbeSequence      uint64
	revision               uint64
	pendingBroadcasts      []string   // keys of records passed to Broadcast since the last tick
	mergedRecords          []Record   // records to return from TakeMergedRecords
	relayedHeartbeats      []Record   // records to return from TakeRelayedHeartbeats
	evidence               []Evidence // to return from TakeEvidence
	outgoing               []Envelope
}

// Option sets a property of a new Gossiper.
type Option func(*Gossiper)

// WithSeeds sets the UDP addresses that are probed while no member is alive, and from time
// to time later on.
func WithSeeds(addrs ...string) Option {
	return func(g *Gossiper) { g.seeds = addrs }
}

// WithProbePeriod sets the time between probes, and how long a silent instance is suspected
// before it is declared dead.
func WithProbePeriod(period, suspicionTimeout time.Duration) Option {
	return func(g *Gossiper) {
		g.probePeriod = period
		g.suspicionTimeout = suspicionTimeout
	}
}

// WithRandom sets the random source for the probe order and for the choice of receivers.
func WithRandom(r *rand.Rand) Option {
	return func(g *Gossiper) { g.random = r }
}

// New returns a Gossiper for the instance self. The incarnation must be higher than that of
// any earlier process with the same name; refute raises one that is not, once a record of
// the earlier process arrives.
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

// Revision returns a counter that increases with every change of a member or record.
func (g *Gossiper) Revision() uint64 {
	return g.revision
}

// Self returns the body of this instance's own record.
func (g *Gossiper) Self() Instance {
	return g.self
}

// Incarnation returns the incarnation of this instance's own record.
func (g *Gossiper) Incarnation() uint64 {
	return g.incarnation
}

// UpdateSelf replaces the body of this instance's own record by the result of change and
// publishes the record if the body differs.
func (g *Gossiper) UpdateSelf(change func(Instance) Instance) {
	next := change(g.self)
	if next == g.self {
		return
	}
	g.self = next
	g.publishSelf()
}

// publishSelf starts a rumor of this instance's own record with the next sequence number.
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

// Publish merges a record whose key is not an instance's and spreads it as a rumor. It
// reports whether the record superseded the stored one.
func (g *Gossiper) Publish(r Record) bool {
	if !g.store.merge(r) {
		return false
	}
	g.revision++
	g.mergedRecords = append(g.mergedRecords, r)
	return true
}

// SetSeeds replaces the seed addresses; see WithSeeds.
func (g *Gossiper) SetSeeds(addrs []string) {
	g.seeds = addrs
}

// TakeMergedRecords returns and clears the records, other than those of instances, that were
// merged since the last call, oldest first.
func (g *Gossiper) TakeMergedRecords() []Record {
	records := g.mergedRecords
	g.mergedRecords = nil
	return records
}

// DeleteRecord deletes the record of a key from this instance only. The deletion does not
// spread: each instance has to delete the record by itself.
func (g *Gossiper) DeleteRecord(key string) {
	g.store.remove(key)
	g.revision++
}

// Record returns the stored record of a key.
func (g *Gossiper) Record(key string) (Record, bool) {
	r, ok := g.store.records[key]
	return r, ok
}

// EachRecord calls f for every stored record whose key begins with prefix, in no order.
func (g *Gossiper) EachRecord(prefix string, f func(Record)) {
	for k, r := range g.store.records {
		if strings.HasPrefix(k, prefix) {
			f(r)
		}
	}
}

// MemberCount returns the number of other instances that are known, dead ones included.
func (g *Gossiper) MemberCount() int {
	return len(g.members)
}

// EachMember calls f for every other instance that is known, in no order, until f returns
// false.
func (g *Gossiper) EachMember(f func(m Member) bool) {
	for _, m := range g.members {
		if !f(*m) {
			return
		}
	}
}

// Members returns the other instances that are known, dead ones included, sorted by name.
func (g *Gossiper) Members() []Member {
	out := make([]Member, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Member returns the state of another instance by name.
func (g *Gossiper) Member(name string) (Member, bool) {
	m, ok := g.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// liveInstanceCount returns the number of live instances, this one included.
func (g *Gossiper) liveInstanceCount() int {
	return g.aliveMembers + 1
}

// Tick sends the probes, rumors, broadcasts and version reports that are due, expires silent
// members, and returns the messages to send.
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

// Handle processes a message that arrived from the UDP address from, and returns the
// messages to send. The message must have passed Validate.
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
		g.enqueueWithRumors(m.From, from, Message{Kind: KindAck, Sequence: m.Sequence})
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

// handleRecords merges the records of a message. Relayed heartbeats and evidence are collected for
// TakeRelayedHeartbeats and TakeEvidence instead.
func (g *Gossiper) handleRecords(now time.Duration, m Message) {
	if m.Kind == KindHeartbeatRelay {
		g.relayedHeartbeats = append(g.relayedHeartbeats, m.Records...)
		return
	}
	if m.Kind == KindEvidence {
		for _, r := range m.Records {
			g.evidence = append(g.evidence, Evidence{From: m.From, Record: r})
		}
		return
	}
	for _, r := range m.Records {
		g.mergeRecord(now, r)
		if m.Kind == KindBroadcast {
			g.store.limitRumor(r, g.liveInstanceCount())
		}
	}
}

// compareDigest starts a comparison of bucket digests when the sender's store digest differs
// from this instance's. Rumors that have not arrived yet may be the reason, so with a known
// sender the comparison waits another syncRumorDelay while there are rumors. It is not
// deferred further, because there may always be rumors.
func (g *Gossiper) compareDigest(now time.Duration, from string, m Message) {
	if m.StoreDigest == g.store.digest || m.Kind == KindBucketDigests || now < g.nextSync || !g.mayCompareDigest(now, m.From) {
		return
	}
	_, known := g.members[m.From]
	if known && len(g.store.rumors) > 0 && now < g.nextSync+syncRumorDelay {
		return
	}
	g.nextSync = now + syncInterval
	if g.avoids(m.From) {
		g.nextRemoteSync = now + remoteSyncInterval
	}
	g.enqueue(from, Message{Kind: KindBucketDigests, Sequence: 1, BucketDigests: g.store.bucketDigests[:]})
}

// handleBucketDigests sends the records of the buckets that differ. To the first message of a
// comparison, which has sequence 1, it also replies with the digests of this instance, so
// that records are exchanged in both directions.
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
