// Package health detects a failing backend server from the outcomes of its
// calls.
//
// Health endpoints lag and can be wrong, so only the outcomes of real calls
// count. A server is failing if too large a fraction of its recent calls failed,
// or several in a row. A failing server gets one trial call per interval, and
// the interval doubles with each failed trial. It is healthy again after several successful
// trials in a row.
//
// # Usage
//
//	m := health.New(health.DefaultConfig())
//	if !m.Allow(now) { … refuse, the call has not run … }
//	changed := m.Report(now, ok)
package health

import "time"

// Config configures a Monitor.
type Config struct {
	WindowSize          int           // number of recent outcomes that are kept
	MinCalls            int           // outcomes needed before FailureThreshold applies
	FailureThreshold    float64       // fraction of failures at which the server is failing
	ConsecutiveFailures int           // failures in a row at which the server is failing
	RecoveryTrials      int           // successful trials in a row that end the failing state
	MinTrialInterval    time.Duration // first interval between trials
	MaxTrialInterval    time.Duration // bound on the doubled interval
}

// DefaultConfig returns the settings that nodes use.
func DefaultConfig() Config {
	return Config{
		WindowSize:          20,
		MinCalls:            10,
		FailureThreshold:    0.5,
		ConsecutiveFailures: 5,
		RecoveryTrials:      2,
		MinTrialInterval:    250 * time.Millisecond,
		MaxTrialInterval:    4 * time.Second,
	}
}

// Monitor tracks whether a backend server is failing. It is not safe for
// concurrent use.
type Monitor struct {
	cfg                 Config
	outcomes            []bool
	nextOutcome         int // oldest entry of outcomes once they are full
	consecutiveFailures int
	failing             bool
	trialSuccesses      int // in a row
	nextTrial           time.Time
	trialInterval       time.Duration
}

// New returns the monitor of a healthy server.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// Failing reports whether the server is failing.
func (m *Monitor) Failing() bool { return m.failing }

// Allow reports whether a call may be sent to the server at now. For a failing
// server it allows one trial call per interval.
func (m *Monitor) Allow(now time.Time) bool {
	if !m.failing {
		return true
	}
	if now.Before(m.nextTrial) {
		return false
	}
	m.nextTrial = now.Add(m.trialInterval)
	return true
}

// TrialDue reports whether the server is failing and its next trial is due.
func (m *Monitor) TrialDue(now time.Time) bool { return m.failing && !now.Before(m.nextTrial) }

// MarkFailing makes the server failing at once, for example because nothing
// listens at its address. It reports whether the server was healthy before.
func (m *Monitor) MarkFailing(now time.Time) bool {
	if m.failing {
		return false
	}
	m.setFailing(now)
	return true
}

func (m *Monitor) setFailing(now time.Time) {
	m.failing = true
	m.trialSuccesses = 0
	m.trialInterval = m.cfg.MinTrialInterval
	m.nextTrial = now.Add(m.trialInterval)
}

// Report records the outcome of a call. It reports whether the server became
// failing or healthy.
func (m *Monitor) Report(now time.Time, ok bool) bool {
	if m.failing {
		return m.recordTrial(now, ok)
	}
	m.recordOutcome(ok)
	if ok {
		m.consecutiveFailures = 0
		return false
	}
	m.consecutiveFailures++
	if m.consecutiveFailures < m.cfg.ConsecutiveFailures && !m.failureRateExceeded() {
		return false
	}
	m.setFailing(now)
	return true
}

func (m *Monitor) recordTrial(now time.Time, ok bool) bool {
	if !ok {
		m.trialSuccesses = 0
		m.trialInterval = min(2*m.trialInterval, m.cfg.MaxTrialInterval)
		m.nextTrial = now.Add(m.trialInterval)
		return false
	}
	m.trialSuccesses++
	m.nextTrial = now
	if m.trialSuccesses < m.cfg.RecoveryTrials {
		return false
	}
	*m = Monitor{cfg: m.cfg}
	return true
}

func (m *Monitor) recordOutcome(ok bool) {
	if len(m.outcomes) < m.cfg.WindowSize {
		m.outcomes = append(m.outcomes, ok)
		return
	}
	m.outcomes[m.nextOutcome] = ok
	m.nextOutcome = (m.nextOutcome + 1) % m.cfg.WindowSize
}

func (m *Monitor) failureRateExceeded() bool {
	if len(m.outcomes) < m.cfg.MinCalls {
		return false
	}
	failures := 0
	for _, ok := range m.outcomes {
		if !ok {
			failures++
		}
	}
	return float64(failures) >= m.cfg.FailureThreshold*float64(len(m.outcomes))
}
