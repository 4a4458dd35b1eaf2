// Package flight knows the calls in flight at a backend server, and the calls
// that the server makes for them.
//
// A call and those made for it share a trace. The calls below inherit the
// deadline of those above; a failure below is not the server's own; and the
// time for which the server waited for them says nothing about its speed. A
// server that passes on the depth of its calls is understood exactly when it
// serves several calls of one trace, as deep chains do.
//
// # Usage
//
//	t := flight.New()
//	t.Start(trace, depth, deadline)
//	t.Call(now, trace, depth)        // the server makes a call
//	t.Return(now, trace, depth, bad) // and has its answer
//	end := t.End(now, trace, depth)
package flight

import "time"

// Table holds the calls in flight. It is not safe for concurrent use.
type Tracker struct {
	traces  map[string]*traceCalls
	waiting int
}

// flights are the calls in flight of one trace.
type traceCalls struct {
	calls        int
	deadline     time.Time // the latest
	nestedFailed bool      // a call that the server made for them has failed
	nested       map[int]*nestedCalls
}

// wait is what the server waited for the calls that it made at one depth.
type nestedCalls struct {
	calls        int // under way
	waitingSince time.Time
	waited       time.Duration
}

// End is what is known of a call that has ended.
type NestedResult struct {
	Failed bool          // a call that the server made for it has failed
	Waited time.Duration // for calls that the server made for it, at most
}

// New returns a table without a call.
func New() *Tracker { return &Tracker{traces: map[string]*traceCalls{}} }

// Start notes that a call starts at the server. depth is the number of calls
// above it.
func (t *Tracker) Start(trace string, depth int, deadline time.Time) {
	f, ok := t.traces[trace]
	if !ok {
		f = &traceCalls{nested: map[int]*nestedCalls{}}
		t.traces[trace] = f
	}
	f.calls++
	if deadline.After(f.deadline) {
		f.deadline = deadline
	}
}

// Deadline returns the latest deadline of the calls in flight of a trace. ok is
// false if there is none.
func (t *Tracker) Deadline(trace string) (deadline time.Time, ok bool) {
	f, ok := t.traces[trace]
	if !ok {
		return time.Time{}, false
	}
	return f.deadline, true
}

// Call notes that the server makes a call for one at a depth.
func (t *Tracker) StartNested(now time.Time, trace string, depth int) {
	f, ok := t.traces[trace]
	if !ok {
		return
	}
	w, ok := f.nested[depth]
	if !ok {
		w = &nestedCalls{}
		f.nested[depth] = w
	}
	if w.calls == 0 {
		w.waitingSince = now
		t.waiting++
	}
	w.calls++
}

// Return notes that a call that Call told of has ended.
func (t *Tracker) EndNested(now time.Time, trace string, depth int, failed bool) {
	f, ok := t.traces[trace]
	if !ok {
		return
	}
	f.nestedFailed = f.nestedFailed || failed
	w, ok := f.nested[depth]
	if !ok || w.calls == 0 {
		return // the call above has ended and another one has started since
	}
	w.calls--
	if w.calls == 0 {
		w.waited += now.Sub(w.waitingSince)
		t.waiting--
	}
}

// Waiting returns how many of the calls in flight wait for calls that the server
// made for them. Two of one trace at one depth count once.
func (t *Tracker) Waiting() int { return t.waiting }

// End notes that a call has ended and returns what is known of it.
func (t *Tracker) End(now time.Time, trace string, depth int) NestedResult {
	f, ok := t.traces[trace]
	if !ok {
		return NestedResult{}
	}
	e := NestedResult{Failed: f.nestedFailed}
	if w, ok := f.nested[depth]; ok {
		e.Waited = w.waited
		if w.calls > 0 {
			e.Waited += now.Sub(w.waitingSince)
		}
	}
	if f.calls--; f.calls == 0 {
		delete(t.traces, trace)
		for _, w := range f.nested {
			if w.calls > 0 {
				t.waiting--
			}
		}
	}
	return e
}
