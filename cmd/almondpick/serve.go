package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"almondpick/configurer"
	"almondpick/server"
)

type serveCommand struct {
	set configurer.Settings
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an instance" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve [flags]\n  Every flag can be set by an environment variable: -flow-address by " +
		configurer.EnvName("flow-address") + ".\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	c.set.Register(f)
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := configurer.ApplyEnvironment(f, configurer.LookupEnv)
	if err == nil {
		err = c.set.Validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := newLogger(os.Stderr, c.set.LogLevel, configurer.SplitList(c.set.DebugSubsystems))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	s, err := server.Start(c.set, systemClock{}, log)
	if err != nil {
		log.Error("start-failed", "error", err)
		return subcommands.ExitFailure
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), c.set.StopTimeout)
	defer cancel()
	go func() {
		<-signals // a second signal cuts the stop short
		cancel()
	}()
	if err := s.Stop(ctx); err != nil {
		log.Error("stop-incomplete", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
