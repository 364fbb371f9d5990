package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/google/subcommands"

	"almondpick/configurer"
	"almondpick/loader"
)

type loadCommand struct {
	set      loader.RunSettings
	flow     string
	status   string
	request  string
	service  string
	job      string
	address  string
	json     bool
	plotFile string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "put load on instances through stand-ins" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load -flow-addresses A,B -status-addresses A,B -request-addresses A,B -service NAME -job JOB -address IP:port\n" +
		"  Starts targets that announce themselves, a fabric and callers, and ends after -duration.\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.flow, "flow-addresses", "", "flow doors of the instances")
	f.StringVar(&c.status, "status-addresses", "", "status addresses of the instances, in the same order")
	f.StringVar(&c.request, "request-addresses", "", "request doors of the instances, in the same order")
	f.StringVar(&c.service, "service", "", "name that callers use")
	f.StringVar(&c.job, "job", "", "job name of the targets")
	f.StringVar(&c.address, "address", "", "address of the service")
	f.IntVar(&c.set.TargetCount, "targets", 5, "number of targets")
	f.IntVar(&c.set.SlotsPerTarget, "slots", 3, "slots of each target")
	f.DurationVar(&c.set.MeanProcessingTime, "work", 20*time.Millisecond, "time that a request takes")
	f.Float64Var(&c.set.FlowsPerSecond, "flow-rate", 100, "new flows a second")
	f.DurationVar(&c.set.MeanFlowDuration, "flow-length", 5*time.Second, "mean length of a flow")
	f.DurationVar(&c.set.FlowThinkTime, "flow-pause", 100*time.Millisecond, "time between the segments of a flow")
	f.Float64Var(&c.set.RequestsPerSecond, "request-rate", 50, "requests a second")
	f.Float64Var(&c.set.ResendShare, "resend", 0.2, "share of the forms that are sent twice")
	f.DurationVar(&c.set.Duration, "duration", 20*time.Second, "time until no new work is begun")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.StringVar(&c.plotFile, "plot", "", "file for a plot of the imbalance")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	flows, statuses, requests := configurer.List(c.flow), configurer.List(c.status), configurer.List(c.request)
	at, err := netip.ParseAddrPort(c.address)
	if err != nil || len(flows) == 0 || len(flows) != len(statuses) || len(flows) != len(requests) || c.service == "" || c.job == "" {
		return usage("load: see almondpick help load")
	}
	for i := range flows {
		c.set.Instances = append(c.set.Instances, loader.InstanceAddresses{FlowAddress: flows[i], StatusAddress: statuses[i], RequestAddress: requests[i]})
	}
	c.set.HostName, c.set.Job, c.set.ServiceAddress = c.service, c.job, at
	log := newLogger(os.Stderr, "info", nil)
	report, err := loader.Run(c.set, systemClock{}, log)
	if err != nil {
		return fail(exitFailed, err)
	}
	if c.plotFile != "" {
		if err := loader.PlotImbalance(c.plotFile, report); err != nil {
			return fail(exitFailed, err)
		}
	}
	if c.json {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return fail(exitFailed, err)
		}
	} else {
		fmt.Println("msg=load-finished", report.SummaryLine())
	}
	if !report.Passed() {
		return exitFailed
	}
	return exitDone
}
