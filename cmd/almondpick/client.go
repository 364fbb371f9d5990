package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"almondpick/configurer"
	"almondpick/keyer"
	"almondpick/messenger"
	"almondpick/planner"
)

// Exit codes of the operators' commands.
const (
	exitDone    = subcommands.ExitSuccess    // 0
	exitFailed  = subcommands.ExitFailure    // 1: nothing is known of what was done
	exitUsage   = subcommands.ExitUsageError // 2: nothing was done
	exitRefused = subcommands.ExitStatus(3)  // nothing was done; the refusal says why
	exitUnknown = subcommands.ExitStatus(4)  // ask again with the same intent or plan
)

// client is what the operators' commands have in common.
type client struct {
	address     string
	authority   string
	certificate string
	key         string
	plaintext   bool
	output      string
	timeout     time.Duration
}

func (c *client) register(f *flag.FlagSet) {
	f.StringVar(&c.address, "operator-address", "127.0.0.1:6083", "operator door of any instance")
	f.StringVar(&c.authority, "authority", "", "certificate of the authority")
	f.StringVar(&c.certificate, "certificate", "", "certificate of the operator")
	f.StringVar(&c.key, "key", "", "key of the certificate")
	f.BoolVar(&c.plaintext, "insecure-plaintext", false, "talk without TLS")
	f.StringVar(&c.output, "output", "text", "text or json")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "most time for one call")
}

// command is one of the operators' commands.
type command struct {
	client
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	run      func(ctx context.Context, c *client, remote messenger.OperatorClient, args []string) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return c.usage + "\n  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 outcome unknown.\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	c.register(f)
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := configurer.ApplyEnvironment(f, configurer.LookupEnv); err != nil {
		return fail(exitUsage, err)
	}
	if c.output != "text" && c.output != "json" {
		return fail(exitUsage, &configurer.ValidationError{InvalidSettings: []configurer.InvalidSetting{{Setting: "output", Value: c.output, Allowed: "text or json"}}})
	}
	conn, err := c.dial()
	if err != nil {
		return fail(exitFailed, err)
	}
	defer func() { _ = conn.Close() }() // the answer is there already
	return c.run(ctx, &c.client, messenger.OperatorClient{Conn: conn}, f.Args())
}

func (c *client) dial() (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if !c.plaintext {
		secure, err := keyer.LoadTLSConfig(keyer.KeyFiles{CACert: c.authority, Cert: c.certificate, Key: c.key}, systemClock{})
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(secure)
	}
	return grpc.NewClient(c.address, grpc.WithTransportCredentials(creds))
}

func fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// print prints v as JSON, or calls text.
func (c *client) print(v any, text func()) subcommands.ExitStatus {
	if c.output == "text" {
		text()
		return exitDone
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return fail(exitFailed, err)
	}
	return exitDone
}

// printAnswer prints a plan or a refusal and returns the exit code for it.
func (c *client) printAnswer(a *planner.Result) subcommands.ExitStatus {
	code := c.print(a, func() { printAnswerText(a) })
	if code != exitDone || a.Refusal == nil {
		return code
	}
	if a.Refusal.Code == planner.CodeOutcomeUnknown {
		return exitUnknown
	}
	return exitRefused
}

func printAnswerText(a *planner.Result) {
	if a.Refusal != nil {
		fmt.Println("refused:", a.Refusal.Error())
		if a.Refusal.FreshPlan != nil {
			printPlan(a.Refusal.FreshPlan)
		}
		return
	}
	printPlan(a.Plan)
}

func printPlan(p *planner.Plan) {
	fmt.Printf("plan %s (intent %s, %s, on revision %d)\n", p.ID, p.Intent.ID, p.Intent.Action, p.BaseRevision)
	for _, s := range p.Steps {
		fmt.Printf("  %s %s", s.Sign, s.Object)
		if s.Before != "" {
			fmt.Printf(" %s", s.Before)
		}
		if s.Sign == "~" {
			fmt.Print(" ->")
		}
		if s.After != "" {
			fmt.Printf(" %s", s.After)
		}
		fmt.Println()
	}
	for _, t := range p.AffectedTargets {
		fmt.Printf("  touches target %s of %s: %d flows, %d requests\n", t.Target, t.Service, t.Connections, t.Running)
	}
	for _, w := range p.Preconditions {
		fmt.Println("  waits for", w)
	}
	if p.ConfirmedVersion > 0 {
		fmt.Println("  confirmed as version", p.ConfirmedVersion)
		return
	}
	fmt.Println("  not confirmed; put it into force with: almondpick confirm", p.ID)
}
