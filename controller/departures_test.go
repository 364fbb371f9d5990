package controller

import (
	"context"
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"almondpick/announcer"
	"almondpick/journaler"
	"almondpick/messenger"
	"almondpick/planner"
)

// copyFolder copies what a disk holds at this moment, as a loss of power leaves it.
func copyFolder(t *testing.T, from string) string {
	t.Helper()
	to := t.TempDir()
	err := fs.WalkDir(os.DirFS(from), ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		b, err := os.ReadFile(filepath.Join(from, path))
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a temporary file that has just been renamed
		}
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), b, 0o600)
	})
	if err != nil {
		t.Fatal(err)
	}
	return to
}

// takesWork tells whether a store believes that the target at an endpoint takes new work.
func takesWork(c *Controller, endpoint netip.AddrPort) bool {
	takes := false
	c.runInLoop(context.Background(), func() {
		c.registry.Targets(func(t announcer.Target) {
			takes = takes || (t.Endpoint == endpoint && t.Fit(c.now()))
		})
	})
	return takes
}

// onDisk tells whether the cache of a data folder has that many targets.
func onDisk(folder string, targets int) bool {
	var s cachedTargets
	b, err := journaler.LoadCache(folder)
	return err == nil && b != nil && messenger.Decode(b, &s) == nil && len(s.Records) == targets
}

// depart has a target say that it leaves, to one store, until that is answered.
func depart(t *testing.T, c *Controller, n int, state announcer.State) {
	t.Helper()
	eventually(t, "the departure is answered", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if state == announcer.Gone {
			return c.Withdraw(ctx, uint64(n)) == nil
		}
		a := servingTarget(n)
		a.State = state
		a.Sequence = 2
		return c.Announce(ctx, a) == nil
	})
}

// A target says that it leaves, one store answers, and at that moment all lose power. The
// caches on the disks still have the target as serving. Whatever comes back, and with
// whatever disks the loss leaves, the target gets no new work; the others do.
func TestADepartureThatWasAnsweredOutlivesALossOfPower(t *testing.T) {
	const targets, leaver = 6, 3
	for name, state := range map[string]announcer.State{"gone": announcer.Gone, "draining": announcer.Draining} {
		for _, wiped := range []int{-1, 0, 1, 2} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				w := newWires(t)
				folders := w.startThree(t)
				for n := range targets {
					is.NoErr(w.at(peerOf(n%3)).Announce(context.Background(), servingTarget(n+1)))
				}
				eventually(t, "all are on all disks", func() bool {
					return onDisk(folders[0], targets) && onDisk(folders[1], targets) && onDisk(folders[2], targets)
				})
				caches := make([]string, len(folders))
				for n := range folders {
					caches[n] = copyFolder(t, folders[n])
				}
				depart(t, w.at(peerOf(0)), leaver, state)
				after := make([]string, len(folders))
				for n := range folders {
					after[n] = copyFolder(t, folders[n])
					// The cache is up to a second behind the log, more on a slow disk.
					old, err := os.ReadFile(filepath.Join(caches[n], journaler.CacheFile))
					is.NoErr(err)
					is.NoErr(os.WriteFile(filepath.Join(after[n], journaler.CacheFile), old, 0o600))
				}
				for n := range folders {
					w.stop(t, n)
				}
				if wiped >= 0 {
					after[wiped] = t.TempDir()
				}
				endpoint := servingTarget(leaver).Endpoint
				for n := range after {
					is.True(!takesWork(w.start(t, n, after[n], false), endpoint))
				}
				eventually(t, "the others take work at every store", func() bool {
					whole := true
					for n := range after {
						is.True(!takesWork(w.at(peerOf(n)), endpoint))
						whole = whole && fitTargets(w.at(peerOf(n))) == targets-1
					}
					return whole
				})
				for n := range after {
					w.stop(t, n)
				}
			})
		}
	}
}

// One store comes back with an old disk while the others cannot be reached: it cannot
// know who has left since, and offers nobody until the targets announce themselves.
func TestAnOldDiskAloneOffersNobody(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	folders := w.startThree(t)
	is.NoErr(w.at(peerOf(0)).Announce(context.Background(), servingTarget(1)))
	eventually(t, "it is on the disk", func() bool { return onDisk(folders[2], 1) })
	old := copyFolder(t, folders[2])
	depart(t, w.at(peerOf(0)), 1, announcer.Gone)
	for n := range folders {
		w.stop(t, n)
	}
	alone := w.start(t, 2, old, false)
	eventually(t, "it no longer waits for the others", func() bool {
		informed := false
		alone.runInLoop(context.Background(), func() { informed = alone.knowsTargets() })
		is.True(!takesWork(alone, servingTarget(1).Endpoint))
		return informed
	})
	a := servingTarget(1)
	a.Incarnation, a.Sequence = 2, 1 // started again
	is.NoErr(alone.Announce(context.Background(), a))
	is.True(takesWork(alone, a.Endpoint))
	w.stop(t, 2)
}

// A departure is acknowledged only when it is durable: a store that cannot reach the
// others does not confirm it, but gives the target no new work all the same.
func TestADepartureIsNotAnsweredWithoutAMajority(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	w.startThree(t)
	c := w.at(peerOf(0))
	is.NoErr(c.Announce(context.Background(), servingTarget(1)))
	w.stop(t, 1)
	w.stop(t, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a := servingTarget(1)
	a.State, a.Sequence = announcer.Draining, 2
	is.True(c.Announce(ctx, a) != nil)
	is.True(!takesWork(c, a.Endpoint))
	w.stop(t, 0)
}

// The store that answered ends before its news has gone out: the others know from the log.
func TestADepartureIsKnownFromTheLog(t *testing.T) {
	is := is.New(t)
	w := newWires(t)
	w.startThree(t)
	is.NoErr(w.at(peerOf(0)).Announce(context.Background(), servingTarget(1)))
	c := w.at(peerOf(1))
	endpoint := servingTarget(1).Endpoint
	eventually(t, "the others know it", func() bool { return takesWork(c, endpoint) })
	d := announcer.Departure{Endpoint: endpoint, Identity: 1, Incarnation: 1, Sequence: 2, Home: "10.0.0.3"}
	eventually(t, "it is in the log", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a, err := c.Submit(ctx, planner.Command{Depart: &planner.Depart{Departures: []announcer.Departure{d}}})
		return err == nil && a.Refusal == nil
	})
	is.True(!takesWork(c, endpoint))
	stale := servingTarget(1) // from an instance that was cut off
	is.NoErr(c.Announce(context.Background(), stale))
	is.True(!takesWork(c, endpoint))
	for n := range 3 {
		w.stop(t, n)
	}
}
