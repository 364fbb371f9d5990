package forwarder

import (
	"net"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"almondpick/parser"
)

const (
	replyTTL       = 64
	icmpQuoteLimit = 64 // of the packet that an ICMP error is about
)

// refuse answers a caller whose packet no target may get: a TCP reset, or for UDP
// that the port is unreachable. No byte of the packet went anywhere.
func (l *readLoop) sendRefusal(g parser.GenevePacket, pkt parser.Packet) {
	if pkt.RST {
		return
	}
	if pkt.Key.Protocol == parser.ProtocolTCP {
		l.sendToCaller(g, pkt, resetLayers(g, pkt))
		return
	}
	if g.EtherType == parser.EtherTypeIPv4 {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
		l.sendToCaller(g, pkt, icmpv4Layers(g, code, 0))
		return
	}
	l.sendToCaller(g, pkt, icmpv6Layers(layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable), 0, g))
}

// tooBig tells the caller the largest packet that fits.
func (l *readLoop) sendPacketTooBig(g parser.GenevePacket, pkt parser.Packet) {
	l.forwarder.counters.PacketsTooBig.Add(1)
	limit := l.forwarder.maxInnerPacket()
	if g.EtherType == parser.EtherTypeIPv4 {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)
		l.sendToCaller(g, pkt, icmpv4Layers(g, code, uint16(limit)))
		return
	}
	l.sendToCaller(g, pkt, icmpv6Layers(layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0), uint32(limit), g))
}

func quotedPacket(g parser.GenevePacket) gopacket.Payload {
	return gopacket.Payload(g.Payload[:min(icmpQuoteLimit, len(g.Payload))])
}

func icmpv4Layers(g parser.GenevePacket, code layers.ICMPv4TypeCode, mtu uint16) []gopacket.SerializableLayer {
	return []gopacket.SerializableLayer{&layers.ICMPv4{TypeCode: code, Seq: mtu}, quotedPacket(g)}
}

func icmpv6Layers(code layers.ICMPv6TypeCode, mtu uint32, g parser.GenevePacket) []gopacket.SerializableLayer {
	field := gopacket.Payload{byte(mtu >> 24), byte(mtu >> 16), byte(mtu >> 8), byte(mtu)}
	return []gopacket.SerializableLayer{&layers.ICMPv6{TypeCode: code}, field, quotedPacket(g)}
}

// resetLayers is the reset that RFC 9293 asks for: it acknowledges a SYN, and
// takes the sequence number from the acknowledgement of any other segment.
func resetLayers(g parser.GenevePacket, pkt parser.Packet) []gopacket.SerializableLayer {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(pkt.Key.ServicePort),
		DstPort: layers.TCPPort(pkt.Key.CallerPort),
		RST:     true,
	}
	if pkt.SYN {
		tcp.ACK = true
		tcp.Ack = pkt.TCPSequence + 1
	} else {
		tcp.Seq = tcpAckNumber(g)
	}
	return []gopacket.SerializableLayer{tcp}
}

// acknowledgement reads the acknowledgement number of a TCP segment that
// parser.ReadInner has accepted.
func tcpAckNumber(g parser.GenevePacket) uint32 {
	tcpOffset := 40
	if g.EtherType == parser.EtherTypeIPv4 {
		tcpOffset = int(g.Payload[0]&0x0f) * 4
	}
	b := g.Payload[tcpOffset+8:]
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// answer sends an IP packet from the service to the caller, through the fabric.
func (l *readLoop) sendToCaller(g parser.GenevePacket, pkt parser.Packet, upperLayers []gopacket.SerializableLayer) {
	fabric := l.forwarder.lastFabricAddr.Load()
	if fabric == nil {
		return
	}
	service, caller := pkt.Key.ServiceAddrPort().Addr(), pkt.Key.CallerAddrPort().Addr()
	var ipLayer gopacket.SerializableLayer
	var networkLayer gopacket.NetworkLayer
	if g.EtherType == parser.EtherTypeIPv4 {
		v4 := &layers.IPv4{
			Version: 4, TTL: replyTTL, Protocol: ipProtocolOf(upperLayers[0]),
			SrcIP: net.IP(service.AsSlice()), DstIP: net.IP(caller.AsSlice()),
		}
		ipLayer, networkLayer = v4, v4
	} else {
		v6 := &layers.IPv6{
			Version: 6, HopLimit: replyTTL, NextHeader: ipProtocolOf(upperLayers[0]),
			SrcIP: net.IP(service.AsSlice()), DstIP: net.IP(caller.AsSlice()),
		}
		ipLayer, networkLayer = v6, v6
	}
	setChecksumLayer(upperLayers[0], networkLayer)
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, append([]gopacket.SerializableLayer{ipLayer}, upperLayers...)...); err != nil {
		l.forwarder.log.Error("answer-encode-failed", "error", err)
		return
	}
	b := parser.AppendGeneve(nil, false, g.EtherType, g.VNI, parser.GeneveOption{})
	l.queueDatagram(append(b, buffer.Bytes()...), fabric)
}

func ipProtocolOf(layer gopacket.SerializableLayer) layers.IPProtocol {
	switch layer.(type) {
	case *layers.ICMPv4:
		return layers.IPProtocolICMPv4
	case *layers.ICMPv6:
		return layers.IPProtocolICMPv6
	}
	return layers.IPProtocolTCP
}

func setChecksumLayer(layer gopacket.SerializableLayer, network gopacket.NetworkLayer) {
	var err error
	switch t := layer.(type) {
	case *layers.TCP:
		err = t.SetNetworkLayerForChecksum(network)
	case *layers.ICMPv6:
		err = t.SetNetworkLayerForChecksum(network)
	}
	if err != nil {
		panic(err) // only for network layers that are neither IPv4 nor IPv6
	}
}
