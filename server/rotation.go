package server

import (
	"context"
	"time"
)

// Times of a planned stop, in which the fabric takes the instance out of its rotation.
const (
	// fabricRemovalDelay is how long the fabric may go on sending packets to an instance
	// that is not ready: the fabric probes twice a second and removes the instance at the
	// second failed probe.
	fabricRemovalDelay = 1200 * time.Millisecond
	// fabricQuietPeriod is the time without a packet that shows, once fabricRemovalDelay
	// has passed, that the fabric has removed the instance.
	fabricQuietPeriod    = 300 * time.Millisecond
	rotationPollInterval = 50 * time.Millisecond
)

// mayClose reports whether an instance that has not been ready for notReadyFor may close:
// the fabric sends it no more packets, or the process would soon be killed. quietFor is the
// time since the last packet. An instance closes as early as it may: when more than half of
// the instances of a data centre are out of rotation, the fabric falls back on all of them,
// including one that has just closed and is not back yet.
func mayClose(notReadyFor, quietFor, stopGracePeriod time.Duration) bool {
	if notReadyFor >= stopGracePeriod-killMargin {
		return true
	}
	return notReadyFor >= fabricRemovalDelay && quietFor >= fabricQuietPeriod
}

// waitOutOfRotation waits until mayClose is true or ctx ends. The instance forwards packets
// meanwhile.
func (n *Node) waitOutOfRotation(ctx context.Context) {
	startedAt := n.clock.Now()
	ticks, stop := n.clock.Ticker(rotationPollInterval)
	defer stop()
	for !mayClose(n.clock.Now().Sub(startedAt), n.diverter.TimeSinceLastPacket(), n.settings.StopGracePeriod) {
		select {
		case <-ticks:
		case <-ctx.Done():
			return
		}
	}
	n.log.Info("out-of-rotation", "after", n.clock.Now().Sub(startedAt), "silence", n.diverter.TimeSinceLastPacket())
}
