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
	settings configurer.Settings
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an instance" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve [flags]\n  Every flag can also be set with an environment variable: -flow-address with " +
		configurer.EnvName("flow-address") + ".\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	c.settings.RegisterFlags(f)
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := configurer.ApplyEnvironment(f, configurer.LookupEnv)
	if err == nil {
		err = c.settings.Validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := newLogger(os.Stderr, c.settings.LogLevel, configurer.SplitList(c.settings.DebugSubsystems))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	s, err := server.Start(c.settings, systemClock{}, log)
	if err != nil {
		log.Error("start-failed", "error", err)
		return subcommands.ExitFailure
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), c.settings.StopTimeout)
	defer cancel()
	go func() {
		<-signals // a second signal ends the graceful stop early
		cancel()
	}()
	if err := s.Stop(ctx); err != nil {
		log.Error("stop-incomplete", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
