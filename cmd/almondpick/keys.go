package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"almondpick/configurer"
	"almondpick/keyer"
)

type keysCommand struct {
	folder   string
	role     string
	hosts    string
	validity time.Duration
}

// Name implements subcommands.Command.
func (*keysCommand) Name() string { return "keys" }

// Synopsis implements subcommands.Command.
func (*keysCommand) Synopsis() string { return "create the keys and certificates of a deployment" }

// Usage implements subcommands.Command.
func (*keysCommand) Usage() string {
	return "keys -folder F init\nkeys -folder F [-role R] [-hosts H] issue NAME\nkeys -folder F [-role R] [-hosts H] rotate NAME\n" +
		"  rotate replaces a certificate; a running process loads the new one by itself.\n"
}

// SetFlags implements subcommands.Command.
func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", "keys", "folder with the keys")
	f.StringVar(&c.role, "role", "instance", "instance, operator or target")
	f.StringVar(&c.hosts, "hosts", "127.0.0.1", "IP addresses and host names in the certificate, separated by commas")
	f.DurationVar(&c.validity, "life", keyer.DefaultCertValidity, "validity of the certificate")
}

// Execute implements subcommands.Command.
func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	now := systemClock{}.Now()
	switch {
	case f.NArg() == 1 && f.Arg(0) == "init":
		if err := keyer.CreateCA(c.folder, now); err != nil {
			return printError(exitFailed, err)
		}
		fmt.Println("made", filepath.Join(c.folder, keyer.CACertFile), "and", filepath.Join(c.folder, keyer.GroupKeyFile))
	case f.NArg() == 2 && (f.Arg(0) == "issue" || f.Arg(0) == "rotate"):
		name := f.Arg(1)
		if err := keyer.IssueCertificate(c.folder, name, keyer.Role(c.role), configurer.SplitList(c.hosts), now, c.validity); err != nil {
			return printError(exitFailed, err)
		}
		fmt.Println("made", filepath.Join(c.folder, name+".crt"), "and", filepath.Join(c.folder, name+".key"))
	default:
		return printUsage("keys init | issue NAME | rotate NAME")
	}
	return exitOK
}
