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
	"almondpick/meter"
	"almondpick/platform"
	"almondpick/recorder"
	"almondpick/server"
	"almondpick/soaker"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, so
// that a change without a signal takes effect too.
const settingsPollInterval = 5 * time.Second

// gcPercent is half of Go's default, to save memory at the cost of a little processor time:
// collections are cheap, because an instance keeps little memory and allocates little.
const gcPercent = 50

type nodeCommand struct {
	logLevel          string
	metricsPort       string
	peerListenAddress string
	clockOffset       time.Duration
	diskFaultFile     string
	targetEstimates   bool
}

// Name implements subcommands.Command.
func (*nodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCommand) Synopsis() string { return "run an instance with the platform's settings" }

// Usage implements subcommands.Command.
func (*nodeCommand) Usage() string {
	return "node [flags]\n  The variable " + platform.SettingsFileVariable + " names the platform's settings file.\n"
}

// SetFlags implements subcommands.Command.
func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.logLevel, "log-level", "info", "debug, info, warn or error")
	f.StringVar(&c.peerListenAddress, "peer-listen", "", "IP:port to listen on for peers, if it differs from the address that peers connect to")
	f.StringVar(&c.metricsPort, "metrics-port", "", "port for metrics, at the instance's address; none by default")
	f.BoolVar(&c.targetEstimates, "target-estimates", false, "estimate how much load each target takes well, and share the evidence; only if all instances have this version")
	f.DurationVar(&c.clockOffset, "clock-offset", 0, "offset of the time of day, for a soak test")
	f.StringVar(&c.diskFaultFile, "disk-fault", "", "file that names the simulated fault of the disk, for a soak test")
}

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	clock := systemClock{timeOfDayOffset: c.clockOffset}
	logWriter := recorder.New(os.Stdout, clock)
	defer func() {
		_ = logWriter.Close() // always nil
	}()
	log := newLogger(logWriter, c.logLevel, nil)
	settings, err := c.readSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	codec := platform.Codec{}
	if flowAddress, err := netip.ParseAddrPort(settings.FlowAddress); err == nil {
		codec.CallerPort = flowAddress.Port()
	}
	newOperatorHandler := func(c *controller.Controller, m *meter.Meter) http.Handler { return platform.NewAPI(c, clock, log, m) }
	n, err := server.StartNode(settings, clock, log, codec, newOperatorHandler, platform.ReadyHandler, c.nodeOptions()...)
	if err != nil {
		log.Error("start-failed", "error", err)
		return subcommands.ExitFailure
	}
	c.reloadUntilStopped(n, settings, signals, log)
	ctx, cancel := context.WithTimeout(context.Background(), settings.StopGracePeriod)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		log.Error("stop-incomplete", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// nodeOptions returns the options that a soak test needs: with -disk-fault, the journal's
// files simulate disk faults.
func (c *nodeCommand) nodeOptions() []server.NodeOption {
	if c.diskFaultFile == "" {
		return nil
	}
	disk := soaker.NewDiskFaultInjector(c.diskFaultFile)
	return []server.NodeOption{server.WithControllerOptions(controller.WithJournalOptions(journaler.WithFileWrapper(disk.Wrap)))}
}

// reloadUntilStopped applies changed settings, on SIGHUP and at every settingsPollInterval,
// until another signal asks the instance to stop. Settings that cannot be read or applied
// are logged and leave the old ones in use.
func (c *nodeCommand) reloadUntilStopped(n *server.Node, settings configurer.NodeSettings, signals <-chan os.Signal, log *slog.Logger) {
	ticks, stop := systemClock{}.Ticker(settingsPollInterval)
	defer stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			log.Info("reload-requested")
		case <-ticks:
		}
		next, err := c.readSettings()
		if err != nil {
			log.Warn("reload-rejected", "error", err)
			continue
		}
		if reflect.DeepEqual(next, settings) {
			continue
		}
		if err := n.Reload(context.Background(), next); err != nil {
			log.Warn("reload-failed", "error", err)
			continue
		}
		settings = next
	}
}

// readSettings reads the platform's settings file, applies the flags and validates the
// settings.
func (c *nodeCommand) readSettings() (configurer.NodeSettings, error) {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsFileVariable))
	if err != nil {
		return settings, err
	}
	if c.metricsPort != "" {
		settings.MetricsAddress = settings.Name + ":" + c.metricsPort
	}
	settings.PeerListenAddress = c.peerListenAddress
	settings.TargetEstimates = c.targetEstimates
	return settings, settings.Validate()
}
