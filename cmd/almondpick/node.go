package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"almondpick/controller"
	"almondpick/platform"
	"almondpick/server"
)

type nodeCommand struct {
	logLevel string
	metrics  string
}

// Name implements subcommands.Command.
func (*nodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCommand) Synopsis() string { return "run an instance on the platform, by its settings file" }

// Usage implements subcommands.Command.
func (*nodeCommand) Usage() string {
	return "node [flags]\n  The variable " + platform.SettingsVariable + " names the platform's settings file.\n"
}

// SetFlags implements subcommands.Command.
func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
	f.StringVar(&c.metrics, "metrics-port", "", "port for metrics at the instance's address")
}

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	log := newLogger(os.Stdout, c.logLevel, nil)
	set, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.metrics != "" {
		set.MetricsAddress = set.Name + ":" + c.metrics
	}
	if err := set.Validate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	codec := platform.Codec{}
	if at, err := netip.ParseAddrPort(set.FlowAddress); err == nil {
		codec.CallerPort = at.Port()
	}
	api := func(c *controller.Controller) http.Handler { return platform.NewAPI(c, log) }
	n, err := server.StartNode(set, systemClock{}, log, codec, api, platform.ReadyHandler)
	if err != nil {
		log.Error("start-failed", "error", err)
		return subcommands.ExitFailure
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		log.Info("reload", "settings", "unchanged")
	}
	ctx, cancel := context.WithTimeout(context.Background(), set.StopGrace)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		log.Error("stop-incomplete", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
