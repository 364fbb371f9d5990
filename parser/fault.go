package parser

// Fault is the error that says why a packet was rejected. Its name is a metric label.
type Fault uint8

// The faults that ParseGeneve and ParseInner return.
const (
	FaultNone           Fault = iota // the packet is valid
	FaultShort                       // shorter than a Geneve or IP header
	FaultVersion                     // Geneve version other than 0
	FaultOptions                     // truncated Geneve options
	FaultCriticalOption              // Geneve option that is critical and not known
	FaultProtocol                    // Geneve protocol type other than IPv4 and IPv6
	FaultAddressFamily               // IP version that differs from the protocol type
	FaultHeaderLength                // impossible IPv4 or TCP header length
	FaultTotalLength                 // IP or UDP length below its header size or beyond the packet
	FaultFragment                    // IP fragment
	FaultTransport                   // transport other than TCP and UDP, or a truncated header
	FaultTCPFlags                    // SYN together with FIN or RST
	faultCount
)

var faultNames = [faultCount]string{
	"none", "short", "version", "options", "critical-option", "protocol", "address-family",
	"header-length", "total-length", "fragment", "transport", "flags",
}

// Faults returns every fault except FaultNone, so that metrics can be registered
// before the first fault occurs.
func Faults() []Fault {
	all := make([]Fault, 0, faultCount-1)
	for f := FaultNone + 1; f < faultCount; f++ {
		all = append(all, f)
	}
	return all
}

// Name returns the kebab-case name of the fault, or "unknown".
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
