package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"almondpick/checker"
	"almondpick/planner"
	"almondpick/platform"
)

// Exit codes of the check.
const (
	exitNoFindings = subcommands.ExitStatus(0)
	exitWarnings   = subcommands.ExitStatus(1) // warnings only
	exitErrors     = subcommands.ExitStatus(2)
	exitNotChecked = subcommands.ExitStatus(3)
)

const checkUsage = "check FILE [-against FILE|ADDRESS] [-json] [-timeout D]"

// maxDocumentSize bounds what is read from an address. Operator doors accept no larger document.
const maxDocumentSize = 16 << 20 // bytes

// checkCommand checks a configuration document before it is sent.
type checkCommand struct {
	against    string
	jsonOutput bool
	timeout    time.Duration
}

// fetchError reports that an instance did not return its configuration.
type fetchError struct {
	address string
	status  string
}

// Error implements error.
func (e *fetchError) Error() string {
	return "cannot read the configuration in force at " + e.address + ": " + e.status
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a configuration before it is sent" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return checkUsage + "\n  Prints what the operator door would refuse (errors), what has no effect or contradicts itself (warnings),\n" +
		"  and with -against what differs from another document or from the configuration in force.\n" +
		"  Exit codes: 0 no findings, 1 warnings only, 2 errors, 3 the check could not run.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "file, or address (host:port) of the HTTP door for operators of any storage instance")
	f.BoolVar(&c.jsonOutput, "json", false, "print the findings and the differences as JSON")
	f.DurationVar(&c.timeout, "timeout", 10*time.Second, "timeout of the call to the address")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := f.Arg(0)
	if f.NArg() > 1 { // flags behind the file
		if err := f.Parse(f.Args()[1:]); err != nil {
			return exitNotChecked
		}
		if f.NArg() > 0 {
			path = ""
		}
	}
	if path == "" {
		return printError(exitNotChecked, &usageError{text: checkUsage})
	}
	report, err := c.check(ctx, path)
	if err == nil {
		err = c.print(path, &report)
	}
	if err != nil {
		return printError(exitNotChecked, err)
	}
	switch report.HighestSeverity() {
	case checker.Error:
		return exitErrors
	case checker.Warning:
		return exitWarnings
	default:
		return exitNoFindings
	}
}

// usageError reports wrong arguments.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return "usage: almondpick " + e.text }

// check checks the document in a file.
func (c *checkCommand) check(ctx context.Context, path string) (checker.Report, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return checker.Report{}, err
	}
	var opts []checker.Option
	if c.against != "" {
		inForce, err := c.readInForce(ctx)
		if err != nil {
			return checker.Report{}, err
		}
		opts = append(opts, checker.WithInForce(inForce))
	}
	return checker.Check(platform.CheckDocument(document), opts...), nil
}

// readInForce returns the configuration to compare with, from the file that -against names or, if
// there is no such file, from that address. The version is 0 if nothing is in force there.
func (c *checkCommand) readInForce(ctx context.Context) (planner.Ruleset, error) {
	document, err := os.ReadFile(c.against)
	if errors.Is(err, fs.ErrNotExist) {
		if _, _, notAddress := net.SplitHostPort(c.against); notAddress == nil {
			document, err = c.fetch(ctx)
		}
	}
	if err != nil || document == nil {
		return planner.Ruleset{}, err
	}
	return platform.DecodeDocument(document)
}

// fetch returns the document in force at an address, or nil if there is none.
func (c *checkCommand) fetch(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.against+platform.ConfigurationPath, http.NoBody)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{} // without a proxy: instances are reached directly
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return io.ReadAll(io.LimitReader(response.Body, maxDocumentSize))
	case http.StatusNotFound:
		return nil, nil
	default:
		return nil, &fetchError{address: c.against, status: response.Status}
	}
}

// print prints a report.
func (c *checkCommand) print(path string, r *checker.Report) error {
	if c.jsonOutput {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		fmt.Println(path + ":" + f.String())
	}
	switch {
	case r.Diff != nil:
		fmt.Print(r.Diff)
	case c.against != "":
		fmt.Println("no differences are shown, because fields cannot be decoded")
	}
	return nil
}
