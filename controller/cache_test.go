package controller

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
	"almondpick/journaler"
	"almondpick/messenger"
)

func servingTarget(n int) announcer.Announcement {
	return announcer.Announcement{
		Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 8080), Job: "pool-a", Slots: 2,
		Incarnation: 1, Sequence: 1, Identity: uint64(n),
	}
}

func fitTargets(c *Controller) int {
	n := 0
	c.runInLoop(context.Background(), func() {
		c.registry.Targets(func(t announcer.Target) {
			if t.Fit(c.now()) {
				n++
			}
		})
	})
	return n
}

// Every store restarts at the same moment and no target has announced itself since: the
// stores know the targets all the same, as soon as a majority of them can say who has left
// and before a target would have announced itself again. One with a torn cache starts
// without it and learns from the others.
func TestTargetsOutliveARestartOfAllStores(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range 3 {
		w.start(t, n, folders[n], true)
	}
	for n := range 6 {
		is.NoErr(w.at(peerOf(n%3)).Announce(context.Background(), servingTarget(n+1)))
	}
	eventually(t, "all are on all disks", func() bool {
		for _, folder := range folders {
			var s cachedTargets
			b, err := journaler.LoadCache(folder)
			if err != nil || b == nil || messenger.Decode(b, &s) != nil || len(s.Records) != 6 {
				return false
			}
		}
		return true
	})
	for n := range 3 {
		w.stop(t, n)
	}
	path := filepath.Join(folders[2], journaler.CacheFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, whole[:len(whole)/2], 0o600))
	first := w.start(t, 0, folders[0], false)
	is.Equal(fitTargets(first), 0) // one disk alone cannot tell who has left
	second := w.start(t, 1, folders[1], false)
	began := time.Now()
	eventually(t, "a majority knows the targets", func() bool { return fitTargets(first) == 6 && fitTargets(second) == 6 })
	is.True(time.Since(began) < announcer.Interval)
	torn := w.start(t, 2, folders[2], false)
	eventually(t, "the third learns them", func() bool { return fitTargets(torn) == 6 })
	eventually(t, "targets that stay silent are lost", func() bool { return fitTargets(torn) == 0 })
	for n := range 3 {
		w.stop(t, n)
	}
}
