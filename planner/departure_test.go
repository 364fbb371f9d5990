package planner

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"almondpick/announcer"
)

func departureAt(n int, incarnation uint64) announcer.Departure {
	ip := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	return announcer.Departure{Endpoint: netip.AddrPortFrom(ip, 80), Identity: uint64(n + 1), Incarnation: incarnation, Sequence: 1}
}

func TestOnlyFullSnapshotsHaveDepartures(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine()
	m.Apply(1, Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{departureAt(1, 5), departureAt(2, 5)}}})
	m.Apply(2, Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{departureAt(1, 4)}}}) // a late, older departure is ignored
	d, ok := m.Departure(departureAt(1, 5).Endpoint)
	is.True(ok)
	is.Equal(d.Incarnation, uint64(5))

	full, err := m.Snapshot()
	is.NoErr(err)
	restored := NewStateMachine()
	is.NoErr(restored.Restore(full))
	is.Equal(restored.Departures(), m.Departures())

	withoutDepartures, err := m.SnapshotWithoutDepartures()
	is.NoErr(err)
	restoredWithoutDepartures := NewStateMachine()
	is.NoErr(restoredWithoutDepartures.Restore(withoutDepartures))
	is.Equal(restoredWithoutDepartures.AppliedIndex(), m.AppliedIndex())
	is.Equal(len(restoredWithoutDepartures.Departures()), 0)
}

// The oldest departures are dropped first; a target that departs again counts as new.
func TestDeparturesAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewStateMachine()
	for n := range MaxDepartures {
		m.Apply(uint64(n+1), Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{departureAt(n, 1)}}})
	}
	m.Apply(MaxDepartures+1, Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{
		departureAt(0, 2), departureAt(MaxDepartures, 1),
	}}})
	is.Equal(len(m.Departures()), MaxDepartures)
	_, ok := m.Departure(departureAt(0, 2).Endpoint)
	is.True(ok)
	_, ok = m.Departure(departureAt(1, 1).Endpoint)
	is.True(!ok)
}

func TestRecordDeparturesIsValidated(t *testing.T) {
	is := is.New(t)
	is.True(Command{RecordDepartures: &RecordDepartures{}}.Validate() != nil)
	is.True(Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{{}}}}.Validate() != nil)
	is.NoErr(Command{RecordDepartures: &RecordDepartures{Departures: []announcer.Departure{departureAt(1, 1)}}}.Validate())
}
