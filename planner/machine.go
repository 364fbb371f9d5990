package planner

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"almondpick/announcer"
)

// MaxIntents is how many intents are kept with their plans and results, so that an intent
// that an operator sends again gets the same result. The oldest are dropped first: at 1,100
// changes a day the intents of more than three days are kept.
const MaxIntents = 4096

// Command is a command of the replicated log. Exactly one field is set.
type Command struct {
	StateIntent       *StateIntent       `cbor:"state,omitempty"`
	ConfirmPlan       *ConfirmPlan       `cbor:"confirm,omitempty"`
	RegisterInstances *RegisterInstances `cbor:"register,omitempty"`
	SetDefaultTargets *SetDefaultTargets `cbor:"set-base,omitempty"`
	ReplaceRuleset    *Ruleset           `cbor:"replace,omitempty"`
	RecordDepartures  *RecordDepartures  `cbor:"depart,omitempty"`
	SetEvacuation     *SetEvacuation     `cbor:"evacuate,omitempty"`
}

// StateIntent is the command that records an operator's intent and creates a plan for it. The
// leader fills in AffectedTargets when it proposes the command.
type StateIntent struct {
	Intent          Intent           `cbor:"intent"`
	AffectedTargets []AffectedTarget `cbor:"touches"`
}

// ConfirmPlan is the command that applies a plan to the configuration. LowestVersionInForce is
// the lowest configuration version that any registered instance uses, as known to the leader
// when it proposed the command.
type ConfirmPlan struct {
	PlanID               string `cbor:"plan"`
	LowestVersionInForce uint64 `cbor:"in-force"`
}

// RegisterInstances is the command that adds instances to the configuration. A withdrawn
// address may be assigned to another service only when every registered instance uses a
// configuration version without the old assignment.
type RegisterInstances struct {
	Instances []string `cbor:"instances"`
	Voters    []string `cbor:"voters"` // used only while the configuration names no voters
}

// SetDefaultTargets is the command that replaces the default target set of a service, provided
// that the current set still has Number.
type SetDefaultTargets struct {
	Service string   `cbor:"service"`
	Number  uint64   `cbor:"number"` // number of the set to replace; the new set has the next number
	Targets []string `cbor:"targets"`
	Next    []string `cbor:"next"`
}

// Validate returns a *Refusal unless exactly one field is set, and validates
// ReplaceRuleset, RecordDepartures and SetEvacuation.
func (c Command) Validate() error {
	n := 0
	for _, set := range []bool{c.StateIntent != nil, c.ConfirmPlan != nil, c.RegisterInstances != nil, c.SetDefaultTargets != nil, c.ReplaceRuleset != nil, c.RecordDepartures != nil, c.SetEvacuation != nil} {
		if set {
			n++
		}
	}
	if n != 1 {
		return badField("command", strconv.Itoa(n)+" fields", "exactly one field")
	}
	switch {
	case c.ReplaceRuleset != nil:
		if c.ReplaceRuleset.SourceOmitted {
			return badField("source", "omitted", "the operator's document")
		}
		return c.ReplaceRuleset.Validate()
	case c.RecordDepartures != nil:
		return c.RecordDepartures.Validate()
	case c.SetEvacuation != nil:
		return c.SetEvacuation.Validate()
	}
	return nil
}

// Result is the result of a command: a plan or a refusal. Both are nil for commands that the
// system itself proposes.
type Result struct {
	Plan    *Plan    `cbor:"plan" json:"plan,omitempty"`
	Refusal *Refusal `cbor:"refusal" json:"refusal,omitempty"`
}

// intentRecord is the stored result of an intent: the ID of its plan, or a refusal.
type intentRecord struct {
	Intent  Intent   `cbor:"intent"`
	PlanID  string   `cbor:"plan"`
	Refusal *Refusal `cbor:"refusal"`
}

// StateMachine applies the commands of the replicated log. It is not safe for concurrent
// use; the configurations that it returns are immutable.
type StateMachine struct {
	config                Config
	appliedIndex          uint64
	lastNonDepartureIndex uint64                  // see LastNonDepartureIndex
	intents               map[string]intentRecord // by intent ID
	plans                 map[string]*Plan        // by plan ID
	intentOrder           []string                // intent IDs, oldest first

	departures departures
}

// NewStateMachine returns a state machine with an empty configuration.
func NewStateMachine() *StateMachine {
	return &StateMachine{intents: make(map[string]intentRecord), plans: make(map[string]*Plan)}
}

// Config returns the current configuration.
func (m *StateMachine) Config() Config {
	return m.config
}

// AppliedIndex returns the log index of the last entry that was applied or skipped.
func (m *StateMachine) AppliedIndex() uint64 {
	return m.appliedIndex
}

// LastNonDepartureIndex returns the log index of the last command that is not
// RecordDepartures. A SnapshotWithoutDepartures that was taken at this index or later is up to
// date.
func (m *StateMachine) LastNonDepartureIndex() uint64 {
	return m.lastNonDepartureIndex
}

// Plan returns the stored plan with this ID.
func (m *StateMachine) Plan(id string) (Plan, bool) {
	p, ok := m.plans[id]
	if !ok {
		return Plan{}, false
	}
	return *p, true
}

// ConfirmedPlans returns the stored plans that were confirmed, oldest first.
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

// Apply applies the command at a log index. An index that was applied before changes nothing but
// the departures: a state restored from a SnapshotWithoutDepartures lacks those before its index.
func (m *StateMachine) Apply(index uint64, c Command) Result {
	if index <= m.appliedIndex {
		if c.RecordDepartures != nil {
			m.departures.add(c.RecordDepartures.Departures)
		}
		return Result{}
	}
	m.appliedIndex = index
	if c.RecordDepartures == nil {
		m.lastNonDepartureIndex = index
	}
	switch {
	case c.StateIntent != nil:
		return m.stateIntent(*c.StateIntent)
	case c.ConfirmPlan != nil:
		return m.confirmPlan(*c.ConfirmPlan)
	case c.RegisterInstances != nil:
		m.registerInstances(*c.RegisterInstances)
	case c.SetDefaultTargets != nil:
		m.setDefaultTargets(*c.SetDefaultTargets)
	case c.ReplaceRuleset != nil:
		m.replaceRuleset(*c.ReplaceRuleset)
	case c.RecordDepartures != nil:
		m.departures.add(c.RecordDepartures.Departures)
	case c.SetEvacuation != nil:
		m.setEvacuation(*c.SetEvacuation)
	}
	return Result{}
}

// ApplyRuleset applies the command at a log index that replaces the ruleset by r. Unlike Apply, it
// accepts a ruleset without the operator's document.
func (m *StateMachine) ApplyRuleset(index uint64, r Ruleset) {
	if index <= m.appliedIndex {
		return
	}
	m.appliedIndex, m.lastNonDepartureIndex = index, index
	m.replaceRuleset(r)
}

// SkipEntry advances the applied index past an entry that holds no command.
func (m *StateMachine) SkipEntry(index uint64) {
	m.appliedIndex = max(m.appliedIndex, index)
}

// stateIntent creates a plan for an intent. A repeated intent gets its earlier result; the
// same ID with other content is refused.
func (m *StateMachine) stateIntent(s StateIntent) Result {
	if old, ok := m.intents[s.Intent.ID]; ok {
		if !sameIntent(old.Intent, s.Intent) {
			return Result{Refusal: &Refusal{Code: CodeIntentReused, Field: "id", Value: s.Intent.ID}}
		}
		return m.recordedResult(old)
	}
	plan, err := newPlan(m.config, s.Intent, s.AffectedTargets)
	r := intentRecord{Intent: s.Intent}
	if !errors.As(err, &r.Refusal) {
		r.PlanID = plan.ID
		m.plans[plan.ID] = plan
	}
	m.recordIntent(r)
	return m.recordedResult(r)
}

func (m *StateMachine) recordedResult(r intentRecord) Result {
	if r.Refusal != nil {
		return Result{Refusal: r.Refusal}
	}
	p := *m.plans[r.PlanID]
	return Result{Plan: &p}
}

func sameIntent(a, b Intent) bool {
	return planID(a, 0) == planID(b, 0)
}

func (m *StateMachine) recordIntent(r intentRecord) {
	if _, ok := m.intents[r.Intent.ID]; !ok {
		m.intentOrder = append(m.intentOrder, r.Intent.ID)
	}
	m.intents[r.Intent.ID] = r
	for len(m.intentOrder) > MaxIntents {
		m.dropIntent(m.intentOrder[0])
		m.intentOrder = m.intentOrder[1:]
	}
}

// dropIntent drops an intent and all its plans.
func (m *StateMachine) dropIntent(id string) {
	delete(m.intents, id)
	maps.DeleteFunc(m.plans, func(_ string, p *Plan) bool { return p.Intent.ID == id })
}

// confirmPlan applies a plan to the configuration. A plan that was confirmed before gets the
// same result again. A plan whose base revision is no longer current is refused with a new
// plan.
func (m *StateMachine) confirmPlan(c ConfirmPlan) Result {
	plan, ok := m.plans[c.PlanID]
	if !ok {
		return Result{Refusal: &Refusal{Code: CodeUnknownPlan, Field: "plan", Value: c.PlanID}}
	}
	if plan.ConfirmedVersion > 0 {
		p := *plan
		return Result{Plan: &p}
	}
	if plan.BaseRevision != m.config.Revision {
		return Result{Refusal: m.refuseStalePlan(plan)}
	}
	if refusal := m.checkAddressFence(plan, c.LowestVersionInForce); refusal != nil {
		return Result{Refusal: refusal}
	}
	next := m.applyIntent(plan.Intent)
	next.Revision++
	next.Version = m.appliedIndex
	m.config = next
	confirmed := *plan
	confirmed.ConfirmedVersion = m.appliedIndex
	m.plans[c.PlanID] = &confirmed
	returned := confirmed
	return Result{Plan: &returned}
}

// refuseStalePlan returns the refusal of a stale plan, with a new plan for the same intent.
// The new plan replaces the old one in the record of the intent. The old plan stays in
// m.plans, so that another confirmation of it is again refused as stale.
func (m *StateMachine) refuseStalePlan(old *Plan) *Refusal {
	r := &Refusal{Code: CodeStalePlan, Field: "base", Value: strconv.FormatUint(old.BaseRevision, 10),
		Allowed: strconv.FormatUint(m.config.Revision, 10)}
	current := m.intents[old.Intent.ID]
	if p, ok := m.plans[current.PlanID]; ok && (p.ConfirmedVersion > 0 || p.BaseRevision == m.config.Revision) {
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
	current.PlanID = plan.ID
	m.intents[old.Intent.ID] = current
	fresh := *plan
	r.FreshPlan = &fresh
	return r
}

// checkAddressFence returns a refusal if the plan assigns an address that some instance may
// still map to another service, because its version is older than the withdrawal.
func (m *StateMachine) checkAddressFence(p *Plan, lowestInForce uint64) *Refusal {
	if p.Intent.Service == nil {
		return nil
	}
	for _, a := range p.Intent.Service.Addresses {
		w, ok := m.config.WithdrawnAddresses[a.String()]
		if ok && w.Service != p.Intent.Service.Name && lowestInForce < w.Version {
			return &Refusal{
				Code: CodeWaitsForFence, Field: "addresses", Value: a.String(),
				Allowed: "once every instance has version " + strconv.FormatUint(w.Version, 10) +
					" in force; the lowest is " + strconv.FormatUint(lowestInForce, 10),
			}
		}
	}
	return nil
}

func (m *StateMachine) applyIntent(i Intent) Config {
	c := m.config
	switch i.Action {
	case AddService, ChangeService:
		return c.WithService(*i.Service, m.appliedIndex)
	case RemoveService:
		return c.WithoutService(i.Name, m.appliedIndex)
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

func (m *StateMachine) registerInstances(r RegisterInstances) {
	c := m.config
	for _, name := range r.Instances {
		c = c.WithInstance(name)
	}
	if len(c.Voters) == 0 {
		for _, v := range r.Voters {
			c = c.WithVoter(v, true)
		}
	}
	c.Version = m.appliedIndex
	m.config = c
}

func (m *StateMachine) setDefaultTargets(s SetDefaultTargets) {
	old := m.config.DefaultTargetSets[s.Service]
	if _, ok := m.config.Services[s.Service]; !ok || old.Number != s.Number {
		return
	}
	c := m.config.WithDefaultTargetSet(s.Service, DefaultTargetSet{Number: s.Number + 1, Targets: s.Targets, Next: s.Next})
	c.Version = m.appliedIndex
	m.config = c
}

// encodedState is the encoded form of a StateMachine.
type encodedState struct {
	Config       Config                  `cbor:"config"`
	AppliedIndex uint64                  `cbor:"index"`
	Intents      map[string]intentRecord `cbor:"intents"`
	Plans        map[string]*Plan        `cbor:"plans"`
	IntentOrder  []string                `cbor:"order"`
	// Departures is left out by SnapshotWithoutDepartures.
	Departures []announcer.Departure `cbor:"departures,omitempty"`
}

func (m *StateMachine) encodedState() encodedState {
	return encodedState{Config: m.config, AppliedIndex: m.appliedIndex, Intents: m.intents, Plans: m.plans, IntentOrder: m.intentOrder}
}

// Snapshot returns the whole encoded state, as members of the Raft cluster store it.
func (m *StateMachine) Snapshot() ([]byte, error) {
	state := m.encodedState()
	state.Departures = m.departures.list()
	return cbor.Marshal(state)
}

// SnapshotWithoutDepartures returns the encoded state for an instance that is not a member of
// the Raft cluster and therefore does not need the departures.
func (m *StateMachine) SnapshotWithoutDepartures() ([]byte, error) {
	return cbor.Marshal(m.encodedState())
}

// SnapshotWithoutDocument returns the encoded state like SnapshotWithoutDepartures, but with the
// ruleset as Ruleset.WithoutSource returns it.
func (m *StateMachine) SnapshotWithoutDocument() ([]byte, error) {
	state := m.encodedState()
	if state.Config.Ruleset != nil {
		rules := state.Config.Ruleset.WithoutSource()
		state.Config.Ruleset = &rules
	}
	return cbor.Marshal(state)
}

// Restore replaces the state with a snapshot, and adds the departures of the snapshot. Of a
// snapshot that is not newer than the state only the departures are used, so that the applied
// index never decreases. Restore returns the error of the decoder.
func (m *StateMachine) Restore(data []byte) error {
	var state encodedState
	if err := cbor.Unmarshal(data, &state); err != nil {
		return err
	}
	m.departures.add(state.Departures)
	if state.AppliedIndex <= m.appliedIndex {
		return nil
	}
	m.config, m.appliedIndex, m.intentOrder = state.Config, state.AppliedIndex, state.IntentOrder
	m.lastNonDepartureIndex = state.AppliedIndex
	m.intents = maps.Clone(state.Intents)
	m.plans = maps.Clone(state.Plans)
	if m.intents == nil {
		m.intents = make(map[string]intentRecord)
	}
	if m.plans == nil {
		m.plans = make(map[string]*Plan)
	}
	return nil
}
