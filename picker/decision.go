package picker

import (
	"net/netip"

	"almondpick/parser"
)

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	// Drop discards the packet and counts it under Decision.Reason.
	Drop Verdict = iota
	// Forward sends the packet to the target at Decision.Endpoint.
	Forward
	// Relay sends the packet to the instance Decision.RelayTo with
	// Decision.RelayHeader.
	Relay
	// Refuse discards the packet and tells the caller so.
	Refuse
)

// Reason is the reason of a decision. Its name is a metric label.
type Reason uint8

// The reasons.
const (
	ReasonKnown         Reason = iota // the flow is in the table
	ReasonPicked                      // new flow on the target that ranks first
	ReasonSecondChoice                // new flow on the second target, as the first is overloaded
	ReasonDefaultTarget               // unknown flow, sent to its default target
	ReasonRepicked                    // retransmitted SYN, moved from a failed target
	ReasonToOwner                     // relayed to the owner, as the flow is not known here
	ReasonRenewal                     // relayed to the owner to show that the flow is active
	ReasonLookup                      // relayed to another member to look the flow up
	ReasonReturned                    // relayed back to the owner that started the lookup
	ReasonNoAddress                   // no service has the destination address
	ReasonNoTarget                    // the service has no target that can take the flow
	ReasonNoOwner                     // no member owns flows
	ReasonHops                        // the packet was relayed too often
	reasonCount
)

var reasonNames = [reasonCount]string{
	"known", "picked", "second-choice", "derived", "repicked", "to-owner", "renewal",
	"ask", "returned", "no-address", "no-target", "no-owner", "hops",
}

// String returns the kebab-case name of the reason, or "unknown".
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// RelayHeader is sent along with a relayed packet.
type RelayHeader struct {
	Hops            uint8
	IngressInstance MemberID // the instance that received the packet from the fabric
	LookupOwner     MemberID // the owner that looks the flow up, or 0
	VisitedMembers  uint64   // the memberBit of each member that the lookup has reached
	KnownAtIngress  bool     // IngressInstance knows the flow and reports it as active
}

// Hint tells another instance the target of a flow. SYNSequence is the TCP sequence
// number of the flow's SYN.
type Hint struct {
	FlowHash    uint64
	Target      TargetID
	SYNSequence uint32
	// ReceiverOwnsFlow is set if the receiver is the owner, which decides about the
	// flow from now on.
	ReceiverOwnsFlow bool
}

// Decision says what to do with one packet.
type Decision struct {
	Verdict     Verdict
	Reason      Reason
	RelayTo     MemberID
	RelayHeader RelayHeader
	Endpoint    netip.AddrPort
	Hint        Hint
	// HintToIngress, HintToLookupOwner and HintToTargetDataCentre are instances to send
	// Hint to, or 0.
	HintToIngress          MemberID
	HintToLookupOwner      MemberID
	HintToTargetDataCentre MemberID // an instance in the data centre of the target
	// HintToAllMembers is set if Hint has to be sent to every member, because any of
	// them may have an older target of the flow.
	HintToAllMembers bool
}

// packetInfo is a packet with its flow hash and, if it was relayed, its relay header.
type packetInfo struct {
	parser.Packet
	flowHash uint64
	relay    RelayHeader
}

// memberBit returns the bit of a member in RelayHeader.VisitedMembers. Two members may
// have the same bit; a lookup then reaches only one of them.
func memberBit(id MemberID) uint64 {
	return 1 << (uint64(id) & 63)
}

// Reasons returns every reason, so that metrics can be registered before the first
// decision.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
