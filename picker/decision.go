package picker

import (
	"net/netip"

	"almondpick/parser"
)

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Drop: count it under Decision.Reason and forget it.
	Drop Verdict = iota
	// Forward: send it to Decision.Endpoint.
	Forward
	// Relay: send it to the instance Decision.To with Decision.Trail.
	Relay
	// Refuse: answer the caller that nothing was taken.
	Refuse
)

// Reason tells why a decision fell as it did. It is a metric label.
type Reason uint8

// The reasons.
const (
	ReasonKnown Reason = iota
	ReasonPicked
	ReasonSecondChoice
	ReasonDerived
	ReasonRepicked
	ReasonToOwner
	ReasonRenewal
	ReasonAsk
	ReasonReturned
	ReasonNoAddress
	ReasonNoTarget
	ReasonNoOwner
	ReasonHops
	reasonCount
)

var reasonNames = [reasonCount]string{
	"known", "picked", "second-choice", "derived", "repicked", "to-owner", "renewal",
	"ask", "returned", "no-address", "no-target", "no-owner", "hops",
}

// String returns the kebab-case name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// RelayHeader travels with a relayed packet.
type RelayHeader struct {
	Hops            uint8
	IngressInstance MemberID // the instance that got the packet from the fabric
	LookupOwner     MemberID // the owner that did not know the flow, or 0
	VisitedMembers  uint64   // a bit for each member that the question has reached
	KnownAtIngress  bool     // Origin knows the flow and tells the owner that it is alive
}

// Hint tells other instances where a flow goes.
type Hint struct {
	FlowHash    uint64
	Target      TargetID
	SYNSequence uint32
	// ReceiverOwnsFlow: the receiver is the owner and now decides about the flow.
	ReceiverOwnsFlow bool
}

// Decision is the answer to one packet.
type Decision struct {
	Verdict     Verdict
	Reason      Reason
	RelayTo     MemberID
	RelayHeader RelayHeader
	Endpoint    netip.AddrPort
	Hint        Hint
	// HintToIngress and HintAsker name the instances to send Hint to, or are 0.
	HintToIngress          MemberID
	HintToLookupOwner      MemberID
	HintToTargetDataCentre MemberID // keeps the flow near its target
	// HintToAllMembers is set when others may remember an older place of the flow: Hint goes
	// to every member.
	HintToAllMembers bool
}

// packetInfo is what one decision works on.
type packetInfo struct {
	parser.Packet
	flowHash uint64
	relay    RelayHeader
}

// memberBit returns the bit of a member in Trail.Asked. Two members may share one; a
// question then reaches only one of them.
func memberBit(id MemberID) uint64 {
	return 1 << (uint64(id) & 63)
}

// Reasons returns every reason, for metrics that are registered ahead.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
