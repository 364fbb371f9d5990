package announcer

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// recordingPublisher records what was published.
type recordingPublisher struct {
	broadcasts        []gossiper.Record
	relayedHeartbeats []gossiper.Record
	delivered         int // how many broadcasts tickAndDeliver has delivered
}

func (s *recordingPublisher) RelayHeartbeats(_ string, records []gossiper.Record) {
	s.relayedHeartbeats = append(s.relayedHeartbeats, records...)
}

func (s *recordingPublisher) Broadcast(r gossiper.Record) bool {
	s.broadcasts = append(s.broadcasts, r)
	return true
}

func allAlive(string) bool { return true }

func announcement(sequence uint64, change func(*Announcement)) Announcement {
	a := Announcement{
		Endpoint: netip.MustParseAddrPort("10.0.0.1:6081"), Job: "menus", DataCentre: "dc1", Slots: 3, Incarnation: 1, Sequence: sequence,
	}
	if change != nil {
		change(&a)
	}
	return a
}

func onlyTarget(r *Registry) Target {
	var out Target
	r.EachTarget(func(t Target) { out = t })
	return out
}

const second = time.Second

var otherEndpoint = netip.MustParseAddrPort("10.0.0.2:6081")

func TestOnlyChangesAreBroadcast(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &recordingPublisher{}
	for n := range uint64(30) {
		is.NoErr(r.HandleAnnouncement(time.Duration(n)*second, announcement(n, nil), s))
	}
	is.Equal(len(s.broadcasts), 1)
	is.NoErr(r.HandleAnnouncement(30*second, announcement(30, func(a *Announcement) { a.State = Draining }), s))
	is.Equal(len(s.broadcasts), 2)
	other := NewRegistry("i2")
	for _, record := range s.broadcasts {
		other.HandleRecord(31*second, record)
	}
	is.True(!onlyTarget(other).AcceptsNewWork(31 * second)) // a draining target gets no new work from other instances either
	other.HandleRecord(32*second, s.broadcasts[0])          // an older record, delayed
	is.Equal(onlyTarget(other).State, Draining)
}

func TestSilentTargetBecomesUnreachableAndRecovers(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	r.Tick(2*second, allAlive, s)
	is.True(onlyTarget(r).AcceptsNewWork(2 * second))
	r.Tick(4*second, allAlive, s)
	is.True(!onlyTarget(r).AcceptsNewWork(4 * second))
	is.Equal(s.broadcasts[1].Liveness, gossiper.LivenessSuspect)
	is.NoErr(r.HandleAnnouncement(5*second, announcement(2, nil), s))
	is.True(onlyTarget(r).AcceptsNewWork(5 * second))
}

func TestTargetsOfADeadMonitorBecomeUnreachable(t *testing.T) {
	is := is.New(t)
	monitor, s := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(monitor.HandleAnnouncement(0, announcement(1, nil), s))
	r := NewRegistry("i2")
	r.HandleRecord(0, s.broadcasts[0])
	allButI1Alive := func(name string) bool { return name != "i1" }
	r.Tick(second, allAlive, s)
	r.Tick(4*second, allButI1Alive, s)
	is.True(onlyTarget(r).AcceptsNewWork(4 * second)) // the target may announce itself to another instance by now
	r.Tick(7*second, allButI1Alive, s)
	is.True(!onlyTarget(r).AcceptsNewWork(7 * second))
}

// The monitor of a target has lost its state in a restart, and learns from gossip that it
// monitors the target. A target that ended meanwhile must not stay registered for ever.
func TestRestartedMonitorDetectsThatItsTargetHasEnded(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	restarted, published := NewRegistry("i1"), &recordingPublisher{}
	restarted.HandleRecord(second, s.broadcasts[0])
	restarted.Tick(second, allAlive, published)
	is.True(onlyTarget(restarted).AcceptsNewWork(second)) // the target may still be running
	for now := second; now <= second+UnreachableAfter; now += second {
		restarted.Tick(now, allAlive, published)
	}
	is.True(onlyTarget(restarted).Unreachable)
	is.Equal(len(published.broadcasts), 1) // all other instances receive that
	is.Equal(published.broadcasts[0].Liveness, gossiper.LivenessSuspect)
}

// A target that still announces itself to its restarted monitor stays reachable.
func TestRestartedMonitorKeepsATargetThatStillAnnounces(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	restarted, published := NewRegistry("i1"), &recordingPublisher{}
	restarted.HandleRecord(0, s.broadcasts[0])
	for n := range uint64(10) {
		now := time.Duration(n) * second
		is.NoErr(restarted.HandleAnnouncement(now, announcement(2+n, nil), published))
		restarted.Tick(now, allAlive, published)
		is.True(!onlyTarget(restarted).Unreachable)
	}
	is.Equal(len(published.broadcasts), 0) // nothing has changed for other instances
}

func TestEndpointWithAnotherJobIsQuarantined(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, nil), s))
	is.NoErr(r.HandleAnnouncement(second, announcement(2, func(a *Announcement) { a.Job = "packs"; a.Incarnation = 2 }), s))
	is.True(!onlyTarget(r).AcceptsNewWork(2 * second))
	is.True(onlyTarget(r).AcceptsNewWork(second + JobChangeQuarantine))
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
		is.True(errors.As(r.HandleAnnouncement(0, announcement(1, change), &recordingPublisher{}), &bad))
		is.Equal(bad.Field, field)
	}
}

// A record may come from another instance or a disk, with any body.
func TestOddRecordNamesNoTarget(t *testing.T) {
	is := is.New(t)
	r := NewRegistry("i1")
	r.HandleRecord(0, encodeRecord(announcement(1, nil), "i2", gossiper.LivenessSelfReported))
	nested := bytes.Repeat([]byte{0x81}, 4000) // arrays of one element
	bodies := [][]byte{nil, {0xff}, nested, append(nested, 0xf6)}
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.SlowStartRemaining = -1 },
		func(a *Announcement) { a.SlowStartRemaining = math.MaxInt64 },
		func(a *Announcement) { a.Endpoint = netip.MustParseAddrPort("10.0.0.2:0") },
		func(a *Announcement) { a.Endpoint = netip.MustParseAddrPort("[fe80::1%eth0]:80") },
		func(a *Announcement) { a.Endpoint = netip.MustParseAddrPort("224.0.0.1:80") },
		func(a *Announcement) { a.RunningRequests = math.MinInt },
		func(a *Announcement) { a.Slots = math.MaxInt },
		func(a *Announcement) { a.Load = math.NaN() },
	} {
		bodies = append(bodies, encodeRecord(announcement(2, change), "i2", gossiper.LivenessSelfReported).Body)
	}
	for _, body := range bodies {
		r.HandleRecord(0, gossiper.Record{Key: TargetKey(netip.MustParseAddrPort("10.0.0.1:6081")), Incarnation: 9, Sequence: 9, Body: body})
	}
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.Incarnation = math.MaxUint64 },
		func(a *Announcement) { a.Sequence = math.MaxUint64 },
	} {
		r.HandleRecord(0, encodeRecord(announcement(2, change), "i2", gossiper.LivenessSelfReported))
	}
	is.Equal(r.Len(), 1)
	is.Equal(onlyTarget(r).Incarnation, uint64(1))
	is.Equal(onlyTarget(r).Sequence, uint64(1))
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
			_ = NewRegistry("i1").HandleAnnouncement(0, a, &recordingPublisher{})
		}
	})
}
