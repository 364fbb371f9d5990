package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"almondpick/configurer"
	"almondpick/messenger"
	"almondpick/planner"
)

// intentFlags are the flags that describe an intent.
type intentFlags struct {
	id, names, addresses, jobs, tenant, class, repeatable string
	epsilon                                               float64
	maxWait, idle                                         time.Duration
	confirm                                               bool
}

func (i *intentFlags) register(f *flag.FlagSet) {
	f.StringVar(&i.id, "id", "", "id of the intent; the same id always gets the same answer. Random where not given")
	f.StringVar(&i.names, "names", "", "further names of the service, separated by commas")
	f.StringVar(&i.addresses, "addresses", "", "addresses of the service: tcp://IP:port or udp://IP:port, separated by commas")
	f.StringVar(&i.jobs, "jobs", "", "job names of the targets that may serve it, separated by commas")
	f.StringVar(&i.tenant, "tenant", "", "tenant of the service")
	f.StringVar(&i.class, "class", "", "class of the service")
	f.StringVar(&i.repeatable, "repeatable", "", "methods that may be repeated beside the safe ones, separated by commas")
	f.Float64Var(&i.epsilon, "epsilon", 0, "balance: 0.04 for even load, 0.1 for few broken flows, -1 for no second choice")
	f.DurationVar(&i.maxWait, "max-wait", 0, "most time that a request waits for a slot")
	f.DurationVar(&i.idle, "idle", 0, "time without a packet after which a flow is forgotten")
	f.BoolVar(&i.confirm, "yes", false, "confirm the plan at once")
}

func intentCommand() *command {
	var set intentFlags
	return &command{
		name: "intent", synopsis: "state an intent and get a plan",
		usage: "intent [flags] add-service|change-service|remove-service|drain|undrain|retire-instance|add-voter|remove-voter NAME\n" +
			"  NAME is a service, a target's endpoint (IP:port) or an instance.",
		flags: set.register,
		run: func(ctx context.Context, c *client, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) != 2 {
				return usage("intent ACTION NAME")
			}
			intent, err := set.intent(planner.Action(args[0]), args[1])
			if err != nil {
				return fail(exitUsage, err)
			}
			if c.output == "text" {
				fmt.Println("intent", intent.ID)
			}
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			a, err := remote.State(ctx, &intent)
			if err != nil {
				fmt.Fprintln(os.Stderr, "ask again with -id", intent.ID)
				return fail(exitUnknown, err)
			}
			if !set.confirm || a.Plan == nil {
				return c.printAnswer(a)
			}
			return c.answer(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Confirm(ctx, &messenger.PlanRequest{Plan: a.Plan.ID})
			})
		},
	}
}

// intent returns the intent that the flags describe. It returns a *planner.Refusal.
func (i *intentFlags) intent(action planner.Action, name string) (planner.Intent, error) {
	out := planner.Intent{ID: i.id, Action: action, Name: name}
	if out.ID == "" {
		var b [8]byte
		rand.Read(b[:]) // never fails
		out.ID = hex.EncodeToString(b[:])
	}
	if !slices.Contains([]planner.Action{planner.AddService, planner.ChangeService}, action) {
		return out, nil
	}
	s := planner.Service{
		Name: name, Names: configurer.SplitList(i.names), Jobs: configurer.SplitList(i.jobs), Tenant: i.tenant, Class: i.class,
		Epsilon: i.epsilon, SlotWaitTimeout: i.maxWait, IdleTimeout: i.idle, IdempotentMethods: configurer.SplitList(i.repeatable),
	}
	for _, text := range configurer.SplitList(i.addresses) {
		protocol, at, found := strings.Cut(text, "://")
		ap, err := netip.ParseAddrPort(at)
		if !found || err != nil {
			return out, &planner.Refusal{Code: planner.CodeBadField, Field: "addresses", Value: text, Allowed: "tcp://IP:port or udp://IP:port"}
		}
		s.Addresses = append(s.Addresses, planner.Address{IP: ap.Addr(), Port: ap.Port(), Protocol: planner.Protocol(protocol)})
	}
	out.Name = ""
	out.Service = &s
	return out, nil
}
