package planner

import (
	"net/netip"
	"slices"
	"time"
)

// RetryPolicy says whether the requests of a route may be retried.
type RetryPolicy uint8

// The retry policies. The numbers are stored.
const (
	Idempotent RetryPolicy = iota // requests may be run again
	Once                          // requests must not run twice
	Transfer                      // long responses that may be fetched again
	Upload                        // long requests that must not run twice
	retryPolicyCount
)

var retryPolicyNames = [retryPolicyCount]string{"idempotent", "once", "transfer", "upload"}

// String returns the name of the policy.
func (p RetryPolicy) String() string {
	if p >= retryPolicyCount {
		return "unknown"
	}
	return retryPolicyNames[p]
}

// WeightedPool is a pool of a route. The pool gets a share of the route's new flows in
// proportion to Weight.
type WeightedPool struct {
	_      struct{} `cbor:",toarray"`
	Pool   string
	Weight int
}

// Route maps an address to the pools that its new flows go to. Routes are encoded by
// position: the order of the fields must stay.
type Route struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	Address          netip.AddrPort
	RetryPolicy      RetryPolicy
	CallerTimeout    time.Duration // time after which callers give up
	LatencyObjective time.Duration // latency objective of the callers
	Priority         int           // 0 goes first
	WeightedPools    []WeightedPool
}

// Pool is the configuration of the targets that announce the same job. Pools are encoded by
// position, see MarshalCBOR.
type Pool struct {
	_              struct{} `cbor:",toarray"`
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // limit for each target
	// SlowStart is how long a target is in slow start after its start, or 0 if it is not known.
	// Decisions use what is left of it, which targets announce.
	SlowStart time.Duration
	// SlowStartRate is the number of requests a second that a target bears during its slow start,
	// or 0 if it is not known.
	SlowStartRate float64
}

// Ruleset is a configuration that an operator supplies as a whole, with a version number
// that the operator chooses. It is independent of the services that intents create.
type Ruleset struct {
	Version     uint64        `cbor:"version"`
	Routes      []Route       `cbor:"routes"`
	Pools       []Pool        `cbor:"pools"`
	IdleTimeout time.Duration `cbor:"idle"` // time after which an idle flow may be dropped
	// Source is the operator's original document, returned unchanged.
	Source []byte `cbor:"source"`
	// SourceOmitted is set on a ruleset that was fetched without the operator's document, by an
	// instance that never returns it.
	SourceOmitted bool `cbor:"source-omitted,omitempty"`
}

// HasPool reports whether the ruleset names a pool.
func (r *Ruleset) HasPool(name string) bool {
	return slices.ContainsFunc(r.Pools, func(p Pool) bool { return p.Name == name })
}

// SlowStartRate returns the requests a second that a target of a pool bears in slow start, or 0 if
// that is not known.
func (r *Ruleset) SlowStartRate(pool string) float64 {
	for i := range r.Pools {
		if r.Pools[i].Name == pool {
			return r.Pools[i].SlowStartRate
		}
	}
	return 0
}

// HasSlowStartRate reports whether the targets of any pool have a known rate in slow start.
func (r *Ruleset) HasSlowStartRate() bool {
	return slices.ContainsFunc(r.Pools, func(p Pool) bool { return p.SlowStartRate > 0 })
}

// Limits of a ruleset.
const (
	MaxSlowStart     = 24 * time.Hour
	MaxSlowStartRate = 1e6 // requests a second
	MaxRoutes        = 1 << 14
	MaxSourceBytes   = 8 << 20
	MaxWeight        = 1 << 20
)

// Validate returns a *Refusal that names the first field that is out of range.
func (r Ruleset) Validate() error {
	var first error
	r.Violations()(func(v Violation) bool {
		first = v.Refusal
		return false
	})
	return first
}

// replaceRuleset makes r the current ruleset if its version is the highest so far. A ruleset
// with a lower or equal version is ignored whatever its content, because it may be a duplicate
// or older than the ruleset of another operator.
func (m *StateMachine) replaceRuleset(r Ruleset) {
	if m.config.Ruleset != nil && r.Version <= m.config.Ruleset.Version {
		return
	}
	m.config.Ruleset = &r
	m.config.Version = m.appliedIndex
}
