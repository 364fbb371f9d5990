package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
)

// deregister returns the result of one deregistration of the target with number n.
func deregister(c *Controller, n int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Deregister(ctx, uint64(n))
}

// A target leaves and starts again under its identity. Its first deregistration, which was held
// up, arrives then at another instance. The target must get work, also after a restart of all.
func TestLateDeregistrationEndsNoLaterIncarnation(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	is.NoErr(network.controllerAt(peerAddress(0)).Announce(context.Background(), servingTarget(1)))
	announceDeparture(t, network.controllerAt(peerAddress(1)), 1, announcer.Deregistered)
	again := servingTarget(1)
	again.Incarnation = 2
	is.NoErr(network.controllerAt(peerAddress(1)).Announce(context.Background(), again))
	late := network.controllerAt(peerAddress(2))
	eventually(t, "new incarnation is known everywhere", func() bool { return acceptsNewWork(late, again.Endpoint) })

	var notDraining *announcer.NotDrainingError
	is.True(errors.As(deregister(late, 1), &notDraining))
	announceAndCheck := func() {
		again.Sequence++
		is.NoErr(network.controllerAt(peerAddress(1)).Announce(context.Background(), again))
		for n := range folders {
			eventually(t, "instance offers the new incarnation", func() bool {
				return acceptsNewWork(network.controllerAt(peerAddress(n)), again.Endpoint)
			})
		}
	}
	announceAndCheck()
	network.stopAll(t)
	for n := range folders {
		network.start(t, n, folders[n], false)
	}
	announceAndCheck()
	network.stopAll(t)
}

// The notice that a target drains is in the log, and the instance that the target deregisters
// at has not received it. The instance neither acknowledges the end nor takes the call for a
// late one, until it has caught up.
func TestDeregistrationWaitsForTheNoticeInTheLog(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	network.startThree(t)
	is.NoErr(network.controllerAt(peerAddress(0)).Announce(context.Background(), servingTarget(1)))
	endpoint := servingTarget(1).Endpoint
	behind := network.controllerAt(peerAddress(2))
	eventually(t, "all instances know the target", func() bool { return acceptsNewWork(behind, endpoint) })
	network.cutOff(peerAddress(2), true)
	announceDeparture(t, network.controllerAt(peerAddress(0)), 1, announcer.Draining)

	err := deregister(behind, 1)
	var notDraining *announcer.NotDrainingError
	is.True(err != nil)
	is.True(!errors.As(err, &notDraining))

	network.cutOff(peerAddress(2), false)
	eventually(t, "end is acknowledged", func() bool { return deregister(behind, 1) == nil })
	ended := false
	behind.runInLoop(context.Background(), func() {
		d, ok := behind.stateMachine.Departure(endpoint)
		ended = ok && d.Deregistered
	})
	is.True(ended)
	network.stopAll(t)
}
