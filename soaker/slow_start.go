package soaker

import (
	"net/netip"
	"slices"
	"time"

	"almondpick/warmer"
)

// Slow start of the simulated targets. Only the targets of menuPool have a rate.
const (
	slowStartTime = 2 * time.Second
	slowStartRate = 2 // flows a second; far below what the callers send, so that a missing limit shows
)

// slowStartRemaining returns what is left of the slow start of the target.
func (t *target) slowStartRemaining() time.Duration {
	return max(0, time.Until(time.UnixMilli(t.incarnation).Add(slowStartTime)))
}

// recordFlowSent records that a caller sends the first SYN of a flow.
func (c *checker) recordFlowSent(caller netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flowSentAt[caller] = time.Now()
}

// recordSlowStartFlow checks a flow that a target in slow start accepted: of the flows that were
// sent and have arrived in any second, the target gets no more than the bound, whatever faults
// there are. Instances that are partitioned or suspended may not know yet that a target has
// started again under its identity, so after such a start the bound is checked only without
// unplanned faults.
func (c *checker) recordSlowStartFlow(t *target, caller netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t.slowStartFlows = slices.DeleteFunc(t.slowStartFlows, func(sentAt time.Time) bool { return now.Sub(sentAt) >= time.Second })
	t.slowStartFlows = append(t.slowStartFlows, c.flowSentAt[caller])
	c.slowStartFlows++
	if t.startedAgain && !c.undisturbedSince(time.UnixMilli(t.incarnation)) {
		return
	}
	if n := len(t.slowStartFlows); t.pool == menuPool && float64(n) > slowStartRate*warmer.DefaultExcess+warmer.DefaultSlack {
		c.addViolation("slow start", "%s, which bears %d flows a second, got %d", t.id(), slowStartRate, n)
	}
}
