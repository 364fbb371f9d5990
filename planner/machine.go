package planner

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"almondpick/announcer"
)

// MaxIntents is how many intents, with their plans and outcomes, are remembered
// for operators that resend. The oldest are forgotten first: at 1,100 changes a
// day the memory reaches back more than three days.
const MaxIntents = 4096

// Command is one entry of the replicated log; exactly one field is set.
type Command struct {
	StateIntent    *StateIntent `cbor:"state,omitempty"`
	ConfirmPlan  *ConfirmPlan `cbor:"confirm,omitempty"`
	RegisterInstances *RegisterInstances    `cbor:"register,omitempty"`
	SetBaseSet  *SetBaseSet     `cbor:"set-base,omitempty"`
	ReplaceRuleset  *Ruleset     `cbor:"replace,omitempty"`
	RecordDepartures   *RecordDepartures      `cbor:"depart,omitempty"`
}

// StateIntent asks for a plan.
type StateIntent struct {
	Intent  Intent  `cbor:"intent"`
	AffectedTargets []AffectedTarget `cbor:"touches"`
}

// ConfirmPlan puts a plan into force. InForce is the lowest version that any
// registered instance was known to have when the leader proposed the command.
type ConfirmPlan struct {
	PlanID    string `cbor:"plan"`
	LowestVersionInForce uint64 `cbor:"in-force"`
}

// RegisterInstances makes instances known, so that fences wait for them.
type RegisterInstances struct {
	Instances []string `cbor:"instances"`
	Voters    []string `cbor:"voters"` // set once, with the first registration
}

// SetBaseSet replaces the base set of a service, if it still is at Number.
type SetBaseSet struct {
	Service string   `cbor:"service"`
	Number  uint64   `cbor:"number"`
	Targets []string `cbor:"targets"`
	Next    []string `cbor:"next"`
}

// Validate returns a *Refusal when not exactly one field is set.
func (c Command) Validate() error {
	n := 0
	for _, set := range []bool{c.StateIntent != nil, c.ConfirmPlan != nil, c.RegisterInstances != nil, c.SetBaseSet != nil, c.ReplaceRuleset != nil, c.RecordDepartures != nil} {
		if set {
			n++
		}
	}
	if n != 1 {
		return badField("command", strconv.Itoa(n)+" fields", "exactly one field")
	}
	switch {
	case c.ReplaceRuleset != nil:
		return c.ReplaceRuleset.Validate()
	case c.RecordDepartures != nil:
		return c.RecordDepartures.Validate()
	}
	return nil
}

// Result is what a command gives: a plan or a refusal, or neither for commands
// that the system proposes itself.
type Result struct {
	Plan    *Plan    `cbor:"plan" json:"plan,omitempty"`
	Refusal *Refusal `cbor:"refusal" json:"refusal,omitempty"`
}

// remembered is what the machine keeps of one intent.
type remembered struct {
	Intent  Intent   `cbor:"intent"`
	Plan    string   `cbor:"plan"`
	Refusal *Refusal `cbor:"refusal"`
}

// StateMachine applies commands. It belongs to one goroutine; the configurations it
// hands out are immutable.
type StateMachine struct {
	config  Config
	index   uint64
	changed uint64 // position of the last command that a replica needs
	intents map[string]remembered
	plans   map[string]*Plan
	order   []string // intent ids, oldest first

	departures departures
}

// NewStateMachine returns a machine with an empty configuration.
func NewStateMachine() *StateMachine {
	return &StateMachine{intents: make(map[string]remembered), plans: make(map[string]*Plan)}
}

// Config returns the present configuration.
func (m *StateMachine) Config() Config {
	return m.config
}

// AppliedIndex returns the position in the log of the last command applied.
func (m *StateMachine) AppliedIndex() uint64 {
	return m.index
}

// ReplicaIndex returns the position in the log up to which a replica has to be to lack nothing.
func (m *StateMachine) ReplicaIndex() uint64 {
	return m.changed
}

// Plan returns a plan that is remembered, by its id.
func (m *StateMachine) Plan(id string) (Plan, bool) {
	p, ok := m.plans[id]
	if !ok {
		return Plan{}, false
	}
	return *p, true
}

// ConfirmedPlans returns the remembered plans that were confirmed, oldest first.
func (m *StateMachine) ConfirmedPlans() []Plan {
	var out []Plan
	for _, p := range m.plans {
		if p.ConfirmedVersion > 0 {
			out = append(out, *p)
		}
	}
	slices.SortFunc(out, func(a, b Plan) int { return int(int64(a.ConfirmedVersion) - int64(b.ConfirmedVersion)) })
	return out
}

// Apply applies the command at a position of the log. Positions that were
// applied before change nothing.
func (m *StateMachine) Apply(index uint64, c Command) Result {
	if index <= m.index {
		return Result{}
	}
	m.index = index
	if c.RecordDepartures == nil {
		m.changed = index
	}
	switch {
	case c.StateIntent != nil:
		return m.state(*c.StateIntent)
	case c.ConfirmPlan != nil:
		return m.confirm(*c.ConfirmPlan)
	case c.RegisterInstances != nil:
		m.register(*c.RegisterInstances)
	case c.SetBaseSet != nil:
		m.setBase(*c.SetBaseSet)
	case c.ReplaceRuleset != nil:
		m.replace(*c.ReplaceRuleset)
	case c.RecordDepartures != nil:
		m.departures.add(c.RecordDepartures.Departures)
	}
	return Result{}
}

// SkipEntry notes that the position of the log holds no command.
func (m *StateMachine) SkipEntry(index uint64) {
	m.index = max(m.index, index)
}

// state answers an intent. One that is remembered gets its earlier answer; the
// same id with another content is refused.
func (m *StateMachine) state(s StateIntent) Result {
	if old, ok := m.intents[s.Intent.ID]; ok {
		if !sameIntent(old.Intent, s.Intent) {
			return Result{Refusal: &Refusal{Code: CodeIntentReused, Field: "id", Value: s.Intent.ID}}
		}
		return m.answerOf(old)
	}
	plan, err := newPlan(m.config, s.Intent, s.AffectedTargets)
	r := remembered{Intent: s.Intent}
	if !errors.As(err, &r.Refusal) {
		r.Plan = plan.ID
		m.plans[plan.ID] = plan
	}
	m.remember(r)
	return m.answerOf(r)
}

func (m *StateMachine) answerOf(r remembered) Result {
	if r.Refusal != nil {
		return Result{Refusal: r.Refusal}
	}
	p := *m.plans[r.Plan]
	return Result{Plan: &p}
}

func sameIntent(a, b Intent) bool {
	return planID(a, 0) == planID(b, 0)
}

func (m *StateMachine) remember(r remembered) {
	if _, ok := m.intents[r.Intent.ID]; !ok {
		m.order = append(m.order, r.Intent.ID)
	}
	m.intents[r.Intent.ID] = r
	for len(m.order) > MaxIntents {
		m.forget(m.order[0])
		m.order = m.order[1:]
	}
}

// forget drops an intent with every plan that it was given.
func (m *StateMachine) forget(id string) {
	delete(m.intents, id)
	maps.DeleteFunc(m.plans, func(_ string, p *Plan) bool { return p.Intent.ID == id })
}

// confirm puts a plan into force. A plan that was confirmed before gets the same
// answer again; one whose base has passed is refused with a fresh plan.
func (m *StateMachine) confirm(c ConfirmPlan) Result {
	plan, ok := m.plans[c.PlanID]
	if !ok {
		return Result{Refusal: &Refusal{Code: CodeUnknownPlan, Field: "plan", Value: c.PlanID}}
	}
	if plan.ConfirmedVersion > 0 {
		p := *plan
		return Result{Plan: &p}
	}
	if plan.BaseRevision != m.config.Revision {
		return Result{Refusal: m.stale(plan)}
	}
	if refusal := m.fenced(plan, c.LowestVersionInForce); refusal != nil {
		return Result{Refusal: refusal}
	}
	next := m.enact(plan.Intent)
	next.Revision++
	next.Version = m.index
	m.config = next
	done := *plan
	done.ConfirmedVersion = m.index
	m.plans[c.PlanID] = &done
	answer := done
	return Result{Plan: &answer}
}

// stale plans the intent anew. The old plan gives way, so that the memory holds
// one plan an intent; a plan that is replaced stays known as stale.
func (m *StateMachine) stale(old *Plan) *Refusal {
	r := &Refusal{Code: CodeStalePlan, Field: "base", Value: strconv.FormatUint(old.BaseRevision, 10),
		Allowed: strconv.FormatUint(m.config.Revision, 10)}
	current := m.intents[old.Intent.ID]
	if p, ok := m.plans[current.Plan]; ok && (p.ConfirmedVersion > 0 || p.BaseRevision == m.config.Revision) {
		fresh := *p
		r.FreshPlan = &fresh
		return r
	}
	plan, err := newPlan(m.config, old.Intent, old.AffectedTargets)
	if err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return refusal
		}
		return r
	}
	m.plans[plan.ID] = plan
	current.Plan = plan.ID
	m.intents[old.Intent.ID] = current
	fresh := *plan
	r.FreshPlan = &fresh
	return r
}

// fenced refuses a plan that gives out an address which some instance may still
// take for another service's.
func (m *StateMachine) fenced(p *Plan, inForce uint64) *Refusal {
	if p.Intent.Service == nil {
		return nil
	}
	for _, a := range p.Intent.Service.Addresses {
		w, ok := m.config.WithdrawnAddresses[a.String()]
		if ok && w.Service != p.Intent.Service.Name && inForce < w.Version {
			return &Refusal{
				Code: CodeWaitsForFence, Field: "addresses", Value: a.String(),
				Allowed: "once every instance has version " + strconv.FormatUint(w.Version, 10) +
					" in force; the lowest is " + strconv.FormatUint(inForce, 10),
			}
		}
	}
	return nil
}

func (m *StateMachine) enact(i Intent) Config {
	c := m.config
	switch i.Action {
	case AddService, ChangeService:
		return c.WithService(*i.Service, m.index)
	case RemoveService:
		return c.WithoutService(i.Name, m.index)
	case Drain:
		return c.WithDrained(i.Name, true)
	case Undrain:
		return c.WithDrained(i.Name, false)
	case RetireInstance:
		return c.WithRetired(i.Name)
	case AddVoter:
		return c.WithVoter(i.Name, true)
	case RemoveVoter:
		return c.WithVoter(i.Name, false)
	}
	return c
}

func (m *StateMachine) register(r RegisterInstances) {
	c := m.config
	for _, name := range r.Instances {
		c = c.WithInstance(name)
	}
	if len(c.Voters) == 0 {
		for _, v := range r.Voters {
			c = c.WithVoter(v, true)
		}
	}
	c.Version = m.index
	m.config = c
}

func (m *StateMachine) setBase(s SetBaseSet) {
	old := m.config.BaseSets[s.Service]
	if _, ok := m.config.Services[s.Service]; !ok || old.Number != s.Number {
		return
	}
	c := m.config.WithBase(s.Service, BaseSet{Number: s.Number + 1, Targets: s.Targets, Next: s.Next})
	c.Version = m.index
	m.config = c
}

// image is the encoded form of a machine.
type image struct {
	Config  Config                `cbor:"config"`
	Index   uint64                `cbor:"index"`
	Intents map[string]remembered `cbor:"intents"`
	Plans   map[string]*Plan      `cbor:"plans"`
	Order   []string              `cbor:"order"`
	// Departures are those that instances with a disk keep.
	Departures []announcer.Departure `cbor:"departures,omitempty"`
}

func (m *StateMachine) image() image {
	return image{Config: m.config, Index: m.index, Intents: m.intents, Plans: m.plans, Order: m.order}
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	i := m.image()
	i.Departures = m.departures.all()
	return cbor.Marshal(i)
}

// ReplicaSnapshot returns the encoded state without what only members of the log need.
func (m *StateMachine) ReplicaSnapshot() ([]byte, error) {
	return cbor.Marshal(m.image())
}

// Restore replaces the state by a snapshot, unless the snapshot is older: a
// machine never goes back. It returns the decoder's error.
func (m *StateMachine) Restore(data []byte) error {
	var i image
	if err := cbor.Unmarshal(data, &i); err != nil {
		return err
	}
	if i.Index <= m.index {
		return nil
	}
	m.config, m.index, m.order = i.Config, i.Index, i.Order
	m.changed = i.Index
	m.departures = departures{}
	m.departures.add(i.Departures)
	m.intents = maps.Clone(i.Intents)
	m.plans = maps.Clone(i.Plans)
	if m.intents == nil {
		m.intents = make(map[string]remembered)
	}
	if m.plans == nil {
		m.plans = make(map[string]*Plan)
	}
	return nil
}
