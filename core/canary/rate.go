package canary

import (
	"time"
)

// rateMeter measures the rate of events in successive spans, each of rateSpan or a little
// more.
type rateMeter struct {
	since        time.Time // start of the present span
	count        int       // events of the present span
	last         float64   // events a second in the span before
	lastComplete bool      // there is a span before
	now          time.Time // of the last events
}

// begin starts the measurement at now, unless events have been counted.
func (m *rateMeter) begin(now time.Time) {
	if m.count == 0 && !m.lastComplete {
		m.since = now
	}
}

// add counts n events.
func (m *rateMeter) add(now time.Time, n int) {
	if span := now.Sub(m.since); span >= rateSpan {
		m.last, m.lastComplete = float64(m.count)/span.Seconds(), true
		m.since, m.count = now, 0
	}
	m.count += n
	m.now = now
}

// perSecond returns the rate in the last complete span, or in the present one if there is
// none.
func (m *rateMeter) perSecond() float64 {
	if m.lastComplete {
		return m.last
	}
	span := m.now.Sub(m.since)
	if span <= 0 {
		return 0
	}
	return float64(m.count) / span.Seconds()
}
