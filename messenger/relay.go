package messenger

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"almondpick/parser"
	"almondpick/picker"
)

// Geneve options of ours, in the class range for experimental use.
const (
	OptionClass = 0xffa1
	OptionRelay = 0x01
	OptionHint  = 0x02
)

// RelayOverhead is what a relay adds to the inner packet, in bytes: the Geneve
// header, the option header and the option.
const RelayOverhead = parser.GeneveHeaderSize + parser.OptionHeaderSize + relayOptionSize

const (
	relayOptionSize = 36 // bytes: hops, known, 2 spare, origin, asker, asked, MAC
	hintOptionSize  = 32 // bytes: flow, place, sequence, flags, 3 spare, 4 spare, MAC
	optionMACSize   = 8  // bytes
)

// RelayFault says why a relay or hint was not accepted. It is an error and a
// metric label.
type RelayError string

// The faults.
const (
	RelayErrorNoOption RelayError = "no-option"
	RelayErrorForged   RelayError = "forged"
	RelayErrorZeroHops RelayError = "hops"
)

// Error implements error.
func (f RelayError) Error() string {
	return "relay rejected: " + string(f)
}

// mac authenticates an option together with the flow that its packet belongs to,
// so that an option cannot be moved to the packet of another flow.
func (k DerivedKeys) optionMAC(option []byte, flow uint64) uint64 {
	return siphash.Hash(k.optionMACSeed.K0^flow, k.optionMACSeed.K1, option)
}

// AppendRelay appends the Geneve header of a relayed packet of a flow.
func (k DerivedKeys) AppendRelayHeader(dst []byte, protocol uint16, flow uint64, t picker.Trail) []byte {
	var data [relayOptionSize]byte
	data[0] = t.Hops
	if t.Known {
		data[1] = 1
	}
	binary.BigEndian.PutUint64(data[4:], uint64(t.Origin))
	binary.BigEndian.PutUint64(data[12:], uint64(t.Asker))
	binary.BigEndian.PutUint64(data[20:], t.Asked)
	binary.BigEndian.PutUint64(data[28:], k.optionMAC(data[:28], flow))
	return parser.AppendGeneve(dst, false, protocol, 0, parser.Option{Class: OptionClass, Type: OptionRelay, Data: data[:]})
}

// ReadRelay returns the trail of a relayed packet of a flow. The error is a
// RelayFault.
func (k DerivedKeys) ParseRelayOption(options []byte, flow uint64) (picker.Trail, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionRelay)
	if !ok || len(o.Data) != relayOptionSize {
		return picker.Trail{}, RelayErrorNoOption
	}
	if binary.BigEndian.Uint64(o.Data[28:]) != k.optionMAC(o.Data[:28], flow) {
		return picker.Trail{}, RelayErrorForged
	}
	t := picker.Trail{
		Hops:   o.Data[0],
		Known:  o.Data[1] == 1,
		Origin: picker.MemberID(binary.BigEndian.Uint64(o.Data[4:])),
		Asker:  picker.MemberID(binary.BigEndian.Uint64(o.Data[12:])),
		Asked:  binary.BigEndian.Uint64(o.Data[20:]),
	}
	if t.Hops == 0 {
		return picker.Trail{}, RelayErrorZeroHops
	}
	return t, nil
}

// AppendHint appends a control packet that carries a hint.
func (k DerivedKeys) AppendHintPacket(dst []byte, h picker.Hint) []byte {
	var data [hintOptionSize]byte
	binary.BigEndian.PutUint64(data[0:], h.Hash)
	binary.BigEndian.PutUint32(data[8:], uint32(h.Place))
	binary.BigEndian.PutUint32(data[12:], h.Sequence)
	if h.Authoritative {
		data[16] = 1
	}
	macOffset := hintOptionSize - optionMACSize
	binary.BigEndian.PutUint64(data[macOffset:], k.optionMAC(data[:macOffset], h.Hash))
	return parser.AppendGeneve(dst, true, parser.EtherNone, 0, parser.Option{Class: OptionClass, Type: OptionHint, Data: data[:]})
}

// ReadHint returns the hint of a control packet. The error is a RelayFault.
func (k DerivedKeys) ParseHintOption(options []byte) (picker.Hint, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionHint)
	if !ok || len(o.Data) != hintOptionSize {
		return picker.Hint{}, RelayErrorNoOption
	}
	macOffset := hintOptionSize - optionMACSize
	flow := binary.BigEndian.Uint64(o.Data)
	if binary.BigEndian.Uint64(o.Data[macOffset:]) != k.optionMAC(o.Data[:macOffset], flow) {
		return picker.Hint{}, RelayErrorForged
	}
	return picker.Hint{
		Hash:          flow,
		Place:         picker.PlaceID(binary.BigEndian.Uint32(o.Data[8:])),
		Sequence:      binary.BigEndian.Uint32(o.Data[12:]),
		Authoritative: o.Data[16] == 1,
	}, nil
}
