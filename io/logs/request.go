package logs

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Bounds on the lines of requests that succeeded, and of requests that were
// refused or failed. They are separate, so that a burst of successful requests
// can't suppress the lines of failed ones.
const (
	maxSucceededPerSecond = 100
	maxFailedPerSecond    = 400
)

// RequestEnd describes a request that has ended. It is logged by the ingress, the
// node that received the request from the caller.
type RequestEnd struct {
	ID         string
	Trace      string
	Route      string
	Service    string
	Version    uint64 // of the configuration that routed it
	SentTo     string // node of the last attempt
	RepliedBy  string // node of the last reply
	Fate       string // outcome, the name of a call.Fate
	Status     int    // HTTP status of the backend server's answer
	Cause      string // why it was refused or failed
	Attempts   int    // number of times that it was sent to a node
	Arrived    int    // attempts that may have reached a backend server
	Took       time.Duration
	TimeLeft   time.Duration // until its deadline, when it ended
	Timeout    time.Duration // from its arrival to its deadline
	DeadlineBy string        // what set its deadline, a call.DeadlineSource
	Succeeded  bool
}

// RequestLogger logs a line for the end of each request, up to a number of lines
// in a second. It is safe for concurrent use.
type RequestLogger struct {
	log       *zap.Logger
	congested func() bool
	succeeded *rate.Limiter
	failed    *rate.Limiter
	skipped   atomic.Uint64
}

// NewRequestLogger returns a RequestLogger that skips the lines of successful
// requests while congested returns true.
func NewRequestLogger(log *zap.Logger, congested func() bool) *RequestLogger {
	return &RequestLogger{
		log: log, congested: congested,
		succeeded: rate.NewLimiter(maxSucceededPerSecond, maxSucceededPerSecond),
		failed:    rate.NewLimiter(maxFailedPerSecond, maxFailedPerSecond),
	}
}

// Skipped returns the number of lines that were skipped.
func (r *RequestLogger) Skipped() uint64 { return r.skipped.Load() }

// Log logs the end of a request, or skips and counts the line.
func (r *RequestLogger) Log(end RequestEnd) {
	if !r.allow(end.Succeeded) {
		r.skipped.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("request", end.ID), zap.String("route", end.Route), zap.String("service", end.Service),
		zap.Uint64("version", end.Version), zap.String("fate", end.Fate), zap.Int("status", end.Status),
		zap.String("sent_to", end.SentTo), zap.String("replied_by", end.RepliedBy), zap.Int("attempts", end.Attempts), zap.Int("arrived", end.Arrived),
		zap.Duration("took", end.Took), zap.Duration("left", end.TimeLeft),
		zap.Duration("timeout", end.Timeout), zap.String("timeout_of", end.DeadlineBy),
	}
	if end.Cause != "" {
		fields = append(fields, zap.String("cause", end.Cause))
	}
	if end.Trace != "" {
		fields = append(fields, zap.String("trace_id", end.Trace))
	}
	r.log.Info("request_done", fields...)
}

func (r *RequestLogger) allow(succeeded bool) bool {
	if succeeded {
		return !r.congested() && r.succeeded.Allow()
	}
	return r.failed.Allow()
}
