package announcer

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/gossiper"
)

// recordStore keeps the newest record of each key, as every instance does, and passes each record
// that it stores to the registry of another instance.
type recordStore struct {
	records map[string]gossiper.Record
	other   *Registry
}

func newRecordStore() *recordStore {
	return &recordStore{records: make(map[string]gossiper.Record), other: NewRegistry("i2")}
}

func (s *recordStore) Broadcast(r gossiper.Record) bool {
	if old, ok := s.records[r.Key]; ok && !r.Supersedes(old) {
		return false
	}
	s.records[r.Key] = r
	s.other.HandleRecord(0, r)
	return true
}

func (*recordStore) RelayHeartbeats(string, []gossiper.Record) {}

// onlyMenus is an option of a registry whose configuration names the job of announcement only.
func onlyMenus() Option {
	return WithNamedJobs(func(job string) bool { return job == "menus" })
}

// unnamedJobs returns announcements of another writer for a job that no configuration names, at
// the endpoint of a good target with identity 7.
func unnamedJobs() map[string]Announcement {
	odd := announcement(1, func(a *Announcement) { a.Job, a.Identity, a.Incarnation = "legacy-print", 99, 1000 })
	change := func(f func(*Announcement)) Announcement {
		a := odd
		f(&a)
		return a
	}
	return map[string]Announcement{
		"identity of its own":     odd,
		"identity of the target":  change(func(a *Announcement) { a.Identity = 7 }),
		"earlier start":           change(func(a *Announcement) { a.Incarnation = 0 }),
		"start of the target":     change(func(a *Announcement) { a.Identity, a.Incarnation = 7, 1 }),
		"highest counters":        change(func(a *Announcement) { a.Sequence, a.Incarnation = MaxCounter, MaxCounter }),
		"drains":                  change(func(a *Announcement) { a.State = Draining }),
		"drains, with its id":     change(func(a *Announcement) { a.State, a.Identity = Draining, 7 }),
		"slow start, other slots": change(func(a *Announcement) { a.State, a.Slots, a.SlowStartRemaining = SlowStart, 0, time.Hour }),
	}
}

// An announcement for a job that no configuration names must not take the place of a good target,
// neither here nor at another instance, whether it arrives after the target or before.
func TestUnnamedJobReplacesNoTarget(t *testing.T) {
	for name, odd := range unnamedJobs() {
		for _, oddFirst := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				r, s := NewRegistry("i1", onlyMenus()), newRecordStore()
				good := announcement(1, withIdentity)
				if oddFirst {
					_ = r.HandleAnnouncement(0, odd, s)
				}
				is.NoErr(r.HandleAnnouncement(0, good, s))
				var unnamed *UnnamedJobError
				is.True(errors.As(r.HandleAnnouncement(0, odd, s), &unnamed))
				is.Equal(unnamed.Job, odd.Job)
				for _, registry := range []*Registry{r, s.other} {
					target := onlyTarget(registry)
					is.Equal(target.Job, good.Job)
					is.Equal(target.Identity, good.Identity)
					is.True(target.AcceptsNewWork(0))
				}
				good.State, good.Sequence = Draining, 2
				is.NoErr(r.HandleAnnouncement(second, good, s))
				is.Equal(onlyTarget(s.other).State, Draining)
			})
		}
	}
}

// Targets and another writer announce themselves before the first configuration. Once there is
// one, the targets that it names are usable at once, and rank above the others with their next
// heartbeat.
func TestTargetsThatAnnouncedBeforeTheFirstConfigurationServe(t *testing.T) {
	for name, odd := range unnamedJobs() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			configured := false
			r := NewRegistry("i1", WithNamedJobs(func(job string) bool { return configured && job == "menus" }))
			s := newRecordStore()
			is.NoErr(r.HandleAnnouncement(0, announcement(1, withIdentity), s))
			is.True(onlyTarget(r).AcceptsNewWork(0))
			_ = r.HandleAnnouncement(0, odd, s)
			configured = true
			is.NoErr(r.HandleAnnouncement(second, announcement(2, withIdentity), s))
			is.True(r.HandleAnnouncement(second, odd, s) != nil)
			for _, registry := range []*Registry{r, s.other} {
				is.Equal(onlyTarget(registry).Job, "menus")
				is.True(onlyTarget(registry).AcceptsNewWork(second))
			}
		})
	}
}

// Without another writer nothing is lost either while the first configuration is not known.
func TestTargetIsUsableBetweenTheFirstConfigurationAndItsNextHeartbeat(t *testing.T) {
	is := is.New(t)
	configured := false
	r := NewRegistry("i1", WithNamedJobs(func(string) bool { return configured }))
	s := newRecordStore()
	is.NoErr(r.HandleAnnouncement(0, announcement(1, withIdentity), s))
	configured = true
	odd := announcement(MaxCounter, func(a *Announcement) { a.Job, a.Identity = "legacy-print", 99 })
	configuredOnlyMenus := func(job string) bool { return job == "menus" }
	r.namesJob = configuredOnlyMenus
	is.True(r.HandleAnnouncement(0, odd, s) != nil)
	is.Equal(onlyTarget(r).Job, "menus")
	is.True(onlyTarget(s.other).AcceptsNewWork(0))
}

// A target of another service has started at the address of one that is gone.
func TestLaterTargetOfAnotherNamedJobTakesTheEndpoint(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1"), newRecordStore()
	is.NoErr(r.HandleAnnouncement(0, announcement(50, withIdentity), s))
	later := announcement(1, func(a *Announcement) { a.Job, a.Identity, a.Incarnation = "packs", 8, 2 })
	is.NoErr(r.HandleAnnouncement(second, later, s))
	for _, registry := range []*Registry{r, s.other} {
		is.Equal(onlyTarget(registry).Job, "packs")
		is.Equal(onlyTarget(registry).Identity, uint64(8))
	}
}

// A configuration that no longer names the job of a target leaves the target as it is: it may
// drain, and the job may be named again.
func TestTargetWhoseJobIsNoLongerNamedStaysKnown(t *testing.T) {
	is := is.New(t)
	named := true
	r := NewRegistry("i1", WithNamedJobs(func(string) bool { return named }))
	s := newRecordStore()
	is.NoErr(r.HandleAnnouncement(0, announcement(1, withIdentity), s))
	named = false
	is.NoErr(r.HandleAnnouncement(second, announcement(2, withIdentity), s))
	is.True(onlyTarget(r).AcceptsNewWork(second))
	is.NoErr(r.HandleAnnouncement(2*second, announcement(3, drainingWithIdentity), s))
	is.Equal(onlyTarget(s.other).State, Draining)
}

// A notice that binds no other instance must not be acknowledged.
func TestDrainingOfAnUnnamedJobIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	r, s := NewRegistry("i1", onlyMenus()), newRecordStore()
	packs := announcement(1, func(a *Announcement) { a.Job, a.Identity = "packs", 7 })
	is.NoErr(r.HandleAnnouncement(0, packs, s))
	packs.State, packs.Sequence = Draining, 2
	is.True(r.HandleAnnouncement(second, packs, s) != nil)
	is.True(!onlyTarget(r).AcceptsNewWork(second))
	_, outcome := r.Deregister(5*second, 7, s)
	is.Equal(outcome, NotDraining)
}
