// Package planner turns operators' intents into plans and confirmed plans into
// configurations. It is a deterministic state machine: the same commands in the
// same order give the same state and the same answers on every instance.
package planner

import (
	"maps"
	"slices"
)

// AddressWithdrawal notes that an address was taken from a service. It may be given to
// another one only when every instance has the version in force.
type AddressWithdrawal struct {
	Service string `cbor:"service" json:"service"`
	Version uint64 `cbor:"version" json:"version"`
}

// BaseSet is the numbered set of targets that the defaults of a service's flows are
// computed from. While Next is not empty, the base is about to move there.
type BaseSet struct {
	Number  uint64   `cbor:"number" json:"number"`
	Targets []string `cbor:"targets" json:"targets"`
	Next    []string `cbor:"next" json:"next"`
}

// Config is an immutable configuration. The With methods return changed copies.
type Config struct {
	// Version is the position in the log of the last command that changed it.
	Version uint64 `cbor:"version" json:"version"`
	// Revision counts confirmed plans.
	Revision  uint64                `cbor:"revision" json:"revision"`
	Services  map[string]Service    `cbor:"services" json:"services"`
	DrainedTargets   map[string]bool       `cbor:"drained" json:"drained"` // targets by endpoint
	RetiredInstances   map[string]bool       `cbor:"retired" json:"retired"` // instances by name
	Instances map[string]bool       `cbor:"instances" json:"instances"`
	Voters    []string              `cbor:"voters" json:"voters"` // instances that should vote
	WithdrawnAddresses map[string]AddressWithdrawal `cbor:"withdrawn" json:"withdrawn"`
	BaseSets     map[string]BaseSet       `cbor:"bases" json:"bases"`
	// Ruleset is the ruleset with the highest version of its own, nil before the first.
	Ruleset *Ruleset `cbor:"rules" json:"-"`
}

// WithService returns the configuration with s added or replaced. Addresses that
// a replaced service had, and s has not, are withdrawn as of version.
func (c Config) WithService(s Service, version uint64) Config {
	c = c.withWithdrawn(c.Services[s.Name].Addresses, s.Addresses, s.Name, version)
	c.Services = maps.Clone(c.Services)
	if c.Services == nil {
		c.Services = make(map[string]Service)
	}
	c.Services[s.Name] = s
	return c
}

// WithoutService returns the configuration without the service; its addresses
// are withdrawn as of version.
func (c Config) WithoutService(name string, version uint64) Config {
	c = c.withWithdrawn(c.Services[name].Addresses, nil, name, version)
	c.Services = maps.Clone(c.Services)
	delete(c.Services, name)
	c.BaseSets = maps.Clone(c.BaseSets)
	delete(c.BaseSets, name)
	return c
}

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

// WithDrained returns the configuration with the target drained or not.
func (c Config) WithDrained(target string, drained bool) Config {
	c.DrainedTargets = withMark(c.DrainedTargets, target, drained)
	return c
}

// WithRetired returns the configuration with the instance retired.
func (c Config) WithRetired(instance string) Config {
	c.RetiredInstances = withMark(c.RetiredInstances, instance, true)
	c.Instances = withMark(c.Instances, instance, false)
	return c
}

// WithInstance returns the configuration with the instance registered.
func (c Config) WithInstance(instance string) Config {
	c.Instances = withMark(c.Instances, instance, true)
	c.RetiredInstances = withMark(c.RetiredInstances, instance, false)
	return c
}

// WithVoter returns the configuration with the instance voting or not.
func (c Config) WithVoter(instance string, votes bool) Config {
	c.Voters = slices.DeleteFunc(slices.Clone(c.Voters), func(v string) bool { return v == instance })
	if votes {
		c.Voters = append(c.Voters, instance)
		slices.Sort(c.Voters)
	}
	return c
}

// WithBase returns the configuration with the base set of a service replaced.
func (c Config) WithBase(service string, b BaseSet) Config {
	c.BaseSets = maps.Clone(c.BaseSets)
	if c.BaseSets == nil {
		c.BaseSets = make(map[string]BaseSet)
	}
	c.BaseSets[service] = b
	return c
}

func withMark(set map[string]bool, name string, on bool) map[string]bool {
	set = maps.Clone(set)
	if set == nil {
		set = make(map[string]bool)
	}
	if on {
		set[name] = true
	} else {
		delete(set, name)
	}
	return set
}

// ServiceByCallerName returns the service that callers know under a name.
func (c Config) ServiceByCallerName(name string) (Service, bool) {
	for _, s := range c.Services {
		if slices.Contains(s.Names, name) {
			return s, true
		}
	}
	return Service{}, false
}

// holder returns the service other than except that has the address or name.
func (c Config) holder(except string, has func(Service) bool) (string, bool) {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		if name != except && has(c.Services[name]) {
			return name, true
		}
	}
	return "", false
}
