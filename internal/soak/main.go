package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	cfg := Config{}
	flag.Uint64Var(&cfg.Seed, "seed", 1, "`number` from which the faults follow")
	flag.DurationVar(&cfg.Duration, "duration", 20*time.Second, "`time` in which faults begin")
	flag.IntVar(&cfg.Nodes, "nodes", 9, "`number` of nodes, a multiple of 3")
	kinds := flag.String("kinds", "", "`kinds` of faults, separated by commas (default: all)")
	flag.StringVar(&cfg.Binary, "binary", "", "`path` of the program (default: built from this tree)")
	flag.StringVar(&cfg.Dir, "dir", "", "`directory` for logs and ledgers (default: a temporary one)")
	flag.Parse()
	var err error
	if cfg.Kinds, err = ParseKinds(*kinds); err != nil || flag.NArg() > 0 || cfg.Nodes < 3 || cfg.Nodes%3 != 0 {
		fmt.Fprintln(os.Stderr, "soak:", err)
		flag.Usage()
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	report, err := Soak(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	report.Write(os.Stdout)
	if report.Failed() {
		os.Exit(1)
	}
}
