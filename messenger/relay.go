package messenger

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"almondpick/parser"
	"almondpick/picker"
)

// The class and types of the Geneve options of this program, in the class range for
// experimental use.
const (
	OptionClass = 0xffa1
	OptionRelay = 0x01
	OptionHint  = 0x02
)

// RelayOverhead is the size, in bytes, that a relay adds to the inner packet: the Geneve header,
// the option header and the option.
const RelayOverhead = parser.GeneveHeaderSize + parser.GeneveOptionHeaderSize + relayOptionSize

const (
	// relayOptionSize is the size, in bytes, of the fields of a picker.RelayHeader and the MAC:
	// 1 Hops, 1 KnownAtIngress, 2 unused, 8 IngressInstance, 8 LookupOwner, 8 VisitedMembers, 8 MAC.
	relayOptionSize = 36
	// hintOptionSize is the size, in bytes, of the fields of a picker.Hint and the MAC: 8 FlowHash,
	// 4 Target, 4 SYNSequence, 1 ReceiverOwnsFlow, 7 unused, 8 MAC.
	hintOptionSize = 32
	optionMACSize  = 8 // bytes
)

// RelayError is the reason why a relayed packet or a hint was rejected.
type RelayError string

// The reasons for a RelayError.
const (
	RelayErrorNoOption RelayError = "no-option" // the option is missing or has the wrong size
	RelayErrorForged   RelayError = "forged"    // the MAC does not match
	RelayErrorZeroHops RelayError = "hops"      // the hop count is 0
)

// Error implements error.
func (e RelayError) Error() string {
	return "relay rejected: " + string(e)
}

// optionMAC returns the SipHash MAC of an option. The flow hash of the packet is part of the key,
// so that an option cannot be moved to a packet of another flow.
func (k DerivedKeys) optionMAC(option []byte, flowHash uint64) uint64 {
	return siphash.Hash(k.optionMACKey.K0^flowHash, k.optionMACKey.K1, option)
}

// AppendRelayHeader appends the Geneve header of a relayed packet, with the relay option.
func (k DerivedKeys) AppendRelayHeader(dst []byte, protocol uint16, flowHash uint64, h picker.RelayHeader) []byte {
	var data [relayOptionSize]byte
	data[0] = h.Hops
	if h.KnownAtIngress {
		data[1] = 1
	}
	binary.BigEndian.PutUint64(data[4:], uint64(h.IngressInstance))
	binary.BigEndian.PutUint64(data[12:], uint64(h.LookupOwner))
	binary.BigEndian.PutUint64(data[20:], h.VisitedMembers)
	binary.BigEndian.PutUint64(data[28:], k.optionMAC(data[:28], flowHash))
	return parser.AppendGeneve(dst, false, protocol, 0, parser.GeneveOption{Class: OptionClass, Type: OptionRelay, Data: data[:]})
}

// ParseRelayOption verifies and decodes the relay option of a relayed packet with the given
// flow hash. The error is a RelayError.
func (k DerivedKeys) ParseRelayOption(options []byte, flowHash uint64) (picker.RelayHeader, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionRelay)
	if !ok || len(o.Data) != relayOptionSize {
		return picker.RelayHeader{}, RelayErrorNoOption
	}
	if binary.BigEndian.Uint64(o.Data[28:]) != k.optionMAC(o.Data[:28], flowHash) {
		return picker.RelayHeader{}, RelayErrorForged
	}
	h := picker.RelayHeader{
		Hops:            o.Data[0],
		KnownAtIngress:  o.Data[1] == 1,
		IngressInstance: picker.MemberID(binary.BigEndian.Uint64(o.Data[4:])),
		LookupOwner:     picker.MemberID(binary.BigEndian.Uint64(o.Data[12:])),
		VisitedMembers:  binary.BigEndian.Uint64(o.Data[20:]),
	}
	if h.Hops == 0 {
		return picker.RelayHeader{}, RelayErrorZeroHops
	}
	return h, nil
}

// AppendHintPacket appends a Geneve control packet that carries a hint.
func (k DerivedKeys) AppendHintPacket(dst []byte, h picker.Hint) []byte {
	var data [hintOptionSize]byte
	binary.BigEndian.PutUint64(data[0:], h.FlowHash)
	binary.BigEndian.PutUint32(data[8:], uint32(h.Target))
	binary.BigEndian.PutUint32(data[12:], h.SYNSequence)
	if h.ReceiverOwnsFlow {
		data[16] = 1
	}
	macOffset := hintOptionSize - optionMACSize
	binary.BigEndian.PutUint64(data[macOffset:], k.optionMAC(data[:macOffset], h.FlowHash))
	return parser.AppendGeneve(dst, true, parser.EtherTypeNone, 0, parser.GeneveOption{Class: OptionClass, Type: OptionHint, Data: data[:]})
}

// ParseHintOption verifies and decodes the hint option of a control packet. The error is a
// RelayError.
func (k DerivedKeys) ParseHintOption(options []byte) (picker.Hint, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionHint)
	if !ok || len(o.Data) != hintOptionSize {
		return picker.Hint{}, RelayErrorNoOption
	}
	macOffset := hintOptionSize - optionMACSize
	flowHash := binary.BigEndian.Uint64(o.Data)
	if binary.BigEndian.Uint64(o.Data[macOffset:]) != k.optionMAC(o.Data[:macOffset], flowHash) {
		return picker.Hint{}, RelayErrorForged
	}
	return picker.Hint{
		FlowHash:         flowHash,
		Target:           picker.TargetID(binary.BigEndian.Uint32(o.Data[8:])),
		SYNSequence:      binary.BigEndian.Uint32(o.Data[12:]),
		ReceiverOwnsFlow: o.Data[16] == 1,
	}, nil
}
