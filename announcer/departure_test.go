package announcer

import (
	"testing"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

func leaving(sequence uint64, change func(*Announcement)) Departure {
	a := announcement(sequence, change)
	if a.State != Deregistered {
		a.State = Draining
	}
	d, _ := DepartureFromRecord(record(a, "i1", gossiper.LivenessSelfReported))
	return d
}

func gone(a *Announcement) { a.State = Deregistered; a.Identity = 7 }

func named(a *Announcement) { a.Identity = 7 }

func TestOnlyTheWordOfATargetIsADeparture(t *testing.T) {
	is := is.New(t)
	_, ok := DepartureFromRecord(record(announcement(1, nil), "i1", gossiper.LivenessSelfReported))
	is.True(!ok) // it serves
	draining := announcement(1, func(a *Announcement) { a.State = Draining })
	_, ok = DepartureFromRecord(record(draining, "i1", gossiper.LivenessSuspect))
	is.True(!ok) // it was lost
	d, ok := DepartureFromRecord(record(draining, "i1", gossiper.LivenessSelfReported))
	is.True(ok)
	is.NoErr(d.Validate())
	is.True(Departure{}.Validate() != nil)
}

// What a record becomes after a departure of the same endpoint.
func TestDeparturesCorrectOlderRecords(t *testing.T) {
	for name, c := range map[string]struct {
		departure Departure
		held      Announcement
		changed   bool
		state     State
	}{
		"an older word":                      {leaving(5, named), announcement(3, named), true, Draining},
		"the departure itself":               {leaving(5, named), announcement(5, func(a *Announcement) { a.State = Draining; a.Identity = 7 }), false, Draining},
		"it took work again later":           {leaving(5, named), announcement(6, named), false, Serving},
		"an end is final, whatever comes":    {leaving(5, gone), announcement(9, named), true, Deregistered},
		"it started again":                   {leaving(5, gone), announcement(1, func(a *Announcement) { a.Identity = 7; a.Incarnation = 2 }), false, Serving},
		"an earlier start of it":             {leaving(5, func(a *Announcement) { a.Identity = 7; a.Incarnation = 2 }), announcement(9, named), true, Deregistered},
		"one that drains and then has ended": {leaving(5, gone), announcement(4, func(a *Announcement) { a.State = Draining; a.Identity = 7 }), true, Deregistered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := record(c.held, "i2", gossiper.LivenessSelfReported)
			after, changed := c.departure.ApplyTo(before)
			is.Equal(changed, c.changed)
			a, _, ok := read(after)
			is.True(ok)
			is.Equal(a.State, c.state)
			is.Equal(after.Supersedes(before), c.changed) // so that it spreads
			_, again := c.departure.ApplyTo(after)
			is.True(!again)
		})
	}
}

func TestCoversFollowsTheTarget(t *testing.T) {
	is := is.New(t)
	is.True(leaving(5, named).AtLeastAsNewAs(leaving(5, named)))
	is.True(!leaving(5, named).AtLeastAsNewAs(leaving(6, named))) // it may have taken work in between
	is.True(leaving(5, gone).AtLeastAsNewAs(leaving(6, named)))
	is.True(!leaving(6, named).AtLeastAsNewAs(leaving(5, gone)))
	is.True(leaving(1, func(a *Announcement) { a.Incarnation = 2 }).AtLeastAsNewAs(leaving(5, gone)))
}
