package announcer

import (
	"net/netip"
	"strings"

	"almondpick/gossiper"
)

// Departure is the word of a target that it takes no new work any more. Once it has been
// acknowledged it holds for good, unlike the rest of what is known of targets: an older
// record of the target, from a disk or from an instance that was cut off, must not bring
// the target back.
type Departure struct {
	_               struct{} `cbor:",toarray"`
	Endpoint        netip.AddrPort
	Identity        uint64
	Incarnation     uint64
	Sequence        uint64
	Deregistered    bool   // it has ended; false for one that drains
	MonitorInstance string // instance that it was said to
}

// Validate returns a *FieldError for a departure of no endpoint.
func (d Departure) Validate() error {
	if !d.Endpoint.IsValid() {
		return &FieldError{Field: "endpoint", Value: d.Endpoint.String(), Allowed: "IP:port"}
	}
	return nil
}

// Covers tells whether whoever knows d knows o.
func (d Departure) AtLeastAsNewAs(other Departure) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	if d.Deregistered != other.Deregistered {
		return d.Deregistered
	}
	return d.Sequence >= other.Sequence
}

func (d Departure) announcement() Announcement {
	a := Announcement{Endpoint: d.Endpoint, Identity: d.Identity, Incarnation: d.Incarnation, Sequence: d.Sequence, State: Draining}
	if d.Deregistered {
		a.State = Deregistered
	}
	return a
}

// DepartureOf returns the departure that a record tells of. ok is false for a record of a
// target that takes work or was merely lost.
func DepartureFromRecord(rec gossiper.Record) (d Departure, ok bool) {
	a, monitor, ok := decodeRecord(rec)
	if !ok || rec.Liveness != gossiper.LivenessSelfReported || (a.State != Draining && a.State != Deregistered) {
		return Departure{}, false
	}
	return Departure{
		Endpoint: a.Endpoint, Identity: a.Identity, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Deregistered: a.State == Deregistered, MonitorInstance: monitor,
	}, true
}

// Correct returns the record as it has to be after the departure, and whether that is
// another one than rec. An earlier incarnation of the target has ended.
func (d Departure) ApplyTo(rec gossiper.Record) (gossiper.Record, bool) {
	a, _, ok := decodeRecord(rec)
	if !ok || a.Endpoint != d.Endpoint || !isOlder(a, d.announcement()) || a.State == Deregistered {
		return rec, false
	}
	a.Sequence = max(a.Sequence+1, d.Sequence)
	a.State = d.announcement().State
	if a.Incarnation != d.Incarnation {
		a.Sequence = rec.Sequence + 1
		a.State = Deregistered
	}
	return encodeRecord(a, d.MonitorInstance, gossiper.LivenessSelfReported), true
}

// KeyOf returns the key of the record of the target at an endpoint.
func TargetKey(endpoint netip.AddrPort) string {
	return gossiper.TargetKeyPrefix + endpoint.String()
}

// EndpointOf returns the endpoint whose record has that key. ok is false for a key that
// is not a target's.
func EndpointFromKey(key string) (endpoint netip.AddrPort, ok bool) {
	text, ok := strings.CutPrefix(key, gossiper.TargetKeyPrefix)
	if !ok {
		return endpoint, false
	}
	endpoint, err := netip.ParseAddrPort(text)
	return endpoint, err == nil
}
