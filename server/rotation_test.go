package server

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNodeMayCloseOnceTheFabricSendsNothing(t *testing.T) {
	const stopGracePeriod = 6 * time.Second
	for _, c := range []struct {
		name                  string
		notReadyFor, quietFor time.Duration
		mayClose              bool
	}{
		{"in rotation, no traffic", 900 * time.Millisecond, 5 * time.Second, false},
		{"out of rotation, packets have stopped", fabricRemovalDelay, fabricQuietPeriod, true},
		{"packets arrive because the fabric falls back on all instances", 4 * time.Second, 20 * time.Millisecond, false},
		{"the process is about to be killed", 5 * time.Second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(mayClose(c.notReadyFor, c.quietFor, stopGracePeriod), c.mayClose)
		})
	}
}
