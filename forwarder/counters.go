package forwarder

import (
	"sync/atomic"

	"almondpick/parser"
	"almondpick/picker"
)

// Capacities of the arrays by fault and by reason, which have room for all values.
const (
	faultCapacity  = 32
	reasonCapacity = 32
)

// Counters are the totals since the start of a Forwarder. ControlBytesReceived counts the
// signed datagrams: sync messages and gossip. ControlBytesSent counts the hints too.
type Counters struct {
	PacketsReceived, PacketsRelayed, PacketsForwarded, PacketsRefused, PacketsTooBig, DatagramsForged atomic.Uint64
	RelaysReceived, HintsSent, HintsReceived, SendErrors                                              atomic.Uint64
	ControlBytesReceived, ControlBytesSent, ControlDatagramsDropped                                   atomic.Uint64
	RecordsSent, RecordsReceived                                                                      atomic.Uint64

	faults  [faultCapacity]atomic.Uint64
	reasons [reasonCapacity]atomic.Uint64
}

// PacketsDropped returns the number of packets dropped for a fault.
func (c *Counters) PacketsDropped(f parser.Fault) uint64 {
	return c.faults[f].Load()
}

// Decisions returns the number of decisions with a reason.
func (c *Counters) Decisions(r picker.Reason) uint64 {
	return c.reasons[r].Load()
}
