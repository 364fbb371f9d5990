package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"almondpick/demonstrator"
)

type demoCommand struct {
	verbose bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a small deployment with traffic in one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string { return "demo [-verbose]\n" }

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.verbose, "verbose", false, "also print the logs of the instances")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	log := newLogger(os.Stdout, "info", nil)
	instanceLog := newLogger(os.Stderr, "error", nil)
	if c.verbose {
		instanceLog = newLogger(os.Stderr, "info", nil)
	}
	folder, err := os.MkdirTemp("", "almondpick-demo-")
	if err != nil {
		log.Error("demo-failed", "error", err)
		return subcommands.ExitFailure
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			log.Warn("demo-folder-not-removed", "folder", folder, "error", err)
		}
	}()
	report, err := demonstrator.Run(folder, systemClock{}, log, instanceLog)
	if err != nil {
		log.Error("demo-failed", "error", err)
	}
	fmt.Println("msg=demo-finished", report.SummaryLine())
	if err != nil || !report.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
