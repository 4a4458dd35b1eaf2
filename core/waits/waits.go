// Package waits estimates how long a caller has been waiting when one of its
// requests arrives.
//
// The target of a request counts from the moment at which its caller first asked.
// A request that was refused and is sent again looks like a new one, but for the
// time for which the caller is still willing to wait: that is shorter. Most callers
// of a route are willing to wait about equally long, so a request with much less
// time left than the longest has probably been sent before.
//
// A caller that was told when to come back is known better: it returns at that time, and the
// moment up to which it waits is the same as before. So the estimator keeps the refusals of the
// last moments, and recognises the request that follows each of them.
//
// With the estimate, an overloaded upstream spends its slots on the answers that
// can still meet their targets, and not on callers that return too late for it
// while new ones become late in turn.
//
// # Usage
//
//	e := waits.New()
//	waited := e.Observe(now, route, timeLeft)
//	e.Refused(now, waits.Refusal{Route: route, Deadline: deadline, AskedAt: asked, ReturnAt: returnAt})
package waits

import (
	"slices"
	"time"
)

const (
	// windowLength is how long the longest time left is remembered at least, and
	// half of the time for which it is remembered at most.
	windowLength = 30 * time.Second
	// firstTimeLeft is the share of the longest time left that the first request of
	// a caller has at least. Callers differ a little in how long they wait.
	firstTimeLeft = 0.8
	// minShareOfFirst is the share of the requests of a route that must have as much
	// time left as a first request. If fewer do, callers differ so much that no
	// estimate is made.
	minShareOfFirst = 0.1
	minRequests     = 20   // of a route, for an estimate
	maxRoutes       = 4096 // routes that are tracked at most

	// deadlineTolerance is how far apart the deadlines of two requests of one caller may
	// seem, since its requests take different times to arrive.
	deadlineTolerance = 10 * time.Millisecond
	// returnTolerance is how much later than it was told a caller returns.
	returnTolerance = 100 * time.Millisecond
	maxRefusals     = 256 // refusals of a route that are kept at most
)

// Estimator keeps the longest times left by route. It is not safe for concurrent
// use.
type Estimator struct{ routes map[string]*route }

// route holds the windows of one route.
type route struct {
	current, previous window
	started           time.Time // start of the current window
	refusals          []Refusal // whose callers have not returned, the oldest first
}

// Refusal is what is known of a request that was refused with a time at which its caller may
// come back.
type Refusal struct {
	Route    string
	Deadline time.Time // up to which its caller waits
	AskedAt  time.Time // when its caller first asked
	ReturnAt time.Time // when its caller was told to come back
}

// window counts the requests of a period.
type window struct {
	longest  time.Duration // longest time left
	first    int           // requests with as much time left as a first one
	requests int
}

// minFirst returns the least time left of a first request.
func (w window) minFirst() time.Duration { return time.Duration(firstTimeLeft * float64(w.longest)) }

// New returns an estimator that has seen no request.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Observe records a request of a route whose caller waits for timeLeft more. It
// returns how long the caller has waited already at least, 0 if that is not known.
func (e *Estimator) Observe(now time.Time, name string, timeLeft time.Duration) time.Duration {
	r := e.route(now, name)
	r.rotate(now)
	r.current.add(timeLeft)
	if asked, ok := r.takeRefusal(now, now.Add(timeLeft)); ok {
		return now.Sub(asked)
	}
	return r.waited(timeLeft)
}

// Refused records a refusal.
func (e *Estimator) Refused(now time.Time, f Refusal) {
	r := e.route(now, f.Route)
	r.dropRefusals(now)
	if len(r.refusals) < maxRefusals {
		r.refusals = append(r.refusals, f)
	}
}

// route returns the state of a route.
func (e *Estimator) route(now time.Time, name string) *route {
	r, ok := e.routes[name]
	if !ok {
		if len(e.routes) >= maxRoutes {
			clear(e.routes)
		}
		r = &route{started: now}
		e.routes[name] = r
	}
	return r
}

// takeRefusal removes the refusal whose caller sends a request that arrives now, and returns
// when that caller first asked.
func (r *route) takeRefusal(now, deadline time.Time) (asked time.Time, ok bool) {
	r.dropRefusals(now)
	for i, f := range r.refusals {
		if now.Before(f.ReturnAt) || deadline.Sub(f.Deadline).Abs() > deadlineTolerance {
			continue
		}
		r.refusals = slices.Delete(r.refusals, i, i+1)
		return f.AskedAt, true
	}
	return time.Time{}, false
}

// dropRefusals drops the refusals whose callers should have returned by now.
func (r *route) dropRefusals(now time.Time) {
	r.refusals = slices.DeleteFunc(r.refusals, func(f Refusal) bool { return now.After(f.ReturnAt.Add(returnTolerance)) })
}

// rotate starts a new window when the current one has ended.
func (r *route) rotate(now time.Time) {
	age := now.Sub(r.started)
	if age < windowLength {
		return
	}
	r.previous = r.current
	if age >= 2*windowLength {
		r.previous = window{}
	}
	r.current, r.started = window{}, now
}

func (w *window) add(timeLeft time.Duration) {
	w.requests++
	if timeLeft > w.longest {
		previous := w.longest
		w.longest = timeLeft
		if previous < w.minFirst() {
			w.first = 0 // no earlier request was a first one
		}
	}
	if timeLeft >= w.minFirst() {
		w.first++
	}
}

// waited returns how long a caller has waited at least that has timeLeft left.
func (r *route) waited(timeLeft time.Duration) time.Duration {
	w := r.current
	if r.previous.longest > w.longest {
		w = r.previous
	}
	if w.requests < minRequests || float64(w.first) < minShareOfFirst*float64(w.requests) {
		return 0
	}
	return max(w.minFirst()-timeLeft, 0)
}
