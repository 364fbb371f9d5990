package soaker

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"almondpick/platform"
)

// checker records what callers, targets and the operator observe, and collects the
// violations of invariants. Its methods other than addViolation lock mu.
type checker struct {
	mu                 sync.Mutex
	violations         []string
	runsByRequest      map[string]int
	poolByAddress      map[string]string // by service address; no configuration changes the pool of a route
	requests           int
	answeredRequests   int
	refusedRequests    int
	sentConfigurations map[uint64]string    // by version
	acknowledgedAt     map[uint64]time.Time // by version
	undisturbedSince   func(since time.Time) bool
	hasExtraRoute      map[uint64]bool // by version
	// evacuatedSince is when the evacuation of a data centre was acknowledged, unless its withdrawal
	// has begun.
	evacuatedSince map[string]time.Time
	evacuations    int                          // acknowledged
	flowSentAt     map[netip.AddrPort]time.Time // when a caller sent the first SYN of a flow
	slowStartFlows int                          // accepted by targets in slow start
}

func newChecker() *checker {
	return &checker{
		runsByRequest: make(map[string]int), poolByAddress: make(map[string]string),
		sentConfigurations: make(map[uint64]string), acknowledgedAt: make(map[uint64]time.Time), hasExtraRoute: make(map[uint64]bool),
		evacuatedSince: make(map[string]time.Time), flowSentAt: make(map[netip.AddrPort]time.Time), undisturbedSince: func(time.Time) bool { return false },
	}
}

// drainPropagationLimit is the time for which a target may still get new flows after its
// draining state was acknowledged. It is checked only without unplanned faults.
const drainPropagationLimit = 3 * time.Second

// addViolation adds a violation to the report. The caller holds mu.
func (c *checker) addViolation(invariant, format string, args ...any) {
	c.violations = append(c.violations, invariant+": "+fmt.Sprintf(format, args...))
}

// checkFlowOpened checks an opening segment that a target accepted: the target belongs to
// the pool of the service, is not draining, and its data centre is not evacuated.
func (c *checker) checkFlowOpened(t *target, segment platform.Segment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if expectedPool := c.poolByAddress[segment.To.String()]; expectedPool != t.pool {
		c.addViolation("wrong service", "flow %s to %s reached %s of %s", segment.From, segment.To, t.id(), t.pool)
	}
	c.checkEvacuated(t, segment)
	if !t.drainAcknowledgedAt.IsZero() && time.Since(t.drainAcknowledgedAt) > drainPropagationLimit && c.undisturbedSince(t.drainAcknowledgedAt) {
		c.addViolation("leaving target", "%s got flow %s %s after its word was taken", t.id(), segment.From, time.Since(t.drainAcknowledgedAt))
	}
}

// recordRun records that a target started a request. Each request may run at most once.
func (c *checker) recordRun(t *target, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsByRequest[request]++
	if c.runsByRequest[request] > 1 {
		c.addViolation("at most once", "request %s ran again, on %s", request, t.id())
	}
}

// recordOutcome records the outcome of a request for its caller. A refused request must
// not have run, and a response must belong to the request.
func (c *checker) recordOutcome(request, response string, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	switch {
	case refused:
		c.refusedRequests++
		if c.runsByRequest[request] > 0 {
			c.addViolation("not run means not run", "request %s was refused and had run", request)
		}
	case response != "":
		c.answeredRequests++
		if !strings.HasSuffix(response, " "+request) {
			c.addViolation("own answer", "request %s got %q", request, response)
		}
	}
}

// checkFlowReset checks that a flow that some instance reset after it had opened was
// disturbed by an unplanned fault. Planned operations must not break open flows.
func (c *checker) checkFlowReset(request string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.undisturbedSince(sentAt.Add(-faultSettleTime)) {
		c.addViolation("open flow", "request %s was reset after its flow had opened", request)
	}
}

// recordPut records that the operator sends a configuration, and the status code of the
// response; 0 stands for none. A valid configuration must not be refused.
func (c *checker) recordPut(version uint64, body string, hasExtraRoute bool, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentConfigurations[version] = body
	c.hasExtraRoute[version] = hasExtraRoute
	if status == 200 && c.acknowledgedAt[version].IsZero() {
		c.acknowledgedAt[version] = time.Now()
	}
	if status >= 400 && status < 500 {
		c.addViolation("order", "valid version %d was refused with %d", version, status)
	}
}

// newestAcknowledged returns the highest version that was acknowledged before a time, or
// 0 for none.
func (c *checker) newestAcknowledged(before time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var highest uint64
	for version, acknowledgedAt := range c.acknowledgedAt {
		if acknowledgedAt.Before(before) {
			highest = max(highest, version)
		}
	}
	return highest
}

// checkRead checks a configuration from a read that started after minVersion was
// acknowledged: it has to be one that the operator sent, and not an older version.
func (c *checker) checkRead(minVersion uint64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, err := platform.ConfigurationVersion([]byte(body))
	switch {
	case err != nil || c.sentConfigurations[version] != body:
		c.addViolation("configuration", "read back %.40q, which was never sent", body)
	case version < minVersion:
		c.addViolation("configuration", "read back version %d after %d was acknowledged", version, minVersion)
	}
}

// checkExtraRouteProbe checks the outcome of a flow to extraAddress that a caller opened
// at sentAt. Without unplanned faults, the outcome has to agree with some version that is
// at least the newest one acknowledged inForceTimeout earlier. Any newer version that was
// sent counts, whether acknowledged or not.
func (c *checker) checkExtraRouteProbe(sentAt time.Time, outcome flowOutcome) {
	minVersion := c.newestAcknowledged(sentAt.Add(-inForceTimeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	if minVersion == 0 || !c.undisturbedSince(sentAt.Add(-inForceTimeout)) {
		return
	}
	mayOpen, mayRefuse := false, false
	for version, hasExtraRoute := range c.hasExtraRoute {
		if version >= minVersion {
			mayOpen = mayOpen || hasExtraRoute
			mayRefuse = mayRefuse || !hasExtraRoute
		}
	}
	if outcome.opened && !mayOpen {
		c.addViolation("in force", "a flow to a route that version %d had dropped opened", minVersion)
	}
	if outcome.refused && !mayRefuse {
		c.addViolation("in force", "a flow to a route of version %d was refused", minVersion)
	}
}
