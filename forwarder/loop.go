package forwarder

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"almondpick/messenger"
	"almondpick/parser"
	"almondpick/picker"
)

// loop is the state of one reading loop. Its buffers are used again for every
// batch; a packet is sent on from the buffer that it was read into.
type loop struct {
	f       *Forwarder
	conn    batchConn
	in      []ipv4.Message
	buffers [][]byte
	out     []ipv4.Message
	small   []byte // hints of this batch
	targets map[netip.AddrPort]*net.UDPAddr
}

func (f *Forwarder) newLoop(c batchConn) *loop {
	l := &loop{f: f, conn: c, targets: make(map[netip.AddrPort]*net.UDPAddr)}
	for range batchSize {
		b := make([]byte, headroom+bufferSize)
		l.buffers = append(l.buffers, b)
		l.in = append(l.in, ipv4.Message{Buffers: [][]byte{b[headroom:]}})
	}
	l.small = make([]byte, 0, batchSize*hintSpace)
	return l
}

// hintSpace is enough for the hints of one packet, in bytes.
const hintSpace = 256

func (f *Forwarder) readFlow() {
	defer f.loops.Done()
	l := f.newLoop(f.flowConn)
	l.run(l.fromFabric)
}

func (f *Forwarder) readPeer() {
	defer f.loops.Done()
	l := f.newLoop(f.peerConn)
	l.run(l.fromPeer)
}

func (l *loop) run(handle func(now time.Duration, b []byte, n int, from net.Addr)) {
	for {
		n, err := l.conn.ReadBatch(l.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error that an earlier datagram brought
		}
		l.batch(n, handle)
	}
}

func (l *loop) batch(n int, handle func(now time.Duration, b []byte, n int, from net.Addr)) {
	l.out = l.out[:0]
	l.small = l.small[:0]
	now := l.f.now()
	l.f.mu.Lock()
	for i := range n {
		handle(now, l.buffers[i], l.in[i].N, l.in[i].Addr)
	}
	l.f.mu.Unlock()
	l.flush()
}

func (l *loop) flush() {
	rest := l.out
	for len(rest) > 0 {
		n, err := l.conn.WriteBatch(rest, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			l.f.counters.SendFailed.Add(1)
			n = max(n, 1)
		}
		rest = rest[n:]
	}
}

func (l *loop) send(b []byte, to *net.UDPAddr) {
	if len(l.out) < cap(l.out) {
		l.out = l.out[:len(l.out)+1]
		m := &l.out[len(l.out)-1]
		if len(m.Buffers) == 1 {
			m.Buffers[0] = b
			m.Addr = to
			return
		}
	} else {
		l.out = append(l.out, ipv4.Message{})
	}
	l.out[len(l.out)-1] = ipv4.Message{Buffers: [][]byte{b}, Addr: to}
}

func (l *loop) fault(f parser.Fault) {
	l.f.counters.faults[f].Add(1)
}

// fromFabric handles one datagram of the flow door.
func (l *loop) fromFabric(now time.Duration, buffer []byte, n int, from net.Addr) {
	l.f.counters.Received.Add(1)
	g, pkt, ok := l.read(buffer[headroom : headroom+n])
	if !ok || g.Control {
		return
	}
	fabric, _ := from.(*net.UDPAddr)
	l.f.noteFabric(fabric)
	if pkt.Length > l.f.innerLimit() {
		l.tooBig(g, pkt)
		return
	}
	d := l.f.picker.Packet(now, &pkt)
	l.carryOut(buffer, n, g, pkt, d)
}

// fromPeer handles one datagram of the peer door.
func (l *loop) fromPeer(now time.Duration, buffer []byte, n int, from net.Addr) {
	b := buffer[headroom : headroom+n]
	if messenger.IsSignedDatagram(b) {
		l.f.datagram(now, b, from)
		return
	}
	g, fault := parser.ReadGeneve(b)
	if fault != parser.FaultNone {
		l.fault(fault)
		return
	}
	if g.Control {
		l.hint(now, g)
		return
	}
	pkt, fault := parser.ReadInner(g.Payload, g.Protocol)
	if fault != parser.FaultNone {
		l.fault(fault)
		return
	}
	trail, err := l.f.keys.ParseRelayOption(g.Options, pkt.Key.Hash(l.f.keys.FlowHashSeed))
	if err != nil {
		l.f.counters.Forged.Add(1)
		return
	}
	l.f.counters.RelayedIn.Add(1)
	d := l.f.picker.Relayed(now, &pkt, trail)
	l.carryOut(buffer, n, g, pkt, d)
}

func (l *loop) read(b []byte) (parser.Geneve, parser.Packet, bool) {
	g, fault := parser.ReadGeneve(b)
	if fault != parser.FaultNone {
		l.fault(fault)
		return g, parser.Packet{}, false
	}
	if g.Control {
		return g, parser.Packet{}, true
	}
	pkt, fault := parser.ReadInner(g.Payload, g.Protocol)
	if fault != parser.FaultNone {
		l.fault(fault)
		return g, pkt, false
	}
	return g, pkt, true
}

func (l *loop) hint(now time.Duration, g parser.Geneve) {
	h, err := l.f.keys.ParseHintOption(g.Options)
	if err != nil {
		l.f.counters.Forged.Add(1)
		return
	}
	l.f.counters.HintsIn.Add(1)
	l.f.picker.Learn(now, h)
}

// carryOut does what the picker decided about the packet in the buffer.
func (l *loop) carryOut(buffer []byte, n int, g parser.Geneve, pkt parser.Packet, d picker.Decision) {
	l.f.counters.reasons[d.Reason].Add(1)
	switch d.Verdict {
	case picker.Forward:
		l.f.counters.Forwarded.Add(1)
		l.send(rewrap(buffer, n, g, nil), l.target(d.Endpoint))
		l.hints(d)
	case picker.Relay:
		to := l.f.peers.Load().byID[d.To]
		if to == nil {
			return
		}
		l.f.counters.Relayed.Add(1)
		var space [64]byte
		header := l.f.keys.AppendRelayHeader(space[:0], g.Protocol, pkt.Key.Hash(l.f.keys.FlowHashSeed), d.Trail)
		l.send(rewrap(buffer, n, g, header), to)
	case picker.Refuse:
		l.f.counters.Refused.Add(1)
		l.refuse(g, pkt)
	case picker.Drop:
	}
}

// rewrap puts a header right before the inner packet and returns the datagram. A
// nil header stands for a plain one without options.
func rewrap(buffer []byte, n int, g parser.Geneve, header []byte) []byte {
	end := headroom + n
	at := end - len(g.Payload)
	if header == nil {
		var space [parser.GeneveHeaderSize]byte
		header = parser.AppendGeneve(space[:0], false, g.Protocol, g.Network, parser.Option{})
	}
	start := at - len(header)
	copy(buffer[start:at], header)
	return buffer[start:end]
}

func (l *loop) target(endpoint netip.AddrPort) *net.UDPAddr {
	const most = 1 << 14
	a, ok := l.targets[endpoint]
	if ok {
		return a
	}
	if len(l.targets) >= most {
		clear(l.targets)
	}
	a = net.UDPAddrFromAddrPort(endpoint)
	l.targets[endpoint] = a
	return a
}

// hints sends the hints that a decision asks for.
func (l *loop) hints(d picker.Decision) {
	if d.HintOrigin != 0 {
		h := d.Hint
		h.Authoritative = d.HintOrigin == d.HintAsker
		l.hintTo(d.HintOrigin, h)
	}
	if d.HintAsker != 0 && d.HintAsker != d.HintOrigin {
		h := d.Hint
		h.Authoritative = true
		l.hintTo(d.HintAsker, h)
	}
	if d.HintNear != 0 {
		l.hintTo(d.HintNear, d.Hint)
	}
	if !d.Correct {
		return
	}
	for _, id := range l.f.picker.Members() {
		l.hintTo(id, d.Hint)
	}
}

func (l *loop) hintTo(id picker.MemberID, h picker.Hint) {
	to := l.f.peers.Load().byID[id]
	if to == nil {
		return
	}
	at := len(l.small)
	l.small = l.f.keys.AppendHintPacket(l.small, h)
	l.f.counters.HintsOut.Add(1)
	l.f.counters.ControlOut.Add(uint64(len(l.small) - at))
	l.send(l.small[at:len(l.small):len(l.small)], to)
}

func (f *Forwarder) noteFabric(from *net.UDPAddr) {
	if from == nil {
		return
	}
	last := f.lastFabric.Load()
	if last != nil && last.Port == from.Port && last.IP.Equal(from.IP) {
		return
	}
	f.lastFabric.Store(from)
}
