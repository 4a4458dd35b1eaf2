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

	"tanagerchute/io/fakekv"
	"tanagerchute/io/logs"
)

// platformCmd runs a stand-in for the platform's key-value service.
type platformCmd struct {
	listen string
	cfg    fakekv.Config
}

// Name implements subcommands.Command.
func (*platformCmd) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCmd) Synopsis() string { return "run a stand-in for the platform's key-value service" }

// Usage implements subcommands.Command.
func (*platformCmd) Usage() string {
	return `platform -listen ADDR
  Runs a key-value service that keeps all data in memory. Faults can be injected
  while it runs:
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
	f.Float64Var(&p.cfg.ReadRate, "reads", 2000, "maximum reads a second, 0 for no limit")
	f.Float64Var(&p.cfg.WriteRate, "writes", 300, "maximum writes a second, 0 for no limit")
}

// Execute implements subcommands.Command.
func (p *platformCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 0 {
		return exitUsage("platform takes no arguments")
	}
	log, err := logs.New(logs.Config{Level: "info", Out: os.Stderr})
	if err != nil {
		return exitFailure(err)
	}
	s := fakekv.New(p.cfg)
	go s.Run(ctx)
	if err := serveUntilDone(ctx, log, p.listen, s, nil); err != nil {
		return exitFailure(err)
	}
	return subcommands.ExitSuccess
}

// shutdownTimeout bounds the graceful shutdown of a stand-in, and the reading of
// the headers of each request.
const shutdownTimeout = 10 * time.Second

// serveUntilDone serves h at addr until ctx ends. It then calls beforeShutdown,
// if that is not nil, and waits for the requests in flight.
func serveUntilDone(ctx context.Context, log *zap.Logger, addr string, h http.Handler, beforeShutdown func()) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	log.Info("listening", zap.String("address", l.Addr().String()))
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	if beforeShutdown != nil {
		beforeShutdown()
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(shutdownCtx) != nil {
		return srv.Close()
	}
	return nil
}
