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

// intentFlags are the flags of the intent command, which describe an intent.
type intentFlags struct {
	id, names, addresses, jobs, tenant, class, idempotentMethods string
	epsilon                                                      float64
	slotWaitTimeout, idleTimeout                                 time.Duration
	confirm                                                      bool
}

func (i *intentFlags) registerFlags(f *flag.FlagSet) {
	f.StringVar(&i.id, "id", "", "id of the intent; a repeated intent with the same id gets the same answer; random by default")
	f.StringVar(&i.names, "names", "", "additional names of the service, separated by commas")
	f.StringVar(&i.addresses, "addresses", "", "addresses of the service: tcp://IP:port or udp://IP:port, separated by commas")
	f.StringVar(&i.jobs, "jobs", "", "job names of the targets that may serve the service, separated by commas")
	f.StringVar(&i.tenant, "tenant", "", "tenant of the service")
	f.StringVar(&i.class, "class", "", "class of the service")
	f.StringVar(&i.idempotentMethods, "repeatable", "", "idempotent methods, besides the safe ones, separated by commas")
	f.Float64Var(&i.epsilon, "epsilon", 0, "load balance: 0.04 for even load, 0.1 for fewer broken flows, -1 for no second choice")
	f.DurationVar(&i.slotWaitTimeout, "max-wait", 0, "longest time that a request waits for a slot")
	f.DurationVar(&i.idleTimeout, "idle", 0, "idle timeout of a flow: time without a packet after which its entry is removed")
	f.BoolVar(&i.confirm, "yes", false, "confirm the plan immediately")
}

func newIntentCommand() *operatorCommand {
	var flags intentFlags
	return &operatorCommand{
		name: "intent", synopsis: "submit an intent and print the plan for it",
		usage: "intent [flags] add-service|change-service|remove-service|drain|undrain|retire-instance|add-voter|remove-voter NAME\n" +
			"  NAME is a service, a target's endpoint (IP:port) or an instance.",
		addFlags: flags.registerFlags,
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) != 2 {
				return printUsage("intent ACTION NAME")
			}
			intent, err := flags.intent(planner.Action(args[0]), args[1])
			if err != nil {
				return printError(exitUsage, err)
			}
			if c.outputFormat == "text" {
				fmt.Println("intent", intent.ID)
			}
			ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
			defer cancel()
			result, err := remote.State(ctx, &intent)
			if err != nil {
				fmt.Fprintln(os.Stderr, "ask again with -id", intent.ID)
				return printError(exitOutcomeUnknown, err)
			}
			if !flags.confirm || result.Plan == nil {
				return c.printResult(result)
			}
			return c.callAndPrint(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Confirm(ctx, &messenger.PlanRequest{PlanID: result.Plan.ID})
			})
		},
	}
}

// intent returns the intent that the flags describe. The error is a *planner.Refusal, if an
// address of the service cannot be parsed.
func (i *intentFlags) intent(action planner.Action, name string) (planner.Intent, error) {
	intent := planner.Intent{ID: i.id, Action: action, Name: name}
	if intent.ID == "" {
		var b [8]byte
		rand.Read(b[:]) // never fails
		intent.ID = hex.EncodeToString(b[:])
	}
	if !slices.Contains([]planner.Action{planner.AddService, planner.ChangeService}, action) {
		return intent, nil
	}
	service := planner.Service{
		Name: name, Names: configurer.SplitList(i.names), Jobs: configurer.SplitList(i.jobs), Tenant: i.tenant, Class: i.class,
		Epsilon: i.epsilon, SlotWaitTimeout: i.slotWaitTimeout, IdleTimeout: i.idleTimeout, IdempotentMethods: configurer.SplitList(i.idempotentMethods),
	}
	for _, text := range configurer.SplitList(i.addresses) {
		protocol, endpoint, found := strings.Cut(text, "://")
		address, err := netip.ParseAddrPort(endpoint)
		if !found || err != nil {
			return intent, &planner.Refusal{Code: planner.CodeBadField, Field: "addresses", Value: text, Allowed: "tcp://IP:port or udp://IP:port"}
		}
		service.Addresses = append(service.Addresses, planner.Address{IP: address.Addr(), Port: address.Port(), Protocol: planner.Protocol(protocol)})
	}
	intent.Name = ""
	intent.Service = &service
	return intent, nil
}
