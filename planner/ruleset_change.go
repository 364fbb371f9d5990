package planner

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// RulesetChange is the difference between two rulesets, without the operator's document.
type RulesetChange struct {
	// BaseVersion is the version that the change applies to. A change with BaseVersion 0 holds a
	// whole ruleset and replaces any other.
	BaseVersion   uint64           `cbor:"base,omitempty"`
	Version       uint64           `cbor:"version"`
	RemovedRoutes []netip.AddrPort `cbor:"removed,omitempty"`
	Routes        []Route          `cbor:"routes,omitempty"` // added, or in place of the route with the same address
	PoolsReplaced bool             `cbor:"pools-replaced,omitempty"`
	Pools         []Pool           `cbor:"pools,omitempty"` // all pools, if PoolsReplaced
	IdleTimeout   time.Duration    `cbor:"idle,omitempty"`
	// Digest is Ruleset.Digest of the result. It reveals a base with the same version and other
	// content. It is not set if BaseVersion is 0.
	Digest uint64 `cbor:"digest,omitempty"`
}

// ChangeMismatchError reports a RulesetChange that does not fit the ruleset it was applied to.
type ChangeMismatchError struct {
	Field string // base or digest
	Have  uint64 // of the ruleset, or of the result
	Want  uint64 // of the change
}

// Error implements error.
func (e *ChangeMismatchError) Error() string {
	return "a change does not fit the ruleset: " + e.Field + " is " + strconv.FormatUint(e.Have, 10) +
		", the change is for " + strconv.FormatUint(e.Want, 10)
}

// Validate checks the order of the versions and that no address occurs twice. It returns a
// *Refusal. WithChange checks the routes and pools of the result.
func (c RulesetChange) Validate() error {
	if c.Version <= c.BaseVersion {
		return badField("version", strconv.FormatUint(c.Version, 10), "more than the base")
	}
	used := make(map[netip.AddrPort]bool, len(c.RemovedRoutes)+len(c.Routes))
	for _, address := range c.changedAddresses() {
		if used[address] {
			return badField("routes.address", address.String(), "an address that occurs once")
		}
		used[address] = true
	}
	return nil
}

// changedAddresses returns the addresses of the removed, added and replaced routes.
func (c RulesetChange) changedAddresses() []netip.AddrPort {
	addresses := slices.Clone(c.RemovedRoutes)
	for _, r := range c.Routes {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// ChangeBetween returns the change from the ruleset old to next. If old has no version, the
// change holds all of next.
func ChangeBetween(old, next Ruleset) RulesetChange {
	if old.Version == 0 {
		old = Ruleset{}
	}
	old, next = old.WithoutSource(), next.WithoutSource()
	c := RulesetChange{BaseVersion: old.Version, Version: next.Version, IdleTimeout: next.IdleTimeout}
	if !slices.Equal(old.Pools, next.Pools) {
		c.PoolsReplaced, c.Pools = true, next.Pools
	}
	kept := old.Routes
	for _, r := range next.Routes {
		for len(kept) > 0 && kept[0].Address.Compare(r.Address) < 0 {
			c.RemovedRoutes = append(c.RemovedRoutes, kept[0].Address)
			kept = kept[1:]
		}
		isReplaced := len(kept) > 0 && kept[0].Address == r.Address
		if !isReplaced || !kept[0].equal(r) {
			c.Routes = append(c.Routes, r)
		}
		if isReplaced {
			kept = kept[1:]
		}
	}
	for _, r := range kept {
		c.RemovedRoutes = append(c.RemovedRoutes, r.Address)
	}
	if c.BaseVersion != 0 {
		c.Digest = next.Digest()
	}
	return c
}

// WithChange returns the ruleset with the change, without the operator's document. The error is
// a *ChangeMismatchError if the change is for another ruleset, or a *Refusal if the result is
// out of range.
func (r Ruleset) WithChange(c RulesetChange) (Ruleset, error) {
	if c.BaseVersion == 0 {
		r = Ruleset{}
	}
	if c.BaseVersion != r.Version {
		return Ruleset{}, &ChangeMismatchError{Field: "base", Have: r.Version, Want: c.BaseVersion}
	}
	r = r.WithoutSource()
	changed := make(map[netip.AddrPort]bool, len(c.RemovedRoutes)+len(c.Routes))
	for _, address := range c.changedAddresses() {
		changed[address] = true
	}
	routes := make([]Route, 0, len(r.Routes)+len(c.Routes))
	for _, route := range r.Routes {
		if !changed[route.Address] {
			routes = append(routes, route)
		}
	}
	next := Ruleset{Version: c.Version, Routes: append(routes, c.Routes...), Pools: r.Pools, IdleTimeout: c.IdleTimeout}
	if c.PoolsReplaced {
		next.Pools = c.Pools
	}
	next = next.WithoutSource()
	if c.BaseVersion != 0 && next.Digest() != c.Digest {
		return Ruleset{}, &ChangeMismatchError{Field: "digest", Have: next.Digest(), Want: c.Digest}
	}
	return next, next.Validate()
}

// WithoutSource returns the ruleset without the operator's document, and with the routes and
// pools in order of address and name. The order in the document has no meaning, because no two
// routes have the same address and no two pools the same name.
func (r Ruleset) WithoutSource() Ruleset {
	r.Source, r.SourceOmitted = nil, true
	r.Routes = sortedBy(r.Routes, func(a, b Route) int { return a.Address.Compare(b.Address) })
	r.Pools = sortedBy(r.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// sortedBy returns the elements in order, without changing list. It returns nil for none: nil and
// an empty list have different encodings.
func sortedBy[T any](list []T, compare func(a, b T) int) []T {
	if len(list) == 0 {
		return nil
	}
	if slices.IsSortedFunc(list, compare) {
		return list
	}
	return slices.SortedFunc(slices.Values(list), compare)
}

// Digest returns a hash of the ruleset without the operator's document. Rulesets with the same
// version, routes, pools and idle timeout have the same digest.
func (r Ruleset) Digest() uint64 {
	r = r.WithoutSource()
	hash := xxhash.New()
	encoder := cbor.NewEncoder(hash)
	encode := func(v any) {
		if err := encoder.Encode(v); err != nil {
			panic(err) // encoding plain fields into a hash cannot fail
		}
	}
	encode([]int64{int64(r.Version), int64(r.IdleTimeout), int64(len(r.Routes))})
	for i := range r.Routes {
		encode(&r.Routes[i])
	}
	encode(r.Pools)
	return hash.Sum64()
}

// equal reports whether all fields of two routes are equal.
func (r Route) equal(other Route) bool {
	return r.Name == other.Name && r.Address == other.Address && r.RetryPolicy == other.RetryPolicy &&
		r.CallerTimeout == other.CallerTimeout && r.LatencyObjective == other.LatencyObjective &&
		r.Priority == other.Priority && slices.Equal(r.WeightedPools, other.WeightedPools)
}
