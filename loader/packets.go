package loader

import (
	"net"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"almondpick/parser"
)

const hopLimit = 64

// segment is one TCP segment between a caller and a service.
type segment struct {
	from, to netip.AddrPort
	syn, ack bool
	fin, rst bool
	seq      uint32
	ackNo    uint32
	payload  []byte
}

// encode returns the IP packet of the segment.
func (s segment) encode() []byte {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.from.Port()), DstPort: layers.TCPPort(s.to.Port()),
		SYN: s.syn, ACK: s.ack, FIN: s.fin, RST: s.rst, Seq: s.seq, Ack: s.ackNo, Window: 65535,
	}
	src, dst := net.IP(s.from.Addr().AsSlice()), net.IP(s.to.Addr().AsSlice())
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if s.from.Addr().Is4() {
		v4 := &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
		ip, network = v4, v4
	} else {
		v6 := &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
		ip, network = v6, v6
	}
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		panic(err) // only for network layers that are neither IPv4 nor IPv6
	}
	b := gopacket.NewSerializeBuffer()
	o := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, o, ip, tcp, gopacket.Payload(s.payload)); err != nil {
		panic(err) // only for layers that do not fit together
	}
	return b.Bytes()
}

// decode reads a segment from an IP packet. ok is false for anything else.
func decode(b []byte) (segment, bool) {
	if len(b) == 0 {
		return segment{}, false
	}
	first := layers.LayerTypeIPv4
	if b[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	p := gopacket.NewPacket(b, first, gopacket.DecodeOptions{Lazy: true, NoCopy: true})
	tcp, ok := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if !ok || p.NetworkLayer() == nil {
		return segment{}, false
	}
	flow := p.NetworkLayer().NetworkFlow()
	src, _ := netip.AddrFromSlice(flow.Src().Raw())
	dst, _ := netip.AddrFromSlice(flow.Dst().Raw())
	return segment{
		from: netip.AddrPortFrom(src, uint16(tcp.SrcPort)), to: netip.AddrPortFrom(dst, uint16(tcp.DstPort)),
		syn: tcp.SYN, ack: tcp.ACK, fin: tcp.FIN, rst: tcp.RST, seq: tcp.Seq, ackNo: tcp.Ack, payload: tcp.Payload,
	}, true
}

func etherOf(a netip.Addr) uint16 {
	if a.Is4() {
		return parser.EtherTypeIPv4
	}
	return parser.EtherTypeIPv6
}

// encapsulate wraps an IP packet for an instance.
func encapsulate(ip []byte, from netip.Addr) []byte {
	b := parser.AppendGeneve(make([]byte, 0, parser.GeneveHeaderSize+len(ip)), false, etherOf(from), 0, parser.GeneveOption{})
	return append(b, ip...)
}
