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
	settings         loader.RunSettings
	flowAddresses    string
	statusAddresses  string
	requestAddresses string
	service          string
	job              string
	serviceAddress   string
	jsonOutput       bool
	plotFile         string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "generate load on instances" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load -flow-addresses A,B -status-addresses A,B -request-addresses A,B -service NAME -job JOB -address IP:port\n" +
		"  Simulates a fabric, targets that announce themselves, and callers, and ends after -duration.\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.flowAddresses, "flow-addresses", "", "flow addresses of the instances, separated by commas")
	f.StringVar(&c.statusAddresses, "status-addresses", "", "status addresses of the instances, in the same order")
	f.StringVar(&c.requestAddresses, "request-addresses", "", "request addresses of the instances, in the same order")
	f.StringVar(&c.service, "service", "", "host name of the service that callers use")
	f.StringVar(&c.job, "job", "", "job name of the targets")
	f.StringVar(&c.serviceAddress, "address", "", "address of the service")
	f.IntVar(&c.settings.TargetCount, "targets", 5, "number of targets")
	f.IntVar(&c.settings.SlotsPerTarget, "slots", 3, "slots of each target")
	f.DurationVar(&c.settings.MeanProcessingTime, "work", 20*time.Millisecond, "time that a target takes for a request")
	f.Float64Var(&c.settings.FlowsPerSecond, "flow-rate", 100, "new flows per second")
	f.DurationVar(&c.settings.MeanFlowDuration, "flow-length", 5*time.Second, "mean duration of a flow")
	f.DurationVar(&c.settings.FlowThinkTime, "flow-pause", 100*time.Millisecond, "time between the segments of a flow")
	f.Float64Var(&c.settings.RequestsPerSecond, "request-rate", 50, "requests per second")
	f.Float64Var(&c.settings.ResendShare, "resend", 0.2, "share of the form submissions that are sent twice")
	f.DurationVar(&c.settings.Duration, "duration", 20*time.Second, "time after which no new flows and requests are started")
	f.BoolVar(&c.jsonOutput, "json", false, "print the report as JSON")
	f.StringVar(&c.plotFile, "plot", "", "file to write a plot of the imbalance to")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	flowAddresses, statusAddresses, requestAddresses := configurer.SplitList(c.flowAddresses), configurer.SplitList(c.statusAddresses), configurer.SplitList(c.requestAddresses)
	serviceAddress, err := netip.ParseAddrPort(c.serviceAddress)
	if err != nil || len(flowAddresses) == 0 || len(flowAddresses) != len(statusAddresses) || len(flowAddresses) != len(requestAddresses) || c.service == "" || c.job == "" {
		return printUsage("load: see almondpick help load")
	}
	for i := range flowAddresses {
		c.settings.Instances = append(c.settings.Instances, loader.InstanceAddresses{FlowAddress: flowAddresses[i], StatusAddress: statusAddresses[i], RequestAddress: requestAddresses[i]})
	}
	c.settings.HostName, c.settings.Job, c.settings.ServiceAddress = c.service, c.job, serviceAddress
	log := newLogger(os.Stderr, "info", nil)
	report, err := loader.Run(c.settings, systemClock{}, log)
	if err != nil {
		return printError(exitFailed, err)
	}
	if c.plotFile != "" {
		if err := loader.PlotImbalance(c.plotFile, report); err != nil {
			return printError(exitFailed, err)
		}
	}
	if c.jsonOutput {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return printError(exitFailed, err)
		}
	} else {
		fmt.Println("msg=load-finished", report.SummaryLine())
	}
	if !report.Passed() {
		return exitFailed
	}
	return exitOK
}
