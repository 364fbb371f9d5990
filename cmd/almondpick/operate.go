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

// operatorCommands returns the commands that talk to an operator door.
func operatorCommands() []subcommands.Command {
	return []subcommands.Command{
		intentCommand(), planCommand(), confirmCommand(), statusCommand(), historyCommand(), targetsCommand(),
		servicesCommand(), watchCommand(),
	}
}

func planCommand() *command {
	return &command{
		name: "plan", synopsis: "show a plan", usage: "plan show [flags] PLAN",
		run: func(ctx context.Context, c *client, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) > 0 && args[0] == "show" {
				args = args[1:]
			}
			if len(args) != 1 {
				return usage("plan show PLAN")
			}
			return c.answer(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Plan(ctx, &messenger.PlanRequest{PlanID: args[0]})
			})
		},
	}
}

func confirmCommand() *command {
	return &command{
		name: "confirm", synopsis: "put a plan into force", usage: "confirm [flags] PLAN",
		run: func(ctx context.Context, c *client, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return usage("confirm PLAN")
			}
			return c.answer(ctx, func(ctx context.Context) (*planner.Result, error) {
				return remote.Confirm(ctx, &messenger.PlanRequest{PlanID: args[0]})
			})
		},
	}
}

func usage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "usage: almondpick", text)
	return exitUsage
}

// answer makes a call that gives a plan or a refusal. A call that fails on the way
// leaves its outcome unknown: the same call can be made again.
func (c *client) answer(ctx context.Context, call func(context.Context) (*planner.Result, error)) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, err := call(ctx)
	if err != nil {
		return fail(exitUnknown, err)
	}
	return c.printAnswer(a)
}

// question returns a command that asks an instance something and prints the answer.
func question[T any](name, synopsis string, ask func(messenger.OperatorClient, context.Context) (*T, error), text func(*T)) *command {
	return &command{
		name: name, synopsis: synopsis, usage: name + " [flags]",
		run: func(ctx context.Context, c *client, remote messenger.OperatorClient, _ []string) subcommands.ExitStatus {
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			answer, err := ask(remote, ctx)
			if err != nil {
				return fail(exitFailed, err)
			}
			return c.print(answer, func() { text(answer) })
		},
	}
}

func statusCommand() *command {
	return question("status", "show the instances and what is in force", messenger.OperatorClient.Status, printStatus)
}

func historyCommand() *command {
	return question("history", "list the confirmed plans", messenger.OperatorClient.History, printHistory)
}

func targetsCommand() *command {
	return question("targets", "list the targets", messenger.OperatorClient.Targets, printTargets)
}

func servicesCommand() *command {
	return question("services", "list the services", messenger.OperatorClient.Services, printServices)
}

func printStatus(s *messenger.DeploymentStatus) {
	inForce := "in force on every live instance"
	if !s.ConfigInForce {
		inForce = "not yet in force on " + strings.Join(s.InstancesBehind, ", ")
	}
	fmt.Printf("version %d (revision %d), %s; leader %s; asked %s (ready %v, confirmed by a majority %v, journal %s)\n",
		s.ConfigVersion, s.ConfigRevision, inForce, s.Leader, s.Instance, s.Ready, s.ConfigConfirmed, s.JournalState)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "instance\tdata centre\tstate\tversion\tlast contact\tcut off since\tvoter")
	for _, i := range s.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", i.Name, i.DataCentre, i.State, i.ConfigVersion, i.SinceLastContact, i.VotersUnreachableSince, i.VoterRole)
	}
	_ = w.Flush() // nobody to tell when the terminal is gone
}

func printHistory(list *messenger.PlanList) {
	for _, p := range list.Plans {
		fmt.Printf("version %d: %s %s (intent %s, plan %s)\n", p.ConfirmedVersion, p.Intent.Action, subject(p.Intent), p.Intent.ID, p.ID)
	}
}

func subject(i planner.Intent) string {
	if i.Service != nil {
		return i.Service.Name
	}
	return i.Name
}

func printTargets(list *messenger.TargetList) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "target\tjob\tdata centre\tstate\tdrained\tfit\tslots\tflows\tload\thome")
	for _, t := range list.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%d\t%d\t%.2f\t%s\n",
			t.Endpoint, t.Job, t.DataCentre, t.State, t.Drained, t.AcceptsNewWork, t.Slots, t.Connections, t.Load, t.MonitorInstance)
	}
	_ = w.Flush() // nobody to tell when the terminal is gone
}

func printServices(list *messenger.ServiceList) {
	for _, s := range list.Services {
		fmt.Printf("%s: names %s; jobs %s; addresses %v; tenant %s, class %s; epsilon %g, max-wait %v, idle %v\n",
			s.Name, strings.Join(s.Names, ","), strings.Join(s.Jobs, ","), s.Addresses, s.Tenant, s.Class, s.Epsilon, s.SlotWaitTimeout, s.IdleTimeout)
	}
}

func watchCommand() *command {
	every := time.Second
	count := 0
	return &command{
		name: "watch", synopsis: "show the status again and again", usage: "watch [-every D] [-count N]",
		flags: func(f *flag.FlagSet) {
			f.DurationVar(&every, "every", time.Second, "time between two looks")
			f.IntVar(&count, "count", 0, "number of looks; 0 for no end")
		},
		run: func(ctx context.Context, c *client, remote messenger.OperatorClient, _ []string) subcommands.ExitStatus {
			ticks, stop := systemClock{}.Ticker(max(every, 10*time.Millisecond))
			defer stop()
			for n := 0; count == 0 || n < count; n++ {
				call, cancel := context.WithTimeout(ctx, c.timeout)
				s, err := remote.Status(call)
				cancel()
				if err != nil {
					return fail(exitFailed, err)
				}
				if code := c.print(s, func() { printStatus(s) }); code != exitDone {
					return code
				}
				<-ticks
			}
			return exitDone
		},
	}
}
