package configurer

import (
	"net/netip"
	"strconv"
	"time"
)

// NodeSettings are the settings of an instance that the node command runs. In such a
// deployment the IP address of an instance is its name, there is no list of the instances,
// and the label in a packet names the target. The instance listens only on the addresses
// that are set.
type NodeSettings struct {
	Name                    string // IP address, by which peers and seeds identify the instance
	DisplayName             string // only for logs
	DataCentre              string
	DataCentres             []string // that an operator may evacuate; if empty, those of the known instances and targets
	PeerAddress             string   // UDP and TCP, at which other instances reach this one
	PeerListenAddress       string   // address to listen on instead of PeerAddress; "" for PeerAddress
	FlowAddress             string   // UDP, for packets of flows; "" if the instance takes none
	ReadyAddress            string   // HTTP, for probes whether the instance takes traffic
	OperatorAddress         string   // HTTP, for configuration and announcements of targets
	MetricsAddress          string   // HTTP, for metrics
	Seeds                   []string
	DataFolder              string
	FirstStart              bool
	TargetAnnounceInterval  time.Duration // between two announcements of a target
	ToleratedInstanceLosses int           // number of storage instances that may be lost at the same time
	StopGracePeriod         time.Duration // from the request to stop until the process is killed
	TargetEstimates         bool          // estimate how much load each target takes well
	LinkRate                int64         // bits per second that the instance's link carries; 0 if there is no limit
	// SlowStartExcess and SlowStartSlack bound the flows that a target in slow start gets in any
	// second: its rate times the excess, plus the slack. An excess of 0 stands for the default of
	// both.
	SlowStartExcess float64
	SlowStartSlack  float64 // flows
}

// Validate checks all settings. It returns a *ValidationError that lists each invalid one.
func (n NodeSettings) Validate() error {
	var e ValidationError
	for _, field := range []struct{ setting, value string }{{"name", n.Name}, {"data-centre", n.DataCentre}} {
		if !namePattern.MatchString(field.value) {
			e.add(field.setting, field.value, nameFormat)
		}
	}
	n.validateAddresses(&e)
	if n.FirstStart && n.DataFolder != "" && len(n.Seeds) == 0 {
		e.add("seeds", "none", "at least one address with -first-start")
	}
	if n.ToleratedInstanceLosses < 0 || n.ToleratedInstanceLosses > 3 {
		e.add("lost-instances", strconv.Itoa(n.ToleratedInstanceLosses), "0 to 3")
	}
	if n.TargetAnnounceInterval <= 0 {
		e.add("announce-interval", n.TargetAnnounceInterval.String(), "more than 0s")
	}
	if n.StopGracePeriod < time.Second {
		e.add("stop-grace", n.StopGracePeriod.String(), "1s or more")
	}
	if n.LinkRate < 0 {
		e.add("link-rate", strconv.FormatInt(n.LinkRate, 10), "0 or more")
	}
	if !(n.SlowStartExcess >= 0 && n.SlowStartExcess <= maxSlowStartBound) {
		e.add("slow-start-excess", strconv.FormatFloat(n.SlowStartExcess, 'g', -1, 64), "0 to 1e6")
	}
	if !(n.SlowStartSlack >= 0 && n.SlowStartSlack <= maxSlowStartBound) {
		e.add("slow-start-slack", strconv.FormatFloat(n.SlowStartSlack, 'g', -1, 64), "0 to 1e6 flows")
	}
	return e.errOrNil()
}

// maxSlowStartBound is the highest excess and slack of a slow start.
const maxSlowStartBound = 1e6

func (n NodeSettings) validateAddresses(e *ValidationError) {
	optional := []struct{ setting, value string }{
		{"flow-address", n.FlowAddress},
		{"ready-address", n.ReadyAddress},
		{"operator-address", n.OperatorAddress},
		{"metrics-address", n.MetricsAddress},
		{"peer-listen", n.PeerListenAddress},
	}
	for _, a := range optional {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			e.add(a.setting, a.value, "IP:port, or nothing")
		}
	}
	if _, err := netip.ParseAddrPort(n.PeerAddress); err != nil {
		e.add("peer-address", n.PeerAddress, "IP:port")
	}
	for _, seed := range n.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			e.add("seeds", seed, "IP:port")
		}
	}
}
