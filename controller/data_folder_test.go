package controller

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"almondpick/journaler"
)

// fullDisk refuses writes and syncs while full is set.
type fullDisk struct{ full atomic.Bool }

type fullDiskFile struct {
	journaler.File
	disk *fullDisk
}

// Write implements journaler.File.
func (f fullDiskFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// Sync implements journaler.File.
func (f fullDiskFile) Sync() error {
	if f.disk.full.Load() {
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

func withFullDisk(d *fullDisk) Option {
	return WithJournalOptions(journaler.WithFileWrapper(func(f journaler.File) journaler.File { return fullDiskFile{File: f, disk: d} }))
}

func voterRuns(c *Controller) bool {
	runs := false
	c.runInLoop(context.Background(), func() { runs = c.voter != nil && c.voterErr == nil })
	return runs
}

func folderOpenFailed(c *Controller) bool {
	failed := false
	c.runInLoop(context.Background(), func() { failed = c.voterErr != nil })
	return failed
}

func TestEmptyFolderThatFailsToOpenIsOpenedLater(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	network.stop(t, 0)
	is.NoErr(os.RemoveAll(folders[0]))
	obstacle := filepath.Join(folders[0], journaler.LogFile)
	is.NoErr(os.MkdirAll(obstacle, 0o700))
	c := network.start(t, 0, folders[0], false)
	eventually(t, "opening the folder fails", func() bool { return folderOpenFailed(c) })
	is.NoErr(os.Remove(obstacle))
	eventually(t, "the voter runs", func() bool { return voterRuns(c) })
	eventually(t, "the instance reads the ruleset", func() bool { return readRulesetVersion(c) == 1 })
	network.stopAll(t)
}

func TestFirstStartOnFullDisksSucceedsOnceThereIsRoom(t *testing.T) {
	network := newTestNetwork(t)
	disks := []*fullDisk{{}, {}, {}}
	for n := range disks {
		disks[n].full.Store(true)
		network.start(t, n, t.TempDir(), true, withFullDisk(disks[n]))
	}
	for n := range disks {
		eventually(t, "opening the folder fails", func() bool { return folderOpenFailed(network.controllerAt(peerAddress(n))) })
	}
	for n := range disks {
		disks[n].full.Store(false)
	}
	eventually(t, "the first ruleset is accepted", func() bool { return replaceRuleset(network.controllerAt(peerAddress(0)), 1) == nil })
	network.stopAll(t)
}

func TestInstanceThatStartsOnAFullDiskJoinsOnceThereIsRoom(t *testing.T) {
	is := is.New(t)
	network := newTestNetwork(t)
	folders := network.startThree(t)
	network.stop(t, 0)
	disk := &fullDisk{}
	disk.full.Store(true)
	c := network.start(t, 0, folders[0], false, withFullDisk(disk))
	is.True(folderOpenFailed(c))
	disk.full.Store(false)
	eventually(t, "the voter runs", func() bool { return voterRuns(c) })
	eventually(t, "the instance reads the ruleset", func() bool { return readRulesetVersion(c) == 1 })
	network.stopAll(t)
}

// The disks of the three voters are full one after another, twice, never two at once, while
// rulesets are submitted.
func TestRulesetsAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	network := newTestNetwork(t)
	disks := []*fullDisk{{}, {}, {}}
	for n := range disks {
		network.start(t, n, t.TempDir(), true, withFullDisk(disks[n]))
	}
	version := uint64(1)
	accept := func() {
		version++
		eventually(t, "a ruleset is accepted", func() bool { return replaceRuleset(network.controllerAt(peerAddress(int(version)%3)), version) == nil })
	}
	accept()
	for n := range 2 * len(disks) {
		disk := disks[n%len(disks)]
		c := network.controllerAt(peerAddress(n % len(disks)))
		disk.full.Store(true)
		for range 5 {
			accept()
		}
		eventually(t, "the voter stops", func() bool { return folderOpenFailed(c) })
		disk.full.Store(false)
		eventually(t, "the voter runs", func() bool { return voterRuns(c) })
	}
	accept()
	for n := range disks {
		c := network.controllerAt(peerAddress(n))
		eventually(t, "the newest ruleset is read", func() bool { return readRulesetVersion(c) == version })
	}
	network.stopAll(t)
}
