package parser

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
)

// Transport protocols (IANA numbers).
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// TCP flag bits.
const (
	flagFIN = 0x01
	flagSYN = 0x02
	flagRST = 0x04
	flagACK = 0x10
)

const (
	ipv4MinHeaderSize = 20 // bytes
	ipv6HeaderSize    = 40 // bytes
	tcpMinHeaderSize  = 20 // bytes
	udpHeaderSize     = 8  // bytes
)

// FlowKey is the five-tuple that identifies a flow. IPv4 addresses are stored in
// their IPv6-mapped form. The struct contains no pointers.
type FlowKey struct {
	CallerIP    [16]byte
	ServiceIP   [16]byte
	CallerPort  uint16
	ServicePort uint16
	Protocol    uint8
}

// CallerAddrPort returns the caller's address and port, with IPv4 unmapped.
func (k FlowKey) CallerAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.CallerIP).Unmap(), k.CallerPort)
}

// ServiceAddrPort returns the service's address and port, with IPv4 unmapped.
func (k FlowKey) ServiceAddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.ServiceIP).Unmap(), k.ServicePort)
}

// Hash returns the SipHash of the flow key under a secret key. With 64 bits the
// probability that two of a million open flows have the same hash is 3 in 100
// million; the secret key keeps callers from constructing such a pair.
//
// IPv4 flows are hashed with 4-byte addresses, which takes two SipHash blocks instead of
// five.
func (k *FlowKey) Hash(key SipHashKey) uint64 {
	var b [37]byte
	if k.CallerIP[10] == 0xff && isIPv4Mapped(&k.CallerIP) && isIPv4Mapped(&k.ServiceIP) {
		copy(b[0:4], k.CallerIP[12:])
		copy(b[4:8], k.ServiceIP[12:])
		binary.BigEndian.PutUint16(b[8:], k.CallerPort)
		binary.BigEndian.PutUint16(b[10:], k.ServicePort)
		b[12] = k.Protocol
		return siphash.Hash(key.K0, key.K1, b[:13])
	}
	copy(b[0:16], k.CallerIP[:])
	copy(b[16:32], k.ServiceIP[:])
	binary.BigEndian.PutUint16(b[32:], k.CallerPort)
	binary.BigEndian.PutUint16(b[34:], k.ServicePort)
	b[36] = k.Protocol
	return siphash.Hash(key.K0, key.K1, b[:])
}

// isIPv4Mapped reports whether a is an IPv4 address in IPv6-mapped form.
func isIPv4Mapped(a *[16]byte) bool {
	return binary.BigEndian.Uint64(a[:]) == 0 && binary.BigEndian.Uint32(a[8:]) == 0xffff
}

// SipHashKey is a secret SipHash key. All instances of a group use the same key, so
// that they compute the same flow hashes.
type SipHashKey struct {
	K0, K1 uint64
}

// Packet holds the header fields of an inner packet that flow decisions depend on.
type Packet struct {
	Key         FlowKey
	SYN         bool // TCP SYN without ACK
	FINOrRST    bool // TCP FIN or RST
	RST         bool // TCP RST
	TCPSequence uint32
	IPLength    int // bytes of the inner packet without padding
}

// ParseInner decodes the IP and transport headers of an inner packet. Fragments, IPv6
// extension headers and transport protocols other than TCP and UDP are faults.
func ParseInner(packet []byte, etherType uint16) (Packet, Fault) {
	if etherType == EtherTypeIPv4 {
		return parseIPv4(packet)
	}
	return parseIPv6(packet)
}

func parseIPv4(b []byte) (Packet, Fault) {
	var p Packet
	if len(b) < ipv4MinHeaderSize {
		return p, FaultShort
	}
	if b[0]>>4 != 4 {
		return p, FaultAddressFamily
	}
	headerSize := int(b[0]&0x0f) * 4
	if headerSize < ipv4MinHeaderSize || headerSize > len(b) {
		return p, FaultHeaderLength
	}
	totalLength := int(binary.BigEndian.Uint16(b[2:]))
	if totalLength < headerSize || totalLength > len(b) {
		return p, FaultTotalLength
	}
	const fragmentMask = 0x3fff
	if binary.BigEndian.Uint16(b[6:])&fragmentMask != 0 {
		return p, FaultFragment
	}
	p.Key.Protocol = b[9]
	setIPv4Mapped(&p.Key.CallerIP, b[12:16])
	setIPv4Mapped(&p.Key.ServiceIP, b[16:20])
	p.IPLength = totalLength
	return parseTransport(p, b[headerSize:totalLength])
}

func parseIPv6(b []byte) (Packet, Fault) {
	var p Packet
	if len(b) < ipv6HeaderSize {
		return p, FaultShort
	}
	if b[0]>>4 != 6 {
		return p, FaultAddressFamily
	}
	totalLength := ipv6HeaderSize + int(binary.BigEndian.Uint16(b[4:]))
	if totalLength > len(b) {
		return p, FaultTotalLength
	}
	const ipv6FragmentHeader = 44
	if b[6] == ipv6FragmentHeader {
		return p, FaultFragment
	}
	p.Key.Protocol = b[6]
	copy(p.Key.CallerIP[:], b[8:24])
	copy(p.Key.ServiceIP[:], b[24:40])
	p.IPLength = totalLength
	return parseTransport(p, b[ipv6HeaderSize:totalLength])
}

func setIPv4Mapped(dst *[16]byte, v4 []byte) {
	dst[10] = 0xff
	dst[11] = 0xff
	copy(dst[12:], v4)
}

func parseTransport(p Packet, b []byte) (Packet, Fault) {
	switch p.Key.Protocol {
	case ProtocolTCP:
		return parseTCP(p, b)
	case ProtocolUDP:
		return parseUDP(p, b)
	}
	return p, FaultTransport
}

func parseTCP(p Packet, b []byte) (Packet, Fault) {
	if len(b) < tcpMinHeaderSize {
		return p, FaultTransport
	}
	if headerSize := int(b[12]>>4) * 4; headerSize < tcpMinHeaderSize || headerSize > len(b) {
		return p, FaultHeaderLength
	}
	flags := b[13]
	if flags&flagSYN != 0 && flags&(flagFIN|flagRST) != 0 {
		return p, FaultTCPFlags
	}
	p.Key.CallerPort = binary.BigEndian.Uint16(b)
	p.Key.ServicePort = binary.BigEndian.Uint16(b[2:])
	p.TCPSequence = binary.BigEndian.Uint32(b[4:])
	p.SYN = flags&(flagSYN|flagACK) == flagSYN
	p.RST = flags&flagRST != 0
	p.FINOrRST = flags&(flagFIN|flagRST) != 0
	return p, FaultNone
}

func parseUDP(p Packet, b []byte) (Packet, Fault) {
	if len(b) < udpHeaderSize {
		return p, FaultTransport
	}
	if length := int(binary.BigEndian.Uint16(b[4:])); length < udpHeaderSize || length > len(b) {
		return p, FaultTotalLength
	}
	p.Key.CallerPort = binary.BigEndian.Uint16(b)
	p.Key.ServicePort = binary.BigEndian.Uint16(b[2:])
	return p, FaultNone
}
