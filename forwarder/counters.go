package forwarder

import (
	"sync/atomic"

	"almondpick/parser"
	"almondpick/picker"
)

const (
	faultCapacity  = 32
	reasonCapacity = 32
)

// Counters are the running totals of a flow door.
type Counters struct {
	PacketsReceived, PacketsRelayed, PacketsForwarded, PacketsRefused, PacketsTooBig, DatagramsForged atomic.Uint64
	RelaysReceived, HintsSent, HintsReceived, SendErrors                                              atomic.Uint64
	ControlBytesReceived, ControlBytesSent, ControlDatagramsDropped                                   atomic.Uint64 // bytes, bytes, datagrams
	RecordsSent, RecordsReceived                                                                      atomic.Uint64

	faults  [faultCapacity]atomic.Uint64
	reasons [reasonCapacity]atomic.Uint64
}

// PacketsDropped returns how many packets were dropped for a fault.
func (c *Counters) PacketsDropped(f parser.Fault) uint64 {
	return c.faults[f].Load()
}

// Decisions returns how many decisions fell for a reason.
func (c *Counters) Decisions(r picker.Reason) uint64 {
	return c.reasons[r].Load()
}
