package announcer

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// spreader keeps what was published.
type spreader struct {
	records   []gossiper.Record
	relayed   []gossiper.Record
	delivered int // of the records
}

func (s *spreader) RelayHeartbeats(_ string, records []gossiper.Record) {
	s.relayed = append(s.relayed, records...)
}

func (s *spreader) Broadcast(r gossiper.Record) bool {
	s.records = append(s.records, r)
	return true
}

func alive(string) bool { return true }

func announcement(sequence uint64, change func(*Announcement)) Announcement {
	a := Announcement{
		Endpoint: netip.MustParseAddrPort("10.0.0.1:6081"), Job: "menus", DataCentre: "dc1", Slots: 3, Incarnation: 1, Sequence: sequence,
	}
	if change != nil {
		change(&a)
	}
	return a
}

func only(r *Registry) Target {
	var out Target
	r.EachTarget(func(t Target) { out = t })
	return out
}

const second = time.Second

func TestOnlyNewsIsSpread(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &spreader{}
	for n := range uint64(30) {
		is.NoErr(r.HandleAnnouncement(time.Duration(n)*second, announcement(n, nil), s))
	}
	is.Equal(len(s.records), 1)
	is.NoErr(r.HandleAnnouncement(30*second, announcement(30, func(a *Announcement) { a.State = Draining }), s))
	is.Equal(len(s.records), 2)
	other := NewRegistry("i2")
	for _, record := range s.records {
		other.HandleRecord(31*second, record)
	}
	is.True(!only(other).AcceptsNewWork(31 * second)) // a leaving target gets no new work here either
	other.HandleRecord(32*second, s.records[0])       // late and older
	is.Equal(only(other).State, Draining)
}

func TestSilentTargetIsLostAndComesBack(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &spreader{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	r.Tick(2*second, alive, s)
	is.True(only(r).AcceptsNewWork(2 * second))
	r.Tick(4*second, alive, s)
	is.True(!only(r).AcceptsNewWork(4 * second))
	is.Equal(s.records[1].Liveness, gossiper.LivenessSuspect)
	is.NoErr(r.HandleAnnouncement(5*second, announcement(2, nil), s))
	is.True(only(r).AcceptsNewWork(5 * second))
}

func TestTargetsOfADeadHomeAreLostAfterAWhile(t *testing.T) {
	is := is.New(t)
	home, s := NewRegistry("i1"), &spreader{}
	is.NoErr(home.HandleAnnouncement(0, announcement(1, nil), s))
	r := NewRegistry("i2")
	r.HandleRecord(0, s.records[0])
	dead := func(name string) bool { return name != "i1" }
	r.Tick(second, alive, s)
	r.Tick(4*second, dead, s)
	is.True(only(r).AcceptsNewWork(4 * second)) // it may announce itself to another instance
	r.Tick(7*second, dead, s)
	is.True(!only(r).AcceptsNewWork(7 * second))
}

// The home of a target has forgotten it in a restart, and hears from others that the
// target is its own. A target that ended meanwhile must not stay for good.
func TestARestartedHomeWatchesTheTargetsThatAreItsOwn(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &spreader{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	again, said := NewRegistry("i1"), &spreader{}
	again.HandleRecord(second, s.records[0])
	again.Tick(second, alive, said)
	is.True(only(again).AcceptsNewWork(second)) // it may well be there
	for now := second; now <= second+UnreachableAfter; now += second {
		again.Tick(now, alive, said)
	}
	is.True(only(again).Unreachable)
	is.Equal(len(said.records), 1) // and all others hear of it
	is.Equal(said.records[0].Liveness, gossiper.LivenessSuspect)
}

// A target that goes on announcing itself to its restarted home stays.
func TestARestartedHomeKeepsATargetThatGoesOn(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &spreader{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	again, said := NewRegistry("i1"), &spreader{}
	again.HandleRecord(0, s.records[0])
	for n := range uint64(10) {
		now := time.Duration(n) * second
		is.NoErr(again.HandleAnnouncement(now, announcement(2+n, nil), said))
		again.Tick(now, alive, said)
		is.True(!only(again).Unreachable)
	}
	is.Equal(len(said.records), 0) // nothing of this is news
}

func TestEndpointWithAnotherJobIsFenced(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &spreader{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	is.NoErr(r.HandleAnnouncement(second, announcement(2, func(a *Announcement) { a.Job = "packs"; a.Incarnation = 2 }), s))
	is.True(!only(r).AcceptsNewWork(2 * second))
	is.True(only(r).AcceptsNewWork(second + JobChangeQuarantine))
}

func TestBadAnnouncementsNameTheField(t *testing.T) {
	for field, change := range map[string]func(*Announcement){
		"endpoint": func(a *Announcement) { a.Endpoint = netip.AddrPort{} },
		"job":      func(a *Announcement) { a.Job = "bad job" },
		"slots":    func(a *Announcement) { a.Slots = -1 },
		"load":     func(a *Announcement) { a.Load = -1 },
		"state":    func(a *Announcement) { a.State = 77 },
	} {
		is := is.New(t)
		r := NewRegistry("i1")
		var bad *FieldError
		is.True(errors.As(r.HandleAnnouncement(0, announcement(1, change), &spreader{}), &bad))
		is.Equal(bad.Field, field)
	}
}

func FuzzAnnouncement(f *testing.F) {
	b, err := json.Marshal(announcement(1, nil))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var a Announcement
		if json.Unmarshal(b, &a) == nil {
			_ = NewRegistry("i1").HandleAnnouncement(0, a, &spreader{})
		}
	})
}
