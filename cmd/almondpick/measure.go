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
	set     measurer.Settings
	policy  string
	json    bool
	compare bool
	plot    string
	list    bool
}

// Name implements subcommands.Command.
func (*measureCommand) Name() string { return "measure" }

// Synopsis implements subcommands.Command.
func (*measureCommand) Synopsis() string { return "play a scenario through in virtual time" }

// Usage implements subcommands.Command.
func (*measureCommand) Usage() string {
	return "measure -scenario NAME [-deployment NAME] [-policy NAME] [-seed N] [-compare] [-json] [-plot FILE]\n" +
		"  scenarios: " + strings.Join(measurer.Scenarios(), ", ") + "\n"
}

// SetFlags implements subcommands.Command.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.set.Scenario, "scenario", "steady", "what happens")
	f.StringVar(&c.set.Deployment, "deployment", "", "sizes: csendes-asztal or lustreworks")
	f.StringVar(&c.policy, "policy", string(measurer.Almondpick), "how flows are decided about")
	f.Uint64Var(&c.set.Seed, "seed", 1, "seed of the run")
	f.DurationVar(&c.set.ReplicationWindow, "window", 0, "age from which an exception is streamed")
	f.Float64Var(&c.set.ReplicationBudget, "budget", 3072, "bytes a second an instance for replicas and hints")
	f.DurationVar(&c.set.Duration, "duration", 0, "virtual time; 0 for that of the scenario")
	f.Float64Var(&c.set.ConnectionScale, "scale", 1, "share of the connections")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	f.BoolVar(&c.compare, "compare", false, "run the baselines too")
	f.StringVar(&c.plot, "plot", "", "file for a plot of the imbalance")
	f.BoolVar(&c.list, "list", false, "list the scenarios")
}

// Execute implements subcommands.Command.
func (c *measureCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.list {
		fmt.Println(strings.Join(measurer.Scenarios(), "\n"))
		return subcommands.ExitSuccess
	}
	c.set.Policy = measurer.Policy(c.policy)
	reports, err := c.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.plot != "" {
		if err := measurer.Plot(c.plot, reports); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if err := c.print(reports); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run returns the report of the chosen policy and, to compare, those of the others.
func (c *measureCommand) run() ([]measurer.Report, error) {
	first, err := measurer.Run(c.set)
	if err != nil || !c.compare {
		return []measurer.Report{first}, err
	}
	reports := []measurer.Report{first}
	for _, p := range measurer.PoliciesFor(c.set.Scenario) {
		if p == c.set.Policy {
			continue
		}
		set := c.set
		set.Policy = p
		r, err := measurer.Run(set)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (c *measureCommand) print(reports []measurer.Report) error {
	if c.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if !c.compare {
			return encoder.Encode(reports[0])
		}
		return encoder.Encode(reports)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if strings.HasPrefix(c.set.Scenario, "slots-") {
		printSlots(w, reports)
		return w.Flush()
	}
	if strings.HasPrefix(c.set.Scenario, "in-force-") {
		r := reports[0]
		fmt.Fprintf(w, "control B/s an instance\t%.0f\nmessages/s an instance\t%.1f\nin force ms\t%.0f\nbytes an instance for the change\t%.0f\ndeath known everywhere ms\t%.0f\n",
			r.ControlBytesPerSecond, r.MessagesPerSecond, r.ConfigPropagationMS, r.BytesPerConfigChange, r.DeathDetectionMS)
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

func printSlots(w *tabwriter.Writer, reports []measurer.Report) {
	fmt.Fprintln(w, "policy\twait p99 ms\tideal ms\tratio\trefused\twork max/mean\tgoodput\textra work")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%d\t%.3f\t%.3f\t%.3f\n", r.Policy, r.WaitP99MS, r.IdealWaitP99MS,
			r.WaitP99MS/max(r.IdealWaitP99MS, 0.001), r.RefusedRequests, r.RequestsMaxOverMean, r.GoodputShare, r.ExtraRequestShare)
	}
}
