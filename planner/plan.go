package planner

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// Action is the kind of change that an intent asks for.
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

const nameField = "name"

// Limits of the number of voters.
const (
	MinVoters = 1
	MaxVoters = 7
)

// Intent is a change that an operator asks for. The operator chooses the ID; the same ID
// with the same content gets the same result as long as the intent is stored.
type Intent struct {
	ID      string   `cbor:"id" json:"id"`
	Action  Action   `cbor:"action" json:"action"`
	Service *Service `cbor:"service" json:"service,omitempty"`
	Name    string   `cbor:"name" json:"name,omitempty"` // service name, target endpoint or instance name, by Action
}

// Validate returns a *Refusal that names the field that is out of range.
func (i Intent) Validate() error {
	if err := validateName("id", i.ID); err != nil {
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
			return badField(nameField, i.Name, "a target's endpoint, IP:port")
		}
		return nil
	case RemoveService, RetireInstance, AddVoter, RemoveVoter:
		return validateName(nameField, i.Name)
	}
	return badField("action", string(i.Action), "one of the documented actions")
}

// AffectedTarget is the work on a target that a plan affects, as known to the leader when
// it proposed the intent.
type AffectedTarget struct {
	Target          string `cbor:"target" json:"target"`
	Service         string `cbor:"service" json:"service"`
	Connections     int    `cbor:"connections" json:"connections"` // open connections
	RunningRequests int    `cbor:"running" json:"running"`         // requests in progress
}

// Step is one line of a plan, as in a diff. Sign is "+" for an addition, "-" for a removal
// and "~" for a change.
type Step struct {
	Sign   string `cbor:"sign" json:"sign"`
	Object string `cbor:"object" json:"object"`
	Before string `cbor:"before" json:"before,omitempty"`
	After  string `cbor:"after" json:"after,omitempty"`
}

// Plan describes the changes that an intent makes to the configuration at BaseRevision. Its
// ID is a digest of the intent and the base revision, so that competing plans for the same
// revision have different IDs.
type Plan struct {
	ID              string           `cbor:"id" json:"id"`
	Intent          Intent           `cbor:"intent" json:"intent"`
	BaseRevision    uint64           `cbor:"base" json:"base"`
	Steps           []Step           `cbor:"steps" json:"steps"`
	AffectedTargets []AffectedTarget `cbor:"touches" json:"touches"`
	Preconditions   []string         `cbor:"waits" json:"waits"` // texts for the operator: what must hold before the plan can be confirmed
	// ConfirmedVersion is the configuration version that the plan created, or 0 while the
	// plan is not confirmed.
	ConfirmedVersion uint64 `cbor:"confirmed" json:"confirmed"`
}

// planID returns the digest of an intent and a base revision.
func planID(i Intent, baseRevision uint64) string {
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
	h.Write([]byte(strconv.FormatUint(baseRevision, 10)))
	return hex.EncodeToString(h.Sum(nil)[:10])
}

// newPlan checks the intent against the configuration and returns the plan for it. The error
// is a *Refusal.
func newPlan(c Config, i Intent, affectedTargets []AffectedTarget) (*Plan, error) {
	if i.Service != nil {
		s := i.Service.WithDefaults()
		i.Service = &s
	}
	if err := i.Validate(); err != nil {
		return nil, err
	}
	p := &Plan{ID: planID(i, c.Revision), Intent: i, BaseRevision: c.Revision, AffectedTargets: affectedTargets}
	var err error
	switch i.Action {
	case AddService, ChangeService:
		err = p.planServiceChange(c)
	case RemoveService:
		err = p.planServiceRemoval(c)
	case Drain, Undrain:
		p.Steps = []Step{{Sign: "~", Object: "target " + i.Name, Before: drainState(c.DrainedTargets[i.Name]), After: drainState(i.Action == Drain)}}
	case RetireInstance:
		p.Steps = []Step{{Sign: "-", Object: "instance " + i.Name}}
		if !c.Instances[i.Name] {
			err = &Refusal{Code: CodeNotFound, Field: nameField, Value: i.Name}
		}
	case AddVoter, RemoveVoter:
		err = p.planVoterChange(c)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

func drainState(drained bool) string {
	if drained {
		return "drained"
	}
	return "serving"
}

func (p *Plan) planServiceChange(c Config) error {
	s := *p.Intent.Service
	old, exists := c.Services[s.Name]
	if exists && p.Intent.Action == AddService {
		return &Refusal{Code: CodeExists, Field: nameField, Value: s.Name}
	}
	if !exists && p.Intent.Action == ChangeService {
		return &Refusal{Code: CodeNotFound, Field: nameField, Value: s.Name}
	}
	if err := checkUnique(c, s); err != nil {
		return err
	}
	p.Steps = serviceDiff(old, s, exists)
	for _, a := range s.Addresses {
		if w, ok := c.WithdrawnAddresses[a.String()]; ok && w.Service != s.Name {
			p.Preconditions = append(p.Preconditions, "address "+a.String()+": every instance at version "+strconv.FormatUint(w.Version, 10))
		}
	}
	return nil
}

// checkUnique returns a *Refusal if another service has a name or an address of s.
func checkUnique(c Config, s Service) error {
	for _, n := range s.Names {
		if other, ok := c.otherServiceWhere(s.Name, func(o Service) bool { return slices.Contains(o.Names, n) }); ok {
			return &Refusal{Code: CodeTaken, Field: "names", Value: n, Allowed: "a name that " + other + " does not have"}
		}
	}
	for _, a := range s.Addresses {
		if other, ok := c.otherServiceWhere(s.Name, func(o Service) bool { return slices.Contains(o.Addresses, a) }); ok {
			return &Refusal{Code: CodeTaken, Field: "addresses", Value: a.String(), Allowed: "an address that " + other + " does not have"}
		}
	}
	return nil
}

// serviceDiff returns the steps that change the service old into updated. exists is false
// if there is no old service.
func serviceDiff(old, updated Service, exists bool) []Step {
	object := "service " + updated.Name
	var steps []Step
	if !exists {
		steps = append(steps, Step{Sign: "+", Object: object})
	}
	steps = append(steps, listDiff(object+" name", old.Names, updated.Names)...)
	steps = append(steps, listDiff(object+" job", old.Jobs, updated.Jobs)...)
	steps = append(steps, listDiff(object+" address", addressTexts(old.Addresses), addressTexts(updated.Addresses))...)
	steps = append(steps, listDiff(object+" repeatable", old.IdempotentMethods, updated.IdempotentMethods)...)
	fields := []Step{
		{Object: object + " tenant", Before: old.Tenant, After: updated.Tenant},
		{Object: object + " class", Before: old.Class, After: updated.Class},
		{Object: object + " epsilon", Before: epsilonText(old, exists), After: epsilonText(updated, true)},
		{Object: object + " max-wait", Before: old.SlotWaitTimeout.String(), After: updated.SlotWaitTimeout.String()},
		{Object: object + " idle", Before: old.IdleTimeout.String(), After: updated.IdleTimeout.String()},
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

// listDiff returns a step for each element that is in only one of the lists.
func listDiff(object string, before, after []string) []Step {
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

func (p *Plan) planServiceRemoval(c Config) error {
	s, ok := c.Services[p.Intent.Name]
	if !ok {
		return &Refusal{Code: CodeNotFound, Field: nameField, Value: p.Intent.Name}
	}
	p.Steps = append([]Step{{Sign: "-", Object: "service " + s.Name}},
		listDiff("service "+s.Name+" address", addressTexts(s.Addresses), nil)...)
	return nil
}

func (p *Plan) planVoterChange(c Config) error {
	isVoter := slices.Contains(c.Voters, p.Intent.Name)
	if p.Intent.Action == AddVoter {
		p.Steps = []Step{{Sign: "+", Object: "voter " + p.Intent.Name}}
		switch {
		case isVoter:
			return &Refusal{Code: CodeExists, Field: nameField, Value: p.Intent.Name}
		case !c.Instances[p.Intent.Name]:
			return &Refusal{Code: CodeNotFound, Field: nameField, Value: p.Intent.Name}
		case len(c.Voters) >= MaxVoters:
			return badField("voters", strconv.Itoa(len(c.Voters)+1), "at most "+strconv.Itoa(MaxVoters))
		}
		return nil
	}
	p.Steps = []Step{{Sign: "-", Object: "voter " + p.Intent.Name}}
	if !isVoter {
		return &Refusal{Code: CodeNotFound, Field: nameField, Value: p.Intent.Name}
	}
	if len(c.Voters) <= MinVoters {
		return &Refusal{Code: CodeTooFewVoters, Field: "voters", Value: strconv.Itoa(len(c.Voters) - 1), Allowed: "at least " + strconv.Itoa(MinVoters)}
	}
	return nil
}
