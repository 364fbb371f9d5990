package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"almondpick/measurer"
)

type measureCommand struct {
	settings         measurer.Settings
	policy           string
	jsonOutput       bool
	compareBaselines bool
	plotFile         string
	listScenarios    bool
}

// Name implements subcommands.Command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCommand) Synopsis() string { return "simulate a scenario in virtual time" }

// Usage implements subcommands.Command.
func (*measureCommand) Usage() string {
	return "measure -scenario NAME [-deployment NAME] [-policy NAME] [-seed N] [-compare] [-json] [-plot FILE]\n" +
		"  scenarios: " + strings.Join(measurer.Scenarios(), ", ") + "\n"
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings.Scenario, "scenario", "steady", "name of the scenario; -list prints all")
	f.StringVar(&c.settings.Deployment, "deployment", "", "deployment, for its sizes: csendes-asztal or lustreworks")
	f.StringVar(&c.policy, "policy", string(measurer.Almondpick), "policy that chooses the targets of flows")
	f.Uint64Var(&c.settings.Seed, "seed", 1, "seed of the run")
	f.DurationVar(&c.settings.ReplicationWindow, "window", 0, "age from which an exceptional flow is replicated")
	f.Float64Var(&c.settings.ReplicationBudget, "budget", 3072, "bytes per second of each instance for replicas and hints")
	f.DurationVar(&c.settings.Duration, "duration", 0, "virtual duration; 0 for that of the scenario")
	f.Float64Var(&c.settings.ConnectionScale, "scale", 1, "share of the connections that is simulated")
	f.BoolVar(&c.jsonOutput, "json", false, "print the report as JSON")
	f.BoolVar(&c.compareBaselines, "compare", false, "also run the baseline policies")
	f.StringVar(&c.plotFile, "plot", "", "file to write a plot of the imbalance to")
	f.BoolVar(&c.listScenarios, "list", false, "list the scenarios")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.listScenarios {
		fmt.Println(strings.Join(measurer.Scenarios(), "\n"))
		return subcommands.ExitSuccess
	}
	c.settings.Policy = measurer.Policy(c.policy)
	reports, err := c.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.plotFile != "" {
		if err := measurer.Plot(c.plotFile, reports); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if err := c.printReports(reports); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run returns the report of the chosen policy, followed, with -compare, by those of the
// baseline policies.
func (c *measureCommand) run() ([]measurer.Report, error) {
	report, err := measurer.Run(c.settings)
	if err != nil || !c.compareBaselines {
		return []measurer.Report{report}, err
	}
	reports := []measurer.Report{report}
	for _, p := range measurer.PoliciesFor(c.settings.Scenario) {
		if p == c.settings.Policy {
			continue
		}
		baselineSettings := c.settings
		baselineSettings.Policy = p
		r, err := measurer.Run(baselineSettings)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

// printReports prints the reports as JSON, or as a table whose columns depend on the kind of
// the scenario.
func (c *measureCommand) printReports(reports []measurer.Report) error {
	if c.jsonOutput {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if !c.compareBaselines {
			return encoder.Encode(reports[0])
		}
		return encoder.Encode(reports)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if strings.HasPrefix(c.settings.Scenario, "slots-") {
		printSlotReports(w, reports)
		return w.Flush()
	}
	if strings.HasPrefix(c.settings.Scenario, "in-force-") {
		r := reports[0]
		fmt.Fprintf(w, "control B/s an instance\t%.0f\nmessages/s an instance\t%.1f\nin force ms\t%.0f\nbytes an instance for the change\t%.0f\ndeath known everywhere ms\t%.0f\n",
			r.ControlBytesPerSecond, r.MessagesPerSecond, r.ConfigPropagationMS, r.BytesPerConfigChange, r.DeathDetectionMS)
		return w.Flush()
	}
	if strings.HasPrefix(c.settings.Scenario, "config-change-") {
		printConfigChangeReports(w, reports)
		return w.Flush()
	}
	fmt.Fprintln(w, "policy\tflows\tbroken\tby\toldest s\twith target\tcut off\tmisrouted\trefused\tmax/mean\tcv\trelayed\texceptions\tcontrol B/s\ttracked")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%d\t%d (%.4f%%)\t%v\t%.2f\t%d\t%d\t%d\t%d\t%.4f\t%.4f\t%.3f\t%.4f\t%.0f\t%.0f\n",
			r.Policy, r.FlowsOpened, r.BrokenFlows, 100*r.BrokenFlowShare, r.BrokenFlowsByCause, r.OldestBrokenFlowSeconds, r.FlowsEndedWithTarget, r.FlowsEndedByPartition, r.MisroutedPackets, r.RefusedFlows,
			r.ImbalanceMaxOverMean, r.ImbalanceCV, r.RelayedPacketShare, r.NonDefaultFlowShare, r.ControlBytesPerSecond, r.TrackedFlowsPerInstance)
	}
	return w.Flush()
}

func printSlotReports(w *tabwriter.Writer, reports []measurer.Report) {
	fmt.Fprintln(w, "policy\twait p99 ms\tideal ms\tratio\trefused\twork max/mean\tgoodput\textra work")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%d\t%.3f\t%.3f\t%.3f\n", r.Policy, r.WaitP99MS, r.IdealWaitP99MS,
			r.WaitP99MS/max(r.IdealWaitP99MS, 0.001), r.RefusedRequests, r.RequestsMaxOverMean, r.GoodputShare, r.ExtraRequestShare)
	}
}

func printConfigChangeReports(w *tabwriter.Writer, reports []measurer.Report) {
	fmt.Fprintln(w, "policy\troutes\tchange\tbytes an instance\tbetween data centres\tcalls\tremote\thad by half ms\tp99 ms\tall ms")
	for _, r := range reports {
		for _, c := range r.ConfigChanges {
			fmt.Fprintf(w, "%s\t%d\t%s\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\t%.0f\t%.0f\n", r.Policy, c.Routes, c.Change, c.PerInstance, c.RemoteBytes,
				r.CallsPerConfigChange, r.RemoteCallShare, r.ConfigPropagationP50MS, r.ConfigPropagationP99MS, r.ConfigPropagationMS)
		}
	}
}
