package announcer

import (
	"testing"

	"github.com/matryer/is"
)

// releasedTarget is a registry with a target that has said that it drains, has been deregistered
// and has started again under its identity.
func releasedTarget(t *testing.T) (*Registry, *recordingPublisher) {
	t.Helper()
	is := is.New(t)
	r, p := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(1, withIdentity), p))
	is.NoErr(r.HandleAnnouncement(second, announcement(2, drainingWithIdentity), p))
	_, outcome := r.Deregister(5*second, 7, p)
	is.Equal(outcome, Ended)
	is.NoErr(r.HandleAnnouncement(7*second, announcement(1, restarted), p))
	is.True(onlyTarget(r).AcceptsNewWork(7 * second))
	return r, p
}

func drainingWithIdentity(a *Announcement) { a.State = Draining; a.Identity = 7 }

func restarted(a *Announcement) { a.Incarnation = 2; a.Identity = 7 }

// A deregistration that a partition held up must not end the next incarnation of its target.
func TestLateDeregistrationDoesNotEndTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	r, p := releasedTarget(t)
	published := len(p.broadcasts)
	_, outcome := r.Deregister(8*second, 7, p)
	is.Equal(outcome, NotDraining)
	is.Equal(len(p.broadcasts), published)
	is.NoErr(r.HandleAnnouncement(9*second, announcement(2, restarted), p))
	is.True(onlyTarget(r).AcceptsNewWork(9 * second))
}

// The other instances learn of the end, and not of a new start that does not exist.
func TestRepeatedDeregistrationPublishesNothing(t *testing.T) {
	is := is.New(t)
	r, p := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(2, drainingWithIdentity), p))
	endpoint, outcome := r.Deregister(4*second, 7, p)
	is.Equal(outcome, Ended)
	is.Equal(len(p.broadcasts), 2)
	again, outcome := r.Deregister(5*second, 7, p)
	is.Equal(outcome, Ended)
	is.Equal(again, endpoint)
	is.Equal(len(p.broadcasts), 2)
	is.Equal(onlyTarget(r).State, Deregistered)
	_, outcome = r.Deregister(5*second, 8, p)
	is.Equal(outcome, UnknownTarget)
}

// The target that drains and the one that has started under its identity have two endpoints.
func TestDeregistrationEndsTheDrainingOneOfTwoEndpoints(t *testing.T) {
	is := is.New(t)
	r, p := NewRegistry("i1"), &recordingPublisher{}
	is.NoErr(r.HandleAnnouncement(0, announcement(2, drainingWithIdentity), p))
	moved := announcement(1, restarted)
	moved.Endpoint = otherEndpoint
	is.NoErr(r.HandleAnnouncement(second, moved, p))
	endpoint, outcome := r.Deregister(4*second, 7, p)
	is.Equal(outcome, Ended)
	is.Equal(endpoint, announcement(2, nil).Endpoint)
	r.EachTarget(func(t Target) {
		is.Equal(t.AcceptsNewWork(4*second), t.Endpoint == otherEndpoint)
	})
	_, outcome = r.Deregister(5*second, 7, p)
	is.Equal(outcome, NotDraining)
}
