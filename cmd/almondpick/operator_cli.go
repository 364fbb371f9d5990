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

// Exit codes of the operator commands.
const (
	exitOK             = subcommands.ExitSuccess    // 0
	exitFailed         = subcommands.ExitFailure    // 1: any other failure; what was done is not known
	exitUsage          = subcommands.ExitUsageError // 2: wrong usage; nothing was done
	exitRefused        = subcommands.ExitStatus(3)  // refused, for the reason in the refusal; nothing was done
	exitOutcomeUnknown = subcommands.ExitStatus(4)  // outcome unknown; repeat the command with the same intent or plan
)

// operatorCLI holds the flags that all operator commands share, connects to an instance and
// prints results.
type operatorCLI struct {
	operatorAddress string
	caCertFile      string
	certFile        string
	keyFile         string
	plaintext       bool
	outputFormat    string
	callTimeout     time.Duration
}

func (c *operatorCLI) registerFlags(f *flag.FlagSet) {
	f.StringVar(&c.operatorAddress, "operator-address", "127.0.0.1:6083", "operator address of any instance")
	f.StringVar(&c.caCertFile, "authority", "", "file with the CA certificate")
	f.StringVar(&c.certFile, "certificate", "", "file with the certificate of the operator")
	f.StringVar(&c.keyFile, "key", "", "file with the key of the certificate")
	f.BoolVar(&c.plaintext, "insecure-plaintext", false, "connect without TLS")
	f.StringVar(&c.outputFormat, "output", "text", "text or json")
	f.DurationVar(&c.callTimeout, "timeout", 10*time.Second, "timeout of a call")
}

// operatorCommand is a command that calls the operator API of an instance.
type operatorCommand struct {
	operatorCLI
	name     string
	synopsis string
	usage    string
	addFlags func(*flag.FlagSet) // adds the flags of this command alone; may be nil
	run      func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, args []string) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *operatorCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *operatorCommand) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *operatorCommand) Usage() string {
	return c.usage + "\n  Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 outcome unknown.\n"
}

// SetFlags implements subcommands.Command.
func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	c.registerFlags(f)
	if c.addFlags != nil {
		c.addFlags(f)
	}
}

// Execute implements subcommands.Command.
func (c *operatorCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := configurer.ApplyEnvironment(f, configurer.LookupEnv); err != nil {
		return printError(exitUsage, err)
	}
	if c.outputFormat != "text" && c.outputFormat != "json" {
		return printError(exitUsage, &configurer.ValidationError{InvalidSettings: []configurer.InvalidSetting{{Setting: "output", Value: c.outputFormat, Allowed: "text or json"}}})
	}
	conn, err := c.dial()
	if err != nil {
		return printError(exitFailed, err)
	}
	defer func() { _ = conn.Close() }() // run has received its responses by then
	return c.run(ctx, &c.operatorCLI, messenger.OperatorClient{Conn: conn}, f.Args())
}

func (c *operatorCLI) dial() (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if !c.plaintext {
		tlsConfig, err := keyer.LoadTLSConfig(keyer.KeyFiles{CACert: c.caCertFile, Cert: c.certFile, Key: c.keyFile}, systemClock{})
		if err != nil {
			return nil, err
		}
		creds = credentials.NewTLS(tlsConfig)
	}
	return grpc.NewClient(c.operatorAddress, grpc.WithTransportCredentials(creds))
}

// printError prints err to standard error and returns code.
func printError(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// printOutput prints v as JSON, or calls printText if the output format is text.
func (c *operatorCLI) printOutput(v any, printText func()) subcommands.ExitStatus {
	if c.outputFormat == "text" {
		printText()
		return exitOK
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		return printError(exitFailed, err)
	}
	return exitOK
}

// printResult prints a plan or a refusal and returns the exit code for it.
func (c *operatorCLI) printResult(result *planner.Result) subcommands.ExitStatus {
	code := c.printOutput(result, func() { printResultText(result) })
	if code != exitOK || result.Refusal == nil {
		return code
	}
	if result.Refusal.Code == planner.CodeOutcomeUnknown {
		return exitOutcomeUnknown
	}
	return exitRefused
}

func printResultText(result *planner.Result) {
	if result.Refusal != nil {
		fmt.Println("refused:", result.Refusal.Error())
		if result.Refusal.FreshPlan != nil {
			printPlan(result.Refusal.FreshPlan)
		}
		return
	}
	printPlan(result.Plan)
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
		fmt.Printf("  touches target %s of %s: %d flows, %d requests\n", t.Target, t.Service, t.Connections, t.RunningRequests)
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
