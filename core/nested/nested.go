// Package nested tracks the calls in flight at a backend server, and the nested
// calls that the server makes while it handles them.
//
// A call and its nested calls share a trace id. A nested call inherits the
// deadline of the call that it is made for. The failure of a nested call is not
// a failure of the server itself, and the time that the server waits for nested
// calls is not part of its service time.
//
// Depth is the number of calls above a call in its call chain. In deep call chains a server can
// handle several calls of one trace at once. If it passes the depth on with its
// nested calls, the time spent waiting for them is attributed to the right call.
//
// # Usage
//
//	t := nested.New()
//	t.Start(trace, depth, deadline)
//	t.StartNested(now, trace, depth)       // the server makes a nested call
//	t.EndNested(now, trace, depth, failed) // the nested call has ended
//	result := t.End(now, trace, depth)
package nested

import "time"

// Tracker tracks the calls in flight at one server. It is not safe for concurrent
// use.
type Tracker struct {
	traces  map[string]*traceCalls
	waiting int // calls that wait for nested calls
}

// traceCalls are the calls of one trace that are in flight at the server.
type traceCalls struct {
	inFlight     int
	deadline     time.Time            // latest of the calls
	nestedFailed bool                 // a nested call has failed
	nested       map[int]*nestedCalls // by the depth of the call that they are made for
}

// nestedCalls are the nested calls made for the calls of a trace at one depth.
type nestedCalls struct {
	inFlight     int
	waitingSince time.Time     // start of the current wait, if inFlight > 0
	waited       time.Duration // total of earlier waits
}

// Result describes the nested calls of a call that has ended.
type Result struct {
	Failed bool          // a nested call of the trace has failed
	Waited time.Duration // upper bound on the time spent waiting for nested calls
}

// New returns a tracker without calls.
func New() *Tracker { return &Tracker{traces: map[string]*traceCalls{}} }

// Start records that a call starts at the server. depth is the number of calls
// above it.
func (t *Tracker) Start(trace string, depth int, deadline time.Time) {
	calls, ok := t.traces[trace]
	if !ok {
		calls = &traceCalls{nested: map[int]*nestedCalls{}}
		t.traces[trace] = calls
	}
	calls.inFlight++
	if deadline.After(calls.deadline) {
		calls.deadline = deadline
	}
}

// Deadline returns the latest deadline of the calls of a trace that are in
// flight. ok is false if there are none.
func (t *Tracker) Deadline(trace string) (deadline time.Time, ok bool) {
	calls, ok := t.traces[trace]
	if !ok {
		return time.Time{}, false
	}
	return calls.deadline, true
}

// StartNested records that the server makes a nested call for a call at the given
// depth.
func (t *Tracker) StartNested(now time.Time, trace string, depth int) {
	calls, ok := t.traces[trace]
	if !ok {
		return
	}
	nested, ok := calls.nested[depth]
	if !ok {
		nested = &nestedCalls{}
		calls.nested[depth] = nested
	}
	if nested.inFlight == 0 {
		nested.waitingSince = now
		t.waiting++
	}
	nested.inFlight++
}

// EndNested records that a nested call has ended. trace and depth are those given
// to StartNested.
func (t *Tracker) EndNested(now time.Time, trace string, depth int, failed bool) {
	calls, ok := t.traces[trace]
	if !ok {
		return
	}
	calls.nestedFailed = calls.nestedFailed || failed
	nested, ok := calls.nested[depth]
	if !ok || nested.inFlight == 0 {
		return // the call that it was made for has ended, and another one has started
	}
	nested.inFlight--
	if nested.inFlight == 0 {
		nested.waited += now.Sub(nested.waitingSince)
		t.waiting--
	}
}

// Waiting returns the number of calls in flight that wait for nested calls. Calls
// of one trace at one depth count once.
func (t *Tracker) Waiting() int { return t.waiting }

// End records that a call has ended and returns the result of its nested calls.
func (t *Tracker) End(now time.Time, trace string, depth int) Result {
	calls, ok := t.traces[trace]
	if !ok {
		return Result{}
	}
	result := Result{Failed: calls.nestedFailed}
	if nested, ok := calls.nested[depth]; ok {
		result.Waited = nested.waited
		if nested.inFlight > 0 {
			result.Waited += now.Sub(nested.waitingSince)
		}
	}
	if calls.inFlight--; calls.inFlight == 0 {
		delete(t.traces, trace)
		for _, nested := range calls.nested {
			if nested.inFlight > 0 {
				t.waiting--
			}
		}
	}
	return result
}
