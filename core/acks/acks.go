// Package acks estimates how long a node takes to acknowledge calls.
//
// A sender that gets no acknowledgement within Timeout assumes that the node
// is partitioned or frozen, or that the connection has been dropped by a
// middlebox. An acknowledgement that comes later is observed as well. So the
// timeout follows a node that is slow, and calls to it are not taken for lost.
//
// The estimate is that of TCP's retransmission timeout (RFC 6298): a smoothed
// time plus a multiple of its smoothed deviation.
//
// # Usage
//
//	var e acks.Estimator
//	timer := time.AfterFunc(e.Timeout(), …)
//	e.Observe(took) // for each acknowledgement
package acks

import "time"

// Bounds of the timeout.
const (
	MinTimeout = 300 * time.Millisecond
	MaxTimeout = 1500 * time.Millisecond
)

// Parameters of the estimate, as in RFC 6298.
const (
	meanWeight      = 1.0 / 8 // of a new sample in the smoothed time
	deviationWeight = 1.0 / 4 // of a new sample in the smoothed deviation
	deviationFactor = 4       // on the deviation in the timeout
)

// Estimator estimates the time to an acknowledgement of one node. Its zero value
// has no samples. It is not safe for concurrent use.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	sampled   bool
}

// Observe adds the time that an acknowledgement has taken.
func (e *Estimator) Observe(took time.Duration) {
	if !e.sampled {
		e.mean, e.deviation, e.sampled = took, took/2, true
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((took-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(meanWeight * float64(took-e.mean))
}

// Timeout returns the time after which a missing acknowledgement indicates a
// fault.
func (e *Estimator) Timeout() time.Duration {
	return min(max(e.mean+deviationFactor*e.deviation, MinTimeout), MaxTimeout)
}

// lateCheck is how late a check is at most of which nothing follows but that its
// acknowledgement is overdue. The process did not run before a later one.
const lateCheck = 30 * time.Millisecond

// Wait decides whether the acknowledgement of one call is overdue.
//
// A process that did not run itself, for want of a processor or since it was stopped,
// finds all its timers expired before it has read what was received meanwhile. So a
// late check is repeated once after a short time. A Wait is not safe for concurrent use.
type Wait struct {
	dueAt     time.Time
	recheckAt time.Time // zero if there was no late check
}

// NewWait returns a Wait for an acknowledgement that is due at dueAt.
func NewWait(dueAt time.Time) Wait { return Wait{dueAt: dueAt} }

// Check reports whether the acknowledgement is overdue, and if not, when to check
// again.
func (w *Wait) Check(now time.Time) (overdue bool, next time.Time) {
	switch {
	case now.Before(w.dueAt):
		return false, w.dueAt
	case now.Before(w.recheckAt):
		return false, w.recheckAt
	case w.recheckAt.IsZero() && now.Sub(w.dueAt) > lateCheck:
		w.recheckAt = now.Add(recheckDelay)
		return false, w.recheckAt
	}
	return true, time.Time{}
}
