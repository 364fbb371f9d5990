package controller

import (
	"context"
	"os"
	"testing"

	"github.com/matryer/is"

	"almondpick/announcer"
)

// A storage instance with an empty disk fetches the configuration like any other before it
// joins the log. Departures are not part of what it fetches.
func TestReplacedVoterHoldsTheDeparturesOfTheLog(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	leaving := servingTarget(1)
	is.NoErr(network.controllerAt(peerAddress(1)).Announce(context.Background(), leaving))
	leaving.State = announcer.Draining
	leaving.Sequence++
	eventually(t, "the departure is acknowledged", func() bool {
		return network.controllerAt(peerAddress(1)).Announce(context.Background(), leaving) == nil
	})
	network.stop(t, 0)
	is.NoErr(os.RemoveAll(folders[0]))
	c := network.start(t, 0, folders[0], false)
	eventually(t, "the instance with the new disk is a voter", func() bool {
		m := membershipOf(network.controllerAt(peerAddress(1)))
		return len(m.Voters) == 3 && !m.IsVoter("10.0.0.1#first") && len(m.Learners) == 0
	})
	eventually(t, "the departure is on the new disk", func() bool {
		reply, err := c.Departures(context.Background())
		return err == nil && len(reply.Departures) == 1 && reply.Departures[0].Endpoint == leaving.Endpoint
	})
	network.stopAll(t)
}
