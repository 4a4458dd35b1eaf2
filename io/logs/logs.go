// Package logs builds the logger: one line of key=value pairs for each event.
//
// # Usage
//
//	log, err := logs.New(logs.Config{Level: "info", Out: os.Stdout})
//	log.Info("version_applied", zap.Uint64("number", 7))
package logs

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

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

// frequent are the events of which there can be many a second.
var frequentKinds = map[event.Kind]bool{
	event.RequestRefused:    true,
	event.RequestRejected:   true,
	event.RequestMoved:      true,
	event.RequestFenced:     true,
	event.RequestReplayed:   true,
	event.RequestUnknown:    true,
	event.HeartbeatStale:    true,
	event.DataCentreChanged: true,
	event.PeerChanged:       true,
}

// frequentPerSecond bounds the lines of frequent events.
const maxFrequentPerSecond = 200

// Event returns a function that logs journal events. Of frequent ones beyond
// the bound it logs only how many there were.
func NewEventLogger(log *zap.Logger) func(event.Event) {
	limiter := rate.NewLimiter(maxFrequentPerSecond, maxFrequentPerSecond)
	var skipped atomic.Uint64
	return func(e event.Event) {
		if frequentKinds[e.Kind] && !limiter.Allow() {
			skipped.Add(1)
			return
		}
		fields := []zap.Field{zap.String("subject", e.Subject), zap.String("cause", e.Cause)}
		if e.Trace != "" {
			fields = append(fields, zap.String("trace_id", e.Trace))
		}
		if n := skipped.Swap(0); n > 0 {
			fields = append(fields, zap.Uint64("lines_skipped", n))
		}
		log.Info(string(e.Kind), fields...)
	}
}
