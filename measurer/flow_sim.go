// Package measurer compares policies of the load balancer by discrete-event simulation.
// A simulation runs a scenario in virtual time: a single loop with a seeded random source
// passes packets, messages and failures to the packages that make the decisions, and a
// Report counts the outcomes. Runs with equal Settings give Reports that are equal to the
// byte.
//
// There are three kinds of scenarios. Flow scenarios simulate callers, instances and
// targets that exchange packets, and run package picker. Slot scenarios simulate requests
// that need a slot on a target, and run package dispatcher. Gossip scenarios simulate the
// membership protocol of many instances, and run package gossiper.
package measurer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"almondpick/messenger"
	"almondpick/parser"
	"almondpick/picker"
)

// Intervals, limits and rates of the flow scenarios.
const (
	tickInterval             = 100 * time.Millisecond
	imbalanceSampleInterval  = time.Second
	minRetransmitDelay       = 200 * time.Millisecond
	maxRetransmitDelay       = 10 * time.Second
	maxRetransmits           = 12
	syncInterval             = 500 * time.Millisecond
	syncOverheadBytes        = 52     // size of a sync datagram without its records
	defaultReplicationBudget = 3072.0 // bytes per second and instance
	meanShortFlowDuration    = 200 * time.Millisecond
	datagramLossRate         = 0.0005 // share of the datagrams between instances that are lost
)

// packetKind says whether a packet opens a flow, closes the flow or carries data.
type packetKind uint8

const (
	packetOpen packetKind = iota
	packetData
	packetClose
)

// flowState is the state of a flow.
type flowState uint8

const (
	flowOpening flowState = iota // no target has received the opening packet yet
	flowOpen
	flowEnded // closed, refused or broken
)

// flow is the actual state of a flow, as its caller and its target know it.
type flow struct {
	key              parser.FlowKey
	openedAt         time.Duration
	endsAt           time.Duration
	target           int32 // index of the target that accepted the opening packet, or -1
	callerDataCentre int32 // the caller reaches the instances that this data centre reaches
	state            flowState
	service          uint8 // index in Deployment.Services
	cutOff           bool  // a packet did not reach the target because of a partition
	synSequence      uint32
}

// flowSim is one run of a flow scenario.
type flowSim struct {
	*cluster
	settings             Settings
	policy               Policy
	now                  time.Duration
	events               eventQueue
	random               *rand.Rand
	flows                []flow
	report               Report
	newFlowRate          float64 // new flows per second, of all services together
	heavyTailedDurations bool    // flow durations follow a Pareto distribution
	shortFlowShare       float64 // share of new flows with a mean duration of meanShortFlowDuration
	weightedServices     []int   // indexes of services; the service of a new flow is drawn from these
	opensFlows           bool
	maxPropagation       time.Duration  // longest delay until an instance learns a planned change
	reportedLoads        map[string]int // open flows by target name, updated once per second
	measuredSince        time.Duration  // end of the warm-up; earlier samples and control bytes do not count
	lastCrashAt          time.Duration  // when an instance last crashed
	imbalanceSums        imbalanceSums
	excludedTargets      map[int]bool // targets that are left out of the imbalance
}

// Settings select the scenario and the policy of a run, and their parameters.
type Settings struct {
	Scenario          string
	Deployment        string
	Policy            Policy
	Seed              uint64
	ReplicationWindow time.Duration // age from which a non-default flow is replicated
	ReplicationBudget float64       // bytes per second and instance; 0 selects the default
	Duration          time.Duration // 0 selects the duration of the scenario
	ConnectionScale   float64       // share of the deployment's connections; 0 means 1, which is all
}

// newFlowSim returns a simulation of d in which all instances run and the initial flows are
// scheduled. Services get new flows in proportion to their numbers of targets.
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

// spareTargetsPerService is the number of targets of each service that are absent at first
// and can join during a run.
const spareTargetsPerService = 1

// startInstance starts or restarts an instance with an empty flow table. The instance
// starts with knowledge of the actual state of the cluster.
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

// updateView passes the state that an instance knows to its flowPicker.
func (s *flowSim) updateView(i int) {
	inst := s.instances[i]
	if !inst.running {
		return
	}
	services := s.pickerServices(inst.known, s.policy)
	if b, ok := inst.flowPicker.(*baseline); ok {
		b.setServices(services)
		return
	}
	inst.flowPicker.SetView(s.now, picker.NewView(inst.id, s.pickerMembers(inst.known), services))
}

// openInitialFlows schedules the n flows that are open from the start. They open at random
// times within openingPeriod.
func (s *flowSim) openInitialFlows(n int) {
	const openingPeriod = 5 * time.Second
	for range n {
		s.scheduleFlow(time.Duration(s.random.Int64N(int64(openingPeriod))))
	}
}

// scheduleFlow adds a flow whose caller sends the opening packet at the given time.
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

// drawFlowDuration draws the duration of a flow from an exponential distribution or, with
// heavyTailedDurations, from a Pareto distribution of the same mean that is cut off at 30
// times the mean.
func (s *flowSim) drawFlowDuration() time.Duration {
	mean := float64(s.deployment.MeanFlowDuration)
	if s.shortFlowShare > 0 && s.random.Float64() < s.shortFlowShare {
		return time.Duration(s.random.ExpFloat64() * float64(meanShortFlowDuration))
	}
	if !s.heavyTailedDurations {
		return time.Duration(s.random.ExpFloat64() * mean)
	}
	const shape = 1.5 // of the Pareto distribution
	u := 1 - s.random.Float64()
	scale := mean * (shape - 1) / shape
	return time.Duration(min(scale*pow(u, -1/shape), 30*mean))
}

// run handles the events up to a time.
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

// openNextFlow opens a flow and schedules its next call after an exponential time, so that
// flows arrive as a Poisson process.
func (s *flowSim) openNextFlow() {
	if s.opensFlows {
		s.scheduleFlow(s.now)
	}
	gap := time.Duration(s.random.ExpFloat64() / s.newFlowRate * float64(time.Second))
	s.events.schedule(s.now+gap, eventOpenFlow)
}

// sendFromCaller sends a packet from a caller into the fabric.
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

// pickIngress draws the instance that receives a packet from the fabric, among those that
// are in the fabric's rotation and in the same partition as the caller.
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

// handleInstancePacket lets an instance decide about a packet, and carries out the decision.
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

// forwardToTarget sends a packet from an instance to the target of the decision. A packet
// of an open flow whose target has failed ends the flow.
func (s *flowSim) forwardToTarget(e *event, inst *instance, d picker.Decision) {
	to := s.targetByEndpoint[d.Endpoint]
	t := s.targets[to]
	if !t.alive {
		f := &s.flows[e.flowIndex]
		if f.target == int32(to) {
			s.abortFlow(f, causeTargetFailed)
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

// sendHints sends the hints of a decision.
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

// sendToInstance sends a message to another instance; fill sets the content of the event.
// The message is lost if the instance is unreachable or the datagram is drawn to be lost.
func (s *flowSim) sendToInstance(inst *instance, to picker.MemberID, kind eventKind, fill func(*event)) {
	i, ok := s.findInstance(to)
	if !ok || !s.reachable(inst.dataCentre, s.instances[i].dataCentre) || s.drawDatagramLoss() {
		return
	}
	e := s.events.schedule(s.now+s.deployment.InternalDelay, kind)
	e.receiver = int32(i)
	fill(e)
}

// countControlBytes counts bytes of hints and sync messages that an instance sends.
func (s *flowSim) countControlBytes(inst *instance, bytes float64) {
	inst.controlBytes += bytes
	if s.now >= s.measuredSince {
		s.report.controlBytes += bytes
	}
}

// tickInstance does the periodic work of an instance, as package forwarder does.
// incarnation is the low byte of the incarnation that scheduled the tick: the ticks of an
// earlier incarnation end.
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

// syncRecordLimit returns the number of records per sync message that keeps the
// replication traffic of an instance within its budget.
func (s *flowSim) syncRecordLimit(inst *instance) int {
	members := float64(max(1, len(inst.flowPicker.OtherMembers())))
	return max(1, int((s.settings.ReplicationBudget*syncInterval.Seconds()/members-syncOverheadBytes)/messenger.SyncRecordSize))
}

// sendSyncs sends every other member the next sync message with records of non-default
// flows.
func (s *flowSim) sendSyncs(i, recordLimit int) {
	inst := s.instances[i]
	for _, to := range inst.flowPicker.OtherMembers() {
		m, ok := inst.flowPicker.NextSync(s.now, to, recordLimit)
		if !ok {
			continue
		}
		s.countControlBytes(inst, float64(syncOverheadBytes+len(m.Records)*messenger.SyncRecordSize))
		s.sendToInstance(inst, to, eventSync, func(e *event) { e.sync, e.sender = m, int32(i) })
	}
}

// scheduleAt schedules a call of callback.
func (s *flowSim) scheduleAt(at time.Duration, callback func()) {
	s.events.schedule(at, eventCallback).callback = callback
}
