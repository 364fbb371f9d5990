package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"almondpick/soaker"
)

type soakCommand struct {
	seed      uint64
	seeds     int
	duration  time.Duration
	processes int
	folder    string
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string { return "inject random faults into processes of this program" }

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [flags]\n  Starts three instances with a disk and some that take traffic on loopback addresses, and checks invariants.\n"
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the first run")
	f.IntVar(&c.seeds, "seeds", 1, "number of runs, one after the other, each with the next seed")
	f.DurationVar(&c.duration, "for", 20*time.Second, "time for which faults are injected, in each run")
	f.IntVar(&c.processes, "processes", 7, "number of processes; three have a disk, the others take traffic")
	f.StringVar(&c.folder, "folder", "", "folder for settings, data and logs; a temporary one by default")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	const storageInstanceCount = 3
	if c.processes <= storageInstanceCount || c.processes > 300 || c.seeds < 1 {
		fmt.Fprintln(os.Stderr, "-processes must be 4 to 300, -seeds 1 or more")
		return subcommands.ExitUsageError
	}
	program, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	failed := 0
	for seed := c.seed; seed < c.seed+uint64(c.seeds); seed++ {
		passed, err := c.runSeed(program, seed, storageInstanceCount)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		if !passed {
			failed++
		}
	}
	fmt.Printf("%d soaks, %d with a broken promise\n", c.seeds, failed)
	if failed > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runSeed runs a soak test with one seed, prints its results and returns whether it passed.
// The folder of a run that passed is removed.
func (c *soakCommand) runSeed(program string, seed uint64, storageInstanceCount int) (bool, error) {
	folder, err := os.MkdirTemp(c.folder, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	report, err := soaker.Run(soaker.Settings{
		ProgramPath: program, Folder: folder, Seed: seed, FaultDuration: c.duration,
		StorageInstanceCount: storageInstanceCount, ForwardingInstanceCount: c.processes - storageInstanceCount, CallerCount: 6,
	}, newLogger(os.Stderr, "warn", nil))
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d answered, %d refused, %d configurations acknowledged, %d evacuations, %d targets started again, %d odd entries, %d flows in slow start, %d promises broken\n",
		seed, len(report.Faults), report.Requests, report.AnsweredRequests, report.RefusedRequests, report.AcknowledgedConfigurations, report.Evacuations, report.RestartedTargets, report.OddEntries, report.SlowStartFlows, len(report.Violations))
	if len(report.Violations) == 0 {
		return true, os.RemoveAll(folder)
	}
	for _, violation := range report.Violations {
		fmt.Println("  " + violation)
	}
	fmt.Println("  faults:", report.Faults)
	fmt.Println("  logs:", folder)
	return false, nil
}
