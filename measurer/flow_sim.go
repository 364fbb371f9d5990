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
	tickInterval             = 100 * time.Millisecond
	imbalanceSampleInterval  = time.Second
	minRetransmitDelay       = 200 * time.Millisecond
	maxRetransmitDelay       = 10 * time.Second
	maxRetransmits           = 12
	syncInterval             = 500 * time.Millisecond
	syncOverheadBytes        = 52     // of a datagram beside its records
	defaultReplicationBudget = 3072.0 // bytes a second
	meanShortFlowDuration    = 200 * time.Millisecond
	datagramLossRate         = 0.0005 // of the datagrams between instances are lost
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
	key              parser.FlowKey
	openedAt         time.Duration
	endsAt           time.Duration
	target           int32 // that answered the opening packet, or -1
	callerDataCentre int32 // data centre whose side the caller is on
	state            flowState
	service          uint8
	cutOff           bool // a partition has kept a packet from its target
	synSequence      uint32
}

// sim is one run.
type flowSim struct {
	*cluster
	settings             Settings
	policy               Policy
	now                  time.Duration
	events               eventQueue
	random               *rand.Rand
	flows                []flow
	report               Report
	newFlowRate          float64 // new flows a second, of all services
	heavyTailedDurations bool    // lengths with a heavy tail
	shortFlowShare       float64 // share of new flows that end within a second
	weightedServices     []int   // of the service of the next flow, by share
	opensFlows           bool
	maxPropagation       time.Duration
	reportedLoads        map[string]int // as reported a second ago
	measuredSince        time.Duration  // of measuring
	lastFailureAt        time.Duration  // when something last failed
	imbalanceSums        imbalanceSums
	excludedTargets      map[int]bool // targets left out of the balance
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

func newFlowSim(settings Settings, d Deployment) *flowSim {
	s := &flowSim{
		cluster: newCluster(d, spareTargetsPerService), settings: settings, policy: settings.Policy, opensFlows: true, maxPropagation: maxPropagationDelay,
		random: rand.New(rand.NewPCG(settings.Seed, 0x616c6d6f6e64)), reportedLoads: make(map[string]int), excludedTargets: make(map[int]bool),
	}
	connections := 0
	for serviceIndex, svc := range d.Services {
		total := int(float64(svc.Targets*svc.ConnectionsPerTarget) * settings.ConnectionScale)
		connections += total
		for range svc.Targets {
			s.weightedServices = append(s.weightedServices, serviceIndex)
		}
	}
	s.newFlowRate = float64(connections) / d.MeanFlowDuration.Seconds()
	for i := range s.instances {
		s.startInstance(i)
	}
	s.openInitialFlows(connections)
	s.events.schedule(0, eventOpenFlow)
	s.events.schedule(0, eventSampleImbalance)
	return s
}

// spareTargets of each service can join during a run.
const spareTargetsPerService = 1

// boot starts an instance with an empty table and what is true as its belief.
func (s *flowSim) startInstance(i int) {
	inst := s.instances[i]
	inst.incarnation++
	inst.running = true
	inst.receivesFabricTraffic = true
	inst.known = s.actual.clone()
	inst.flowPicker = newFlowPicker(s.policy, s.settings.Seed, s.settings.ReplicationWindow, func(t string) int { return s.reportedLoads[t] })
	s.updateView(i)
	e := s.events.schedule(s.now+time.Duration(s.random.Int64N(int64(tickInterval))), eventTick)
	e.receiver, e.retransmits = int32(i), uint8(inst.incarnation)
}

// refresh hands an instance the view that its belief gives.
func (s *flowSim) updateView(i int) {
	inst := s.instances[i]
	if !inst.running {
		return
	}
	services := s.pickerServices(inst.known, s.policy)
	if b, ok := inst.flowPicker.(*baselinePicker); ok {
		b.setServices(services)
		return
	}
	inst.flowPicker.SetView(s.now, picker.NewView(inst.id, s.pickerMembers(inst.known), services))
}

// populate opens the flows that are there from the beginning, within some seconds.
func (s *flowSim) openInitialFlows(n int) {
	const openingPeriod = 5 * time.Second
	for range n {
		s.scheduleFlow(time.Duration(s.random.Int64N(int64(openingPeriod))))
	}
}

// newFlow makes a flow that opens at a time.
func (s *flowSim) scheduleFlow(at time.Duration) {
	flowIndex := uint32(len(s.flows))
	service := s.weightedServices[s.random.IntN(len(s.weightedServices))]
	var key parser.FlowKey
	key.CallerIP = netip.AddrFrom4([4]byte{198, byte(flowIndex >> 24), byte(flowIndex >> 16), byte(flowIndex >> 8)}).As16()
	key.CallerPort = uint16(1024 + flowIndex&0xff)
	key.ServiceIP = serviceAddress(service).Addr().As16()
	key.ServicePort = serviceAddress(service).Port()
	key.Protocol = parser.ProtocolTCP
	s.flows = append(s.flows, flow{
		key: key, openedAt: at, endsAt: at + s.drawFlowDuration(), target: -1, service: uint8(service), synSequence: s.random.Uint32(),
		callerDataCentre: int32(s.random.IntN(s.deployment.DataCentres)),
	})
	e := s.events.schedule(at, eventCallerSends)
	e.flowIndex, e.packet = int32(flowIndex), packetOpen
	s.report.FlowsOpened++
}

// length draws how long a flow lasts: exponential, or with a heavy tail of the same
// mean.
func (s *flowSim) drawFlowDuration() time.Duration {
	mean := float64(s.deployment.MeanFlowDuration)
	if s.shortFlowShare > 0 && s.random.Float64() < s.shortFlowShare {
		return time.Duration(s.random.ExpFloat64() * float64(meanShortFlowDuration))
	}
	if !s.heavyTailedDurations {
		return time.Duration(s.random.ExpFloat64() * mean)
	}
	const shape = 1.5 // Pareto
	u := 1 - s.random.Float64()
	scale := mean * (shape - 1) / shape
	return time.Duration(min(scale*pow(u, -1/shape), 30*mean))
}

func (s *flowSim) run(until time.Duration) {
	for {
		e := s.events.pop()
		if e == nil || e.at > until {
			break
		}
		s.now = e.at
		s.handle(e)
		s.events.recycle(e)
	}
	s.now = until
}

func (s *flowSim) handle(e *event) {
	switch e.kind {
	case eventOpenFlow:
		s.openNextFlow()
	case eventCallerSends:
		s.sendFromCaller(e)
	case eventFabricPacket, eventRelayedPacket:
		s.handleInstancePacket(e)
	case eventTargetPacket:
		s.deliverToTarget(e)
	case eventHint:
		if s.instances[e.receiver].running {
			s.instances[e.receiver].flowPicker.ApplyHint(s.now, e.hint)
		}
	case eventSync:
		if s.instances[e.receiver].running {
			s.instances[e.receiver].flowPicker.ApplySync(s.now, s.instances[e.sender].id, e.sync)
		}
	case eventTick:
		s.tickInstance(int(e.receiver), int(e.retransmits))
	case eventSampleImbalance:
		s.sampleImbalance()
	case eventCallback:
		e.callback()
	}
}

func (s *flowSim) openNextFlow() {
	if s.opensFlows {
		s.scheduleFlow(s.now)
	}
	gap := time.Duration(s.random.ExpFloat64() / s.newFlowRate * float64(time.Second))
	s.events.schedule(s.now+gap, eventOpenFlow)
}

// send has a caller hand the next packet of its flow to the fabric.
func (s *flowSim) sendFromCaller(e *event) {
	f := &s.flows[e.flowIndex]
	if f.state == flowEnded {
		return
	}
	to, ok := s.pickIngress(f)
	if !ok {
		s.retransmit(e)
		return
	}
	next := s.events.schedule(s.now+s.deployment.CallerDelay, eventFabricPacket)
	next.receiver, next.flowIndex, next.packet, next.retransmits = int32(to), e.flowIndex, e.packet, e.retransmits
}

// spray draws the instance that the fabric hands a packet to, among those on the
// caller's side.
func (s *flowSim) pickIngress(f *flow) (int, bool) {
	n := len(s.instances)
	start := s.random.IntN(n)
	for i := range n {
		index := (start + i) % n
		inst := s.instances[index]
		if inst.receivesFabricTraffic && s.reachable(inst.dataCentre, int(f.callerDataCentre)) {
			return index, true
		}
	}
	return 0, false
}

func (s *flowSim) buildPacket(e *event) parser.Packet {
	f := &s.flows[e.flowIndex]
	p := parser.Packet{Key: f.key, TCPSequence: f.synSequence}
	p.SYN = e.packet == packetOpen
	p.FINOrRST = e.packet == packetClose
	return p
}

// arrive has an instance decide about a packet.
func (s *flowSim) handleInstancePacket(e *event) {
	inst := s.instances[e.receiver]
	if !inst.running {
		s.retransmit(e)
		return
	}
	var d picker.Decision
	p := s.buildPacket(e)
	if e.kind == eventFabricPacket {
		s.report.fabricPackets++
		d = inst.flowPicker.HandlePacket(s.now, &p)
	} else {
		d = inst.flowPicker.HandleRelayed(s.now, &p, e.relayHeader)
	}
	switch d.Verdict {
	case picker.Forward:
		s.sendHints(inst, d)
		s.forwardToTarget(e, inst, d)
	case picker.Relay:
		s.report.relayedPackets++
		s.relayToInstance(e, inst, d)
	case picker.Refuse:
		s.handleRefusal(e)
	default:
		s.retransmit(e)
	}
}

func (s *flowSim) forwardToTarget(e *event, inst *instance, d picker.Decision) {
	to := s.targetByEndpoint[d.Endpoint]
	t := s.targets[to]
	if !t.alive {
		f := &s.flows[e.flowIndex]
		if f.target == int32(to) {
			s.recordBrokenFlow(f, causeTargetFailed)
			return
		}
		s.retransmit(e)
		return
	}
	if !s.reachable(inst.dataCentre, t.dataCentre) {
		if f := &s.flows[e.flowIndex]; f.target == int32(to) {
			f.cutOff = true
		}
		s.retransmit(e)
		return
	}
	next := s.events.schedule(s.now+s.deployment.InternalDelay, eventTargetPacket)
	next.receiver, next.flowIndex, next.packet, next.retransmits = int32(to), e.flowIndex, e.packet, e.retransmits
}

func (s *flowSim) relayToInstance(e *event, inst *instance, d picker.Decision) {
	to, ok := s.findInstance(d.RelayTo)
	if !ok || !s.reachable(inst.dataCentre, s.instances[to].dataCentre) || s.drawDatagramLoss() {
		s.retransmit(e)
		return
	}
	next := s.events.schedule(s.now+s.deployment.InternalDelay, eventRelayedPacket)
	next.receiver, next.flowIndex, next.packet, next.retransmits, next.relayHeader = int32(to), e.flowIndex, e.packet, e.retransmits, d.RelayHeader
}

func (s *flowSim) drawDatagramLoss() bool {
	return s.random.Float64() < datagramLossRate
}

func (s *flowSim) findInstance(id picker.MemberID) (int, bool) {
	for i, inst := range s.instances {
		if inst.id == id {
			return i, true
		}
	}
	return 0, false
}

// hints sends the hints that a decision asks for at once.
func (s *flowSim) sendHints(inst *instance, d picker.Decision) {
	send := func(to picker.MemberID, h picker.Hint) {
		const hintBytes = parser.GeneveHeaderSize + parser.GeneveOptionHeaderSize + 32
		s.countControlBytes(inst, hintBytes)
		s.sendToInstance(inst, to, eventHint, func(e *event) { e.hint = h })
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
		for _, id := range inst.flowPicker.OtherMembers() {
			send(id, d.Hint)
		}
	}
}

// message delivers something to another instance if it can be reached.
func (s *flowSim) sendToInstance(inst *instance, to picker.MemberID, k eventKind, fill func(*event)) {
	i, ok := s.findInstance(to)
	if !ok || !s.reachable(inst.dataCentre, s.instances[i].dataCentre) || s.drawDatagramLoss() {
		return
	}
	e := s.events.schedule(s.now+s.deployment.InternalDelay, k)
	e.receiver = int32(i)
	fill(e)
}

func (s *flowSim) countControlBytes(inst *instance, bytes float64) {
	inst.controlBytes += bytes
	if s.now >= s.measuredSince {
		s.report.controlBytes += bytes
	}
}

// tick does the periodic work of an instance, as the flow door does.
func (s *flowSim) tickInstance(i, incarnation int) {
	inst := s.instances[i]
	if !inst.running || inst.incarnation&0xff != incarnation {
		return
	}
	inst.flowPicker.Tick(s.now)
	if s.now >= inst.nextSyncAt {
		inst.nextSyncAt = s.now + syncInterval
		s.sendSyncs(i, s.syncRecordLimit(inst))
	}
	e := s.events.schedule(s.now+tickInterval, eventTick)
	e.receiver, e.retransmits = int32(i), uint8(incarnation)
}

// recordLimit keeps the streams of an instance within its budget.
func (s *flowSim) syncRecordLimit(inst *instance) int {
	members := float64(max(1, len(inst.flowPicker.OtherMembers())))
	return max(1, int((s.settings.ReplicationBudget*syncInterval.Seconds()/members-syncOverheadBytes)/messenger.SyncRecordSize))
}

// sync sends every member the next message of the stream of exceptions.
func (s *flowSim) sendSyncs(i, recordLimit int) {
	inst := s.instances[i]
	for _, to := range inst.flowPicker.OtherMembers() {
		m, ok := inst.flowPicker.NextSync(s.now, to, recordLimit)
		if !ok {
			continue
		}
		s.countControlBytes(inst, float64(syncOverheadBytes+len(m.Records)*messenger.SyncRecordSize))
		s.report.syncRecords += len(m.Records)
		s.sendToInstance(inst, to, eventSync, func(e *event) { e.sync, e.sender = m, int32(i) })
	}
}

// at has something done at a time.
func (s *flowSim) scheduleAt(at time.Duration, callback func()) {
	s.events.schedule(at, eventCallback).callback = callback
}
