// Package health judges a backend server by the work it does.
//
// Health endpoints lag and mislead, so the outcomes of real calls decide. A
// server whose last calls failed is Failing: it gets one trial call at a time,
// at growing intervals, and is Well again when enough trials succeed.
//
// # Usage
//
//	h := health.New(health.DefaultConfig())
//	if !h.Allow(now) { … refuse, the call has not run … }
//	changed := h.Report(now, ok)
package health

import "time"

// Config configures a Window.
type Config struct {
	WindowSize          int           // outcomes that are looked at
	MinCalls            int           // outcomes needed for a judgement
	FailureThreshold    float64       // share of failures from which the server is failing
	ConsecutiveFailures int           // failures in a row that suffice by themselves
	RecoveryTrials      int           // trials in a row that have to succeed
	MinTrialInterval    time.Duration // first interval between trials
	MaxTrialInterval    time.Duration
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

// Window is the state machine. It is not safe for concurrent use.
type Monitor struct {
	cfg                 Config
	outcomes            []bool
	nextOutcome         int
	consecutiveFailures int // failures in a row
	failing             bool
	trialSuccesses      int
	nextTrial           time.Time
	trialInterval       time.Duration
}

// New returns a window of a server that is taken to be well.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// Failing reports whether the server is judged to be failing.
func (w *Monitor) Failing() bool { return w.failing }

// Allow reports whether a call may go to the server at now. For a failing
// server it grants one trial an interval.
func (w *Monitor) Allow(now time.Time) bool {
	if !w.failing {
		return true
	}
	if now.Before(w.nextTrial) {
		return false
	}
	w.nextTrial = now.Add(w.trialInterval)
	return true
}

// Due reports whether the next trial of a failing server is due.
func (w *Monitor) TrialDue(now time.Time) bool { return w.failing && !now.Before(w.nextTrial) }

// Fail judges the server to be failing at once, as when nothing listens at its
// address. It reports whether the judgement changed.
func (w *Monitor) MarkFailing(now time.Time) bool {
	if w.failing {
		return false
	}
	w.setFailing(now)
	return true
}

func (w *Monitor) setFailing(now time.Time) {
	w.failing = true
	w.trialSuccesses = 0
	w.trialInterval = w.cfg.MinTrialInterval
	w.nextTrial = now.Add(w.trialInterval)
}

// Report takes the outcome of a call and reports whether the judgement
// changed.
func (w *Monitor) Report(now time.Time, ok bool) bool {
	if w.failing {
		return w.recordTrial(now, ok)
	}
	w.recordOutcome(ok)
	if ok {
		w.consecutiveFailures = 0
		return false
	}
	w.consecutiveFailures++
	if w.consecutiveFailures < w.cfg.ConsecutiveFailures && !w.failureRateExceeded() {
		return false
	}
	w.setFailing(now)
	return true
}

func (w *Monitor) recordTrial(now time.Time, ok bool) bool {
	if !ok {
		w.trialSuccesses = 0
		w.trialInterval = min(2*w.trialInterval, w.cfg.MaxTrialInterval)
		w.nextTrial = now.Add(w.trialInterval)
		return false
	}
	w.trialSuccesses++
	w.nextTrial = now
	if w.trialSuccesses < w.cfg.RecoveryTrials {
		return false
	}
	*w = Monitor{cfg: w.cfg}
	return true
}

func (w *Monitor) recordOutcome(ok bool) {
	if len(w.outcomes) < w.cfg.WindowSize {
		w.outcomes = append(w.outcomes, ok)
		return
	}
	w.outcomes[w.nextOutcome] = ok
	w.nextOutcome = (w.nextOutcome + 1) % w.cfg.WindowSize
}

func (w *Monitor) failureRateExceeded() bool {
	if len(w.outcomes) < w.cfg.MinCalls {
		return false
	}
	bad := 0
	for _, ok := range w.outcomes {
		if !ok {
			bad++
		}
	}
	return float64(bad) >= w.cfg.FailureThreshold*float64(len(w.outcomes))
}
