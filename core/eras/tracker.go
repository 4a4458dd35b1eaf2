package eras

import (
	"fmt"
	"time"
)

const (
	// maxStep is the largest step of the era that is believed at once. A process that
	// was cut off from the store misses a few eras.
	maxStep = 8
	// resetAfter is the time without an answer of the current era after which a lower
	// era is believed. A read that may be out of date is not older than that.
	resetAfter = 5 * time.Second
)

// Answer is what one answer of the store says about the era.
type Answer struct {
	Values     []string  // values of the header with the era, empty if it is missing
	SentAt     time.Time // when the call was sent
	ReceivedAt time.Time
}

// Kind is the outcome of observing an answer.
type Kind int

// Outcomes of observing an answer.
const (
	Same      Kind = iota // of the current era
	First                 // the first era that is known
	Advanced              // a later era has begun
	Reset                 // the store counts its eras anew, from a lower one
	Outdated              // of an earlier era, the answer must be ignored
	Doubtful              // far above the current era and not confirmed yet
	Missing               // no era, although the store has named one before
	Malformed             // not an era
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"same", "first", "advanced", "reset", "outdated", "doubtful", "missing", "malformed"}[k]
}

// Verdict is the outcome of observing an answer, and its cause.
type Verdict struct {
	Kind   Kind
	Before Era // the current era before the answer
	Era    Era // era of the answer, unknown if it is doubtful, missing or malformed
	Cause  string
}

// Changed reports whether the answer shows that the store has restarted from a copy.
func (v Verdict) Changed() bool { return v.Kind == Advanced || v.Kind == Reset }

// Ignored reports whether the era of the answer was not taken over.
func (v Verdict) Ignored() bool { return v.Kind >= Outdated }

// State is what a Tracker knows. Revisions are the highest that were read, 0 for none.
type State struct {
	Current          Era
	Revision         int64 // in the era Current
	Previous         Era   // the era before, unknown if there was no change
	PreviousRevision int64 // in the era Previous
}

// Tracker is the state machine of the era of one store. Its zero value knows no era.
//
// Invariant: State.Current changes only to a later era, or to a lower one after no
// answer has carried it for resetAfter.
type Tracker struct {
	state       State
	confirmedAt time.Time // when an answer of the current era was received last
	doubtful    Era       // a far higher era that one answer has carried
	doubtedAt   time.Time // when that answer was received
}

// State returns what is known now.
func (t *Tracker) State() State { return t.state }

// ObserveRevision records a revision that was read in an era.
func (t *Tracker) ObserveRevision(e Era, revision int64) {
	if e == t.state.Current {
		t.state.Revision = max(t.state.Revision, revision)
	}
}

// Observe decides what the era of an answer means.
func (t *Tracker) Observe(a Answer) Verdict {
	if len(a.Values) == 0 {
		return t.observeMissing()
	}
	e, err := parseValues(a.Values)
	if err != nil {
		return Verdict{Kind: Malformed, Before: t.state.Current, Cause: err.Error()}
	}
	cur := t.state.Current
	switch {
	case !cur.known:
		return t.enter(First, e, a, "first era that the store names")
	case e == cur:
		return t.confirm(a)
	case e.number < cur.number:
		return t.observeLower(e, a)
	case e.number-cur.number > maxStep:
		return t.observeJump(e, a)
	}
	return t.enter(Advanced, e, a, fmt.Sprintf("era %v after era %v", e, cur))
}

// parseValues returns the era that all values of a header name.
func parseValues(values []string) (Era, error) {
	e, err := Parse(values[0])
	if err != nil {
		return Era{}, err
	}
	for _, v := range values[1:] {
		if other, err := Parse(v); err != nil || other != e {
			return Era{}, fmt.Errorf("answer names era %v and %.40q", e, v)
		}
	}
	return e, nil
}

// observeMissing handles an answer without an era. A store that has never named one
// has none.
func (t *Tracker) observeMissing() Verdict {
	cur := t.state.Current
	if !cur.known {
		return Verdict{Kind: Same}
	}
	return Verdict{Kind: Missing, Before: cur, Cause: fmt.Sprintf("no era in an answer, era %v is current", cur)}
}

// confirm handles an answer of the current era. If its call was sent after a far
// higher era was named, that one was a mistake.
func (t *Tracker) confirm(a Answer) Verdict {
	t.confirmedAt = a.ReceivedAt
	if a.SentAt.After(t.doubtedAt) {
		t.doubtful = Era{}
	}
	return Verdict{Kind: Same, Before: t.state.Current, Era: t.state.Current}
}

// observeLower handles an answer of a lower era than the current one.
func (t *Tracker) observeLower(e Era, a Answer) Verdict {
	cur := t.state.Current
	if a.SentAt.Sub(t.confirmedAt) >= resetAfter {
		return t.enter(Reset, e, a, fmt.Sprintf("era %v, and no answer of era %v for %v", e, cur, resetAfter))
	}
	return Verdict{Kind: Outdated, Before: cur, Era: e, Cause: fmt.Sprintf("answer of era %v, era %v is current", e, cur)}
}

// observeJump handles an answer of an era that is far above the current one.
func (t *Tracker) observeJump(e Era, a Answer) Verdict {
	cur, d := t.state.Current, t.doubtful
	if d.known && a.SentAt.After(t.doubtedAt) && e.number >= d.number && e.number-d.number <= maxStep {
		return t.enter(Advanced, e, a, fmt.Sprintf("era %v after era %v, named by two answers", e, cur))
	}
	t.doubtful, t.doubtedAt = e, a.ReceivedAt
	return Verdict{Kind: Doubtful, Before: cur, Cause: fmt.Sprintf("answer names era %v, far above era %v, and no other one does yet", e, cur)}
}

// enter makes e the current era.
func (t *Tracker) enter(k Kind, e Era, a Answer, cause string) Verdict {
	before := t.state
	t.state = State{Current: e}
	if before.Current.known {
		t.state.Previous, t.state.PreviousRevision = before.Current, before.Revision
	}
	t.confirmedAt, t.doubtful = a.ReceivedAt, Era{}
	return Verdict{Kind: k, Before: before.Current, Era: e, Cause: cause}
}
