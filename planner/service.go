package planner

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// Ranges of the fields of a service.
const (
	MaxNames     = 32
	MaxAddresses = 64
	MaxJobs      = 32
	MaxEpsilon   = 1.0
	MaxSlotWaitTimeout      = 5 * time.Minute
	MaxIdleTimeout      = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// Protocol is a transport protocol that a service is reached by.
type Protocol string

// The protocols.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// Address is where callers reach a service at the flow door.
type Address struct {
	IP       netip.Addr `cbor:"ip" json:"ip"`
	Port     uint16     `cbor:"port" json:"port"`
	Protocol Protocol   `cbor:"protocol" json:"protocol"`
}

// String returns the address as protocol://ip:port.
func (a Address) String() string {
	return string(a.Protocol) + "://" + netip.AddrPortFrom(a.IP, a.Port).String()
}

// Validate returns a *Refusal that names the field that is out of range.
func (a Address) Validate() error {
	switch {
	case !a.IP.IsValid():
		return badField("addresses.ip", a.IP.String(), "an IPv4 or IPv6 address")
	case a.Port == 0:
		return badField("addresses.port", "0", "1 to 65535")
	case a.Protocol != TCP && a.Protocol != UDP:
		return badField("addresses.protocol", string(a.Protocol), "tcp or udp")
	}
	return nil
}

// Service is what operators say of a service.
type Service struct {
	Name      string    `cbor:"name" json:"name"`
	Names     []string  `cbor:"names" json:"names"` // those that callers use, legacy ones included
	Addresses []Address `cbor:"addresses" json:"addresses"`
	Jobs      []string  `cbor:"jobs" json:"jobs"` // job names of targets that may serve it
	Tenant    string    `cbor:"tenant" json:"tenant"`
	Class     string    `cbor:"class" json:"class"`
	// Epsilon is the relative load above which a new flow goes to the second
	// target in rank. Small values favour balance, large ones fewer flows to
	// replicate. 0.05 where it is not set.
	Epsilon float64 `cbor:"epsilon" json:"epsilon"`
	// IdempotentMethods methods beyond the safe ones.
	IdempotentMethods []string      `cbor:"repeatable" json:"repeatable"`
	SlotWaitTimeout    time.Duration `cbor:"max-wait" json:"max-wait"` // for a slot
	IdleTimeout       time.Duration `cbor:"idle" json:"idle"`         // of an established flow
}

// Defaults of a service.
const (
	DefaultEpsilon = 0.05
	DefaultSlotWaitTimeout = 10 * time.Second
	DefaultIdleTimeout    = time.Hour
)

// WithDefaults returns the service with every field that is not set at its
// default, and with its own name among its names.
func (s Service) WithDefaults() Service {
	if s.Epsilon == 0 {
		s.Epsilon = DefaultEpsilon
	}
	if s.SlotWaitTimeout == 0 {
		s.SlotWaitTimeout = DefaultSlotWaitTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.Tenant == "" {
		s.Tenant = "default"
	}
	if s.Class == "" {
		s.Class = "default"
	}
	if !slices.Contains(s.Names, s.Name) {
		s.Names = append(slices.Clone(s.Names), s.Name)
	}
	return s
}

// Validate returns a *Refusal that names the field that is out of range.
func (s Service) Validate() error {
	if err := validName(fieldName, s.Name); err != nil {
		return err
	}
	if err := validList("names", s.Names, MaxNames); err != nil {
		return err
	}
	if err := validList("jobs", s.Jobs, MaxJobs); err != nil {
		return err
	}
	if len(s.Jobs) == 0 {
		return badField("jobs", "none", "1 to "+strconv.Itoa(MaxJobs)+" job names")
	}
	if len(s.Addresses) > MaxAddresses {
		return badField("addresses", strconv.Itoa(len(s.Addresses)), "0 to "+strconv.Itoa(MaxAddresses))
	}
	for _, a := range s.Addresses {
		if err := a.Validate(); err != nil {
			return err
		}
	}
	return s.validateLimits()
}

func (s Service) validateLimits() error {
	if s.Epsilon > MaxEpsilon || (s.Epsilon < 0 && s.Epsilon != -1) {
		return badField("epsilon", strconv.FormatFloat(s.Epsilon, 'g', -1, 64), "0 to 1, or -1 for never")
	}
	if s.SlotWaitTimeout < 0 || s.SlotWaitTimeout > MaxSlotWaitTimeout {
		return badField("max-wait", s.SlotWaitTimeout.String(), "0s to "+MaxSlotWaitTimeout.String())
	}
	if s.IdleTimeout < 0 || s.IdleTimeout > MaxIdleTimeout {
		return badField("idle", s.IdleTimeout.String(), "0s to "+MaxIdleTimeout.String())
	}
	return nil
}

func validName(field, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return badField(field, name, "1 to 63 of letters, digits, '.', '_' and '-', beginning and ending with a letter or digit")
}

func validList(field string, names []string, most int) error {
	if len(names) > most {
		return badField(field, strconv.Itoa(len(names)), "at most "+strconv.Itoa(most))
	}
	for _, n := range names {
		if err := validName(field, n); err != nil {
			return err
		}
	}
	return nil
}
