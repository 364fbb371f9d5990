package loader

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// FlowSettings describe the flows that stand-in callers open.
type FlowGeneratorSettings struct {
	ServiceAddresses []netip.AddrPort
	FlowsPerSecond   float64       // new flows a second
	MeanFlowDuration time.Duration // mean
	ThinkTime        time.Duration // between the segments of a flow
}

const (
	flowTick     = 10 * time.Millisecond
	resendAfter  = 300 * time.Millisecond
	resendTimes  = 20
	callerNet    = 0xc6336400 // 198.51.100.0, for documentation
	firstPort    = 1024
	segmentBytes = 32
)

// callerFlow is one flow as its caller sees it.
type callerFlow struct {
	from, to    netip.AddrPort
	established bool
	closing     bool
	next        uint32 // sequence number of the segment under way
	waiting     []byte // segment that was not acknowledged
	expect      uint32
	sent        time.Time
	tries       int
	due         time.Time // of the next segment
	end         time.Time
}

// Flows opens TCP flows through a fabric: with real headers, one segment under way
// at a time, and retransmissions.
type FlowGenerator struct {
	set    FlowGeneratorSettings
	clock  Clock
	ledger *Collector
	conn   *net.UDPConn
	fabric *Fabric

	mu      sync.Mutex
	open    map[netip.AddrPort]*callerFlow // by the caller's address
	counter uint32
	credit  float64
	last    time.Time
	opening bool
	done    chan struct{}
	loops   sync.WaitGroup
}

// ListenCallers opens the socket that targets answer to.
func ListenForReplies() (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = c.SetReadBuffer(4 << 20) // best effort
	return c, nil
}

// NewFlows makes callers that answers reach at conn. Start begins the traffic.
func NewFlowGenerator(set FlowGeneratorSettings, clock Clock, ledger *Collector, conn *net.UDPConn) *FlowGenerator {
	return &FlowGenerator{
		set: set, clock: clock, ledger: ledger, conn: conn,
		open: make(map[netip.AddrPort]*callerFlow), done: make(chan struct{}),
	}
}

// Start begins to open flows through the fabric.
func (f *FlowGenerator) Start(fabric *Fabric) {
	f.fabric = fabric
	f.last = f.clock.Now()
	f.opening = true
	f.loops.Add(2)
	go f.receive()
	go f.run()
}

// Finish stops opening flows and waits until all have ended, for at most d.
func (f *FlowGenerator) Finish(d time.Duration) {
	f.mu.Lock()
	f.opening = false
	now := f.clock.Now()
	for _, one := range f.open {
		if one.end.After(now) {
			one.end = now
		}
	}
	f.mu.Unlock()
	ticks, stop := f.clock.Ticker(flowTick)
	defer stop()
	for f.clock.Now().Before(now.Add(d)) {
		<-ticks
		if f.OpenFlowCount() == 0 {
			return
		}
	}
}

// Open returns the number of open flows.
func (f *FlowGenerator) OpenFlowCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// Close ends the callers at once.
func (f *FlowGenerator) Close() error {
	close(f.done)
	err := f.conn.Close()
	f.loops.Wait()
	return err
}

func (f *FlowGenerator) run() {
	defer f.loops.Done()
	ticks, stop := f.clock.Ticker(flowTick)
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

func (f *FlowGenerator) tick() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.credit += f.set.FlowsPerSecond * now.Sub(f.last).Seconds()
	f.last = now
	for ; f.credit >= 1 && f.opening && len(f.fabric.ReadyInstances()) > 0; f.credit-- {
		f.begin(now)
	}
	f.credit = min(f.credit, 100)
	for _, one := range f.open {
		f.advance(now, one)
	}
}

func (f *FlowGenerator) begin(now time.Time) {
	f.counter++
	to := f.set.ServiceAddresses[int(f.counter)%len(f.set.ServiceAddresses)]
	one := &callerFlow{
		from: callerAddress(f.counter, to.Addr().Is4()),
		to:   to,
		next: rand.Uint32(),
		end:  now.Add(time.Duration(rand.ExpFloat64() * float64(f.set.MeanFlowDuration))),
	}
	f.open[one.from] = one
	f.ledger.flowOpened()
	f.transmit(now, one, segment{from: one.from, to: one.to, syn: true, seq: one.next}, one.next+1)
}

// callerAddress returns an address of a documentation range with a port, another
// one for each of some millions of numbers.
func callerAddress(n uint32, four bool) netip.AddrPort {
	const ports = 60000
	port := uint16(firstPort + n%ports)
	if four {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], callerNet+n/ports%256)
		return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
	}
	ip := [16]byte{0x20, 0x01, 0x0d, 0xb8, 0, 1}
	binary.BigEndian.PutUint32(ip[12:], n/ports)
	return netip.AddrPortFrom(netip.AddrFrom16(ip), port)
}

// transmit sends a segment that has to be acknowledged with expect.
func (f *FlowGenerator) transmit(now time.Time, one *callerFlow, s segment, expect uint32) {
	one.waiting = encapsulate(s.encode(), one.from.Addr())
	one.expect = expect
	one.sent = now
	one.tries = 0
	f.fabric.SprayPacket(one.waiting)
}

// advance sends what is due on a flow.
func (f *FlowGenerator) advance(now time.Time, one *callerFlow) {
	switch {
	case one.waiting != nil && now.Sub(one.sent) >= resendAfter:
		f.resend(now, one)
	case one.waiting == nil && one.established && now.After(one.end):
		one.closing = true
		f.transmit(now, one, segment{from: one.from, to: one.to, ack: true, fin: true, seq: one.next}, one.next+1)
	case one.waiting == nil && one.established && now.After(one.due):
		payload := make([]byte, segmentBytes)
		f.transmit(now, one, segment{from: one.from, to: one.to, ack: true, seq: one.next, payload: payload}, one.next+segmentBytes)
	}
}

func (f *FlowGenerator) resend(now time.Time, one *callerFlow) {
	one.tries++
	one.sent = now
	if one.tries < resendTimes {
		f.fabric.SprayPacket(one.waiting)
		return
	}
	delete(f.open, one.from)
	if one.established && !one.closing {
		f.ledger.flowBroken("silent")
	} else if !one.established {
		f.ledger.flowRefused()
	}
}

func (f *FlowGenerator) receive() {
	defer f.loops.Done()
	b := make([]byte, 64<<10)
	for {
		n, err := f.conn.Read(b)
		if err != nil {
			return
		}
		f.Deliver(b[:n])
	}
}

// Deliver takes in a packet that was sent to a caller.
func (f *FlowGenerator) Deliver(ip []byte) {
	s, ok := decode(ip)
	if !ok {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	one := f.open[s.to]
	if one == nil || one.to != s.from {
		return
	}
	now := f.clock.Now()
	if s.rst {
		delete(f.open, one.from)
		if one.established {
			f.ledger.flowBroken("reset")
		} else {
			f.ledger.flowRefused()
		}
		return
	}
	if one.waiting == nil || s.ackNo != one.expect {
		return
	}
	one.waiting = nil
	one.next = one.expect
	one.due = now.Add(f.set.ThinkTime)
	if s.syn {
		one.established = true
	}
	if one.closing {
		delete(f.open, one.from)
		f.ledger.flowFinished()
	}
}
