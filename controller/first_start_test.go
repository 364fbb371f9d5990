package controller

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"almondpick/journaler"
)

// startThreeOn starts three storage instances on the folders and waits until a ruleset is accepted.
func (network *testNetwork) startThreeOn(t *testing.T, folders []string, firstStart bool) {
	t.Helper()
	for n := range folders {
		network.start(t, n, folders[n], firstStart)
	}
	eventually(t, "first ruleset is accepted", func() bool { return replaceRuleset(network.controllerAt(peerAddress(0)), 1) == nil })
	for n := range folders {
		eventually(t, "instance reads the ruleset", func() bool { return readRulesetVersion(network.controllerAt(peerAddress(n))) == 1 })
	}
}

// firstStartPrefixes returns, for each step of a first start, a function that makes a folder what
// a kill after that step leaves, from one that has been through all of them.
func firstStartPrefixes() map[string]func(folder string) error {
	remove := func(folder string, names ...string) error {
		for _, name := range names {
			if err := os.Remove(filepath.Join(folder, name)); err != nil && !os.IsNotExist(err) {
				return err
			}
		}
		return nil
	}
	emptyLog := func(folder string) error { return os.WriteFile(filepath.Join(folder, journaler.LogFile), nil, 0o600) }
	return map[string]func(folder string) error{
		"nothing": func(folder string) error {
			return remove(folder, journaler.LogFile, journaler.IdentityFile, journaler.SnapshotFile)
		},
		"log": func(folder string) error {
			if err := remove(folder, journaler.IdentityFile, journaler.SnapshotFile); err != nil {
				return err
			}
			return emptyLog(folder)
		},
		"identity": func(folder string) error {
			if err := remove(folder, journaler.SnapshotFile); err != nil {
				return err
			}
			return emptyLog(folder)
		},
		"snapshot":   emptyLog,
		"hard-state": func(string) error { return nil },
	}
}

// bootstrappedFolder returns a data folder as the first start of the instance with number n
// leaves it, before the voter sends anything.
func bootstrappedFolder(t *testing.T, n int) string {
	t.Helper()
	folder := t.TempDir()
	network := newTestNetwork(t)
	c := network.start(t, n, folder, false)
	defer network.stop(t, n)
	c.runInLoop(context.Background(), func() {
		if c.journal != nil {
			_ = c.journal.Close()
			c.journal = nil
		}
		for _, name := range []string{journaler.LogFile, journaler.IdentityFile, journaler.SnapshotFile} {
			_ = os.Remove(filepath.Join(folder, name))
		}
		if err := c.openJournal(bootstrapIdentity); err != nil {
			t.Error(err)
		}
	})
	return folder
}

// Instances of the core are killed during the first start, after each of its writes. With the same
// settings the next start must go on from there.
func TestKillDuringTheFirstStartLeavesAStateToStartFrom(t *testing.T) {
	for step, truncate := range firstStartPrefixes() {
		for killed := 1; killed <= 3; killed++ {
			t.Run(fmt.Sprintf("%s/%d", step, killed), func(t *testing.T) {
				is := is.New(t)
				folders := make([]string, 3)
				for n := range folders {
					folders[n] = bootstrappedFolder(t, n)
					if n < killed {
						is.NoErr(truncate(folders[n]))
					}
				}
				network := newTestNetwork(t)
				network.startThreeOn(t, folders, true)
				is.Equal(len(membershipOf(network.controllerAt(peerAddress(0))).Voters), 3)
				network.stopAll(t)
			})
		}
	}
}
