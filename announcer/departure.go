package announcer

import (
	"net/netip"
	"strings"

	"almondpick/gossiper"
)

// Departure is the notice of a target that it accepts no more new work, because it drains or
// has ended. Unlike the other state of targets, a departure is durable once it has been
// acknowledged: an older record of the target, from a disk or from an instance that was
// partitioned, must not make the target accept new work again.
type Departure struct {
	_               struct{} `cbor:",toarray"`
	Endpoint        netip.AddrPort
	Identity        uint64
	Incarnation     uint64
	Sequence        uint64
	Deregistered    bool   // the target has ended; false if it drains
	MonitorInstance string // the instance that received the notice
}

// Validate returns a *FieldError if the departure has no endpoint.
func (d Departure) Validate() error {
	if !d.Endpoint.IsValid() {
		return &FieldError{Field: "endpoint", Value: d.Endpoint.String(), Allowed: "IP:port"}
	}
	return nil
}

// AtLeastAsNewAs reports whether d makes other, a departure of the same endpoint, redundant.
func (d Departure) AtLeastAsNewAs(other Departure) bool {
	if d.Incarnation != other.Incarnation {
		return d.Incarnation > other.Incarnation
	}
	if d.Deregistered != other.Deregistered {
		return d.Deregistered
	}
	return d.Sequence >= other.Sequence
}

// announcement returns an announcement with the fields and the state of the departure. The
// fields that Departure does not have are zero.
func (d Departure) announcement() Announcement {
	a := Announcement{Endpoint: d.Endpoint, Identity: d.Identity, Incarnation: d.Incarnation, Sequence: d.Sequence, State: Draining}
	if d.Deregistered {
		a.State = Deregistered
	}
	return a
}

// DepartureFromRecord returns the departure in the record of a target. ok is false if the body
// of the record is not valid, the target accepts new work, or an instance has only marked the
// target as unreachable.
func DepartureFromRecord(rec gossiper.Record) (d Departure, ok bool) {
	a, monitor, ok := decodeRecord(rec)
	if !ok || rec.Liveness != gossiper.LivenessSelfReported || !a.Leaves() {
		return Departure{}, false
	}
	return Departure{
		Endpoint: a.Endpoint, Identity: a.Identity, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Deregistered: a.State == Deregistered, MonitorInstance: monitor,
	}, true
}

// ApplyTo returns the record of the target with the departure applied, and whether that differs
// from rec. A record that differs supersedes rec, so that it spreads by gossip. A record of an
// earlier incarnation becomes Deregistered, because that process has ended.
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

// TargetKey returns the key of the record of the target at an endpoint.
func TargetKey(endpoint netip.AddrPort) string {
	return gossiper.TargetKeyPrefix + endpoint.String()
}

// EndpointFromKey returns the endpoint in the key of a record. ok is false if the key is not
// that of a target.
func EndpointFromKey(key string) (endpoint netip.AddrPort, ok bool) {
	text, ok := strings.CutPrefix(key, gossiper.TargetKeyPrefix)
	if !ok {
		return endpoint, false
	}
	endpoint, err := netip.ParseAddrPort(text)
	return endpoint, err == nil
}
