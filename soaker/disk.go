package soaker

import (
	"os"
	"strings"
	"syscall"
	"time"

	"almondpick/journaler"
)

// What can be wrong with a disk.
const (
	diskFull  = "full"  // every write fails
	diskStall = "stall" // writes wait until the fault is over
	diskSlow  = "slow"  // every sync takes slowSync
)

var diskFaults = []string{diskFull, diskStall, diskSlow}

const (
	slowSync  = 150 * time.Millisecond
	stallPoll = 50 * time.Millisecond
)

// Disk makes the files of a journal misbehave as a control file says, from outside of the
// process. Without that file they work.
type DiskFaultInjector struct {
	control string
}

// NewDisk returns a disk that does what is written in the file control.
func NewDiskFaultInjector(control string) *DiskFaultInjector {
	return &DiskFaultInjector{control: control}
}

// Wrap returns the file with the faults of the disk.
func (d *DiskFaultInjector) Wrap(f journaler.File) journaler.File {
	return &faultyFile{File: f, disk: d}
}

func (d *DiskFaultInjector) fault() string {
	b, err := os.ReadFile(d.control)
	if err != nil {
		return "" // there is none while the disk works
	}
	return strings.TrimSpace(string(b))
}

type faultyFile struct {
	journaler.File
	disk *DiskFaultInjector
}

// Write implements io.Writer.
func (f *faultyFile) Write(b []byte) (int, error) {
	if f.disk.fault() == diskFull {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// Sync implements journaler.File.
func (f *faultyFile) Sync() error {
	if f.disk.fault() == diskSlow {
		time.Sleep(slowSync)
	}
	for f.disk.fault() == diskStall {
		time.Sleep(stallPoll)
	}
	return f.File.Sync()
}
