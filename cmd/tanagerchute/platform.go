package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"tanagerchute/io/logs"
	"tanagerchute/io/plat"
)

// platformCmd runs the stand-in of the platform.
type platformCmd struct {
	listen string
	cfg    plat.Config
}

// Name implements subcommands.Command.
func (*platformCmd) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCmd) Synopsis() string { return "run the stand-in of the platform's key-value service" }

// Usage implements subcommands.Command.
func (*platformCmd) Usage() string {
	return `platform -listen ADDR
  Runs a stand-in that keeps everything in memory. Faults can be switched while
  it runs:
    curl -X PUT -d '{"down":true}' http://ADDR/faults
    curl -X PUT -d '{"slow":"300ms","lose_answers":2}' http://ADDR/faults
    curl -X POST http://ADDR/faults/lapse
    curl -X POST 'http://ADDR/faults/rollback?changes=1&prefix=/tanagerchute/nordurljos/head'

  Example:
    tanagerchute platform -listen 127.0.0.1:2379

`
}

// SetFlags implements subcommands.Command.
func (p *platformCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.listen, "listen", "127.0.0.1:2379", "`address` to listen at")
	f.Float64Var(&p.cfg.ReadRate, "reads", 2000, "reads a second, 0 for no limit")
	f.Float64Var(&p.cfg.WriteRate, "writes", 300, "writes a second, 0 for no limit")
}

// Execute implements subcommands.Command.
func (p *platformCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return misused("platform wants no arguments")
	}
	log, err := logs.New(logs.Config{Level: "info", Out: os.Stderr})
	if err != nil {
		return fail(err)
	}
	s := plat.New(p.cfg)
	go s.Run(ctx)
	if err := serveUntil(ctx, log, p.listen, s, nil); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// shutdownTimeout bounds the end of a stand-in.
const shutdownTimeout = 10 * time.Second

// serveUntil serves h at addr until ctx ends, calls leaving, and waits for the
// requests in flight.
func serveUntil(ctx context.Context, log *zap.Logger, addr string, h http.Handler, leaving func()) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	log.Info("listening", zap.String("address", l.Addr().String()))
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	if leaving != nil {
		leaving()
	}
	closing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(closing) != nil {
		return srv.Close()
	}
	return nil
}
