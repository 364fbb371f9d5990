package loader

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// FlowGeneratorSettings are the settings of a FlowGenerator.
type FlowGeneratorSettings struct {
	ServiceAddresses []netip.AddrPort
	FlowsPerSecond   float64       // new flows
	MeanFlowDuration time.Duration // of an exponential distribution
	ThinkTime        time.Duration // from the acknowledgement of a segment to the next segment of the flow
}

// Settings of simulated flows.
const (
	flowTickInterval      = 10 * time.Millisecond
	retransmissionTimeout = 300 * time.Millisecond
	maxTimeouts           = 20         // of one segment, before the caller gives the flow up
	callerNetwork         = 0xc6336400 // 198.51.100.0/24, which is reserved for documentation
	firstCallerPort       = 1024
	segmentPayloadSize    = 32 // bytes
)

// callerFlow is the state of one flow at its caller.
type callerFlow struct {
	callerAddress, serviceAddress netip.AddrPort
	established                   bool
	closing                       bool
	nextSeq                       uint32 // of the unacknowledged segment, or of the next one
	unacknowledgedPacket          []byte // encapsulated segment; nil if all are acknowledged
	expectedAck                   uint32 // acknowledgement number for unacknowledgedPacket
	lastSentAt                    time.Time
	timeouts                      int // of unacknowledgedPacket
	nextSegmentAt                 time.Time
	closeAt                       time.Time
}

// FlowGenerator simulates callers that open TCP flows through a fabric. The packets have
// real headers. Each flow has at most one unacknowledged segment, which is retransmitted.
type FlowGenerator struct {
	settings  FlowGeneratorSettings
	clock     Clock
	collector *Collector
	socket    *net.UDPConn
	fabric    *Fabric

	mu              sync.Mutex
	openFlows       map[netip.AddrPort]*callerFlow // by caller address
	openedFlowCount uint32
	flowsDue        float64 // fractional number of flows still to open; at most 100 are carried over to the next tick
	lastTickAt      time.Time
	opensFlows      bool // false before Start and after Finish
	done            chan struct{}
	goroutines      sync.WaitGroup
}

// ListenForReplies opens the UDP socket to which targets send the packets for callers.
func ListenForReplies() (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(4 << 20) // best effort
	return socket, nil
}

// NewFlowGenerator returns a generator whose callers receive the replies of targets on
// socket, which the generator closes. It sends nothing before Start.
func NewFlowGenerator(settings FlowGeneratorSettings, clock Clock, collector *Collector, socket *net.UDPConn) *FlowGenerator {
	return &FlowGenerator{
		settings: settings, clock: clock, collector: collector, socket: socket,
		openFlows: make(map[netip.AddrPort]*callerFlow), done: make(chan struct{}),
	}
}

// Start starts opening flows through the fabric.
func (f *FlowGenerator) Start(fabric *Fabric) {
	f.fabric = fabric
	f.lastTickAt = f.clock.Now()
	f.opensFlows = true
	f.goroutines.Add(2)
	go f.receivePackets()
	go f.runTicks()
}

// Finish stops opening flows, starts closing the open ones, and waits for at most timeout
// until all are closed.
func (f *FlowGenerator) Finish(timeout time.Duration) {
	f.mu.Lock()
	f.opensFlows = false
	now := f.clock.Now()
	for _, flow := range f.openFlows {
		if flow.closeAt.After(now) {
			flow.closeAt = now
		}
	}
	f.mu.Unlock()
	ticks, stop := f.clock.Ticker(flowTickInterval)
	defer stop()
	for f.clock.Now().Before(now.Add(timeout)) {
		<-ticks
		if f.OpenFlowCount() == 0 {
			return
		}
	}
}

// OpenFlowCount returns the number of open flows, including those that are opening or
// closing.
func (f *FlowGenerator) OpenFlowCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.openFlows)
}

// Close stops the generator without closing its flows.
func (f *FlowGenerator) Close() error {
	close(f.done)
	err := f.socket.Close()
	f.goroutines.Wait()
	return err
}

func (f *FlowGenerator) runTicks() {
	defer f.goroutines.Done()
	ticks, stop := f.clock.Ticker(flowTickInterval)
	defer stop()
	for {
		select {
		case <-f.done:
			return
		case <-ticks:
			f.tick()
		}
	}
}

// tick opens the flows that are due and sends the due segments of all flows. It opens none
// while no instance is ready.
func (f *FlowGenerator) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.flowsDue += f.settings.FlowsPerSecond * now.Sub(f.lastTickAt).Seconds()
	f.lastTickAt = now
	for ; f.flowsDue >= 1 && f.opensFlows && len(f.fabric.ReadyInstances()) > 0; f.flowsDue-- {
		f.openFlow(now)
	}
	f.flowsDue = min(f.flowsDue, 100)
	for _, flow := range f.openFlows {
		f.advanceFlow(now, flow)
	}
}

// openFlow opens a flow to the next service in turn. The caller holds mu.
func (f *FlowGenerator) openFlow(now time.Time) {
	f.openedFlowCount++
	serviceAddress := f.settings.ServiceAddresses[int(f.openedFlowCount)%len(f.settings.ServiceAddresses)]
	flow := &callerFlow{
		callerAddress:  callerAddressFor(f.openedFlowCount, serviceAddress.Addr().Is4()),
		serviceAddress: serviceAddress,
		nextSeq:        rand.Uint32(),
		closeAt:        now.Add(time.Duration(rand.ExpFloat64() * float64(f.settings.MeanFlowDuration))),
	}
	f.openFlows[flow.callerAddress] = flow
	f.collector.recordOpenedFlow()
	f.transmit(now, flow, segment{source: flow.callerAddress, destination: flow.serviceAddress, syn: true, seq: flow.nextSeq}, flow.nextSeq+1)
}

// callerAddressFor returns a caller address from a range reserved for documentation.
// Addresses repeat only after some millions of numbers.
func callerAddressFor(number uint32, ipv4 bool) netip.AddrPort {
	const ports = 60000
	port := uint16(firstCallerPort + number%ports)
	if ipv4 {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], callerNetwork+number/ports%256)
		return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	}
	ip := [16]byte{0x20, 0x01, 0x0d, 0xb8, 0, 1}
	binary.BigEndian.PutUint32(ip[12:], number/ports)
	return netip.AddrPortFrom(netip.AddrFrom16(ip), port)
}

// transmit sends a segment whose acknowledgement number is expectedAck.
func (f *FlowGenerator) transmit(now time.Time, flow *callerFlow, s segment, expectedAck uint32) {
	flow.unacknowledgedPacket = encapsulate(s.encodeIPPacket(), flow.callerAddress.Addr())
	flow.expectedAck = expectedAck
	flow.lastSentAt = now
	flow.timeouts = 0
	f.fabric.SprayPacket(flow.unacknowledgedPacket)
}

// advanceFlow sends the next segment of the flow, or retransmits the last, if due.
func (f *FlowGenerator) advanceFlow(now time.Time, flow *callerFlow) {
	switch {
	case flow.unacknowledgedPacket != nil && now.Sub(flow.lastSentAt) >= retransmissionTimeout:
		f.retransmit(now, flow)
	case flow.unacknowledgedPacket == nil && flow.established && now.After(flow.closeAt):
		flow.closing = true
		f.transmit(now, flow, segment{source: flow.callerAddress, destination: flow.serviceAddress, ack: true, fin: true, seq: flow.nextSeq}, flow.nextSeq+1)
	case flow.unacknowledgedPacket == nil && flow.established && now.After(flow.nextSegmentAt):
		payload := make([]byte, segmentPayloadSize)
		f.transmit(now, flow, segment{source: flow.callerAddress, destination: flow.serviceAddress, ack: true, seq: flow.nextSeq, payload: payload}, flow.nextSeq+segmentPayloadSize)
	}
}

// retransmit handles a retransmission timeout. After maxTimeouts it removes the flow, which
// counts as broken if established and as refused if not. A flow that times out while it is
// closing is not counted.
func (f *FlowGenerator) retransmit(now time.Time, flow *callerFlow) {
	flow.timeouts++
	flow.lastSentAt = now
	if flow.timeouts < maxTimeouts {
		f.fabric.SprayPacket(flow.unacknowledgedPacket)
		return
	}
	delete(f.openFlows, flow.callerAddress)
	if flow.established && !flow.closing {
		f.collector.recordBrokenFlow("silent")
	} else if !flow.established {
		f.collector.recordRefusedFlow()
	}
}

func (f *FlowGenerator) receivePackets() {
	defer f.goroutines.Done()
	buffer := make([]byte, 64<<10)
	for {
		n, err := f.socket.Read(buffer)
		if err != nil {
			return
		}
		f.Deliver(buffer[:n])
	}
}

// Deliver handles an IP packet sent to a caller.
func (f *FlowGenerator) Deliver(ipPacket []byte) {
	s, ok := decodeIPPacket(ipPacket)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	flow := f.openFlows[s.destination]
	if flow == nil || flow.serviceAddress != s.source {
		return
	}
	now := f.clock.Now()
	if s.rst {
		delete(f.openFlows, flow.callerAddress)
		if flow.established {
			f.collector.recordBrokenFlow("reset")
		} else {
			f.collector.recordRefusedFlow()
		}
		return
	}
	if flow.unacknowledgedPacket == nil || s.ackNumber != flow.expectedAck {
		return
	}
	flow.unacknowledgedPacket = nil
	flow.nextSeq = flow.expectedAck
	flow.nextSegmentAt = now.Add(f.settings.ThinkTime)
	if s.syn {
		flow.established = true
	}
	if flow.closing {
		delete(f.openFlows, flow.callerAddress)
		f.collector.recordFinishedFlow()
	}
}
