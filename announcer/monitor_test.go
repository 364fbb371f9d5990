package announcer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// registryPair holds the registries of two instances, i1 and i2, and what each has published.
type registryPair struct {
	a, b   *Registry
	toA    recordingPublisher // published by b
	toB    recordingPublisher // published by a
	aAlive bool               // a is ticked, receives what b publishes, and is alive for b
}

func newRegistryPair() *registryPair {
	p := &registryPair{a: NewRegistry("i1"), b: NewRegistry("i2"), aAlive: true}
	return p
}

// tickAndDeliver calls Tick on both registries and delivers what they have published.
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

// When the announcements of a target go to another instance, nothing changes for the other
// instances: nothing is broadcast, and the monitor does not declare the target unreachable.
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

	// The target stops announcing itself. Its monitor publishes that.
	for now := 30 * second; now < 30*second+UnreachableAfter+second; now += second / 4 {
		p.tickAndDeliver(now)
	}
	is.True(onlyTarget(p.a).Unreachable)
	is.True(onlyTarget(p.b).Unreachable)
	is.Equal(len(p.toB.broadcasts), 2)
}

// The monitor of a target has died. The instance that receives the announcements now becomes
// the monitor, before a third instance considers the target unreachable.
func TestMonitorMovesWhenTheOldOneIsDead(t *testing.T) {
	is := is.New(t)
	p := newRegistryPair()
	is.NoErr(p.a.HandleAnnouncement(0, announcement(1, nil), &p.toB))
	p.tickAndDeliver(0)
	third := NewRegistry("i3")
	third.HandleRecord(0, p.toB.broadcasts[0])
	p.aAlive = false
	sequence := uint64(1)
	for now := second; now < 15*second; now += second / 4 {
		if now%second == 0 {
			sequence++
			is.NoErr(p.b.HandleAnnouncement(now, announcement(sequence, nil), &p.toA))
		}
		p.tickAndDeliver(now)
		for _, r := range p.toA.broadcasts {
			third.HandleRecord(now, r)
		}
		third.Tick(now, func(name string) bool { return name != "i1" }, &recordingPublisher{})
		is.True(onlyTarget(third).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.broadcasts), 1)
	is.Equal(onlyTarget(third).MonitorInstance, "i2")
}

// A restart of the monitor within a second or two causes no broadcasts for its targets.
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
	p.a.HandleRecord(2*second, p.toB.broadcasts[0]) // from its disk or by gossip
	for n := uint64(3); n < 12; n++ {
		now := time.Duration(n) * second
		is.NoErr(p.b.HandleAnnouncement(now, announcement(n, nil), &p.toA))
		p.tickAndDeliver(now)
		is.True(onlyTarget(p.a).AcceptsNewWork(now))
	}
	is.Equal(len(p.toA.broadcasts), 0)
}

// The relayed heartbeats do not reach the monitor, so it declares the target unreachable. The
// instance that receives the announcements refutes that with its next tick.
func TestFalseUnreachableReportIsRefuted(t *testing.T) {
	is := is.New(t)
	monitor, monitorPublished := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(monitor.HandleAnnouncement(0, announcement(1, nil), monitorPublished))
	r, published := NewRegistry("i2"), &recordingPublisher{}
	r.HandleRecord(0, monitorPublished.broadcasts[0])
	is.NoErr(r.HandleAnnouncement(3*second, announcement(4, nil), published))
	monitor.Tick(UnreachableAfter+second, allAlive, monitorPublished)
	is.Equal(monitorPublished.broadcasts[1].Liveness, gossiper.LivenessSuspect)
	third := NewRegistry("i3")
	third.HandleRecord(0, monitorPublished.broadcasts[0])
	third.HandleRecord(4*second, monitorPublished.broadcasts[1])
	is.True(onlyTarget(third).Unreachable)

	r.HandleRecord(4*second, monitorPublished.broadcasts[1])
	is.True(onlyTarget(r).AcceptsNewWork(4 * second))
	r.Tick(4*second, allAlive, published)
	is.Equal(len(published.broadcasts), 1)
	third.HandleRecord(4*second, published.broadcasts[0])
	is.True(onlyTarget(third).AcceptsNewWork(4 * second))
}

// A target that starts to drain just when it moves to another instance: the change of state
// must be broadcast although the move is not.
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
