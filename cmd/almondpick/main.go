// Command almondpick is a layer-4 load balancer with an HTTP reverse proxy. Its subcommands
// run instances, operate a deployment and test one.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&versionCommand{}, "")
	subcommands.Register(&serveCommand{}, "instances")
	subcommands.Register(&nodeCommand{}, "instances")
	subcommands.Register(&keysCommand{}, "instances")
	for _, c := range newOperatorCommands() {
		subcommands.Register(c, "operating")
	}
	subcommands.Register(&checkCommand{}, "operating")
	subcommands.Register(&explainCommand{}, "operating")
	subcommands.Register(&demoCommand{}, "trying it")
	subcommands.Register(&loadCommand{}, "trying it")
	subcommands.Register(&measureCommand{}, "trying it")
	subcommands.Register(&soakCommand{}, "trying it")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
