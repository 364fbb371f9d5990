package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"almondpick/configurer"
	"almondpick/controller"
	"almondpick/journaler"
	"almondpick/platform"
	"almondpick/recorder"
	"almondpick/server"
	"almondpick/soaker"
)

// settingsPoll is how often the settings file is looked at for changes that no signal
// tells of.
const settingsPoll = 5 * time.Second

// gcPercent trades a little processor time for memory: an instance keeps little and
// allocates little, so collections are cheap.
const gcPercent = 50

type nodeCommand struct {
	logLevel string
	metrics  string
	listen   string
	offset   time.Duration
	disk     string
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
	f.StringVar(&c.listen, "peer-listen", "", "IP:port that the peer door listens at, where it is not the one that others reach")
	f.StringVar(&c.metrics, "metrics-port", "", "port for metrics at the instance's address")
	f.DurationVar(&c.offset, "clock-offset", 0, "how far the time of day is off, for a soak")
	f.StringVar(&c.disk, "disk-fault", "", "file that says what is wrong with the disk, for a soak")
}

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	clock := systemClock{offset: c.offset}
	lines := recorder.New(os.Stdout, clock)
	defer func() {
		_ = lines.Close() // it has no error to tell of
	}()
	log := newLogger(lines, c.logLevel, nil)
	set, err := c.settings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	codec := platform.Codec{}
	if at, err := netip.ParseAddrPort(set.FlowAddress); err == nil {
		codec.CallerPort = at.Port()
	}
	api := func(c *controller.Controller) http.Handler { return platform.NewAPI(c, clock, log) }
	n, err := server.StartNode(set, clock, log, codec, api, platform.ReadyHandler, c.options()...)
	if err != nil {
		log.Error("start-failed", "error", err)
		return subcommands.ExitFailure
	}
	c.watch(n, set, signals, log)
	ctx, cancel := context.WithTimeout(context.Background(), set.StopGrace)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		log.Error("stop-incomplete", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// options returns what a soak makes of the instance.
func (c *nodeCommand) options() []server.NodeOption {
	if c.disk == "" {
		return nil
	}
	disk := soaker.NewDisk(c.disk)
	return []server.NodeOption{server.WithControl(controller.WithJournalOptions(journaler.WithFile(disk.Wrap)))}
}

// watch puts changed settings into use, with or without a signal, until the instance
// is asked to stop.
func (c *nodeCommand) watch(n *server.Node, set configurer.Node, signals <-chan os.Signal, log *slog.Logger) {
	ticks, stop := systemClock{}.Ticker(settingsPoll)
	defer stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			log.Info("reload-asked")
		case <-ticks:
		}
		next, err := c.settings()
		if err != nil {
			log.Warn("reload-refused", "error", err)
			continue
		}
		if reflect.DeepEqual(next, set) {
			continue
		}
		if err := n.Reload(context.Background(), next); err != nil {
			log.Warn("reload-failed", "error", err)
			continue
		}
		set = next
	}
}

// settings reads and checks the settings.
func (c *nodeCommand) settings() (configurer.Node, error) {
	set, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return set, err
	}
	if c.metrics != "" {
		set.MetricsAddress = set.Name + ":" + c.metrics
	}
	set.PeerListen = c.listen
	return set, set.Validate()
}
