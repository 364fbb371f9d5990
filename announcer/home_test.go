package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// pair is two instances that targets announce themselves to, and what each has told all.
type pair struct {
	a, b   *Registry
	toA    spreader // what b has told
	toB    spreader // what a has told
	aAlive bool
}

func newPair() *pair {
	p := &pair{a: NewRegistry("i1"), b: NewRegistry("i2"), aAlive: true}
	return p
}

// exchange delivers what is on its way, and has both do what is due.
func (p *pair) exchange(now time.Duration) {
	if p.aAlive {
		p.a.Tick(now, alive, &p.toB)
	}
	p.b.Tick(now, func(name string) bool { return name != "i1" || p.aAlive }, &p.toA)
	for _, r := range p.toB.records[p.toB.delivered:] {
		p.b.HandleRecord(now, r)
	}
	p.toB.delivered = len(p.toB.records)
	if !p.aAlive {
		return
	}
	for _, r := range p.toA.records[p.toA.delivered:] {
		p.a.HandleRecord(now, r)
	}
	p.toA.delivered = len(p.toA.records)
	for _, r := range p.toA.relayed {
		p.a.HandleRelayedHeartbeat(now, r)
	}
	p.toA.relayed = nil
}

// A target whose announcements go to another instance from now on is the same target:
// that is no news to all, and the instance that it began at does not lose it.
func TestAnotherHomeIsNoNews(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.exchange(0)
	sequence := uint64(1)
	for now := second; now < 30*second; now += second / 4 {
		if now%second == 0 {
			sequence++
			is.NoErr(p.b.HandleAnnouncement(now, announcement(sequence, nil), &p.toA))
		}
		p.exchange(now)
		is.True(only(p.a).AcceptsNewWork(now))
		is.True(only(p.b).AcceptsNewWork(now))
	}
	is.Equal(len(p.toB.records), 1)
	is.Equal(len(p.toA.records), 0)

	// It falls silent. The instance that it began at tells all.
	for now := 30 * second; now < 30*second+UnreachableAfter+second; now += second / 4 {
		p.exchange(now)
	}
	is.True(only(p.a).Unreachable)
	is.True(only(p.b).Unreachable)
	is.Equal(len(p.toB.records), 2)
}

// The instance that a target began at has ended. The one that hears of the target now
// tells all, before anybody takes the target for lost.
func TestTheHomeMovesWhenTheOldOneIsGone(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.exchange(0)
	far := NewRegistry("i3")
	far.HandleRecord(0, p.toB.records[0])
	p.aAlive = false
	sequence := uint64(1)
	for now := second; now < 15*second; now += second / 4 {
		if now%second == 0 {
			sequence++
			is.NoErr(p.b.HandleAnnouncement(now, announcement(sequence, nil), &p.toA))
		}
		p.exchange(now)
		for _, r := range p.toA.records {
			far.HandleRecord(now, r)
		}
		far.Tick(now, func(name string) bool { return name != "i1" }, &spreader{})
		is.True(only(far).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.records), 1)
	is.Equal(only(far).MonitorInstance, "i2")
}

// A restart of the first instance within a second or two is no news of any target.
func TestAShortRestartOfTheHomeIsNoNews(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.exchange(0)
	p.aAlive = false
	is.NoErr(p.b.HandleAnnouncement(second, announcement(2, nil), &p.toA))
	p.exchange(second)
	p.exchange(2 * second)
	p.aAlive = true
	p.a = NewRegistry("i1")
	p.a.HandleRecord(2*second, p.toB.records[0]) // from its disk, or from others
	for n := uint64(3); n < 12; n++ {
		now := time.Duration(n) * second
		is.NoErr(p.b.HandleAnnouncement(now, announcement(n, nil), &p.toA))
		p.exchange(now)
		is.True(only(p.a).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.records), 0)
}

// The first instance cannot be told that the target goes on elsewhere, and takes it for
// lost. Whoever hears from the target says that it is there, at once.
func TestAFalseLossIsRefuted(t *testing.T) {
	is := is.New(t)
	home, told := NewRegistry("i1"), &spreader{}
	is.NoErr(home.HandleAnnouncement(0, announcement(1, nil), told))
	r, said := NewRegistry("i2"), &spreader{}
	r.HandleRecord(0, told.records[0])
	is.NoErr(r.HandleAnnouncement(3*second, announcement(4, nil), said))
	home.Tick(UnreachableAfter+second, alive, told)
	is.Equal(told.records[1].Liveness, gossiper.LivenessSuspect)
	far := NewRegistry("i3")
	far.HandleRecord(0, told.records[0])
	far.HandleRecord(4*second, told.records[1])
	is.True(only(far).Unreachable)

	r.HandleRecord(4*second, told.records[1])
	is.True(only(r).AcceptsNewWork(4 * second))
	r.Tick(4*second, alive, said)
	is.Equal(len(said.records), 1)
	far.HandleRecord(4*second, said.records[0])
	is.True(only(far).AcceptsNewWork(4 * second))
}

// What changes at the same time as the home is news all the same.
func TestADepartureAtAnotherHomeIsNews(t *testing.T) {
	is := is.New(t)
	p := newPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.exchange(0)
	is.NoErr(p.b.HandleAnnouncement(second, announcement(2, func(a *Announcement) { a.State = Draining }), &p.toA))
	p.exchange(second)
	is.True(!only(p.a).AcceptsNewWork(second))
	is.Equal(only(p.a).MonitorInstance, "i2")
}
