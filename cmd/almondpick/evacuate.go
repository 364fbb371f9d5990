package main

import (
	"context"
	"fmt"

	"github.com/google/subcommands"

	"almondpick/messenger"
	"almondpick/planner"
)

func newEvacuateCommand() *operatorCommand {
	return newEvacuationCommand("evacuate", "give the targets of a data centre no new work", true)
}

func newRestoreCommand() *operatorCommand {
	return newEvacuationCommand("restore", "withdraw the evacuation of a data centre", false)
}

// newEvacuationCommand returns the command that evacuates a data centre, or withdraws that. An error
// of the call leaves the outcome unknown, and the operator repeats the command.
func newEvacuationCommand(name, synopsis string, evacuated bool) *operatorCommand {
	return &operatorCommand{
		name: name, synopsis: synopsis, usage: name + " [flags] DATA-CENTRE",
		run: func(ctx context.Context, c *operatorCLI, remote messenger.OperatorClient, args []string) subcommands.ExitStatus {
			if len(args) != 1 {
				return printUsage(name + " DATA-CENTRE")
			}
			ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
			defer cancel()
			result, err := remote.Evacuate(ctx, &messenger.EvacuationRequest{DataCentre: args[0], Evacuated: evacuated})
			if err != nil {
				return printError(exitOutcomeUnknown, err)
			}
			return c.printEvacuation(result, args[0], evacuated)
		},
	}
}

// printEvacuation prints the result of an order and returns the exit code for it.
func (c *operatorCLI) printEvacuation(result *planner.Result, dataCentre string, evacuated bool) subcommands.ExitStatus {
	if result.Refusal != nil {
		return c.printResult(result)
	}
	text := "data centre %s is evacuated\n"
	if !evacuated {
		text = "data centre %s is no longer evacuated\n"
	}
	return c.printOutput(result, func() { fmt.Printf(text, dataCentre) })
}
