package main

import "time"

// systemClock is the clock of the machine.
type systemClock struct {
	offset time.Duration // of the time of day
}

// Now returns the present time.
func (c systemClock) Now() time.Time {
	return time.Now().Add(c.offset)
}

// Ticker returns a channel that gets a value every d, and what ends it.
func (systemClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}
