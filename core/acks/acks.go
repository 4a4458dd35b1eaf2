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
