package main

import (
	"time"

	"golang.org/x/sys/unix"
)

// uptime returns the time since the machine started, suspensions included.
func uptime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
