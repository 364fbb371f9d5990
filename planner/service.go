package planner

import (
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// Upper limits of the fields of a service.
const (
	MaxNames           = 32
	MaxAddresses       = 64
	MaxJobs            = 32
	MaxEpsilon         = 1.0
	MaxSlotWaitTimeout = 5 * time.Minute
	MaxIdleTimeout     = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// Protocol is the transport protocol of a service address.
type Protocol string

// The protocols.
const (
	TCP Protocol = "tcp"
	UDP Protocol = "udp"
)

// Address is a transport address at which callers connect to a service.
type Address struct {
	IP       netip.Addr `cbor:"ip" json:"ip"`
	Port     uint16     `cbor:"port" json:"port"`
	Protocol Protocol   `cbor:"protocol" json:"protocol"`
}

// String returns the address as protocol://ip:port. Config.WithdrawnAddresses is keyed by
// this form.
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

// Service is the configuration of a service.
type Service struct {
	Name      string    `cbor:"name" json:"name"`
	Names     []string  `cbor:"names" json:"names"` // names that callers use, including legacy ones
	Addresses []Address `cbor:"addresses" json:"addresses"`
	Jobs      []string  `cbor:"jobs" json:"jobs"`     // job names of the targets that may serve the service
	Tenant    string    `cbor:"tenant" json:"tenant"` // customer of the service
	Class     string    `cbor:"class" json:"class"`   // class of the service's requests, a metric label
	// Epsilon is the relative load by which the first target in rank may exceed the second
	// before a new flow goes to the second. Small values improve the balance; large values
	// leave fewer flows to replicate. -1 means never; 0 means the default of 0.05.
	Epsilon float64 `cbor:"epsilon" json:"epsilon"`
	// IdempotentMethods are the HTTP methods that may be retried, besides the safe ones.
	IdempotentMethods []string      `cbor:"repeatable" json:"repeatable"`
	SlotWaitTimeout   time.Duration `cbor:"max-wait" json:"max-wait"` // how long a request waits for a free slot
	IdleTimeout       time.Duration `cbor:"idle" json:"idle"`         // idle timeout of an established flow
}

// Default values of the fields of a service.
const (
	DefaultEpsilon         = 0.05
	DefaultSlotWaitTimeout = 10 * time.Second
	DefaultIdleTimeout     = time.Hour
)

// WithDefaults returns the service with the default value in every field that is not set,
// and with Name among Names.
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
	if err := validateName(nameField, s.Name); err != nil {
		return err
	}
	if err := validateNames("names", s.Names, MaxNames); err != nil {
		return err
	}
	if err := validateNames("jobs", s.Jobs, MaxJobs); err != nil {
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

func validateName(field, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return badField(field, name, "1 to 63 of letters, digits, '.', '_' and '-', beginning and ending with a letter or digit")
}

func validateNames(field string, names []string, limit int) error {
	if len(names) > limit {
		return badField(field, strconv.Itoa(len(names)), "at most "+strconv.Itoa(limit))
	}
	for _, n := range names {
		if err := validateName(field, n); err != nil {
			return err
		}
	}
	return nil
}
