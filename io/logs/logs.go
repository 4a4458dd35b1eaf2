// Package logs provides the logger of a process. It writes one line of key=value
// pairs (logfmt) for each event and for the end of each request.
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

// Config configures the logger.
type Config struct {
	Level string // debug, info, warn or error
	Out   io.Writer
}

// New returns a logger, or an error if the level is unknown.
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

// limit bounds the lines of kinds of events of which many can occur in a second.
type limit int

const (
	// loadLimit is that of events of which each call under load may cause one.
	loadLimit limit = iota + 1
	// lossLimit is that of events about calls that are lost or in doubt. Those of load, of
	// which there are many at the same time, must not displace them.
	lossLimit
)

// maxPerSecond is the number of lines a second of all kinds under a limit together.
var maxPerSecond = map[limit]int{loadLimit: 200, lossLimit: 50}

// limits are the limits of the kinds that have one.
var limits = map[event.Kind]limit{
	event.RequestRefused:      loadLimit,
	event.RequestRejected:     loadLimit,
	event.RequestMoved:        loadLimit,
	event.RequestSpilled:      loadLimit,
	event.RequestNotMoved:     loadLimit,
	event.RequestFenced:       loadLimit,
	event.RequestReplayed:     loadLimit,
	event.RequestOutlastsStop: loadLimit,
	event.HeartbeatDoubted:    loadLimit,
	event.MemoryWaited:        loadLimit,
	event.MemoryRefused:       loadLimit,
	event.HeartbeatStale:      loadLimit,
	event.HeartbeatForeign:    loadLimit,
	event.HeartbeatMalformed:  loadLimit,
	event.DataCentreChanged:   loadLimit,
	event.PeerChanged:         loadLimit,
	event.CallerEnded:         loadLimit,
	event.RequestUnknown:      lossLimit,
	event.AnswerDiscarded:     lossLimit,
	event.AnswerCut:           lossLimit,
	event.ConnectionReset:     lossLimit,
	event.StopCutsCall:        lossLimit,
	event.RequestDropped:      lossLimit,
	event.HandlerFailed:       lossLimit,
}

// NewEventLogger returns a function that logs journal events. It skips events while the rate
// of those under the same limit is above it. The next line that it logs has the number of
// skipped lines as lines_skipped.
func NewEventLogger(log *zap.Logger) func(event.Event) {
	limiters := map[limit]*rate.Limiter{}
	for l, n := range maxPerSecond {
		limiters[l] = rate.NewLimiter(rate.Limit(n), n)
	}
	var skipped atomic.Uint64
	return func(e event.Event) {
		if l, limited := limits[e.Kind]; limited && !limiters[l].Allow() {
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
