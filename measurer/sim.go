// Package measurer plays scenarios through in virtual time: it drives the decision
// packages with packets, messages and failures from one seeded loop, and reports
// what became of every flow. The same seed gives the same report to the byte.
package measurer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"almondpick/messenger"
	"almondpick/parser"
	"almondpick/picker"
)

const (
	tickEvery       = 100 * time.Millisecond
	sampleEvery     = time.Second
	firstRetry      = 200 * time.Millisecond
	lastRetry       = 10 * time.Second
	mostRetries     = 12
	syncEvery       = 500 * time.Millisecond
	syncBytes       = 52     // of a datagram beside its records
	defaultBudget   = 3072.0 // bytes a second
	shortLength     = 200 * time.Millisecond
	messageLossPart = 0.0005 // of the datagrams between instances are lost
)

// packetKind is the part that a packet plays in its flow.
type packetKind uint8

const (
	packetOpen packetKind = iota
	packetData
	packetClose
)

// flowState is how far a flow is.
type flowState uint8

const (
	flowOpening flowState = iota
	flowOpen
	flowEnded
)

// flow is one flow as its caller and the targets see it.
type flow struct {
	key    parser.FlowKey
	opened time.Duration
	ends   time.Duration
	target int32 // that answered the opening packet, or -1
	caller int32 // data centre whose side the caller is on
	state  flowState
	svc    uint8
	cut    bool // a partition has kept a packet from its target
	seq    uint32
}

// sim is one run.
type sim struct {
	*world
	set     Settings
	policy  Policy
	now     time.Duration
	queue   queue
	random  *rand.Rand
	flows   []flow
	report  Report
	rate    float64 // new flows a second, of all services
	heavy   bool    // lengths with a heavy tail
	short   float64 // share of new flows that end within a second
	slots   []int   // of the service of the next flow, by share
	opening bool
	lagMost time.Duration
	loads   map[string]int // as reported a second ago
	started time.Duration  // of measuring
	failed  time.Duration  // when something last failed
	samples samples
	unfair  map[int]bool // targets left out of the balance
}

// Settings choose what is run.
type Settings struct {
	Scenario          string
	Deployment        string
	Policy            Policy
	Seed              uint64
	ReplicationWindow time.Duration
	ReplicationBudget float64       // bytes a second an instance
	Duration          time.Duration // 0 for that of the scenario
	ConnectionScale   float64       // of the connections, 1 for all
}

func newSim(set Settings, d Deployment) *sim {
	s := &sim{
		world: newWorld(d, spareTargets), set: set, policy: set.Policy, opening: true, lagMost: newsMost,
		random: rand.New(rand.NewPCG(set.Seed, 0x616c6d6f6e64)), loads: make(map[string]int), unfair: make(map[int]bool),
	}
	connections := 0
	for n, svc := range d.Services {
		total := int(float64(svc.Targets*svc.ConnectionsPerTarget) * set.ConnectionScale)
		connections += total
		for range svc.Targets {
			s.slots = append(s.slots, n)
		}
	}
	s.rate = float64(connections) / d.MeanFlowDuration.Seconds()
	for i := range s.instances {
		s.boot(i)
	}
	s.populate(connections)
	s.queue.add(0, evOpen)
	s.queue.add(0, evSample)
	return s
}

// spareTargets of each service can join during a run.
const spareTargets = 1

// boot starts an instance with an empty table and what is true as its belief.
func (s *sim) boot(i int) {
	one := s.instances[i]
	one.life++
	one.running = true
	one.fabric = true
	one.believes = s.truth.clone()
	one.decider = newDecider(s.policy, s.set.Seed, s.set.ReplicationWindow, func(t string) int { return s.loads[t] })
	s.refresh(i)
	e := s.queue.add(s.now+time.Duration(s.random.Int64N(int64(tickEvery))), evTick)
	e.who, e.tries = int32(i), uint8(one.life)
}

// refresh hands an instance the view that its belief gives.
func (s *sim) refresh(i int) {
	one := s.instances[i]
	if !one.running {
		return
	}
	services := s.services(one.believes, s.policy)
	if b, ok := one.decider.(*baseline); ok {
		b.setServices(services)
		return
	}
	one.decider.SetView(s.now, picker.NewView(one.id, s.members(one.believes), services))
}

// populate opens the flows that are there from the beginning, within some seconds.
func (s *sim) populate(n int) {
	const within = 5 * time.Second
	for range n {
		s.newFlow(time.Duration(s.random.Int64N(int64(within))))
	}
}

// newFlow makes a flow that opens at a time.
func (s *sim) newFlow(at time.Duration) {
	n := uint32(len(s.flows))
	svc := s.slots[s.random.IntN(len(s.slots))]
	var k parser.FlowKey
	k.CallerIP = netip.AddrFrom4([4]byte{198, byte(n >> 24), byte(n >> 16), byte(n >> 8)}).As16()
	k.CallerPort = uint16(1024 + n&0xff)
	k.ServiceIP = serviceAddress(svc).Addr().As16()
	k.ServicePort = serviceAddress(svc).Port()
	k.Protocol = parser.ProtocolTCP
	s.flows = append(s.flows, flow{
		key: k, opened: at, ends: at + s.length(), target: -1, svc: uint8(svc), seq: s.random.Uint32(),
		caller: int32(s.random.IntN(s.size.DataCentres)),
	})
	e := s.queue.add(at, evSend)
	e.flow, e.packet = int32(n), packetOpen
	s.report.FlowsOpened++
}

// length draws how long a flow lasts: exponential, or with a heavy tail of the same
// mean.
func (s *sim) length() time.Duration {
	mean := float64(s.size.MeanFlowDuration)
	if s.short > 0 && s.random.Float64() < s.short {
		return time.Duration(s.random.ExpFloat64() * float64(shortLength))
	}
	if !s.heavy {
		return time.Duration(s.random.ExpFloat64() * mean)
	}
	const shape = 1.5 // Pareto
	u := 1 - s.random.Float64()
	scale := mean * (shape - 1) / shape
	return time.Duration(min(scale*pow(u, -1/shape), 30*mean))
}

func (s *sim) run(until time.Duration) {
	for {
		e := s.queue.next()
		if e == nil || e.at > until {
			break
		}
		s.now = e.at
		s.handle(e)
		s.queue.recycle(e)
	}
	s.now = until
}

func (s *sim) handle(e *event) {
	switch e.kind {
	case evOpen:
		s.open()
	case evSend:
		s.send(e)
	case evArrive, evRelay:
		s.arrive(e)
	case evTarget:
		s.deliver(e)
	case evHint:
		if s.instances[e.who].running {
			s.instances[e.who].decider.ApplyHint(s.now, e.hint)
		}
	case evSync:
		if s.instances[e.who].running {
			s.instances[e.who].decider.ApplySync(s.now, s.instances[e.from].id, e.sync)
		}
	case evTick:
		s.tick(int(e.who), int(e.tries))
	case evSample:
		s.sample()
	case evAction:
		e.action()
	}
}

func (s *sim) open() {
	if s.opening {
		s.newFlow(s.now)
	}
	gap := time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	s.queue.add(s.now+gap, evOpen)
}

// send has a caller hand the next packet of its flow to the fabric.
func (s *sim) send(e *event) {
	f := &s.flows[e.flow]
	if f.state == flowEnded {
		return
	}
	to, ok := s.spray(f)
	if !ok {
		s.retry(e)
		return
	}
	next := s.queue.add(s.now+s.size.CallerDelay, evArrive)
	next.who, next.flow, next.packet, next.tries = int32(to), e.flow, e.packet, e.tries
}

// spray draws the instance that the fabric hands a packet to, among those on the
// caller's side.
func (s *sim) spray(f *flow) (int, bool) {
	n := len(s.instances)
	start := s.random.IntN(n)
	for i := range n {
		at := (start + i) % n
		one := s.instances[at]
		if one.fabric && s.reach(one.dataCentre, int(f.caller)) {
			return at, true
		}
	}
	return 0, false
}

func (s *sim) packetOf(e *event) parser.Packet {
	f := &s.flows[e.flow]
	p := parser.Packet{Key: f.key, TCPSequence: f.seq}
	p.SYN = e.packet == packetOpen
	p.FINOrRST = e.packet == packetClose
	return p
}

// arrive has an instance decide about a packet.
func (s *sim) arrive(e *event) {
	one := s.instances[e.who]
	if !one.running {
		s.retry(e)
		return
	}
	var d picker.Decision
	p := s.packetOf(e)
	if e.kind == evArrive {
		s.report.packets++
		d = one.decider.HandlePacket(s.now, &p)
	} else {
		d = one.decider.HandleRelayed(s.now, &p, e.trail)
	}
	switch d.Verdict {
	case picker.Forward:
		s.hints(one, d)
		s.forward(e, one, d)
	case picker.Relay:
		s.report.relayed++
		s.relay(e, one, d)
	case picker.Refuse:
		s.refused(e)
	default:
		s.retry(e)
	}
}

func (s *sim) forward(e *event, one *instance, d picker.Decision) {
	to := s.byAddress[d.Endpoint]
	t := s.targets[to]
	if !t.alive {
		f := &s.flows[e.flow]
		if f.target == int32(to) {
			s.broken(f, causeTarget)
			return
		}
		s.retry(e)
		return
	}
	if !s.reach(one.dataCentre, t.dataCentre) {
		if f := &s.flows[e.flow]; f.target == int32(to) {
			f.cut = true
		}
		s.retry(e)
		return
	}
	next := s.queue.add(s.now+s.size.InternalDelay, evTarget)
	next.who, next.flow, next.packet, next.tries = int32(to), e.flow, e.packet, e.tries
}

func (s *sim) relay(e *event, one *instance, d picker.Decision) {
	to, ok := s.find(d.RelayTo)
	if !ok || !s.reach(one.dataCentre, s.instances[to].dataCentre) || s.lossy() {
		s.retry(e)
		return
	}
	next := s.queue.add(s.now+s.size.InternalDelay, evRelay)
	next.who, next.flow, next.packet, next.tries, next.trail = int32(to), e.flow, e.packet, e.tries, d.RelayHeader
}

func (s *sim) lossy() bool {
	return s.random.Float64() < messageLossPart
}

func (s *sim) find(id picker.MemberID) (int, bool) {
	for i, one := range s.instances {
		if one.id == id {
			return i, true
		}
	}
	return 0, false
}

// hints sends the hints that a decision asks for at once.
func (s *sim) hints(one *instance, d picker.Decision) {
	send := func(to picker.MemberID, h picker.Hint) {
		const hintBytes = parser.GeneveHeaderSize + parser.GeneveOptionHeaderSize + 32
		s.spend(one, hintBytes)
		s.message(one, to, evHint, func(e *event) { e.hint = h })
	}
	if d.HintToIngress != 0 {
		send(d.HintToIngress, d.Hint)
	}
	if d.HintToLookupOwner != 0 {
		h := d.Hint
		h.ReceiverOwnsFlow = true
		send(d.HintToLookupOwner, h)
	}
	if d.HintToTargetDataCentre != 0 {
		send(d.HintToTargetDataCentre, d.Hint)
	}
	if d.HintToAllMembers {
		for _, id := range one.decider.OtherMembers() {
			send(id, d.Hint)
		}
	}
}

// message delivers something to another instance if it can be reached.
func (s *sim) message(one *instance, to picker.MemberID, k kind, fill func(*event)) {
	i, ok := s.find(to)
	if !ok || !s.reach(one.dataCentre, s.instances[i].dataCentre) || s.lossy() {
		return
	}
	e := s.queue.add(s.now+s.size.InternalDelay, k)
	e.who = int32(i)
	fill(e)
}

func (s *sim) spend(one *instance, bytes float64) {
	one.bytes += bytes
	if s.now >= s.started {
		s.report.controlBytes += bytes
	}
}

// tick does the periodic work of an instance, as the flow door does.
func (s *sim) tick(i, life int) {
	one := s.instances[i]
	if !one.running || one.life&0xff != life {
		return
	}
	one.decider.Tick(s.now)
	if s.now >= one.nextSync {
		one.nextSync = s.now + syncEvery
		s.sync(i, s.recordLimit(one))
	}
	e := s.queue.add(s.now+tickEvery, evTick)
	e.who, e.tries = int32(i), uint8(life)
}

// recordLimit keeps the streams of an instance within its budget.
func (s *sim) recordLimit(one *instance) int {
	members := float64(max(1, len(one.decider.OtherMembers())))
	return max(1, int((s.set.ReplicationBudget*syncEvery.Seconds()/members-syncBytes)/messenger.SyncRecordSize))
}

// sync sends every member the next message of the stream of exceptions.
func (s *sim) sync(i, limit int) {
	one := s.instances[i]
	for _, to := range one.decider.OtherMembers() {
		m, ok := one.decider.NextSync(s.now, to, limit)
		if !ok {
			continue
		}
		s.spend(one, float64(syncBytes+len(m.Records)*messenger.SyncRecordSize))
		s.report.records += len(m.Records)
		s.message(one, to, evSync, func(e *event) { e.sync, e.from = m, int32(i) })
	}
}

// at has something done at a time.
func (s *sim) at(when time.Duration, action func()) {
	s.queue.add(when, evAction).action = action
}
