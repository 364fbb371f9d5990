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

// readLoop reads batches of datagrams from one socket and sends the results of a batch on
// the same socket. The buffers are reused for every batch: a packet is sent on from the
// buffer that it was read into.
type readLoop struct {
	forwarder   *Forwarder
	conn        batchConn
	in          []ipv4.Message
	buffers     [][]byte
	out         []ipv4.Message
	hintBuffer  []byte // encoded hints of the current batch
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

// hintSpacePerPacket is the number of bytes reserved for the hints of one packet.
const hintSpacePerPacket = 256

// readFlowSocket handles the datagrams from the fabric until the socket is closed.
func (f *Forwarder) readFlowSocket() {
	defer f.runningLoops.Done()
	l := f.newLoop(f.flowBatchConn)
	l.run(l.handleFabricDatagram)
}

// readPeerSocket handles the datagrams from other instances until the socket is closed.
func (f *Forwarder) readPeerSocket() {
	defer f.runningLoops.Done()
	l := f.newLoop(f.peerBatchConn)
	l.run(l.handlePeerDatagram)
}

// run reads batches and handles them until the socket is closed.
func (l *readLoop) run(handle func(now time.Duration, b []byte, n int, from net.Addr)) {
	for {
		n, err := l.conn.ReadBatch(l.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example an ICMP error caused by an earlier datagram
		}
		l.handleBatch(n, handle)
	}
}

// handleBatch calls handle for n received datagrams with the lock held, and then sends
// what was queued.
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

// sendBatch sends the queued datagrams. A datagram that cannot be sent is counted and
// skipped.
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

// queueDatagram adds a datagram to the batch to send. The messages of earlier batches are
// reused.
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

// handleFabricDatagram handles one datagram from the fabric: n bytes behind the headroom
// of buffer. The lock is held.
func (l *readLoop) handleFabricDatagram(now time.Duration, buffer []byte, n int, from net.Addr) {
	l.forwarder.counters.PacketsReceived.Add(1)
	geneve, pkt, ok := l.parse(buffer[headroom : headroom+n])
	if !ok || geneve.Control {
		return
	}
	fabricAddr, _ := from.(*net.UDPAddr)
	l.forwarder.setFabricAddr(fabricAddr)
	if pkt.IPLength > l.forwarder.maxInnerPacket() {
		l.sendPacketTooBig(geneve, pkt)
		return
	}
	d := l.forwarder.picker.HandlePacket(now, &pkt)
	l.applyDecision(buffer, n, geneve, pkt, d)
}

// handlePeerDatagram handles one datagram from another instance: n bytes behind the
// headroom of buffer, with a signed datagram, a hint or a relayed packet. The lock is held.
func (l *readLoop) handlePeerDatagram(now time.Duration, buffer []byte, n int, from net.Addr) {
	b := buffer[headroom : headroom+n]
	if messenger.IsSignedDatagram(b) {
		l.forwarder.handleDatagram(now, b, from)
		return
	}
	geneve, fault := parser.ParseGeneve(b)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return
	}
	if geneve.Control {
		l.handleHint(now, geneve)
		return
	}
	pkt, fault := parser.ParseInner(geneve.Payload, geneve.EtherType)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return
	}
	header, err := l.forwarder.keys.ParseRelayOption(geneve.Options, pkt.Key.Hash(l.forwarder.keys.FlowHashKey))
	if err != nil {
		l.forwarder.counters.DatagramsForged.Add(1)
		return
	}
	l.forwarder.counters.RelaysReceived.Add(1)
	d := l.forwarder.picker.HandleRelayed(now, &pkt, header)
	l.applyDecision(buffer, n, geneve, pkt, d)
}

// parse decodes a packet from the fabric and counts a fault. A control packet is returned
// with its Geneve header only.
func (l *readLoop) parse(b []byte) (parser.GenevePacket, parser.Packet, bool) {
	geneve, fault := parser.ParseGeneve(b)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return geneve, parser.Packet{}, false
	}
	if geneve.Control {
		return geneve, parser.Packet{}, true
	}
	pkt, fault := parser.ParseInner(geneve.Payload, geneve.EtherType)
	if fault != parser.FaultNone {
		l.countFault(fault)
		return geneve, pkt, false
	}
	return geneve, pkt, true
}

// handleHint passes the hint of a control packet to the picker.
func (l *readLoop) handleHint(now time.Duration, geneve parser.GenevePacket) {
	hint, err := l.forwarder.keys.ParseHintOption(geneve.Options)
	if err != nil {
		l.forwarder.counters.DatagramsForged.Add(1)
		return
	}
	l.forwarder.counters.HintsReceived.Add(1)
	l.forwarder.picker.ApplyHint(now, hint)
}

// applyDecision carries out the decision of the picker about the packet in buffer.
func (l *readLoop) applyDecision(buffer []byte, n int, geneve parser.GenevePacket, pkt parser.Packet, decision picker.Decision) {
	l.forwarder.counters.reasons[decision.Reason].Add(1)
	switch decision.Verdict {
	case picker.Forward:
		l.forwarder.counters.PacketsForwarded.Add(1)
		l.queueDatagram(replaceHeader(buffer, n, geneve, nil), l.targetAddr(decision.Endpoint))
		l.sendHints(decision)
	case picker.Relay:
		to := l.forwarder.peerAddrs.Load().byID[decision.RelayTo]
		if to == nil {
			return
		}
		l.forwarder.counters.PacketsRelayed.Add(1)
		var headerBuffer [64]byte
		header := l.forwarder.keys.AppendRelayHeader(headerBuffer[:0], geneve.EtherType, pkt.Key.Hash(l.forwarder.keys.FlowHashKey), decision.RelayHeader)
		l.queueDatagram(replaceHeader(buffer, n, geneve, header), to)
	case picker.Refuse:
		l.forwarder.counters.PacketsRefused.Add(1)
		l.sendRefusal(geneve, pkt)
	case picker.Drop:
	}
}

// replaceHeader writes a Geneve header directly before the inner packet in buffer, and
// returns the resulting datagram. If header is nil, the new header has no options.
func replaceHeader(buffer []byte, n int, geneve parser.GenevePacket, header []byte) []byte {
	datagramEnd := headroom + n
	payloadStart := datagramEnd - len(geneve.Payload)
	if header == nil {
		var headerBuffer [parser.GeneveHeaderSize]byte
		header = parser.AppendGeneve(headerBuffer[:0], false, geneve.EtherType, geneve.VNI, parser.GeneveOption{})
	}
	headerStart := payloadStart - len(header)
	copy(buffer[headerStart:payloadStart], header)
	return buffer[headerStart:datagramEnd]
}

// targetAddr returns the UDP address of a target from a cache, which is cleared when full.
func (l *readLoop) targetAddr(endpoint netip.AddrPort) *net.UDPAddr {
	const maxTargetAddrs = 1 << 14
	addr, ok := l.targetAddrs[endpoint]
	if ok {
		return addr
	}
	if len(l.targetAddrs) >= maxTargetAddrs {
		clear(l.targetAddrs)
	}
	addr = net.UDPAddrFromAddrPort(endpoint)
	l.targetAddrs[endpoint] = addr
	return addr
}

// sendHints sends the hints of a decision.
func (l *readLoop) sendHints(decision picker.Decision) {
	if decision.HintToIngress != 0 {
		hint := decision.Hint
		hint.ReceiverOwnsFlow = decision.HintToIngress == decision.HintToLookupOwner
		l.sendHint(decision.HintToIngress, hint)
	}
	if decision.HintToLookupOwner != 0 && decision.HintToLookupOwner != decision.HintToIngress {
		hint := decision.Hint
		hint.ReceiverOwnsFlow = true
		l.sendHint(decision.HintToLookupOwner, hint)
	}
	if decision.HintToTargetDataCentre != 0 {
		l.sendHint(decision.HintToTargetDataCentre, decision.Hint)
	}
	if !decision.HintToAllMembers {
		return
	}
	for _, id := range l.forwarder.picker.OtherMembers() {
		l.sendHint(id, decision.Hint)
	}
}

// sendHint queues a hint to a member. A member without a known address is skipped.
func (l *readLoop) sendHint(id picker.MemberID, hint picker.Hint) {
	to := l.forwarder.peerAddrs.Load().byID[id]
	if to == nil {
		return
	}
	start := len(l.hintBuffer)
	l.hintBuffer = l.forwarder.keys.AppendHintPacket(l.hintBuffer, hint)
	l.forwarder.counters.HintsSent.Add(1)
	l.forwarder.counters.ControlBytesSent.Add(uint64(len(l.hintBuffer) - start))
	l.queueDatagram(l.hintBuffer[start:len(l.hintBuffer):len(l.hintBuffer)], to)
}

// setFabricAddr stores the address from which the last packet of the fabric came. Replies
// to callers are sent there.
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
