package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"almondpick/explainer"
)

type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "show the log lines about one caller's flows" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return "explain ADDRESS:PORT LOG...\n  Prints the log lines about the flows of a caller in order of time, with related lines.\n" +
		"  Example: almondpick explain 100.64.0.7:40001 /var/log/almondpick/*.log\n"
}

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	const minArgs = 2 // a caller and a log
	if f.NArg() < minArgs {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	lines, err := readLogs(f.Args()[1:])
	if err == nil {
		lines, err = explainer.FlowTimeline(lines, f.Arg(0))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, l := range lines {
		fmt.Println(l.Source, l.Text)
	}
	return subcommands.ExitSuccess
}

// readLogs returns the lines of all log files.
func readLogs(paths []string) ([]explainer.Line, error) {
	var lines []explainer.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		fileLines, err := explainer.ReadLog(path, file)
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}
