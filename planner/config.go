// Package planner is the replicated state machine of the configuration. It computes plans
// from operators' intents and configurations from confirmed plans. It is deterministic: the
// same commands in the same order give the same state and the same results on every
// instance.
package planner

import (
	"maps"
	"slices"
)

// AddressWithdrawal records that an address was removed from a service. The address may be
// assigned to another service only when every instance has Version in force.
type AddressWithdrawal struct {
	Service string `cbor:"service" json:"service"` // the service that had the address
	Version uint64 `cbor:"version" json:"version"` // the configuration version that removed it
}

// DefaultTargetSet is the numbered set of targets from which the default target of each flow of a
// service is computed. Next is the set that is about to replace Targets, or empty.
type DefaultTargetSet struct {
	Number  uint64   `cbor:"number" json:"number"` // increases by 1 with each change
	Targets []string `cbor:"targets" json:"targets"`
	Next    []string `cbor:"next" json:"next"`
}

// Config is an immutable configuration. The With and Without methods return changed copies.
type Config struct {
	// Version is the log index of the last command that changed the configuration.
	Version uint64 `cbor:"version" json:"version"`
	// Revision counts confirmed plans.
	Revision           uint64                       `cbor:"revision" json:"revision"`
	Services           map[string]Service           `cbor:"services" json:"services"`
	DrainedTargets     map[string]bool              `cbor:"drained" json:"drained"`     // target endpoints
	RetiredInstances   map[string]bool              `cbor:"retired" json:"retired"`     // instance names
	Instances          map[string]bool              `cbor:"instances" json:"instances"` // names of the registered instances
	Voters             []string                     `cbor:"voters" json:"voters"`       // names of the instances that should be voters
	WithdrawnAddresses map[string]AddressWithdrawal `cbor:"withdrawn" json:"withdrawn"` // by Address.String
	DefaultTargetSets  map[string]DefaultTargetSet  `cbor:"bases" json:"bases"`         // by service name
	// Evacuations holds the data centres that are or were evacuated, by name.
	Evacuations map[string]Evacuation `cbor:"evacuations,omitempty" json:"evacuations,omitempty"`
	// Ruleset is the ruleset with the highest Ruleset.Version so far, or nil.
	Ruleset *Ruleset `cbor:"rules" json:"-"`
}

// WithService returns the configuration with s added or replaced. Addresses that the
// replaced service had and s does not have are withdrawn as of version.
func (c Config) WithService(s Service, version uint64) Config {
	c = c.withWithdrawn(c.Services[s.Name].Addresses, s.Addresses, s.Name, version)
	c.Services = maps.Clone(c.Services)
	if c.Services == nil {
		c.Services = make(map[string]Service)
	}
	c.Services[s.Name] = s
	return c
}

// WithoutService returns the configuration without the service, whose addresses are
// withdrawn as of version.
func (c Config) WithoutService(name string, version uint64) Config {
	c = c.withWithdrawn(c.Services[name].Addresses, nil, name, version)
	c.Services = maps.Clone(c.Services)
	delete(c.Services, name)
	c.DefaultTargetSets = maps.Clone(c.DefaultTargetSets)
	delete(c.DefaultTargetSets, name)
	return c
}

// withWithdrawn returns the configuration in which the addresses in old that are not in kept
// are withdrawn from the service as of version, and those in kept are not withdrawn.
func (c Config) withWithdrawn(old, kept []Address, service string, version uint64) Config {
	c.WithdrawnAddresses = maps.Clone(c.WithdrawnAddresses)
	if c.WithdrawnAddresses == nil {
		c.WithdrawnAddresses = make(map[string]AddressWithdrawal)
	}
	for _, a := range old {
		if !slices.Contains(kept, a) {
			c.WithdrawnAddresses[a.String()] = AddressWithdrawal{Service: service, Version: version}
		}
	}
	for _, a := range kept {
		delete(c.WithdrawnAddresses, a.String())
	}
	return c
}

// WithDrained returns the configuration in which the target, an endpoint, is one of the
// DrainedTargets, or is not if drained is false.
func (c Config) WithDrained(target string, drained bool) Config {
	c.DrainedTargets = withElement(c.DrainedTargets, target, drained)
	return c
}

// WithRetired returns the configuration with the instance retired and no longer registered.
func (c Config) WithRetired(instance string) Config {
	c.RetiredInstances = withElement(c.RetiredInstances, instance, true)
	c.Instances = withElement(c.Instances, instance, false)
	return c
}

// WithInstance returns the configuration with the instance registered and not retired.
func (c Config) WithInstance(instance string) Config {
	c.Instances = withElement(c.Instances, instance, true)
	c.RetiredInstances = withElement(c.RetiredInstances, instance, false)
	return c
}

// WithVoter returns the configuration in which the instance is one of the Voters, or is not if
// isVoter is false.
func (c Config) WithVoter(instance string, isVoter bool) Config {
	c.Voters = slices.DeleteFunc(slices.Clone(c.Voters), func(v string) bool { return v == instance })
	if isVoter {
		c.Voters = append(c.Voters, instance)
		slices.Sort(c.Voters)
	}
	return c
}

// WithDefaultTargetSet returns the configuration with the default target set of a service
// replaced.
func (c Config) WithDefaultTargetSet(service string, b DefaultTargetSet) Config {
	c.DefaultTargetSets = maps.Clone(c.DefaultTargetSets)
	if c.DefaultTargetSets == nil {
		c.DefaultTargetSets = make(map[string]DefaultTargetSet)
	}
	c.DefaultTargetSets[service] = b
	return c
}

// withElement returns a copy of the set that includes name, or does not.
func withElement(set map[string]bool, name string, included bool) map[string]bool {
	set = maps.Clone(set)
	if set == nil {
		set = make(map[string]bool)
	}
	if included {
		set[name] = true
	} else {
		delete(set, name)
	}
	return set
}

// ServiceByCallerName returns the service for a name that callers use.
func (c Config) ServiceByCallerName(name string) (Service, bool) {
	for _, s := range c.Services {
		if slices.Contains(s.Names, name) {
			return s, true
		}
	}
	return Service{}, false
}

// otherServiceWhere returns the name of the first service, in order of name, for which matches
// is true. The service with the name except is left out.
func (c Config) otherServiceWhere(except string, matches func(Service) bool) (string, bool) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if name != except && matches(c.Services[name]) {
			return name, true
		}
	}
	return "", false
}
