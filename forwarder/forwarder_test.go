package forwarder

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/net/ipv4"

	"almondpick/messenger"
	"almondpick/parser"
	"almondpick/picker"
)

type realClock struct{}

func (realClock) Now() time.Time { return time.Now() }

func (realClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

type acceptGossip struct{}

func (acceptGossip) Gossip(string, []byte) (bool, error) { return true, nil }

func testKeys(t testing.TB) messenger.DerivedKeys {
	keys, err := messenger.DeriveKeys(make([]byte, 32))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func newUDPSocket(t testing.TB) *net.UDPConn {
	c, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func localAddr(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startForwarder starts a forwarder that is the only member of its group. The service has
// one target at the address of the given socket, or no target if the socket is nil.
func startForwarder(t testing.TB, target *net.UDPConn) *Forwarder {
	flow, peer := newUDPSocket(t), newUDPSocket(t)
	f, err := New("i1", flow, peer, realClock{}, testKeys(t), acceptGossip{}, WithMTU(1500))
	if err != nil {
		t.Fatal(err)
	}
	service := picker.Service{
		Name: "menus", Epsilon: 0.1, IdleTimeouts: picker.DefaultIdleTimeouts(), DefaultTargets: []string{"t1"},
		Addresses: []picker.ServiceAddress{
			{Addr: netip.MustParseAddr("192.0.2.1").As16(), Port: 443, Protocol: parser.ProtocolTCP},
			{Addr: netip.MustParseAddr("192.0.2.1").As16(), Port: 53, Protocol: parser.ProtocolUDP},
		},
	}
	if target != nil {
		service.Targets = []picker.Target{{Name: "t1", Endpoint: localAddr(target), AcceptsNewFlows: true, Weight: 1}}
	}
	self := Member{Member: picker.Member{ID: picker.NewMemberID("i1")}, Name: "i1", PeerAddr: localAddr(peer)}
	f.SetView([]Member{self}, true, []picker.Service{service})
	return f
}

// tcpPacket returns a Geneve packet with a TCP segment of a caller.
func tcpPacket(caller int, syn bool, payload int) []byte {
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(198, 51, byte(caller>>8), byte(caller)).To4(), DstIP: net.IPv4(192, 0, 2, 1).To4(),
	}
	tcp := &layers.TCP{SrcPort: 40000, DstPort: 443, SYN: syn, ACK: !syn, Seq: 7, Ack: 9}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		panic(err)
	}
	b := gopacket.NewSerializeBuffer()
	o := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, o, ip, tcp, gopacket.Payload(make([]byte, payload))); err != nil {
		panic(err)
	}
	g := parser.AppendGeneve(nil, false, parser.EtherTypeIPv4, 5, parser.GeneveOption{})
	return append(g, b.Bytes()...)
}

// sendAndReceive sends a packet to the flow socket as the fabric does, and returns the
// packet that comes back.
func sendAndReceive(t *testing.T, f *Forwarder, packet []byte) gopacket.Packet {
	is := is.New(t)
	fabric := newUDPSocket(t)
	defer fabric.Close()
	_, err := fabric.WriteToUDPAddrPort(packet, localAddr(f.flowSocket))
	is.NoErr(err)
	b := make([]byte, 2000)
	is.NoErr(fabric.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, err := fabric.Read(b)
	is.NoErr(err)
	g, fault := parser.ParseGeneve(b[:n])
	is.Equal(fault, parser.FaultNone)
	return gopacket.NewPacket(g.Payload, layers.LayerTypeIPv4, gopacket.Default)
}

func TestForwardsPacketUnchanged(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	sink := newUDPSocket(t)
	defer sink.Close()
	f := startForwarder(t, sink)
	fabric := newUDPSocket(t)
	defer fabric.Close()
	sent := tcpPacket(1, true, 100)
	_, err := fabric.WriteToUDPAddrPort(sent, localAddr(f.flowSocket))
	is.NoErr(err)
	b := make([]byte, 2000)
	n, err := sink.Read(b)
	is.NoErr(err)
	is.Equal(b[:n], sent)
	is.NoErr(f.Close())
}

func TestRefusalIsValidReset(t *testing.T) {
	is := is.New(t)
	f := startForwarder(t, nil) // the service has no target
	defer f.Close()
	p := sendAndReceive(t, f, tcpPacket(1, true, 0))
	tcp := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.True(tcp.RST && tcp.ACK)
	is.Equal(tcp.Ack, uint32(8)) // acknowledges the SYN
	p = sendAndReceive(t, f, tcpPacket(2, false, 10))
	tcp = p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.True(tcp.RST)
	is.Equal(tcp.Seq, uint32(9)) // the acknowledgement number of the packet
}

func TestOversizedPacketGetsMTU(t *testing.T) {
	is := is.New(t)
	sink := newUDPSocket(t)
	defer sink.Close()
	f := startForwarder(t, sink)
	defer f.Close()
	p := sendAndReceive(t, f, tcpPacket(1, false, 1460))
	icmp := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4)
	is.Equal(icmp.TypeCode, layers.CreateICMPv4TypeCode(3, 4)) // fragmentation needed
	is.Equal(int(icmp.Seq), f.maxInnerPacket())
	is.Equal(f.counters.PacketsForwarded.Load(), uint64(0))
}

// FuzzDoor passes arbitrary datagrams to the handlers of the flow socket and of the peer
// socket. No datagram may cause a panic, and the peer handler may not forward a packet
// without a valid authentication code.
func FuzzDoor(f *testing.F) {
	keys, err := messenger.DeriveKeys(make([]byte, 32))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(tcpPacket(1, true, 3))
	f.Add(keys.AppendHintPacket(nil, picker.Hint{FlowHash: 1, Target: 2}))
	relay := keys.AppendRelayHeader(nil, parser.EtherTypeIPv4, 1, picker.RelayHeader{Hops: 1})
	f.Add(append(relay, tcpPacket(2, false, 5)[8:]...))
	signed, err := keys.SignDatagram(messenger.DatagramSync, messenger.EncodedSyncMessage{From: "i2"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signed)
	f.Add([]byte{0x3f, 0x40, 0x08, 0x00, 0, 0, 0, 0})
	sink := newUDPSocket(f)
	f.Cleanup(func() { sink.Close() })
	forwarder := startForwarder(f, sink)
	f.Cleanup(func() { forwarder.Close() })
	l := forwarder.newLoop(discardConn{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 2000 {
			return
		}
		n := copy(l.buffers[0][headroom:], b)
		from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9"))
		l.out = l.out[:0]
		forwarder.mu.Lock()
		defer forwarder.mu.Unlock()
		l.handleFabricDatagram(0, l.buffers[0], n, from)
		copy(l.buffers[0][headroom:], b)
		relaysBefore := forwarder.counters.RelaysReceived.Load()
		forwardedBefore := forwarder.counters.PacketsForwarded.Load()
		l.handlePeerDatagram(0, l.buffers[0], n, from)
		if forwarder.counters.RelaysReceived.Load() == relaysBefore && forwarder.counters.PacketsForwarded.Load() != forwardedBefore {
			t.Fatal("forwarded without a valid relay option")
		}
	})
}

type discardConn struct{}

func (discardConn) ReadBatch([]ipv4.Message, int) (int, error)       { return 0, net.ErrClosed }
func (discardConn) WriteBatch(ms []ipv4.Message, _ int) (int, error) { return len(ms), nil }

func TestForgedRelaysAndHintsAreDropped(t *testing.T) {
	is := is.New(t)
	sink := newUDPSocket(t)
	defer sink.Close()
	f := startForwarder(t, sink)
	defer f.Close()
	l := f.newLoop(discardConn{})
	otherKeys, err := messenger.DeriveKeys(append(make([]byte, 31), 1))
	is.NoErr(err)
	inner := tcpPacket(2, false, 5)[parser.GeneveHeaderSize:]
	pkt, _ := parser.ParseInner(inner, parser.EtherTypeIPv4)
	forged := append(otherKeys.AppendRelayHeader(nil, parser.EtherTypeIPv4, pkt.Key.Hash(f.keys.FlowHashKey), picker.RelayHeader{Hops: 1}), inner...)
	otherFlow := append(f.keys.AppendRelayHeader(nil, parser.EtherTypeIPv4, 12345, picker.RelayHeader{Hops: 1}), inner...) // authenticated for another flow
	signed, err := otherKeys.SignDatagram(messenger.DatagramSync, messenger.EncodedSyncMessage{From: "i2"})
	is.NoErr(err)
	for i, b := range [][]byte{forged, otherFlow, otherKeys.AppendHintPacket(nil, picker.Hint{FlowHash: 1, Target: 2}), signed} {
		n := copy(l.buffers[0][headroom:], b)
		f.mu.Lock()
		l.handlePeerDatagram(0, l.buffers[0], n, &net.UDPAddr{})
		f.mu.Unlock()
		is.Equal(f.counters.DatagramsForged.Load(), uint64(i+1))
	}
	is.Equal(f.counters.PacketsForwarded.Load(), uint64(0))
	is.Equal(f.EntryCounts(), picker.EntryCounts{})
}

// sendPackets sends packets of many flows to an address until stop is closed.
func sendPackets(b *testing.B, to netip.AddrPort, stop chan struct{}) {
	const flows, senders = 256, 3
	for s := range senders {
		c := newUDPSocket(b)
		var ms []ipv4.Message
		for i := range batchSize {
			ms = append(ms, ipv4.Message{Buffers: [][]byte{tcpPacket(s*flows+i%flows, false, 64)}, Addr: net.UDPAddrFromAddrPort(to)})
		}
		go func() {
			defer c.Close()
			batch := newBatchConn(c)
			for {
				select {
				case <-stop:
					return
				default:
					batch.WriteBatch(ms, 0)
				}
			}
		}()
	}
}

// drainSocket reads and discards the datagrams of a socket until the socket is closed.
func drainSocket(c *net.UDPConn) {
	var ms []ipv4.Message
	for range batchSize {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, 2048)}})
	}
	batch := newBatchConn(c)
	for {
		if _, err := batch.ReadBatch(ms, 0); err != nil {
			return
		}
	}
}

// copyPackets reads batches from a socket and sends the datagrams unchanged to an address,
// as a baseline for BenchmarkForwarder.
func copyPackets(in *net.UDPConn, to netip.AddrPort, count *atomic.Uint64) {
	var ms []ipv4.Message
	for range batchSize {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, 2048)}})
	}
	out := make([]ipv4.Message, batchSize)
	target := net.UDPAddrFromAddrPort(to)
	batch := newBatchConn(in)
	for {
		n, err := batch.ReadBatch(ms, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i] = ipv4.Message{Buffers: [][]byte{ms[i].Buffers[0][:ms[i].N]}, Addr: target}
		}
		for rest := out[:n]; len(rest) > 0; {
			sent, err := batch.WriteBatch(rest, 0)
			if err != nil {
				break
			}
			rest = rest[sent:]
		}
		count.Add(uint64(n))
	}
}

// BenchmarkForwarder compares the packets per second of the forwarder with those of
// copyPackets.
func BenchmarkForwarder(b *testing.B) {
	run := func(b *testing.B, to netip.AddrPort, count func() uint64) {
		stop := make(chan struct{})
		sendPackets(b, to, stop)
		ticks, stopTicker := realClock{}.Ticker(time.Millisecond)
		defer stopTicker()
		for count() < 1000 {
			<-ticks
		}
		startedAt, startCount := time.Now(), count()
		b.ResetTimer()
		for count()-startCount < uint64(b.N) {
			<-ticks
		}
		b.ReportMetric(float64(count()-startCount)/time.Since(startedAt).Seconds(), "packets/s")
		close(stop)
	}
	b.Run("copy", func(b *testing.B) {
		in, sink := newUDPSocket(b), newUDPSocket(b)
		var n atomic.Uint64
		go drainSocket(sink)
		go copyPackets(in, localAddr(sink), &n)
		run(b, localAddr(in), n.Load)
		in.Close()
		sink.Close()
	})
	b.Run("forwarder", func(b *testing.B) {
		sink := newUDPSocket(b)
		f := startForwarder(b, sink)
		go drainSocket(sink)
		run(b, localAddr(f.flowSocket), f.counters.PacketsForwarded.Load)
		f.Close()
		sink.Close()
	})
}
