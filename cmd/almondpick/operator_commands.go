package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"almondpick/messenger"
	"almondpick/planner"
)

// newOperatorCommands returns the commands that call the operator API of an instance.
func newOperatorCommands() []subcommands.Command {
	return []subcommands.Command{
		newIntentCommand(), newPlanCommand(), newConfirmCommand(), newStatusCommand(), newHistoryCommand(), newTargetsCommand(),
		newServicesCommand(), newWatchCommand(), newEvacuateCommand(), newRestoreCommand(),
	}
}

func newPlanCommand() *operatorCommand {
	return &operatorCommand{
		name: "plan", synopsis: "show a plan", usage: "plan show [flags] PLAN",
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) > 0 && args[0] == "show" {
				args = args[1:]
			}
			if len(args) != 1 {
				return printUsage("plan show PLAN")
			}
			return c.callAndPrint(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Plan(ctx, &messenger.PlanRequest{PlanID: args[0]})
			})
		},
	}
}

func newConfirmCommand() *operatorCommand {
	return &operatorCommand{
		name: "confirm", synopsis: "put a plan into force", usage: "confirm [flags] PLAN",
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return printUsage("confirm PLAN")
			}
			return c.callAndPrint(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Confirm(ctx, &messenger.PlanRequest{PlanID: args[0]})
			})
		},
	}
}

// printUsage prints a usage line to standard error and returns exitUsage.
func printUsage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "usage: almondpick", text)
	return exitUsage
}

// callAndPrint makes a call that returns a plan or a refusal, and prints that. If the call
// fails, its outcome is unknown; the same call can be repeated.
func (c *operatorCLI) callAndPrint(ctx context.Context, call func(context.Context) (*planner.Result, error)) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	result, err := call(ctx)
	if err != nil {
		return printError(exitOutcomeUnknown, err)
	}
	return c.printResult(result)
}

// newQueryCommand returns a command without arguments that queries an instance and prints
// the response.
func newQueryCommand[T any](name, synopsis string, query func(messenger.OperatorClient, context.Context) (*T, error), printText func(*T)) *operatorCommand {
	return &operatorCommand{
		name: name, synopsis: synopsis, usage: name + " [flags]",
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, _ []string) subcommands.ExitStatus {
			ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
			defer cancel()
			response, err := query(remote, ctx)
			if err != nil {
				return printError(exitFailed, err)
			}
			return c.printOutput(response, func() { printText(response) })
		},
	}
}

func newStatusCommand() *operatorCommand {
	return newQueryCommand("status", "show the instances and the configuration in force", messenger.OperatorClient.Status, printStatus)
}

func newHistoryCommand() *operatorCommand {
	return newQueryCommand("history", "list the confirmed plans", messenger.OperatorClient.History, printHistory)
}

func newTargetsCommand() *operatorCommand {
	return newQueryCommand("targets", "list the targets", messenger.OperatorClient.Targets, printTargets)
}

func newServicesCommand() *operatorCommand {
	return newQueryCommand("services", "list the services", messenger.OperatorClient.Services, printServices)
}

func printStatus(s *messenger.DeploymentStatus) {
	inForce := "in force on every live instance"
	if !s.ConfigInForce {
		inForce = "not yet in force on " + strings.Join(s.InstancesBehind, ", ")
	}
	fmt.Printf("version %d (revision %d), %s; leader %s; asked %s (ready %v, confirmed by a majority %v, journal %s)\n",
		s.ConfigVersion, s.ConfigRevision, inForce, s.Leader, s.Instance, s.Ready, s.ConfigConfirmed, s.JournalState)
	for _, e := range s.Evacuations {
		if e.InForce {
			fmt.Printf("data centre %s is evacuated since version %d\n", e.DataCentre, e.LastChange)
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "instance\tdata centre\tstate\tversion\tlast contact\tcut off since\tvoter")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", i.Name, i.DataCentre, i.State, i.ConfigVersion, i.SinceLastContact, i.VotersUnreachableSince, i.VoterRole)
	}
	_ = w.Flush() // an error means that the output is closed; it cannot be reported
}

func printHistory(list *messenger.PlanList) {
	for _, p := range list.Plans {
		fmt.Printf("version %d: %s %s (intent %s, plan %s)\n", p.ConfirmedVersion, p.Intent.Action, intentSubject(p.Intent), p.Intent.ID, p.ID)
	}
}

// intentSubject returns the name of the service, target or instance that an intent is about.
func intentSubject(intent planner.Intent) string {
	if intent.Service != nil {
		return intent.Service.Name
	}
	return intent.Name
}

func printTargets(list *messenger.TargetList) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "target\tjob\tdata centre\tstate\tdrained\tevacuated\tfit\tslots\tflows\tload\thome")
	for _, t := range list.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%v\t%d\t%d\t%.2f\t%s\n",
			t.Endpoint, t.Job, t.DataCentre, t.State, t.Drained, t.Evacuated, t.AcceptsNewWork, t.Slots, t.Connections, t.Load, t.MonitorInstance)
	}
	_ = w.Flush() // an error means that the output is closed; it cannot be reported
}

func printServices(list *messenger.ServiceList) {
	for _, s := range list.Services {
		fmt.Printf("%s: names %s; jobs %s; addresses %v; tenant %s, class %s; epsilon %g, max-wait %v, idle %v\n",
			s.Name, strings.Join(s.Names, ","), strings.Join(s.Jobs, ","), s.Addresses, s.Tenant, s.Class, s.Epsilon, s.SlotWaitTimeout, s.IdleTimeout)
	}
}

func newWatchCommand() *operatorCommand {
	interval := time.Second
	count := 0
	return &operatorCommand{
		name: "watch", synopsis: "show the status repeatedly", usage: "watch [-every D] [-count N]",
		addFlags: func(f *flag.FlagSet) {
			f.DurationVar(&interval, "every", time.Second, "interval between two queries")
			f.IntVar(&count, "count", 0, "number of queries; 0 for no limit")
		},
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, _ []string) subcommands.ExitStatus {
			ticks, stop := systemClock{}.Ticker(max(interval, 10*time.Millisecond))
			defer stop()
			for n := 0; count == 0 || n < count; n++ {
				callCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
				s, err := remote.Status(callCtx)
				cancel()
				if err != nil {
					return printError(exitFailed, err)
				}
				if code := c.printOutput(s, func() { printStatus(s) }); code != exitOK {
					return code
				}
				<-ticks
			}
			return exitOK
		},
	}
}
