package pacer

import (
	"math"
	"time"
)

const (
	// rateFraction is the part of the link's rate that is used. The rest is for what is not
	// paced: gossip, which may take 6 kB/s, fetches of configurations, and probes.
	rateFraction = 0.95
	// burstPackets is how many of the largest packets may be sent at once. The link's queue
	// holds about twice as many, and gossip needs room in it.
	burstPackets = 4
	// timerDelay is by how much timers may fire late. A burst is at least what the link
	// carries in that time: otherwise a fast link would be idle between two timers.
	timerDelay  = 2 * time.Millisecond
	bitsPerByte = 8
)

// bucket is a token bucket. A token is the right to send a byte.
type bucket struct {
	rate       float64 // tokens added per second
	burst      float64 // most tokens
	tokens     float64 // negative after packets that were sent without enough of them
	refilledAt time.Duration
}

// newBucket returns a full bucket for a link with the rate, in bits per second.
func newBucket(linkRate int64) bucket {
	b := bucket{rate: float64(linkRate) * rateFraction / bitsPerByte}
	b.burst = max(burstPackets*maxPacketBytes, b.rate*timerDelay.Seconds())
	b.tokens = b.burst
	return b
}

// refill adds the tokens of the time since the last call. However long that is, the bucket
// holds one burst at most.
func (b *bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// wait returns the time until a packet of size bytes may be sent, 0 if it may be sent now. A
// packet larger than a burst needs a full bucket.
func (b *bucket) wait(size int) time.Duration {
	missing := min(float64(size), b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// take removes the tokens of size bytes. The debt is one burst at most, so that packets are
// still sent when what is not paced exceeds the rate.
func (b *bucket) take(size int) {
	b.tokens = max(b.tokens-float64(size), -b.burst)
}
