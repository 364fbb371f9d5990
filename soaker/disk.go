package soaker

import (
	"os"
	"strings"
	"syscall"
	"time"

	"almondpick/journaler"
)

// Disk faults. The names are the contents of the control file.
const (
	diskFull  = "full"  // every write fails with ENOSPC
	diskStall = "stall" // every sync blocks until the fault ends
	diskSlow  = "slow"  // every sync takes slowSyncDelay longer
)

var diskFaults = []string{diskFull, diskStall, diskSlow}

const (
	slowSyncDelay     = 150 * time.Millisecond
	stallPollInterval = 50 * time.Millisecond
)

// DiskFaultInjector injects a disk fault into the files of a journal. Another process
// chooses the fault by writing its name to a control file; without that file, the files
// work normally.
type DiskFaultInjector struct {
	controlFile string
}

// NewDiskFaultInjector returns an injector of the fault named in the control file.
func NewDiskFaultInjector(controlFile string) *DiskFaultInjector {
	return &DiskFaultInjector{controlFile: controlFile}
}

// Wrap returns a file that behaves like f except for the injected fault.
func (d *DiskFaultInjector) Wrap(f journaler.File) journaler.File {
	return &faultyFile{File: f, injector: d}
}

// currentFault returns the name of the fault, or "" for none.
func (d *DiskFaultInjector) currentFault() string {
	content, err := os.ReadFile(d.controlFile)
	if err != nil {
		return "" // the file does not exist while no fault is injected
	}
	return strings.TrimSpace(string(content))
}

type faultyFile struct {
	journaler.File
	injector *DiskFaultInjector
}

// Write implements io.Writer.
func (f *faultyFile) Write(b []byte) (int, error) {
	if f.injector.currentFault() == diskFull {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// Sync implements journaler.File.
func (f *faultyFile) Sync() error {
	if f.injector.currentFault() == diskSlow {
		time.Sleep(slowSyncDelay)
	}
	for f.injector.currentFault() == diskStall {
		time.Sleep(stallPollInterval)
	}
	return f.File.Sync()
}
