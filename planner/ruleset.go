package planner

import (
	"net/netip"
	"strconv"
	"time"
)

// RetryPolicy tells what may be repeated of the requests that a route carries.
type RetryPolicy uint8

// The kinds.
const (
	Idempotent RetryPolicy = iota // may be run again
	Once                         // must not run twice
	Transfer                     // a long answer that may be fetched again
	repeatKinds
)

var repeatNames = [repeatKinds]string{"idempotent", "once", "transfer"}

// String returns the name of the kind.
func (k RetryPolicy) String() string {
	if k >= repeatKinds {
		return "unknown"
	}
	return repeatNames[k]
}

// WeightedPool is the part of a route's new flows that goes to one pool.
type WeightedPool struct {
	_      struct{} `cbor:",toarray"`
	Pool   string
	Weight int
}

// Route says where the new flows of one address go.
type Route struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Address   netip.AddrPort
	RetryPolicy      RetryPolicy
	CallerTimeout   time.Duration // after which callers give up
	LatencyObjective time.Duration // latency that callers hope for
	Priority  int           // 0 goes first
	WeightedPools    []WeightedPool
}

// Pool is a set of targets that announce the same job.
type Pool struct {
	_              struct{} `cbor:",toarray"`
	Name           string
	HealthPath     string
	MaxConnections int // of one target
}

// Ruleset is a configuration that an operator gives as a whole, under a version of
// the operator's own. It stands beside the services that intents make.
type Ruleset struct {
	Version uint64        `cbor:"version"`
	Routes  []Route       `cbor:"routes"`
	Pools   []Pool        `cbor:"pools"`
	IdleTimeout    time.Duration `cbor:"idle"` // after which a flow may be forgotten
	// Source is the operator's own document, returned as it came.
	Source []byte `cbor:"source"`
}

// Limits of a ruleset.
const (
	MaxRoutes = 1 << 14
	MaxSourceBytes = 8 << 20 // bytes
	MaxWeight = 1 << 20
)

// Validate returns a *Refusal that names the first field that is out of range.
func (r Ruleset) Validate() error {
	switch {
	case r.Version == 0:
		return badField("version", "0", "1 or more")
	case len(r.Routes) > MaxRoutes:
		return badField("routes", strconv.Itoa(len(r.Routes)), "at most "+strconv.Itoa(MaxRoutes))
	case len(r.Source) > MaxSourceBytes:
		return badField("source", strconv.Itoa(len(r.Source)), "at most "+strconv.Itoa(MaxSourceBytes)+" bytes")
	case r.IdleTimeout < 0:
		return badField("idle", r.IdleTimeout.String(), "0s or more")
	}
	pools := make(map[string]bool, len(r.Pools))
	for _, p := range r.Pools {
		if p.Name == "" || pools[p.Name] {
			return badField("pools.name", p.Name, "a name that no other pool has")
		}
		pools[p.Name] = true
	}
	taken := make(map[netip.AddrPort]bool, len(r.Routes))
	for _, one := range r.Routes {
		if taken[one.Address] {
			return badField("routes.address", one.Address.String(), "an address that no other route has")
		}
		taken[one.Address] = true
		if err := one.validate(pools); err != nil {
			return err
		}
	}
	return nil
}

func (r Route) validate(pools map[string]bool) error {
	switch {
	case !r.Address.IsValid() || r.Address.Port() == 0:
		return badField("routes.address", r.Address.String(), "IP:port")
	case r.RetryPolicy >= repeatKinds:
		return badField("routes.kind", strconv.Itoa(int(r.RetryPolicy)), "idempotent, once or transfer")
	case r.CallerTimeout <= 0:
		return badField("routes.timeout", r.CallerTimeout.String(), "more than 0s")
	case r.LatencyObjective < 0:
		return badField("routes.objective", r.LatencyObjective.String(), "0s or more")
	case len(r.WeightedPools) == 0:
		return badField("routes.shares", "none", "one pool or more")
	}
	total := 0
	for _, s := range r.WeightedPools {
		if !pools[s.Pool] {
			return badField("routes.shares.pool", s.Pool, "a pool of this ruleset")
		}
		if s.Weight < 0 || s.Weight > MaxWeight {
			return badField("routes.shares.weight", strconv.Itoa(s.Weight), "0 to "+strconv.Itoa(MaxWeight))
		}
		total += s.Weight
	}
	if total == 0 {
		return badField("routes.shares.weight", "0", "a sum of more than 0")
	}
	return nil
}

// replace puts a ruleset into force when its version is the highest so far. One that
// is not higher changes nothing, whatever it holds: it may be an order that arrives
// again, or one that another operator has overtaken.
func (m *StateMachine) replace(r Ruleset) {
	if m.config.Ruleset != nil && r.Version <= m.config.Ruleset.Version {
		return
	}
	m.config.Ruleset = &r
	m.config.Version = m.index
}
