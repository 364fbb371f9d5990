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
	folder string
	role   string
	hosts  string
	life   time.Duration
}

// Name implements subcommands.Command.
func (*keysCommand) Name() string { return "keys" }

// Synopsis implements subcommands.Command.
func (*keysCommand) Synopsis() string { return "make the keys of a deployment" }

// Usage implements subcommands.Command.
func (*keysCommand) Usage() string {
	return "keys -folder F init\nkeys -folder F [-role R] [-hosts H] issue NAME\nkeys -folder F [-role R] [-hosts H] rotate NAME\n" +
		"  rotate replaces a certificate; a running process takes the new one up by itself.\n"
}

// SetFlags implements subcommands.Command.
func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", "keys", "folder of the keys")
	f.StringVar(&c.role, "role", "instance", "instance, operator or target")
	f.StringVar(&c.hosts, "hosts", "127.0.0.1", "IPs and names that the certificate is for, separated by commas")
	f.DurationVar(&c.life, "life", keyer.DefaultCertValidity, "time that the certificate is valid")
}

// Execute implements subcommands.Command.
func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	now := systemClock{}.Now()
	switch {
	case f.NArg() == 1 && f.Arg(0) == "init":
		if err := keyer.CreateCA(c.folder, now); err != nil {
			return fail(exitFailed, err)
		}
		fmt.Println("made", filepath.Join(c.folder, keyer.CACertFile), "and", filepath.Join(c.folder, keyer.GroupKeyFile))
	case f.NArg() == 2 && (f.Arg(0) == "issue" || f.Arg(0) == "rotate"):
		name := f.Arg(1)
		if err := keyer.IssueCertificate(c.folder, name, keyer.Role(c.role), configurer.SplitList(c.hosts), now, c.life); err != nil {
			return fail(exitFailed, err)
		}
		fmt.Println("made", filepath.Join(c.folder, name+".crt"), "and", filepath.Join(c.folder, name+".key"))
	default:
		return usage("keys init | issue NAME | rotate NAME")
	}
	return exitDone
}
