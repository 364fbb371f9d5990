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
type readLoop struct {
	forwarder   *Forwarder
	conn        batchConn
	in          []ipv4.Message
	buffers     [][]byte
	out         []ipv4.Message
	hintBuffer  []byte // hints of this batch
	targetAddrs map[netip.AddrPort]*net.UDPAddr
}

func (f *Forwarder) newLoop(c batchConn) *readLoop {
	l := &readLoop{forwarder: f, conn: c, targetAddrs: make(map[netip.AddrPort]*net.UDPAddr)}
	for range batchSize {
		b := make([]byte, headroom+bufferSize)
		l.buffers = append(l.buffers, b)
		l.in = append(l.in, ipv4.Message{Buffers: [][]byte{b[headroom:]}})
	}
	l.hintBuffer = make([]byte, 0, batchSize*hintSpacePerPacket)
	return l
}

// hintSpace is enough for the hints of one packet, in bytes.
const hintSpacePerPacket = 256

func (f *Forwarder) readFlowSocket() {
	defer f.runningLoops.Done()
	l := f.newLoop(f.flowBatchConn)
	l.run(l.handleFabricDatagram)
}

func (f *Forwarder) readPeerSocket() {
	defer f.runningLoops.Done()
	l := f.newLoop(f.peerBatchConn)
	l.run(l.handlePeerDatagram)
}

func (l *readLoop) run(handle func(now time.Duration, b []byte, n int, from net.Addr)) {
	for {
		n, err := l.conn.ReadBatch(l.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as an ICMP error that an earlier datagram brought
		}
		l.handleBatch(n, handle)
	}
}

func (l *readLoop) handleBatch(n int, handle func(now time.Duration, b []byte, n int, from net.Addr)) {
	l.out = l.out[:0]
	l.hintBuffer = l.hintBuffer[:0]
	now := l.forwarder.now()
	l.forwarder.mu.Lock()
	for i := range n {
		handle(now, l.buffers[i], l.in[i].N, l.in[i].Addr)
	}
	l.forwarder.mu.Unlock()
	l.sendBatch()
}

func (l *readLoop) sendBatch() {
	rest := l.out
	for len(rest) > 0 {
		n, err := l.conn.WriteBatch(rest, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n == 0 {
			l.forwarder.counters.SendErrors.Add(1)
			n = max(n, 1)
		}
		rest = rest[n:]
	}
}

func (l *readLoop) queueDatagram(b []byte, to *net.UDPAddr) {
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

func (l *readLoop) countFault(f parser.Fault) {
	l.forwarder.counters.faults[f].Add(1)
}

// fromFabric handles one datagram of the flow door.
func (l *readLoop) handleFabricDatagram(now time.Duration, buffer []byte, n int, from net.Addr) {
	l.forwarder.counters.PacketsReceived.Add(1)
	g, pkt, ok := l.parse(buffer[headroom : headroom+n])
	if !ok || g.Control {
		return
	}
	fabric, _ := from.(*net.UDPAddr)
	l.forwarder.setFabricAddr(fabric)
	if pkt.IPLength > l.forwarder.maxInnerPacket() {
		l.sendPacketTooBig(g, pkt)
		return
	}
	d := l.forwarder.picker.HandlePacket(now, &pkt)
	l.applyDecision(buffer, n, g, pkt, d)
}

// fromPeer handles one datagram of the peer door.
func (l *readLoop) handlePeerDatagram(now time.Duration, buffer []byte, n int, from net.Addr) {
	b := buffer[headroom : headroom+n]
	if messenger.IsDatagram(b) {
		l.forwarder.handleDatagram(now, b, from)
		return
	}
	g, fault := parser.ParseGeneve(b)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return
	}
	if g.Control {
		l.handleHint(now, g)
		return
	}
	pkt, fault := parser.ParseInner(g.Payload, g.EtherType)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return
	}
	trail, err := l.forwarder.keys.ReadRelay(g.Options, pkt.Key.Hash(l.forwarder.keys.Flow))
	if err != nil {
		l.forwarder.counters.DatagramsForged.Add(1)
		return
	}
	l.forwarder.counters.RelaysReceived.Add(1)
	d := l.forwarder.picker.HandleRelayed(now, &pkt, trail)
	l.applyDecision(buffer, n, g, pkt, d)
}

func (l *readLoop) parse(b []byte) (parser.GenevePacket, parser.Packet, bool) {
	g, fault := parser.ParseGeneve(b)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return g, parser.Packet{}, false
	}
	if g.Control {
		return g, parser.Packet{}, true
	}
	pkt, fault := parser.ParseInner(g.Payload, g.EtherType)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return g, pkt, false
	}
	return g, pkt, true
}

func (l *readLoop) handleHint(now time.Duration, g parser.GenevePacket) {
	h, err := l.forwarder.keys.ReadHint(g.Options)
	if err != nil {
		l.forwarder.counters.DatagramsForged.Add(1)
		return
	}
	l.forwarder.counters.HintsReceived.Add(1)
	l.forwarder.picker.ApplyHint(now, h)
}

// carryOut does what the picker decided about the packet in the buffer.
func (l *readLoop) applyDecision(buffer []byte, n int, g parser.GenevePacket, pkt parser.Packet, d picker.Decision) {
	l.forwarder.counters.reasons[d.Reason].Add(1)
	switch d.Verdict {
	case picker.Forward:
		l.forwarder.counters.PacketsForwarded.Add(1)
		l.queueDatagram(replaceHeader(buffer, n, g, nil), l.targetAddr(d.Endpoint))
		l.sendHints(d)
	case picker.Relay:
		to := l.forwarder.peerAddrs.Load().byID[d.RelayTo]
		if to == nil {
			return
		}
		l.forwarder.counters.PacketsRelayed.Add(1)
		var space [64]byte
		header := l.forwarder.keys.AppendRelay(space[:0], g.EtherType, pkt.Key.Hash(l.forwarder.keys.Flow), d.RelayHeader)
		l.queueDatagram(replaceHeader(buffer, n, g, header), to)
	case picker.Refuse:
		l.forwarder.counters.PacketsRefused.Add(1)
		l.sendRefusal(g, pkt)
	case picker.Drop:
	}
}

// rewrap puts a header right before the inner packet and returns the datagram. A
// nil header stands for a plain one without options.
func replaceHeader(buffer []byte, n int, g parser.GenevePacket, header []byte) []byte {
	end := headroom + n
	at := end - len(g.Payload)
	if header == nil {
		var space [parser.GeneveHeaderSize]byte
		header = parser.AppendGeneve(space[:0], false, g.EtherType, g.VNI, parser.GeneveOption{})
	}
	start := at - len(header)
	copy(buffer[start:at], header)
	return buffer[start:end]
}

func (l *readLoop) targetAddr(endpoint netip.AddrPort) *net.UDPAddr {
	const maxTargetAddrs = 1 << 14
	a, ok := l.targetAddrs[endpoint]
	if ok {
		return a
	}
	if len(l.targetAddrs) >= maxTargetAddrs {
		clear(l.targetAddrs)
	}
	a = net.UDPAddrFromAddrPort(endpoint)
	l.targetAddrs[endpoint] = a
	return a
}

// hints sends the hints that a decision asks for.
func (l *readLoop) sendHints(d picker.Decision) {
	if d.HintToIngress != 0 {
		h := d.Hint
		h.ReceiverOwnsFlow = d.HintToIngress == d.HintToLookupOwner
		l.sendHint(d.HintToIngress, h)
	}
	if d.HintToLookupOwner != 0 && d.HintToLookupOwner != d.HintToIngress {
		h := d.Hint
		h.ReceiverOwnsFlow = true
		l.sendHint(d.HintToLookupOwner, h)
	}
	if d.HintToTargetDataCentre != 0 {
		l.sendHint(d.HintToTargetDataCentre, d.Hint)
	}
	if !d.HintToAllMembers {
		return
	}
	for _, id := range l.forwarder.picker.OtherMembers() {
		l.sendHint(id, d.Hint)
	}
}

func (l *readLoop) sendHint(id picker.MemberID, h picker.Hint) {
	to := l.forwarder.peerAddrs.Load().byID[id]
	if to == nil {
		return
	}
	at := len(l.hintBuffer)
	l.hintBuffer = l.forwarder.keys.AppendHint(l.hintBuffer, h)
	l.forwarder.counters.HintsSent.Add(1)
	l.forwarder.counters.ControlBytesSent.Add(uint64(len(l.hintBuffer) - at))
	l.queueDatagram(l.hintBuffer[at:len(l.hintBuffer):len(l.hintBuffer)], to)
}

func (f *Forwarder) setFabricAddr(from *net.UDPAddr) {
	if from == nil {
		return
	}
	last := f.lastFabricAddr.Load()
	if last != nil && last.Port == from.Port && last.IP.Equal(from.IP) {
		return
	}
	f.lastFabricAddr.Store(from)
}
