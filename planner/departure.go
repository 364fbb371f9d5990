package planner

import (
	"net/netip"
	"slices"
	"strconv"

	"almondpick/announcer"
)

// DepartureLimit is how many targets that have left are remembered, the oldest are
// forgotten first: those of a whole fleet that restarts once.
const DepartureLimit = 8192

// departureBatch is how many departures one command holds at most.
const departureBatch = 1024

// Depart makes it durable that targets take no new work any more.
type Depart struct {
	Departures []announcer.Departure `cbor:"departures"`
}

// Validate returns a *Refusal or an *announcer.FieldError.
func (d Depart) Validate() error {
	if len(d.Departures) == 0 || len(d.Departures) > departureBatch {
		return badField("departures", strconv.Itoa(len(d.Departures)), "1 to "+strconv.Itoa(departureBatch))
	}
	for _, one := range d.Departures {
		if err := one.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// departures holds the newest departure at each endpoint.
type departures struct {
	at    map[netip.AddrPort]announcer.Departure
	order []netip.AddrPort // oldest first
}

func (d *departures) add(list []announcer.Departure) {
	if d.at == nil {
		d.at = make(map[netip.AddrPort]announcer.Departure)
	}
	for _, one := range list {
		held, ok := d.at[one.Endpoint]
		if ok && held.AtLeastAsNewAs(one) {
			continue
		}
		if ok {
			d.order = slices.DeleteFunc(d.order, func(at netip.AddrPort) bool { return at == one.Endpoint })
		}
		d.at[one.Endpoint] = one
		d.order = append(d.order, one.Endpoint)
	}
	if surplus := len(d.order) - DepartureLimit; surplus > 0 {
		for _, at := range d.order[:surplus] {
			delete(d.at, at)
		}
		d.order = slices.Clone(d.order[surplus:])
	}
}

func (d *departures) all() []announcer.Departure {
	list := make([]announcer.Departure, 0, len(d.order))
	for _, at := range d.order {
		list = append(list, d.at[at])
	}
	return list
}

// Departure returns the newest departure of a target at an endpoint.
func (m *Machine) Departure(at netip.AddrPort) (announcer.Departure, bool) {
	d, ok := m.departures.at[at]
	return d, ok
}

// Departures returns the departures that are remembered, oldest first.
func (m *Machine) Departures() []announcer.Departure {
	return m.departures.all()
}
