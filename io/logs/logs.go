// Package logs builds the logger: one line of key=value pairs for each event.
//
// # Usage
//
//	log, err := logs.New(logs.Config{Level: "info", Out: os.Stderr})
//	log.Info("version_applied", zap.Uint64("number", 7))
package logs

import (
	"io"

	"github.com/go-faster/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tanagerchute/core/event"
)

// Config configures a logger.
type Config struct {
	Level string // debug, info, warn or error
	Out   io.Writer
}

// New returns a logger.
func New(cfg Config) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(cfg.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.MessageKey = "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(enc), zapcore.Lock(zapcore.AddSync(cfg.Out)), level)
	return zap.New(core), nil
}

// quiet are the events that are logged for debugging only, since there can be
// many a second.
var quiet = map[event.Kind]bool{
	event.RequestRefused:  true,
	event.RequestMoved:    true,
	event.RequestFenced:   true,
	event.RequestReplayed: true,
	event.CentreChanged:   true,
	event.PeerChanged:     true,
}

// Event returns a function that logs journal events.
func Event(log *zap.Logger) func(event.Event) {
	return func(e event.Event) {
		level := zapcore.InfoLevel
		if quiet[e.Kind] {
			level = zapcore.DebugLevel
		}
		if entry := log.Check(level, string(e.Kind)); entry != nil {
			fields := []zap.Field{zap.String("node", e.Node), zap.String("subject", e.Subject), zap.String("cause", e.Cause)}
			if e.Trace != "" {
				fields = append(fields, zap.String("trace_id", e.Trace))
			}
			entry.Write(fields...)
		}
	}
}
