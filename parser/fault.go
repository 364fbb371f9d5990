package parser

// Fault says why a packet was not accepted. It is an error and a metric label.
type Fault uint8

// The faults that Geneve and Inner report.
const (
	FaultNone Fault = iota
	FaultShort
	FaultVersion
	FaultOptions
	FaultCriticalOption
	FaultProtocol
	FaultAddressFamily
	FaultHeaderLength
	FaultTotalLength
	FaultFragment
	FaultTransport
	FaultTCPFlags
	faultCount
)

var faultNames = [faultCount]string{
	"none", "short", "version", "options", "critical-option", "protocol", "address-family",
	"header-length", "total-length", "fragment", "transport", "flags",
}

// Faults returns every fault but FaultNone, for metrics that are registered ahead.
func Faults() []Fault {
	all := make([]Fault, 0, faultCount-1)
	for f := FaultNone + 1; f < faultCount; f++ {
		all = append(all, f)
	}
	return all
}

// Name returns the kebab-case name of the fault.
func (f Fault) Name() string {
	if f >= faultCount {
		return "unknown"
	}
	return faultNames[f]
}

// Error implements error.
func (f Fault) Error() string {
	return "packet rejected: " + f.Name()
}
