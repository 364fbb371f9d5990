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
const RelayOverhead = parser.GeneveHeaderSize + parser.GeneveOptionHeaderSize + relaySize

const (
	relaySize = 36 // bytes: hops, known, 2 spare, origin, asker, asked, MAC
	hintSize  = 32 // bytes: flow, place, sequence, flags, 3 spare, 4 spare, MAC
	macSize   = 8  // bytes
)

// RelayFault says why a relay or hint was not accepted. It is an error and a
// metric label.
type RelayFault string

// The faults.
const (
	FaultNoOption RelayFault = "no-option"
	FaultForged   RelayFault = "forged"
	FaultHops     RelayFault = "hops"
)

// Error implements error.
func (f RelayFault) Error() string {
	return "relay rejected: " + string(f)
}

// mac authenticates an option together with the flow that its packet belongs to,
// so that an option cannot be moved to the packet of another flow.
func (k Keys) mac(option []byte, flow uint64) uint64 {
	return siphash.Hash(k.relay.K0^flow, k.relay.K1, option)
}

// AppendRelay appends the Geneve header of a relayed packet of a flow.
func (k Keys) AppendRelay(dst []byte, protocol uint16, flow uint64, t picker.RelayHeader) []byte {
	var data [relaySize]byte
	data[0] = t.Hops
	if t.KnownAtIngress {
		data[1] = 1
	}
	binary.BigEndian.PutUint64(data[4:], uint64(t.IngressInstance))
	binary.BigEndian.PutUint64(data[12:], uint64(t.LookupOwner))
	binary.BigEndian.PutUint64(data[20:], t.VisitedMembers)
	binary.BigEndian.PutUint64(data[28:], k.mac(data[:28], flow))
	return parser.AppendGeneve(dst, false, protocol, 0, parser.GeneveOption{Class: OptionClass, Type: OptionRelay, Data: data[:]})
}

// ReadRelay returns the trail of a relayed packet of a flow. The error is a
// RelayFault.
func (k Keys) ReadRelay(options []byte, flow uint64) (picker.RelayHeader, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionRelay)
	if !ok || len(o.Data) != relaySize {
		return picker.RelayHeader{}, FaultNoOption
	}
	if binary.BigEndian.Uint64(o.Data[28:]) != k.mac(o.Data[:28], flow) {
		return picker.RelayHeader{}, FaultForged
	}
	t := picker.RelayHeader{
		Hops:            o.Data[0],
		KnownAtIngress:  o.Data[1] == 1,
		IngressInstance: picker.MemberID(binary.BigEndian.Uint64(o.Data[4:])),
		LookupOwner:     picker.MemberID(binary.BigEndian.Uint64(o.Data[12:])),
		VisitedMembers:  binary.BigEndian.Uint64(o.Data[20:]),
	}
	if t.Hops == 0 {
		return picker.RelayHeader{}, FaultHops
	}
	return t, nil
}

// AppendHint appends a control packet that carries a hint.
func (k Keys) AppendHint(dst []byte, h picker.Hint) []byte {
	var data [hintSize]byte
	binary.BigEndian.PutUint64(data[0:], h.FlowHash)
	binary.BigEndian.PutUint32(data[8:], uint32(h.Target))
	binary.BigEndian.PutUint32(data[12:], h.SYNSequence)
	if h.ReceiverOwnsFlow {
		data[16] = 1
	}
	at := hintSize - macSize
	binary.BigEndian.PutUint64(data[at:], k.mac(data[:at], h.FlowHash))
	return parser.AppendGeneve(dst, true, parser.EtherTypeNone, 0, parser.GeneveOption{Class: OptionClass, Type: OptionHint, Data: data[:]})
}

// ReadHint returns the hint of a control packet. The error is a RelayFault.
func (k Keys) ReadHint(options []byte) (picker.Hint, error) {
	o, ok := parser.FindOption(options, OptionClass, OptionHint)
	if !ok || len(o.Data) != hintSize {
		return picker.Hint{}, FaultNoOption
	}
	at := hintSize - macSize
	flow := binary.BigEndian.Uint64(o.Data)
	if binary.BigEndian.Uint64(o.Data[at:]) != k.mac(o.Data[:at], flow) {
		return picker.Hint{}, FaultForged
	}
	return picker.Hint{
		FlowHash:         flow,
		Target:           picker.TargetID(binary.BigEndian.Uint32(o.Data[8:])),
		SYNSequence:      binary.BigEndian.Uint32(o.Data[12:]),
		ReceiverOwnsFlow: o.Data[16] == 1,
	}, nil
}
