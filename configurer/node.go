package configurer

import (
	"net/netip"
	"strconv"
	"time"
)

// Node holds the settings of an instance of a deployment that names its instances by
// address, has no list of them, and steers flows by label. It opens only the doors
// whose addresses are set.
type NodeSettings struct {
	Name                    string // IP address, which peers and seeds go by
	DisplayName             string // name for people, in logs
	DataCentre              string
	PeerAddress             string // UDP and TCP, as others reach it
	PeerListen              string // where the peer door listens, "" for PeerAddress
	FlowAddress             string // "" without a flow door
	ReadyAddress            string // HTTP, tells whether the flow door takes traffic
	OperatorAddress         string // HTTP, configuration and announcements
	MetricsAddress          string // HTTP
	Seeds                   []string
	DataFolder              string
	FirstStart              bool
	TargetAnnounceInterval  time.Duration // of targets
	ToleratedInstanceLosses int           // with a disk, that may be lost at a time
	StopGracePeriod         time.Duration // between the wish to stop and a kill
}

// Validate checks every setting and returns a *Faults with all that are wrong.
func (n NodeSettings) Validate() error {
	var f ValidationError
	for _, one := range []struct{ setting, value string }{{"name", n.Name}, {"data-centre", n.DataCentre}} {
		if !namePattern.MatchString(one.value) {
			f.add(one.setting, one.value, nameRule)
		}
	}
	n.validateAddresses(&f)
	if n.FirstStart && n.DataFolder != "" && len(n.Seeds) == 0 {
		f.add("seeds", "none", "at least one address with -first-start")
	}
	if n.ToleratedInstanceLosses < 0 || n.ToleratedInstanceLosses > 3 {
		f.add("lost-instances", strconv.Itoa(n.ToleratedInstanceLosses), "0 to 3")
	}
	if n.TargetAnnounceInterval <= 0 {
		f.add("announce-interval", n.TargetAnnounceInterval.String(), "more than 0s")
	}
	if n.StopGracePeriod < time.Second {
		f.add("stop-grace", n.StopGracePeriod.String(), "1s or more")
	}
	return f.orNil()
}

func (n NodeSettings) validateAddresses(f *ValidationError) {
	optional := []struct{ setting, value string }{
		{"flow-address", n.FlowAddress},
		{"ready-address", n.ReadyAddress},
		{"operator-address", n.OperatorAddress},
		{"metrics-address", n.MetricsAddress},
		{"peer-listen", n.PeerListen},
	}
	for _, a := range optional {
		if _, err := netip.ParseAddrPort(a.value); a.value != "" && err != nil {
			f.add(a.setting, a.value, "IP:port, or nothing")
		}
	}
	if _, err := netip.ParseAddrPort(n.PeerAddress); err != nil {
		f.add("peer-address", n.PeerAddress, "IP:port")
	}
	for _, s := range n.Seeds {
		if _, err := netip.ParseAddrPort(s); err != nil {
			f.add("seeds", s, "IP:port")
		}
	}
}
