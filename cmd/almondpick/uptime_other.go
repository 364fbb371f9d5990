//go:build !linux

package main

import "time"

// uptime returns the time since the process started.
func uptime() time.Duration {
	return time.Since(processStart)
}
