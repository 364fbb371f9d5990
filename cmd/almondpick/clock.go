package main

import "time"

var processStart = time.Now()

// systemClock is the system clock, with an offset that a soak test can set.
type systemClock struct {
	timeOfDayOffset time.Duration // added to the time of the system
}

// Now returns the current time.
func (c systemClock) Now() time.Time {
	return time.Now().Add(c.timeOfDayOffset)
}

// Uptime returns the time since the machine started, suspensions included. Where the system does
// not tell, it returns the time since the process started.
func (systemClock) Uptime() time.Duration {
	return uptime()
}

// Ticker returns a channel that receives the time every d, and a function that stops the
// ticker. The offset has no effect on it.
func (systemClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}
