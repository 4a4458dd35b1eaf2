// Command tanagerchute is the whole system: the node that runs beside each
// backend server, the tools of its operators, and stand-ins for trials.
//
// # Usage
//
//	tanagerchute help
//	tanagerchute demo
//	tanagerchute node -settings node.jsonc
//	tanagerchute apply -store http://127.0.0.1:2379 mesh.jsonc
//
// Exit status: 0 done, 1 refused or failed, 2 wrong usage.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

const (
	groupOperate = "for operators"
	groupRun     = "processes"
	groupTry     = "for trials"
)

// groupOf tells the groups of the help text apart.
var groupOf = map[string]string{
	"node": groupRun, "demo": groupTry, "platform": groupTry, "upstream": groupTry, "load": groupTry, "measure": groupTry,
	"validate": groupOperate, "apply": groupOperate, "get": groupOperate, "diff": groupOperate,
	"history": groupOperate, "status": groupOperate, "explain": groupOperate, "drain": groupOperate,
}

// commands returns all commands of the system.
func commands() []subcommands.Command {
	return []subcommands.Command{
		&validateCmd{}, &applyCmd{}, &getCmd{}, &diffCmd{}, &historyCmd{}, &statusCmd{}, &explainCmd{}, &drainCmd{},
		&nodeCmd{}, &demoCmd{}, &platformCmd{}, &upstreamCmd{}, &loadCmd{}, &measureCmd{},
	}
}

func main() { os.Exit(run()) }

// run registers the commands and runs the one that the arguments name.
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
