package planner

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

func service(name, ip string) *Service {
	return &Service{Name: name, Jobs: []string{name}, Addresses: []Address{{IP: netip.MustParseAddr(ip), Port: 80, Protocol: TCP}}}
}

// client executes commands at increasing log indexes.
type client struct {
	m     *StateMachine
	index uint64
}

func (o *client) exec(c Command) Result {
	o.index++
	return o.m.Apply(o.index, c)
}

func (o *client) state(i Intent) Result { return o.exec(Command{StateIntent: &StateIntent{Intent: i}}) }

func (o *client) confirm(plan string, inForce uint64) Result {
	return o.exec(Command{ConfirmPlan: &ConfirmPlan{PlanID: plan, LowestVersionInForce: inForce}})
}

func newClient() *client { return &client{m: NewStateMachine()} }

func TestTwoPlansForTheSameBaseRevision(t *testing.T) {
	is := is.New(t)
	o := newClient()
	one := o.state(Intent{ID: "a", Action: AddService, Service: service("menus", "192.0.2.1")}).Plan
	two := o.state(Intent{ID: "b", Action: AddService, Service: service("packs", "192.0.2.2")}).Plan
	is.Equal(one.BaseRevision, two.BaseRevision)
	is.True(one.ID != two.ID)
	is.True(o.confirm(one.ID, 0).Plan.ConfirmedVersion > 0)
	refusal := o.confirm(two.ID, 0).Refusal
	is.Equal(refusal.Code, CodeStalePlan)
	is.True(refusal.FreshPlan.ID != two.ID)
	is.True(o.confirm(refusal.FreshPlan.ID, 0).Plan.ConfirmedVersion > 0)
	is.Equal(len(o.m.Config().Services), 2)
}

func TestResentIntentAndConfirmationGetTheSameResult(t *testing.T) {
	is := is.New(t)
	o := newClient()
	i := Intent{ID: "a", Action: AddService, Service: service("menus", "192.0.2.1")}
	first := o.state(i)
	is.Equal(o.state(i), first)
	done := o.confirm(first.Plan.ID, 0)
	is.Equal(o.confirm(first.Plan.ID, 0), done)
	is.Equal(o.state(i).Plan.ConfirmedVersion, done.Plan.ConfirmedVersion) // an operator that restarts and sends the intent again gets the confirmed plan
	snapshot, err := o.m.Snapshot()
	is.NoErr(err)
	restored := &client{m: NewStateMachine(), index: o.index}
	is.NoErr(restored.m.Restore(snapshot))
	is.Equal(restored.confirm(first.Plan.ID, 0).Plan.ConfirmedVersion, done.Plan.ConfirmedVersion)
	other := i
	other.Service = service("menus", "192.0.2.9")
	is.Equal(o.state(other).Refusal.Code, CodeIntentReused)
}

func TestFenceOnReuseOfAnAddress(t *testing.T) {
	is := is.New(t)
	o := newClient()
	o.confirm(o.state(Intent{ID: "a", Action: AddService, Service: service("menus", "192.0.2.1")}).Plan.ID, 0)
	removal := o.confirm(o.state(Intent{ID: "b", Action: RemoveService, Name: "menus"}).Plan.ID, 0).Plan
	plan := o.state(Intent{ID: "c", Action: AddService, Service: service("packs", "192.0.2.1")}).Plan
	is.Equal(len(plan.Preconditions), 1)
	is.Equal(o.confirm(plan.ID, removal.ConfirmedVersion-1).Refusal.Code, CodeWaitsForFence) // one instance still uses the version before the withdrawal
	is.True(o.confirm(plan.ID, removal.ConfirmedVersion).Plan.ConfirmedVersion > 0)
}

func TestBadInputNamesTheFieldAndChangesNothing(t *testing.T) {
	epsilon := service("menus", "192.0.2.1")
	epsilon.Epsilon = 7
	port := service("menus", "192.0.2.1")
	port.Addresses[0].Port = 0
	for field, i := range map[string]Intent{
		"name":           {ID: "a", Action: AddService, Service: service("bad name", "192.0.2.1")},
		"epsilon":        {ID: "a", Action: AddService, Service: epsilon},
		"addresses.port": {ID: "a", Action: AddService, Service: port},
		"action":         {ID: "a", Action: "explode"},
		"id":             {ID: "", Action: Drain, Name: "127.0.0.1:1"},
		"service":        {ID: "a", Action: AddService},
	} {
		is := is.New(t)
		o := newClient()
		refusal := o.state(i).Refusal
		is.Equal(refusal.Code, CodeBadField)
		is.Equal(refusal.Field, field)
		is.True(refusal.Allowed != "")
		is.Equal(o.m.Config().Revision, uint64(0))
	}
}

func TestNamesAndAddressesAreUnique(t *testing.T) {
	is := is.New(t)
	o := newClient()
	o.confirm(o.state(Intent{ID: "a", Action: AddService, Service: service("menus", "192.0.2.1")}).Plan.ID, 0)
	is.Equal(o.state(Intent{ID: "b", Action: AddService, Service: service("packs", "192.0.2.1")}).Refusal.Code, CodeTaken)
	named := service("packs", "192.0.2.2")
	named.Names = []string{"menus"}
	is.Equal(o.state(Intent{ID: "c", Action: AddService, Service: named}).Refusal.Code, CodeTaken)
	is.Equal(o.state(Intent{ID: "d", Action: RemoveVoter, Name: "i1"}).Refusal.Code, CodeNotFound)
}

func TestStoredIntentsAreBoundedAndAnOldIndexChangesNothing(t *testing.T) {
	is := is.New(t)
	o := newClient()
	for i := range MaxIntents + 50 {
		o.state(Intent{ID: fmt.Sprint("x", i), Action: Undrain, Name: "127.0.0.1:1"})
	}
	is.Equal(len(o.m.intents), MaxIntents)
	is.True(len(o.m.plans) <= MaxIntents)
	before := o.m.Config()
	o.m.Apply(1, Command{RegisterInstances: &RegisterInstances{Instances: []string{"i9"}}})
	is.Equal(o.m.Config(), before)
	var refusal *Refusal
	is.True(errors.As(Command{}.Validate(), &refusal))
}
