package planner

import (
	"net/netip"
	"slices"
	"strconv"

	"almondpick/announcer"
)

// MaxDepartures is how many departures of targets are kept; the oldest are dropped first. The
// number suffices for one restart of all targets of a deployment.
const MaxDepartures = 8192

// maxDeparturesPerCommand is the maximum number of departures in one command.
const maxDeparturesPerCommand = 1024

// RecordDepartures is the command that makes departures durable. A departure is the notice that
// a target drains or has deregistered, and so accepts no new work.
type RecordDepartures struct {
	Departures []announcer.Departure `cbor:"departures"`
}

// Validate returns a *Refusal for the number of departures, or the *announcer.FieldError of
// the first invalid departure.
func (d RecordDepartures) Validate() error {
	if len(d.Departures) == 0 || len(d.Departures) > maxDeparturesPerCommand {
		return badField("departures", strconv.Itoa(len(d.Departures)), "1 to "+strconv.Itoa(maxDeparturesPerCommand))
	}
	for _, departure := range d.Departures {
		if err := departure.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// departures holds the newest departure of each endpoint.
type departures struct {
	byEndpoint map[netip.AddrPort]announcer.Departure
	order      []netip.AddrPort // endpoints, oldest departure first
}

// add stores each departure that is newer than the stored one of its endpoint, and drops the
// oldest beyond MaxDepartures.
func (d *departures) add(list []announcer.Departure) {
	if d.byEndpoint == nil {
		d.byEndpoint = make(map[netip.AddrPort]announcer.Departure)
	}
	for _, departure := range list {
		known, ok := d.byEndpoint[departure.Endpoint]
		if ok && known.AtLeastAsNewAs(departure) {
			continue
		}
		if ok {
			d.order = slices.DeleteFunc(d.order, func(endpoint netip.AddrPort) bool { return endpoint == departure.Endpoint })
		}
		d.byEndpoint[departure.Endpoint] = departure
		d.order = append(d.order, departure.Endpoint)
	}
	if surplus := len(d.order) - MaxDepartures; surplus > 0 {
		for _, endpoint := range d.order[:surplus] {
			delete(d.byEndpoint, endpoint)
		}
		d.order = slices.Clone(d.order[surplus:])
	}
}

// list returns the departures, oldest first.
func (d *departures) list() []announcer.Departure {
	list := make([]announcer.Departure, 0, len(d.order))
	for _, endpoint := range d.order {
		list = append(list, d.byEndpoint[endpoint])
	}
	return list
}

// Departure returns the newest stored departure of an endpoint.
func (m *StateMachine) Departure(endpoint netip.AddrPort) (announcer.Departure, bool) {
	d, ok := m.departures.byEndpoint[endpoint]
	return d, ok
}

// Departures returns the stored departures, oldest first.
func (m *StateMachine) Departures() []announcer.Departure {
	return m.departures.list()
}
