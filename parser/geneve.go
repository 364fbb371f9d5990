// Package parser decodes and encodes the packets that carry flows: TCP or UDP in
// IPv4 or IPv6, encapsulated in Geneve (RFC 8926). Decoding allocates no memory and
// never reads beyond the given slice.
package parser

import "encoding/binary"

// Sizes of the fixed Geneve header and of the header of one option, in bytes.
const (
	GeneveHeaderSize       = 8
	GeneveOptionHeaderSize = 4
)

// Protocol types of a Geneve payload, as IEEE EtherType values.
const (
	EtherTypeIPv4 uint16 = 0x0800
	EtherTypeIPv6 uint16 = 0x86dd
	// EtherTypeNone is the protocol type of a control packet, which has options and
	// no payload.
	EtherTypeNone uint16 = 0
)

// Flag bits of the second header byte, and of the type byte of an option.
const (
	geneveControlFlag  = 0x80
	geneveCriticalFlag = 0x40
	optionCriticalFlag = 0x80
)

// GeneveOption is one Geneve option. Data shares memory with the datagram that the
// option was decoded from.
type GeneveOption struct {
	Class uint16
	Type  uint8
	Data  []byte
}

// GenevePacket is a decoded Geneve packet. Options and Payload share memory with the
// datagram that the packet was decoded from.
type GenevePacket struct {
	Control   bool
	EtherType uint16
	VNI       uint32
	Options   []byte
	Payload   []byte
}

// ParseGeneve decodes the Geneve header of datagram. For an invalid header the fault
// is FaultShort, FaultVersion, FaultOptions, FaultProtocol or FaultCriticalOption.
// Critical options and the protocol type are not checked in a control packet.
func ParseGeneve(datagram []byte) (GenevePacket, Fault) {
	var packet GenevePacket
	if len(datagram) < GeneveHeaderSize {
		return packet, FaultShort
	}
	if datagram[0]>>6 != 0 {
		return packet, FaultVersion
	}
	headerEnd := GeneveHeaderSize + int(datagram[0]&0x3f)*4
	if len(datagram) < headerEnd {
		return packet, FaultOptions
	}
	packet.Control = datagram[1]&geneveControlFlag != 0
	packet.EtherType = binary.BigEndian.Uint16(datagram[2:])
	packet.VNI = binary.BigEndian.Uint32(datagram[4:]) >> 8
	packet.Options = datagram[GeneveHeaderSize:headerEnd]
	packet.Payload = datagram[headerEnd:]
	if packet.Control {
		return packet, FaultNone
	}
	if packet.EtherType != EtherTypeIPv4 && packet.EtherType != EtherTypeIPv6 {
		return packet, FaultProtocol
	}
	if datagram[1]&geneveCriticalFlag != 0 {
		return packet, rejectCriticalOption(packet.Options)
	}
	return packet, FaultNone
}

// rejectCriticalOption returns FaultCriticalOption if any option is critical. This
// package implements no critical option, and RFC 8926 has an endpoint drop a packet
// with a critical option that it does not know.
func rejectCriticalOption(options []byte) Fault {
	for len(options) > 0 {
		option, rest, fault := NextOption(options)
		if fault != FaultNone {
			return fault
		}
		if option.Type&optionCriticalFlag != 0 {
			return FaultCriticalOption
		}
		options = rest
	}
	return FaultNone
}

// NextOption decodes the first option and returns the bytes of the remaining ones.
// The fault is FaultOptions when the first option is truncated.
func NextOption(options []byte) (GeneveOption, []byte, Fault) {
	if len(options) < GeneveOptionHeaderSize {
		return GeneveOption{}, nil, FaultOptions
	}
	optionEnd := GeneveOptionHeaderSize + int(options[3]&0x1f)*4
	if len(options) < optionEnd {
		return GeneveOption{}, nil, FaultOptions
	}
	option := GeneveOption{
		Class: binary.BigEndian.Uint16(options),
		Type:  options[2],
		Data:  options[GeneveOptionHeaderSize:optionEnd],
	}
	return option, options[optionEnd:], FaultNone
}

// FindOption returns the first option of the given class and type, and whether there
// is one. A truncated option and those behind it count as absent.
func FindOption(options []byte, class uint16, optionType uint8) (GeneveOption, bool) {
	for len(options) > 0 {
		o, rest, fault := NextOption(options)
		if fault != FaultNone {
			return GeneveOption{}, false
		}
		if o.Class == class && o.Type == optionType {
			return o, true
		}
		options = rest
	}
	return GeneveOption{}, false
}

// AppendGeneve appends a Geneve header to dst and returns the extended slice. The
// header has the given option, or no option if option.Data is nil. The length of
// option.Data must be a multiple of 4 and at most 124 bytes.
func AppendGeneve(dst []byte, control bool, etherType uint16, vni uint32, option GeneveOption) []byte {
	optionWords := 0
	if option.Data != nil {
		optionWords = (GeneveOptionHeaderSize + len(option.Data)) / 4
	}
	var flags byte
	if control {
		flags = geneveControlFlag
	}
	dst = append(dst, byte(optionWords), flags)
	dst = binary.BigEndian.AppendUint16(dst, etherType)
	dst = binary.BigEndian.AppendUint32(dst, vni<<8)
	if option.Data == nil {
		return dst
	}
	dst = binary.BigEndian.AppendUint16(dst, option.Class)
	dst = append(dst, option.Type, byte(len(option.Data)/4))
	return append(dst, option.Data...)
}
