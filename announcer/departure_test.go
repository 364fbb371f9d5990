package announcer

import (
	"testing"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

func departure(sequence uint64, change func(*Announcement)) Departure {
	a := announcement(sequence, change)
	if a.State != Deregistered {
		a.State = Draining
	}
	d, _ := DepartureFromRecord(encodeRecord(a, "i1", gossiper.LivenessSelfReported))
	return d
}

func deregistered(a *Announcement) { a.State = Deregistered; a.Identity = 7 }

func withIdentity(a *Announcement) { a.Identity = 7 }

func TestOnlyATargetsOwnRecordIsADeparture(t *testing.T) {
	is := is.New(t)
	_, ok := DepartureFromRecord(encodeRecord(announcement(1, nil), "i1", gossiper.LivenessSelfReported))
	is.True(!ok) // the target serves
	draining := announcement(1, func(a *Announcement) { a.State = Draining })
	_, ok = DepartureFromRecord(encodeRecord(draining, "i1", gossiper.LivenessSuspect))
	is.True(!ok) // an instance declared the target unreachable
	d, ok := DepartureFromRecord(encodeRecord(draining, "i1", gossiper.LivenessSelfReported))
	is.True(ok)
	is.NoErr(d.Validate())
	is.True(Departure{}.Validate() != nil)
}

// Older records of a target, from a disk or a partitioned instance, must not undo its
// departure.
func TestDepartureAppliesToOlderRecords(t *testing.T) {
	for name, c := range map[string]struct {
		departure Departure
		held      Announcement
		changed   bool
		state     State
	}{
		"an older record":                             {departure(5, withIdentity), announcement(3, withIdentity), true, Draining},
		"the departure itself":                        {departure(5, withIdentity), announcement(5, func(a *Announcement) { a.State = Draining; a.Identity = 7 }), false, Draining},
		"a later sequence of another writer":          {departure(5, withIdentity), announcement(6, withIdentity), true, Draining},
		"without identity, the target serves again":   {departure(5, nil), announcement(6, nil), false, Serving},
		"a later record of a deregistered target":     {departure(5, deregistered), announcement(9, withIdentity), true, Deregistered},
		"a later incarnation":                         {departure(5, deregistered), announcement(1, func(a *Announcement) { a.Identity = 7; a.Incarnation = 2 }), false, Serving},
		"an earlier incarnation":                      {departure(5, func(a *Announcement) { a.Identity = 7; a.Incarnation = 2 }), announcement(9, withIdentity), true, Deregistered},
		"a draining target that is then deregistered": {departure(5, deregistered), announcement(4, func(a *Announcement) { a.State = Draining; a.Identity = 7 }), true, Deregistered},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := encodeRecord(c.held, "i2", gossiper.LivenessSelfReported)
			after, changed := c.departure.ApplyTo(before)
			is.Equal(changed, c.changed)
			a, _, ok := decodeRecord(after)
			is.True(ok)
			is.Equal(a.State, c.state)
			is.Equal(after.Supersedes(before), c.changed) // a changed record has to replace the old one by gossip
			_, again := c.departure.ApplyTo(after)
			is.True(!again)
		})
	}
}

func TestDepartureOrder(t *testing.T) {
	is := is.New(t)
	is.True(departure(5, withIdentity).AtLeastAsNewAs(departure(5, withIdentity)))
	is.True(!departure(5, withIdentity).AtLeastAsNewAs(departure(6, withIdentity))) // the target may have served in between
	is.True(departure(5, deregistered).AtLeastAsNewAs(departure(6, withIdentity)))
	is.True(!departure(6, withIdentity).AtLeastAsNewAs(departure(5, deregistered)))
	is.True(departure(1, func(a *Announcement) { a.Incarnation = 2 }).AtLeastAsNewAs(departure(5, deregistered)))
}

// Another writer repeats the entry of a target with a counter of its own. The target's own notice
// that it drains must be taken, and must hold.
func TestDrainingHoldsWhateverTheCounterOfAnotherWriter(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), newRecordStore()
	is.NoErr(r.HandleAnnouncement(0, announcement(5, withIdentity), s))
	copied := announcement(1000, withIdentity)
	is.NoErr(r.HandleAnnouncement(0, copied, s))
	is.NoErr(r.HandleAnnouncement(second, announcement(6, drainingWithIdentity), s))
	is.Equal(onlyTarget(s.other).State, Draining)
	for n := range uint64(3) {
		copied.Sequence++
		is.NoErr(r.HandleAnnouncement(2*second, copied, s))
		is.NoErr(r.HandleAnnouncement(2*second, announcement(7+n, drainingWithIdentity), s))
		for _, registry := range []*Registry{r, s.other} {
			is.Equal(onlyTarget(registry).State, Draining)
		}
	}
	_, ok := DepartureFromRecord(s.records[TargetKey(copied.Endpoint)])
	is.True(ok)
	is.NoErr(r.HandleAnnouncement(3*second, announcement(1, restarted), s))
	is.True(onlyTarget(s.other).AcceptsNewWork(3 * second)) // its next incarnation
}
