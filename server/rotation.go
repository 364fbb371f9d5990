package server

import (
	"context"
	"time"
)

// Times of leaving the fabric's rotation.
const (
	// rotationLag is how long the fabric may go on sending to an instance that says that
	// it is not ready: it asks twice a second and gives up on the second refusal.
	rotationLag = 1200 * time.Millisecond
	// rotationSilence without a packet, after that, shows that the instance is out.
	rotationSilence = 300 * time.Millisecond
	rotationPoll    = 50 * time.Millisecond
)

// outOfRotation tells whether an instance that has not been ready for a time may end:
// the fabric sends it nothing more, or it would be killed soon. It ends no later than it
// has to, because the fabric falls back on all instances of a data centre when more than
// half of them are out, also on one that has just ended and is not back yet.
func outOfRotation(unready, silence, grace time.Duration) bool {
	if unready >= grace-stopReserve {
		return true
	}
	return unready >= rotationLag && silence >= rotationSilence
}

// leaveRotation forwards until the instance is out of the fabric's rotation.
func (n *Node) leaveRotation(ctx context.Context) {
	began := n.clock.Now()
	ticks, stop := n.clock.Ticker(rotationPoll)
	defer stop()
	for !outOfRotation(n.clock.Now().Sub(began), n.flow.Silence(), n.set.StopGracePeriod) {
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
	n.log.Info("out-of-rotation", "after", n.clock.Now().Sub(began), "silence", n.flow.Silence())
}
