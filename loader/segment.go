package loader

import (
	"net"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"almondpick/parser"
)

const ipHopLimit = 64

// segment is one TCP segment between a caller and a service.
type segment struct {
	source, destination netip.AddrPort
	syn, ack            bool
	fin, rst            bool
	seq                 uint32
	ackNumber           uint32
	payload             []byte
}

// encodeIPPacket returns the segment as an IP packet with checksums.
func (s segment) encodeIPPacket() []byte {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.source.Port()), DstPort: layers.TCPPort(s.destination.Port()),
		SYN: s.syn, ACK: s.ack, FIN: s.fin, RST: s.rst, Seq: s.seq, Ack: s.ackNumber, Window: 65535,
	}
	src, dst := net.IP(s.source.Addr().AsSlice()), net.IP(s.destination.Addr().AsSlice())
	var ip gopacket.SerializableLayer
	var network gopacket.NetworkLayer
	if s.source.Addr().Is4() {
		v4 := &layers.IPv4{Version: 4, TTL: ipHopLimit, Protocol: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
		ip, network = v4, v4
	} else {
		v6 := &layers.IPv6{Version: 6, HopLimit: ipHopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: src, DstIP: dst}
		ip, network = v6, v6
	}
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		panic(err) // only for network layers that are neither IPv4 nor IPv6
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, ip, tcp, gopacket.Payload(s.payload)); err != nil {
		panic(err) // only for layers that do not fit together
	}
	return buffer.Bytes()
}

// decodeIPPacket decodes an IP packet with a TCP segment. It returns false for other data.
func decodeIPPacket(ipPacket []byte) (segment, bool) {
	if len(ipPacket) == 0 {
		return segment{}, false
	}
	networkLayerType := layers.LayerTypeIPv4
	if ipPacket[0]>>4 == 6 {
		networkLayerType = layers.LayerTypeIPv6
	}
	packet := gopacket.NewPacket(ipPacket, networkLayerType, gopacket.DecodeOptions{Lazy: true, NoCopy: true})
	tcp, ok := packet.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if !ok || packet.NetworkLayer() == nil {
		return segment{}, false
	}
	flow := packet.NetworkLayer().NetworkFlow()
	src, _ := netip.AddrFromSlice(flow.Src().Raw())
	dst, _ := netip.AddrFromSlice(flow.Dst().Raw())
	return segment{
		source: netip.AddrPortFrom(src, uint16(tcp.SrcPort)), destination: netip.AddrPortFrom(dst, uint16(tcp.DstPort)),
		syn: tcp.SYN, ack: tcp.ACK, fin: tcp.FIN, rst: tcp.RST, seq: tcp.Seq, ackNumber: tcp.Ack, payload: tcp.Payload,
	}, true
}

func etherType(a netip.Addr) uint16 {
	if a.Is4() {
		return parser.EtherTypeIPv4
	}
	return parser.EtherTypeIPv6
}

// encapsulate adds the Geneve header with which the fabric sends packets to an instance.
func encapsulate(ipPacket []byte, source netip.Addr) []byte {
	packet := parser.AppendGeneve(make([]byte, 0, parser.GeneveHeaderSize+len(ipPacket)), false, etherType(source), 0, parser.GeneveOption{})
	return append(packet, ipPacket...)
}
