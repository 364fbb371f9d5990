// Package parser reads and writes the packets of the flow door: Geneve
// (RFC 8926) around IPv4 or IPv6 around TCP or UDP. Reading allocates nothing
// and never looks beyond the bytes it was given.
package parser

import "encoding/binary"

// Sizes of the Geneve header and of its option headers, in bytes.
const (
	GeneveHeaderSize = 8
	GeneveOptionHeaderSize = 4
)

// Protocol types of the payload (IEEE EtherType values).
const (
	EtherTypeIPv4 uint16 = 0x0800
	EtherTypeIPv6 uint16 = 0x86dd
	// EtherTypeNone marks a control packet, which carries options alone.
	EtherTypeNone uint16 = 0
)

const (
	geneveControl  = 0x80
	geneveCritical = 0x40
	optionCritical = 0x80
)

// GeneveOption is one Geneve option. Data shares memory with the packet.
type GeneveOption struct {
	Class uint16
	Type  uint8
	Data  []byte
}

// GenevePacket is a decoded GenevePacket header. Payload and Options share memory with the
// datagram that they were read from.
type GenevePacket struct {
	Control  bool
	EtherType uint16
	VNI  uint32
	Options  []byte
	Payload  []byte
}

// ParseGeneve decodes the header of datagram. The fault is FaultShort,
// FaultVersion, FaultOptions or FaultProtocol when it does not hold together.
func ParseGeneve(datagram []byte) (GenevePacket, Fault) {
	var g GenevePacket
	if len(datagram) < GeneveHeaderSize {
		return g, FaultShort
	}
	if datagram[0]>>6 != 0 {
		return g, FaultVersion
	}
	end := GeneveHeaderSize + int(datagram[0]&0x3f)*4
	if len(datagram) < end {
		return g, FaultOptions
	}
	g.Control = datagram[1]&geneveControl != 0
	g.EtherType = binary.BigEndian.Uint16(datagram[2:])
	g.VNI = binary.BigEndian.Uint32(datagram[4:]) >> 8
	g.Options = datagram[GeneveHeaderSize:end]
	g.Payload = datagram[end:]
	if g.Control {
		return g, FaultNone
	}
	if g.EtherType != EtherTypeIPv4 && g.EtherType != EtherTypeIPv6 {
		return g, FaultProtocol
	}
	if datagram[1]&geneveCritical != 0 {
		return g, unknownCritical(g.Options)
	}
	return g, FaultNone
}

// unknownCritical reports a fault when a critical option is none of ours: the
// RFC has the endpoint drop such a packet.
func unknownCritical(options []byte) Fault {
	for len(options) > 0 {
		o, rest, fault := NextOption(options)
		if fault != FaultNone {
			return fault
		}
		if o.Type&optionCritical != 0 {
			return FaultCriticalOption
		}
		options = rest
	}
	return FaultNone
}

// NextOption decodes the first of options and returns the remaining ones.
func NextOption(options []byte) (GeneveOption, []byte, Fault) {
	if len(options) < GeneveOptionHeaderSize {
		return GeneveOption{}, nil, FaultOptions
	}
	end := GeneveOptionHeaderSize + int(options[3]&0x1f)*4
	if len(options) < end {
		return GeneveOption{}, nil, FaultOptions
	}
	o := GeneveOption{
		Class: binary.BigEndian.Uint16(options),
		Type:  options[2],
		Data:  options[GeneveOptionHeaderSize:end],
	}
	return o, options[end:], FaultNone
}

// FindOption returns the first option of the given class and type, and whether
// there is one. Damaged options count as absent.
func FindOption(options []byte, class uint16, kind uint8) (GeneveOption, bool) {
	for len(options) > 0 {
		o, rest, fault := NextOption(options)
		if fault != FaultNone {
			return GeneveOption{}, false
		}
		if o.Class == class && o.Type == kind {
			return o, true
		}
		options = rest
	}
	return GeneveOption{}, false
}

// AppendGeneve appends a header with at most one option (none where o.Data is
// nil) and returns the extended slice. The length of o.Data is a multiple of 4
// and at most 124 bytes.
func AppendGeneve(dst []byte, control bool, protocol uint16, network uint32, o GeneveOption) []byte {
	words := 0
	if o.Data != nil {
		words = (GeneveOptionHeaderSize + len(o.Data)) / 4
	}
	var flags byte
	if control {
		flags = geneveControl
	}
	dst = append(dst, byte(words), flags)
	dst = binary.BigEndian.AppendUint16(dst, protocol)
	dst = binary.BigEndian.AppendUint32(dst, network<<8)
	if o.Data == nil {
		return dst
	}
	dst = binary.BigEndian.AppendUint16(dst, o.Class)
	dst = append(dst, o.Type, byte(len(o.Data)/4))
	return append(dst, o.Data...)
}
