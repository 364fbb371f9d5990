package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/google/subcommands"
)

// version is the version of the next release.
const version = "0.1.0-dev"

type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("almondpick", version, runtime.Version())
	return subcommands.ExitSuccess
}
