package server

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAnInstanceEndsWhenTheFabricSendsItNothingMore(t *testing.T) {
	const grace = 6 * time.Second
	for _, c := range []struct {
		name             string
		unready, silence time.Duration
		out              bool
	}{
		{"still in rotation, nobody calls", 900 * time.Millisecond, 5 * time.Second, false},
		{"out, and packets have stopped", rotationLag, rotationSilence, true},
		{"the fabric falls back on it", 4 * time.Second, 20 * time.Millisecond, false},
		{"it would be killed", 5 * time.Second, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(outOfRotation(c.unready, c.silence, grace), c.out)
		})
	}
}
