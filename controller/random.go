package controller

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// randomStream distinguishes the random sources of one instance.
type randomStream uint64

const (
	electionStream randomStream = iota + 1
	gossipStream
)

// newRandom returns a source of random numbers that differs between instances, between their
// starts and between streams. The start time alone is not enough: instances that lose power
// together may start in the same nanosecond of a coarse clock, and with equal election timeouts
// every election would end in a split vote.
func newRandom(instance string, startTime time.Time, stream randomStream) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(instance)) // never fails
	return rand.New(rand.NewPCG(uint64(startTime.UnixNano())^h.Sum64(), uint64(stream)))
}
