package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// pair is two instances that targets announce themselves to, and what each has told all.
type registryPair struct {
	a, b   *Registry
	toA    recordingPublisher // what b has told
	toB    recordingPublisher // what a has told
	aAlive bool
}

func newRegistryPair() *registryPair {
	p := &registryPair{a: NewRegistry("i1"), b: NewRegistry("i2"), aAlive: true}
	return p
}

// exchange delivers what is on its way, and has both do what is due.
func (p *registryPair) tickAndDeliver(now time.Duration) {
	if p.aAlive {
		p.a.Tick(now, allAlive, &p.toB)
	}
	p.b.Tick(now, func(name string) bool { return name != "i1" || p.aAlive }, &p.toA)
	for _, r := range p.toB.broadcasts[p.toB.delivered:] {
		p.b.HandleRecord(now, r)
	}
	p.toB.delivered = len(p.toB.broadcasts)
	if !p.aAlive {
		return
	}
	for _, r := range p.toA.broadcasts[p.toA.delivered:] {
		p.a.HandleRecord(now, r)
	}
	p.toA.delivered = len(p.toA.broadcasts)
	for _, r := range p.toA.relayedHeartbeats {
		p.a.HandleRelayedHeartbeat(now, r)
	}
	p.toA.relayedHeartbeats = nil
}

// A target whose announcements go to another instance from now on is the same target:
// that is no news to all, and the instance that it began at does not lose it.
func TestAnnouncingToAnotherInstanceIsNotBroadcast(t *testing.T) {
	is := is.New(t)
	p := newRegistryPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.tickAndDeliver(0)
	sequence := uint64(1)
	for now := second; now < 30*second; now += second / 4 {
		if now%second == 0 {
			sequence++
			is.NoErr(p.b.HandleAnnouncement(now, announcement(sequence, nil), &p.toA))
		}
		p.tickAndDeliver(now)
		is.True(onlyTarget(p.a).AcceptsNewWork(now))
		is.True(onlyTarget(p.b).AcceptsNewWork(now))
	}
	is.Equal(len(p.toB.broadcasts), 1)
	is.Equal(len(p.toA.broadcasts), 0)

	// It falls silent. The instance that it began at tells all.
	for now := 30 * second; now < 30*second+UnreachableAfter+second; now += second / 4 {
		p.tickAndDeliver(now)
	}
	is.True(onlyTarget(p.a).Unreachable)
	is.True(onlyTarget(p.b).Unreachable)
	is.Equal(len(p.toB.broadcasts), 2)
}

// The instance that a target began at has ended. The one that hears of the target now
// tells all, before anybody takes the target for lost.
func TestMonitorMovesWhenTheOldOneIsDead(t *testing.T) {
	is := is.New(t)
	p := newRegistryPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.tickAndDeliver(0)
	far := NewRegistry("i3")
	far.HandleRecord(0, p.toB.broadcasts[0])
	p.aAlive = false
	sequence := uint64(1)
	for now := second; now < 15*second; now += second / 4 {
		if now%second == 0 {
			sequence++
			is.NoErr(p.b.HandleAnnouncement(now, announcement(sequence, nil), &p.toA))
		}
		p.tickAndDeliver(now)
		for _, r := range p.toA.broadcasts {
			far.HandleRecord(now, r)
		}
		far.Tick(now, func(name string) bool { return name != "i1" }, &recordingPublisher{})
		is.True(onlyTarget(far).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.broadcasts), 1)
	is.Equal(onlyTarget(far).MonitorInstance, "i2")
}

// A restart of the first instance within a second or two is no news of any target.
func TestShortMonitorRestartIsNotBroadcast(t *testing.T) {
	is := is.New(t)
	p := newRegistryPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.tickAndDeliver(0)
	p.aAlive = false
	is.NoErr(p.b.HandleAnnouncement(second, announcement(2, nil), &p.toA))
	p.tickAndDeliver(second)
	p.tickAndDeliver(2 * second)
	p.aAlive = true
	p.a = NewRegistry("i1")
	p.a.HandleRecord(2*second, p.toB.broadcasts[0]) // from its disk, or from others
	for n := uint64(3); n < 12; n++ {
		now := time.Duration(n) * second
		is.NoErr(p.b.HandleAnnouncement(now, announcement(n, nil), &p.toA))
		p.tickAndDeliver(now)
		is.True(onlyTarget(p.a).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.broadcasts), 0)
}

// The first instance cannot be told that the target goes on elsewhere, and takes it for
// lost. Whoever hears from the target says that it is there, at once.
func TestFalseUnreachableReportIsRefuted(t *testing.T) {
	is := is.New(t)
	monitor, monitorPublished := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(monitor.HandleAnnouncement(0, announcement(1, nil), monitorPublished))
	r, published := NewRegistry("i2"), &recordingPublisher{}
	r.HandleRecord(0, monitorPublished.broadcasts[0])
	is.NoErr(r.HandleAnnouncement(3*second, announcement(4, nil), published))
	monitor.Tick(UnreachableAfter+second, allAlive, monitorPublished)
	is.Equal(monitorPublished.broadcasts[1].Liveness, gossiper.LivenessSuspect)
	far := NewRegistry("i3")
	far.HandleRecord(0, monitorPublished.broadcasts[0])
	far.HandleRecord(4*second, monitorPublished.broadcasts[1])
	is.True(onlyTarget(far).Unreachable)

	r.HandleRecord(4*second, monitorPublished.broadcasts[1])
	is.True(onlyTarget(r).AcceptsNewWork(4 * second))
	r.Tick(4*second, allAlive, published)
	is.Equal(len(published.broadcasts), 1)
	far.HandleRecord(4*second, published.broadcasts[0])
	is.True(onlyTarget(far).AcceptsNewWork(4 * second))
}

// What changes at the same time as the home is news all the same.
func TestDepartureAtAnotherInstanceIsBroadcast(t *testing.T) {
	is := is.New(t)
	p := newRegistryPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.tickAndDeliver(0)
	is.NoErr(p.b.HandleAnnouncement(second, announcement(2, func(a *Announcement) { a.State = Draining }), &p.toA))
	p.tickAndDeliver(second)
	is.True(!onlyTarget(p.a).AcceptsNewWork(second))
	is.Equal(onlyTarget(p.a).MonitorInstance, "i2")
}
