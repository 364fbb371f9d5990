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

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

func (wallClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

type noControl struct{}

func (noControl) Gossip(string, []byte) (bool, error) { return true, nil }

func testKeys(t testing.TB) messenger.DerivedKeys {
	keys, err := messenger.DeriveKeys(make([]byte, 32))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func udp(t testing.TB) *net.UDPConn {
	c, err := listenUDP(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func at(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// openDoor starts a door that is alone and has one target, at sink.
func openDoor(t testing.TB, sink *net.UDPConn) *Forwarder {
	flow, peer := udp(t), udp(t)
	f, err := New("i1", flow, peer, wallClock{}, testKeys(t), noControl{}, WithMTU(1500))
	if err != nil {
		t.Fatal(err)
	}
	service := picker.Service{
		Name: "menus", Epsilon: 0.1, Idle: picker.DefaultIdle(), Base: []string{"t1"},
		Addresses: []picker.Address{
			{Addr: netip.MustParseAddr("192.0.2.1").As16(), Port: 443, Protocol: parser.ProtocolTCP},
			{Addr: netip.MustParseAddr("192.0.2.1").As16(), Port: 53, Protocol: parser.ProtocolUDP},
		},
	}
	if sink != nil {
		service.Targets = []picker.Target{{Name: "t1", Endpoint: at(sink), Fit: true, Weight: 1}}
	}
	self := Member{Member: picker.Member{ID: picker.NewMemberID("i1")}, Name: "i1", Peer: at(peer)}
	f.SetView([]Member{self}, true, []picker.Service{service})
	return f
}

// tcpPacket returns a Geneve packet of a flow.
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
	g := parser.AppendGeneve(nil, false, parser.EtherIPv4, 5, parser.Option{})
	return append(g, b.Bytes()...)
}

// exchange sends a packet to the door and returns what comes back to the fabric.
func exchange(t *testing.T, f *Forwarder, packet []byte) gopacket.Packet {
	is := is.New(t)
	fabric := udp(t)
	defer fabric.Close()
	_, err := fabric.WriteToUDPAddrPort(packet, at(f.flow))
	is.NoErr(err)
	b := make([]byte, 2000)
	is.NoErr(fabric.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, err := fabric.Read(b)
	is.NoErr(err)
	g, fault := parser.ReadGeneve(b[:n])
	is.Equal(fault, parser.FaultNone)
	return gopacket.NewPacket(g.Payload, layers.LayerTypeIPv4, gopacket.Default)
}

func TestDoorForwardsUnchanged(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	sink := udp(t)
	defer sink.Close()
	f := openDoor(t, sink)
	fabric := udp(t)
	defer fabric.Close()
	sent := tcpPacket(1, true, 100)
	_, err := fabric.WriteToUDPAddrPort(sent, at(f.flow))
	is.NoErr(err)
	b := make([]byte, 2000)
	n, err := sink.Read(b)
	is.NoErr(err)
	is.Equal(b[:n], sent)
	is.NoErr(f.Close())
}

func TestDoorRefusesTruthfully(t *testing.T) {
	is := is.New(t)
	f := openDoor(t, nil) // no target at all
	defer f.Close()
	p := exchange(t, f, tcpPacket(1, true, 0))
	tcp := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.True(tcp.RST && tcp.ACK)
	is.Equal(tcp.Ack, uint32(8)) // acknowledges the SYN
	p = exchange(t, f, tcpPacket(2, false, 10))
	tcp = p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	is.True(tcp.RST)
	is.Equal(tcp.Seq, uint32(9)) // from the acknowledgement
}

func TestDoorSaysWhatFits(t *testing.T) {
	is := is.New(t)
	sink := udp(t)
	defer sink.Close()
	f := openDoor(t, sink)
	defer f.Close()
	p := exchange(t, f, tcpPacket(1, false, 1460))
	icmp := p.Layer(layers.LayerTypeICMPv4).(*layers.ICMPv4)
	is.Equal(icmp.TypeCode, layers.CreateICMPv4TypeCode(3, 4)) // fragmentation needed
	is.Equal(int(icmp.Seq), f.innerLimit())
	is.Equal(f.counters.Forwarded.Load(), uint64(0))
}

// FuzzDoor feeds hostile datagrams to both sides of the door: nothing may panic, and
// what carries no valid code may not be forwarded by the peer side.
func FuzzDoor(f *testing.F) {
	keys, err := messenger.DeriveKeys(make([]byte, 32))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(tcpPacket(1, true, 3))
	f.Add(keys.AppendHintPacket(nil, picker.Hint{Hash: 1, Place: 2}))
	relay := keys.AppendRelayHeader(nil, parser.EtherIPv4, 1, picker.Trail{Hops: 1})
	f.Add(append(relay, tcpPacket(2, false, 5)[8:]...))
	sealed, err := keys.SignDatagram(messenger.DatagramSync, messenger.EncodedSyncMessage{From: "i2"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed)
	f.Add([]byte{0x3f, 0x40, 0x08, 0x00, 0, 0, 0, 0})
	sink := udp(f)
	f.Cleanup(func() { sink.Close() })
	door := openDoor(f, sink)
	f.Cleanup(func() { door.Close() })
	l := door.newLoop(discard{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 2000 {
			return
		}
		n := copy(l.buffers[0][headroom:], b)
		from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9"))
		l.out = l.out[:0]
		door.mu.Lock()
		defer door.mu.Unlock()
		l.fromFabric(0, l.buffers[0], n, from)
		copy(l.buffers[0][headroom:], b)
		before := door.counters.RelayedIn.Load()
		forwarded := door.counters.Forwarded.Load()
		l.fromPeer(0, l.buffers[0], n, from)
		if door.counters.RelayedIn.Load() == before && door.counters.Forwarded.Load() != forwarded {
			t.Fatal("forwarded without a valid relay option")
		}
	})
}

type discard struct{}

func (discard) ReadBatch([]ipv4.Message, int) (int, error)       { return 0, net.ErrClosed }
func (discard) WriteBatch(ms []ipv4.Message, _ int) (int, error) { return len(ms), nil }

func TestForgedRelaysAndHintsAreDropped(t *testing.T) {
	is := is.New(t)
	sink := udp(t)
	defer sink.Close()
	f := openDoor(t, sink)
	defer f.Close()
	l := f.newLoop(discard{})
	other, err := messenger.DeriveKeys(append(make([]byte, 31), 1))
	is.NoErr(err)
	inner := tcpPacket(2, false, 5)[parser.GeneveHeaderSize:]
	pkt, _ := parser.ReadInner(inner, parser.EtherIPv4)
	forged := append(other.AppendRelayHeader(nil, parser.EtherIPv4, pkt.Key.Hash(f.keys.FlowHashSeed), picker.Trail{Hops: 1}), inner...)
	moved := append(f.keys.AppendRelayHeader(nil, parser.EtherIPv4, 12345, picker.Trail{Hops: 1}), inner...) // valid for another flow
	sealed, err := other.SignDatagram(messenger.DatagramSync, messenger.EncodedSyncMessage{From: "i2"})
	is.NoErr(err)
	for i, b := range [][]byte{forged, moved, other.AppendHintPacket(nil, picker.Hint{Hash: 1, Place: 2}), sealed} {
		n := copy(l.buffers[0][headroom:], b)
		f.mu.Lock()
		l.fromPeer(0, l.buffers[0], n, &net.UDPAddr{})
		f.mu.Unlock()
		is.Equal(f.counters.Forged.Load(), uint64(i+1))
	}
	is.Equal(f.counters.Forwarded.Load(), uint64(0))
	is.Equal(f.Sizes(), picker.Sizes{})
}

// blast sends packets of many flows to a socket until stop is closed.
func blast(b *testing.B, to netip.AddrPort, stop chan struct{}) {
	const flows, senders = 256, 3
	for s := range senders {
		c := udp(b)
		var ms []ipv4.Message
		for i := range batchSize {
			ms = append(ms, ipv4.Message{Buffers: [][]byte{tcpPacket(s*flows+i%flows, false, 64)}, Addr: net.UDPAddrFromAddrPort(to)})
		}
		go func() {
			defer c.Close()
			batch := batchOf(c)
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

// swallow reads what arrives at a socket until it is closed.
func swallow(c *net.UDPConn) {
	var ms []ipv4.Message
	for range batchSize {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, 2048)}})
	}
	batch := batchOf(c)
	for {
		if _, err := batch.ReadBatch(ms, 0); err != nil {
			return
		}
	}
}

// bare reads batches from one socket and writes them to another place, nothing more.
func bare(in *net.UDPConn, to netip.AddrPort, count *atomic.Uint64) {
	var ms []ipv4.Message
	for range batchSize {
		ms = append(ms, ipv4.Message{Buffers: [][]byte{make([]byte, 2048)}})
	}
	out := make([]ipv4.Message, batchSize)
	target := net.UDPAddrFromAddrPort(to)
	batch := batchOf(in)
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

// BenchmarkDoor compares the flow door with the bare loop, packets a second each.
func BenchmarkDoor(b *testing.B) {
	run := func(b *testing.B, to netip.AddrPort, count func() uint64) {
		stop := make(chan struct{})
		blast(b, to, stop)
		ticks, end := wallClock{}.Ticker(time.Millisecond)
		defer end()
		for count() < 1000 {
			<-ticks
		}
		begun, first := time.Now(), count()
		b.ResetTimer()
		for count()-first < uint64(b.N) {
			<-ticks
		}
		b.ReportMetric(float64(count()-first)/time.Since(begun).Seconds(), "packets/s")
		close(stop)
	}
	b.Run("bare", func(b *testing.B) {
		in, sink := udp(b), udp(b)
		var n atomic.Uint64
		go swallow(sink)
		go bare(in, at(sink), &n)
		run(b, at(in), n.Load)
		in.Close()
		sink.Close()
	})
	b.Run("door", func(b *testing.B) {
		sink := udp(b)
		f := openDoor(b, sink)
		go swallow(sink)
		run(b, at(f.flow), f.counters.Forwarded.Load)
		f.Close()
		sink.Close()
	})
}
