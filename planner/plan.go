package planner

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// Action is what an intent asks for.
type Action string

// The actions.
const (
	AddService     Action = "add-service"
	ChangeService  Action = "change-service"
	RemoveService  Action = "remove-service"
	Drain          Action = "drain"
	Undrain        Action = "undrain"
	RetireInstance Action = "retire-instance"
	AddVoter       Action = "add-voter"
	RemoveVoter    Action = "remove-voter"
)

const fieldName = "name"

// Numbers of voters.
const (
	MinVoters = 1
	MaxVoters = 7
)

// Intent is what an operator wants. The ID is the operator's own; the same ID
// with the same content always gets the same answer.
type Intent struct {
	ID      string   `cbor:"id" json:"id"`
	Action  Action   `cbor:"action" json:"action"`
	Service *Service `cbor:"service" json:"service,omitempty"`
	Name    string   `cbor:"name" json:"name,omitempty"` // service, target endpoint or instance
}

// Validate returns a *Refusal that names the field that is out of range.
func (i Intent) Validate() error {
	if err := validName("id", i.ID); err != nil {
		return err
	}
	switch i.Action {
	case AddService, ChangeService:
		if i.Service == nil {
			return badField("service", "none", "a service")
		}
		return i.Service.Validate()
	case Drain, Undrain:
		if _, err := netip.ParseAddrPort(i.Name); err != nil {
			return badField(fieldName, i.Name, "a target's endpoint, IP:port")
		}
		return nil
	case RemoveService, RetireInstance, AddVoter, RemoveVoter:
		return validName(fieldName, i.Name)
	}
	return badField("action", string(i.Action), "one of the documented actions")
}

// AffectedTarget is work that a plan touches, as the leader saw it when it planned.
type AffectedTarget struct {
	Target      string `cbor:"target" json:"target"`
	Service     string `cbor:"service" json:"service"`
	Connections int    `cbor:"connections" json:"connections"`
	Running     int    `cbor:"running" json:"running"`
}

// Step is one line of a plan, in the way of a difference: Sign is "+", "-" or "~".
type Step struct {
	Sign   string `cbor:"sign" json:"sign"`
	Object string `cbor:"object" json:"object"`
	Before string `cbor:"before" json:"before,omitempty"`
	After  string `cbor:"after" json:"after,omitempty"`
}

// Plan says what an intent will change. Its ID is a digest of the intent and the
// revision it rests on, so that plans that race for the same revision differ.
type Plan struct {
	ID      string   `cbor:"id" json:"id"`
	Intent  Intent   `cbor:"intent" json:"intent"`
	BaseRevision    uint64   `cbor:"base" json:"base"`
	Steps   []Step   `cbor:"steps" json:"steps"`
	AffectedTargets []AffectedTarget  `cbor:"touches" json:"touches"`
	Preconditions   []string `cbor:"waits" json:"waits"`
	// ConfirmedVersion is the version that the plan became, 0 until then.
	ConfirmedVersion uint64 `cbor:"confirmed" json:"confirmed"`
}

func planID(i Intent, base uint64) string {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	b, err := mode.Marshal(i)
	if err != nil {
		panic(err) // plain fields always encode
	}
	h := sha256.New()
	h.Write(b)
	h.Write([]byte(strconv.FormatUint(base, 10)))
	return hex.EncodeToString(h.Sum(nil)[:10])
}

// newPlan checks the intent against the configuration and says what it changes.
func newPlan(c Config, i Intent, touches []AffectedTarget) (*Plan, error) {
	if i.Service != nil {
		s := i.Service.WithDefaults()
		i.Service = &s
	}
	if err := i.Validate(); err != nil {
		return nil, err
	}
	p := &Plan{ID: planID(i, c.Revision), Intent: i, BaseRevision: c.Revision, AffectedTargets: touches}
	var err error
	switch i.Action {
	case AddService, ChangeService:
		err = p.planService(c)
	case RemoveService:
		err = p.planRemoval(c)
	case Drain, Undrain:
		p.Steps = []Step{{Sign: "~", Object: "target " + i.Name, Before: drainWord(c.DrainedTargets[i.Name]), After: drainWord(i.Action == Drain)}}
	case RetireInstance:
		p.Steps = []Step{{Sign: "-", Object: "instance " + i.Name}}
		if !c.Instances[i.Name] {
			err = &Refusal{Code: CodeNotFound, Field: fieldName, Value: i.Name}
		}
	case AddVoter, RemoveVoter:
		err = p.planVoter(c)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

func drainWord(drained bool) string {
	if drained {
		return "drained"
	}
	return "serving"
}

func (p *Plan) planService(c Config) error {
	s := *p.Intent.Service
	old, exists := c.Services[s.Name]
	if exists && p.Intent.Action == AddService {
		return &Refusal{Code: CodeExists, Field: fieldName, Value: s.Name}
	}
	if !exists && p.Intent.Action == ChangeService {
		return &Refusal{Code: CodeNotFound, Field: fieldName, Value: s.Name}
	}
	if err := taken(c, s); err != nil {
		return err
	}
	p.Steps = difference(old, s, exists)
	for _, a := range s.Addresses {
		if w, ok := c.WithdrawnAddresses[a.String()]; ok && w.Service != s.Name {
			p.Preconditions = append(p.Preconditions, "address "+a.String()+": every instance at version "+strconv.FormatUint(w.Version, 10))
		}
	}
	return nil
}

// taken refuses names and addresses that another service has.
func taken(c Config, s Service) error {
	for _, n := range s.Names {
		if other, ok := c.holder(s.Name, func(o Service) bool { return slices.Contains(o.Names, n) }); ok {
			return &Refusal{Code: CodeTaken, Field: "names", Value: n, Allowed: "a name that " + other + " does not have"}
		}
	}
	for _, a := range s.Addresses {
		if other, ok := c.holder(s.Name, func(o Service) bool { return slices.Contains(o.Addresses, a) }); ok {
			return &Refusal{Code: CodeTaken, Field: "addresses", Value: a.String(), Allowed: "an address that " + other + " does not have"}
		}
	}
	return nil
}

// difference lists what changes between two states of a service.
func difference(old, s Service, exists bool) []Step {
	object := "service " + s.Name
	var steps []Step
	if !exists {
		steps = append(steps, Step{Sign: "+", Object: object})
	}
	steps = append(steps, listSteps(object+" name", old.Names, s.Names)...)
	steps = append(steps, listSteps(object+" job", old.Jobs, s.Jobs)...)
	steps = append(steps, listSteps(object+" address", addressTexts(old.Addresses), addressTexts(s.Addresses))...)
	steps = append(steps, listSteps(object+" repeatable", old.IdempotentMethods, s.IdempotentMethods)...)
	fields := []Step{
		{Object: object + " tenant", Before: old.Tenant, After: s.Tenant},
		{Object: object + " class", Before: old.Class, After: s.Class},
		{Object: object + " epsilon", Before: epsilonText(old, exists), After: epsilonText(s, true)},
		{Object: object + " max-wait", Before: old.SlotWaitTimeout.String(), After: s.SlotWaitTimeout.String()},
		{Object: object + " idle", Before: old.IdleTimeout.String(), After: s.IdleTimeout.String()},
	}
	for _, f := range fields {
		if f.Before != f.After {
			f.Sign = "~"
			steps = append(steps, f)
		}
	}
	return steps
}

func epsilonText(s Service, exists bool) string {
	if !exists {
		return ""
	}
	return strconv.FormatFloat(s.Epsilon, 'g', -1, 64)
}

func addressTexts(list []Address) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}

func listSteps(object string, before, after []string) []Step {
	var steps []Step
	for _, b := range before {
		if !slices.Contains(after, b) {
			steps = append(steps, Step{Sign: "-", Object: object, Before: b})
		}
	}
	for _, a := range after {
		if !slices.Contains(before, a) {
			steps = append(steps, Step{Sign: "+", Object: object, After: a})
		}
	}
	return steps
}

func (p *Plan) planRemoval(c Config) error {
	s, ok := c.Services[p.Intent.Name]
	if !ok {
		return &Refusal{Code: CodeNotFound, Field: fieldName, Value: p.Intent.Name}
	}
	p.Steps = append([]Step{{Sign: "-", Object: "service " + s.Name}},
		listSteps("service "+s.Name+" address", addressTexts(s.Addresses), nil)...)
	return nil
}

func (p *Plan) planVoter(c Config) error {
	votes := slices.Contains(c.Voters, p.Intent.Name)
	if p.Intent.Action == AddVoter {
		p.Steps = []Step{{Sign: "+", Object: "voter " + p.Intent.Name}}
		switch {
		case votes:
			return &Refusal{Code: CodeExists, Field: fieldName, Value: p.Intent.Name}
		case !c.Instances[p.Intent.Name]:
			return &Refusal{Code: CodeNotFound, Field: fieldName, Value: p.Intent.Name}
		case len(c.Voters) >= MaxVoters:
			return badField("voters", strconv.Itoa(len(c.Voters)+1), "at most "+strconv.Itoa(MaxVoters))
		}
		return nil
	}
	p.Steps = []Step{{Sign: "-", Object: "voter " + p.Intent.Name}}
	if !votes {
		return &Refusal{Code: CodeNotFound, Field: fieldName, Value: p.Intent.Name}
	}
	if len(c.Voters) <= MinVoters {
		return &Refusal{Code: CodeTooFewVoters, Field: "voters", Value: strconv.Itoa(len(c.Voters) - 1), Allowed: "at least " + strconv.Itoa(MinVoters)}
	}
	return nil
}
