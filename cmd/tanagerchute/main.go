// Command tanagerchute contains the node process that runs beside each backend
// server, the commands for operators, and stand-ins and load generators for
// trials.
//
// # Usage
//
//	tanagerchute help
//	tanagerchute demo
//	tanagerchute node -settings node.jsonc
//	tanagerchute apply -store http://127.0.0.1:2379 mesh.jsonc
//
// The exit status is 0 for success, 1 for a refused or failed operation, and 2
// for wrong usage.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Groups of commands in the help text.
const (
	groupOperators = "operators"
	groupProcesses = "processes"
	groupTrials    = "trials"
)

// groupOf maps the name of each command to its group in the help text.
var groupOf = map[string]string{
	"node": groupProcesses, "demo": groupTrials, "platform": groupTrials, "upstream": groupTrials, "load": groupTrials, "measure": groupTrials,
	"validate": groupOperators, "apply": groupOperators, "get": groupOperators, "diff": groupOperators,
	"history": groupOperators, "status": groupOperators, "explain": groupOperators, "drain": groupOperators, "rollout": groupOperators,
}

// commands returns all commands except those for help.
func commands() []subcommands.Command {
	return []subcommands.Command{
		&validateCmd{}, &applyCmd{}, &getCmd{}, &diffCmd{}, &historyCmd{}, &statusCmd{}, &explainCmd{}, &drainCmd{}, &rolloutCmd{},
		&nodeCmd{}, &demoCmd{}, &platformCmd{}, &upstreamCmd{}, &loadCmd{}, &measureCmd{},
	}
}

func main() { os.Exit(run()) }

// run executes the command that the arguments name and returns its exit status.
func run() int {
	flags := flag.NewFlagSet("tanagerchute", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "tanagerchute")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, cmd := range commands() {
		c.Register(cmd, groupOf[cmd.Name()])
	}
	if err := flags.Parse(os.Args[1:]); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(c.Execute(ctx))
}
