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
	Size     int           // outcomes that are looked at
	MinCalls int           // outcomes needed for a judgement
	FailAt   float64       // share of failures from which the server is failing
	InARow   int           // failures in a row that suffice by themselves
	Recover  int           // trials in a row that have to succeed
	TrialMin time.Duration // first interval between trials
	TrialMax time.Duration
}

// DefaultConfig returns the settings that nodes use.
func DefaultConfig() Config {
	return Config{
		Size:     20,
		MinCalls: 10,
		FailAt:   0.5,
		InARow:   5,
		Recover:  2,
		TrialMin: 250 * time.Millisecond,
		TrialMax: 4 * time.Second,
	}
}

// Window is the state machine. It is not safe for concurrent use.
type Window struct {
	cfg       Config
	outcomes  []bool
	next      int
	row       int // failures in a row
	failing   bool
	recovered int
	nextTrial time.Time
	interval  time.Duration
}

// New returns a window of a server that is taken to be well.
func New(cfg Config) *Window { return &Window{cfg: cfg} }

// Failing reports whether the server is judged to be failing.
func (w *Window) Failing() bool { return w.failing }

// Allow reports whether a call may go to the server at now. For a failing
// server it grants one trial an interval.
func (w *Window) Allow(now time.Time) bool {
	if !w.failing {
		return true
	}
	if now.Before(w.nextTrial) {
		return false
	}
	w.nextTrial = now.Add(w.interval)
	return true
}

// Due reports whether the next trial of a failing server is due.
func (w *Window) Due(now time.Time) bool { return w.failing && !now.Before(w.nextTrial) }

// Fail judges the server to be failing at once, as when nothing listens at its
// address. It reports whether the judgement changed.
func (w *Window) Fail(now time.Time) bool {
	if w.failing {
		return false
	}
	w.startFailing(now)
	return true
}

func (w *Window) startFailing(now time.Time) {
	w.failing = true
	w.recovered = 0
	w.interval = w.cfg.TrialMin
	w.nextTrial = now.Add(w.interval)
}

// Report takes the outcome of a call and reports whether the judgement
// changed.
func (w *Window) Report(now time.Time, ok bool) bool {
	if w.failing {
		return w.trial(now, ok)
	}
	w.push(ok)
	if ok {
		w.row = 0
		return false
	}
	w.row++
	if w.row < w.cfg.InARow && !w.mostFail() {
		return false
	}
	w.startFailing(now)
	return true
}

func (w *Window) trial(now time.Time, ok bool) bool {
	if !ok {
		w.recovered = 0
		w.interval = min(2*w.interval, w.cfg.TrialMax)
		w.nextTrial = now.Add(w.interval)
		return false
	}
	w.recovered++
	w.nextTrial = now
	if w.recovered < w.cfg.Recover {
		return false
	}
	*w = Window{cfg: w.cfg}
	return true
}

func (w *Window) push(ok bool) {
	if len(w.outcomes) < w.cfg.Size {
		w.outcomes = append(w.outcomes, ok)
		return
	}
	w.outcomes[w.next] = ok
	w.next = (w.next + 1) % w.cfg.Size
}

func (w *Window) mostFail() bool {
	if len(w.outcomes) < w.cfg.MinCalls {
		return false
	}
	bad := 0
	for _, ok := range w.outcomes {
		if !ok {
			bad++
		}
	}
	return float64(bad) >= w.cfg.FailAt*float64(len(w.outcomes))
}
