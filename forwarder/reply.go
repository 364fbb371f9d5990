package forwarder

import (
	"net"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"almondpick/parser"
)

const (
	replyTTL       = 64
	icmpQuoteLimit = 64 // bytes of the packet that an ICMP error quotes
)

// sendRefusal replies to the caller of a packet that is not forwarded to any target: with
// a TCP reset, or for UDP with an ICMP port unreachable. No byte of the packet has been
// forwarded. A reset gets no reply.
func (l *readLoop) sendRefusal(geneve parser.GenevePacket, pkt parser.Packet) {
	if pkt.RST {
		return
	}
	if pkt.Key.Protocol == parser.ProtocolTCP {
		l.sendToCaller(geneve, pkt, resetLayers(geneve, pkt))
		return
	}
	if geneve.EtherType == parser.EtherTypeIPv4 {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)
		l.sendToCaller(geneve, pkt, icmpv4Layers(geneve, code, 0))
		return
	}
	l.sendToCaller(geneve, pkt, icmpv6Layers(layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable), 0, geneve))
}

// sendPacketTooBig tells the caller the size of the largest packet that fits, by ICMP.
func (l *readLoop) sendPacketTooBig(geneve parser.GenevePacket, pkt parser.Packet) {
	l.forwarder.counters.PacketsTooBig.Add(1)
	maxPacket := l.forwarder.maxInnerPacket()
	if geneve.EtherType == parser.EtherTypeIPv4 {
		code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)
		l.sendToCaller(geneve, pkt, icmpv4Layers(geneve, code, uint16(maxPacket)))
		return
	}
	l.sendToCaller(geneve, pkt, icmpv6Layers(layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0), uint32(maxPacket), geneve))
}

// quotedPacket returns the start of the packet that an ICMP error is about.
func quotedPacket(geneve parser.GenevePacket) gopacket.Payload {
	return gopacket.Payload(geneve.Payload[:min(icmpQuoteLimit, len(geneve.Payload))])
}

func icmpv4Layers(geneve parser.GenevePacket, code layers.ICMPv4TypeCode, mtu uint16) []gopacket.SerializableLayer {
	return []gopacket.SerializableLayer{&layers.ICMPv4{TypeCode: code, Seq: mtu}, quotedPacket(geneve)}
}

func icmpv6Layers(code layers.ICMPv6TypeCode, mtu uint32, geneve parser.GenevePacket) []gopacket.SerializableLayer {
	mtuField := gopacket.Payload{byte(mtu >> 24), byte(mtu >> 16), byte(mtu >> 8), byte(mtu)}
	return []gopacket.SerializableLayer{&layers.ICMPv6{TypeCode: code}, mtuField, quotedPacket(geneve)}
}

// resetLayers returns the TCP reset that RFC 9293 requires: it acknowledges a SYN, and has
// the acknowledgement number of any other segment as its sequence number.
func resetLayers(geneve parser.GenevePacket, pkt parser.Packet) []gopacket.SerializableLayer {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(pkt.Key.ServicePort),
		DstPort: layers.TCPPort(pkt.Key.CallerPort),
		RST:     true,
	}
	if pkt.SYN {
		tcp.ACK = true
		tcp.Ack = pkt.TCPSequence + 1
	} else {
		tcp.Seq = tcpAckNumber(geneve)
	}
	return []gopacket.SerializableLayer{tcp}
}

// tcpAckNumber returns the acknowledgement number of a TCP segment that
// parser.ParseInner has accepted.
func tcpAckNumber(geneve parser.GenevePacket) uint32 {
	tcpOffset := 40
	if geneve.EtherType == parser.EtherTypeIPv4 {
		tcpOffset = int(geneve.Payload[0]&0x0f) * 4
	}
	b := geneve.Payload[tcpOffset+8:]
	return uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3])
}

// sendToCaller sends an IP packet with the given upper layers from the service address to
// the caller. The packet goes to the address that last sent a packet from the fabric.
func (l *readLoop) sendToCaller(geneve parser.GenevePacket, pkt parser.Packet, upperLayers []gopacket.SerializableLayer) {
	fabric := l.forwarder.lastFabricAddr.Load()
	if fabric == nil {
		return
	}
	service, caller := pkt.Key.ServiceAddrPort().Addr(), pkt.Key.CallerAddrPort().Addr()
	var ipLayer gopacket.SerializableLayer
	var networkLayer gopacket.NetworkLayer
	if geneve.EtherType == parser.EtherTypeIPv4 {
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
		l.forwarder.log.Error("reply-encode-failed", "error", err)
		return
	}
	b := parser.AppendGeneve(nil, false, geneve.EtherType, geneve.VNI, parser.GeneveOption{})
	l.queueDatagram(append(b, buffer.Bytes()...), fabric)
}

// ipProtocolOf returns the IP protocol number of a reply's layer.
func ipProtocolOf(layer gopacket.SerializableLayer) layers.IPProtocol {
	switch layer.(type) {
	case *layers.ICMPv4:
		return layers.IPProtocolICMPv4
	case *layers.ICMPv6:
		return layers.IPProtocolICMPv6
	}
	return layers.IPProtocolTCP
}

// setChecksumLayer sets the network layer whose pseudo-header the checksum covers.
func setChecksumLayer(layer gopacket.SerializableLayer, network gopacket.NetworkLayer) {
	var err error
	switch t := layer.(type) {
	case *layers.TCP:
		err = t.SetNetworkLayerForChecksum(network)
	case *layers.ICMPv6:
		err = t.SetNetworkLayerForChecksum(network)
	}
	if err != nil {
		panic(err) // impossible: the network layer is IPv4 or IPv6
	}
}
