package crash

import "time"

// Bounds on the evidence that a backend server has ended.
const (
	// refusedWindow bounds the time between a call that got no answer and a refused
	// connection, in either order, if both are due to the end of the server.
	refusedWindow = 2 * time.Second
	// replacedWindow bounds the time between a call that got no answer and the
	// announcement of another server, which takes several seconds to start.
	replacedWindow = 15 * time.Second
	// maxBroken bounds the calls without an answer that are remembered.
	maxBroken = 64
)

// End is the end of a backend server while calls were running there.
type End struct {
	Works []Work // of these calls, without duplicates, in no particular order
	Calls int    // number of these calls
	At    time.Time
}

// Watch finds the ends of one node's backend server. It is not safe for concurrent use.
//
// Invariant: a call is in running or in broken, or in none of them.
type Watch struct {
	running   map[string]runningCall // by attempt id
	broken    []brokenCall           // oldest first
	refusedAt time.Time              // last refused connection, zero if there is none
	leaving   bool                   // the server has announced that it leaves
}

// runningCall is a call that was sent to the server.
type runningCall struct {
	work      Work
	startedAt time.Time
}

// brokenCall is a call whose connection ended without an answer.
type brokenCall struct {
	work Work
	at   time.Time
}

// NewWatch returns the watch of a node without calls.
func NewWatch() *Watch { return &Watch{running: map[string]runningCall{}} }

// Start records that a call is sent to the server.
func (w *Watch) Start(now time.Time, attempt string, work Work) {
	w.running[attempt] = runningCall{work, now}
}

// Done records that a call has ended in a way that says nothing about the server.
func (w *Watch) Done(attempt string) { delete(w.running, attempt) }

// Answered records an answer of the server. If the call was sent after other calls got no
// answer, the server did not end with these.
func (w *Watch) Answered(attempt string) {
	c, ok := w.running[attempt]
	if !ok {
		return
	}
	delete(w.running, attempt)
	for len(w.broken) > 0 && w.broken[0].at.Before(c.startedAt) {
		w.broken = w.broken[1:]
	}
	if w.refusedAt.Before(c.startedAt) {
		w.refusedAt = time.Time{}
	}
}

// Broken records that the connection of a call ended without an answer. ok reports
// whether that shows that the server has ended.
func (w *Watch) Broken(now time.Time, attempt string) (end End, ok bool) {
	c, known := w.running[attempt]
	if !known {
		return End{}, false // its server has ended already
	}
	delete(w.running, attempt)
	if len(w.broken) == maxBroken {
		w.broken = w.broken[1:]
	}
	w.broken = append(w.broken, brokenCall{c.work, now})
	if w.refusedAt.After(c.startedAt) && now.Sub(w.refusedAt) < refusedWindow {
		return w.end(now, refusedWindow)
	}
	return End{}, false
}

// Refused records that the server refused a connection. ok reports whether that shows
// that the server has ended.
func (w *Watch) Refused(now time.Time) (end End, ok bool) {
	w.refusedAt = now
	w.dropBrokenBefore(now.Add(-refusedWindow))
	if len(w.broken) == 0 {
		return End{}, false // it may only have closed its listener
	}
	return w.end(now, refusedWindow)
}

// Leaving records that the server has announced that it leaves. Its stop is then not
// due to the calls that it runs.
func (w *Watch) Leaving() {
	w.leaving = true
	w.broken = nil
}

// Replaced records that another server has taken the place of the one before. ok reports
// whether that one ended while calls were running there.
func (w *Watch) Replaced(now time.Time) (end End, ok bool) {
	end, ok = w.end(now, replacedWindow)
	w.leaving = false
	return end, ok
}

// end returns the end of the server with the calls that got no answer within window, and
// those that are still running there. What is sent from now on goes to another server.
func (w *Watch) end(now time.Time, window time.Duration) (End, bool) {
	w.dropBrokenBefore(now.Add(-window))
	e := End{At: now}
	if len(w.broken) > 0 {
		e.At = w.broken[0].at
	}
	seen := map[Work]bool{}
	add := func(work Work) {
		e.Calls++
		if work != 0 && !seen[work] {
			seen[work] = true
			e.Works = append(e.Works, work)
		}
	}
	for _, c := range w.broken {
		add(c.work)
	}
	for _, c := range w.running {
		add(c.work)
	}
	left := w.leaving
	w.broken, w.refusedAt = nil, time.Time{}
	clear(w.running)
	return e, e.Calls > 0 && !left
}

// dropBrokenBefore forgets the calls that got no answer before t.
func (w *Watch) dropBrokenBefore(t time.Time) {
	for len(w.broken) > 0 && w.broken[0].at.Before(t) {
		w.broken = w.broken[1:]
	}
}
