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

func countAcceptingTargets(c *Controller) int {
	n := 0
	c.runInLoop(context.Background(), func() {
		c.registry.EachTarget(func(t announcer.Target) {
			if t.AcceptsNewWork(c.now()) {
				n++
			}
		})
	})
	return n
}

// All storage instances restart at the same moment and no target has announced itself since.
// They restore the targets from their caches as soon as a majority has reported which targets
// have left, and before the targets announce themselves again. An instance with a truncated
// cache starts without it and learns the targets from the others.
func TestTargetsSurviveRestartOfAllStorageInstances(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for n := range 3 {
		network.start(t, n, folders[n], true)
	}
	for n := range 6 {
		is.NoErr(network.controllerAt(peerAddress(n%3)).Announce(context.Background(), servingTarget(n+1)))
	}
	eventually(t, "all targets are cached on all disks", func() bool {
		for _, folder := range folders {
			var s cachedTargets
			b, err := journaler.LoadCache(folder)
			if err != nil || b == nil || messenger.Decode(b, &s) != nil || len(s.Records) != 6 {
				return false
			}
		}
		return true
	})
	network.stopAll(t)
	path := filepath.Join(folders[2], journaler.CacheFile)
	content, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, content[:len(content)/2], 0o600))
	first := network.start(t, 0, folders[0], false)
	is.Equal(countAcceptingTargets(first), 0) // one disk alone cannot tell which targets have left
	second := network.start(t, 1, folders[1], false)
	began := time.Now()
	eventually(t, "a majority knows the targets", func() bool { return countAcceptingTargets(first) == 6 && countAcceptingTargets(second) == 6 })
	is.True(time.Since(began) < announcer.AnnouncementInterval)
	truncated := network.start(t, 2, folders[2], false)
	eventually(t, "third instance learns the targets", func() bool { return countAcceptingTargets(truncated) == 6 })
	eventually(t, "targets without announcements are unreachable", func() bool { return countAcceptingTargets(truncated) == 0 })
	network.stopAll(t)
}
