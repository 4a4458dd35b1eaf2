package admit

import (
	"time"
)

// Verdict is what becomes of an offered call.
type Verdict int

// Verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Cause is the reason for a refusal.
type Cause string

// Causes of refusals.
const (
	CauseOverload Cause = "overload"   // its turn would not come in time
	CauseQueue    Cause = "queue_full" // the queue is at its bound
	CauseExpired  Cause = "expired"    // its wait bound has passed
	CauseDrain    Cause = "draining"   // the upstream is leaving
)

// Refusal is a refused call that has not started.
type Refusal struct {
	ID         string
	Cause      Cause
	RetryAfter time.Duration // when it makes sense to come back
}

// Result is how a call that started came out.
type Result int

// Results.
const (
	OK     Result = iota
	Failed        // the server failed, for a reason other than load
	Shed          // the server refused for load
	Late          // the answer did not come by the deadline
)

// Outcome is what follows from a call that ended or from the passing of time.
type Outcome struct {
	Start   []Item
	Refused []Refusal
}

// Config configures a Gate.
type Config struct {
	Slots    int // concurrency that the server announces
	MaxQueue int // bound on waiting calls
}

const (
	defaultMaxQueue = 1024
	startShare      = 0.5 // share of the slots that a cold server starts with
	backoff         = 0.8 // factor on the limit when the server is overloaded
	backoffEvery    = 100 * time.Millisecond
	serviceGuess    = 5 * time.Millisecond // service time before any is known
	smoothing       = 0.1                  // weight of a new service time
)

// Gate is the state machine of one backend server's admission. It is not safe
// for concurrent use.
//
// Invariants: no more than Limit calls are in flight; a call is reported once,
// as started or as refused.
type Gate struct {
	cfg         Config
	limit       float64
	inFlight    int
	queue       queue
	service     time.Duration // smoothed service time
	lastBackoff time.Time
	draining    bool
}

// New returns a gate for a cold server.
func New(cfg Config) *Gate {
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	g := &Gate{cfg: cfg, queue: newQueue(), service: serviceGuess}
	g.limit = max(1, startShare*float64(cfg.Slots))
	return g
}

// SetSlots takes a new announcement of the server.
func (g *Gate) SetSlots(n int) {
	g.cfg.Slots = n
	g.limit = max(1, min(g.limit, float64(n)))
}

// Limit returns the calls that may be in flight.
func (g *Gate) Limit() int { return max(1, int(g.limit)) }

// InFlight returns the calls that have started and not ended.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the calls that wait.
func (g *Gate) Queued() int { return g.queue.len() }

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool { return g.draining }

// Drain refuses all new and all waiting calls from now on. Calls in flight go
// on.
func (g *Gate) Drain() Outcome {
	g.draining = true
	var out Outcome
	for it := g.queue.pop(); it != nil; it = g.queue.pop() {
		out.Refused = append(out.Refused, Refusal{ID: it.ID, Cause: CauseDrain})
	}
	return out
}

// Offer decides on a call. A refusal is for the call itself; others are calls
// that had been waiting and have to give way.
func (g *Gate) Offer(now time.Time, it Item) (Verdict, Refusal, []Refusal) {
	if g.draining {
		return Refuse, Refusal{ID: it.ID, Cause: CauseDrain}, nil
	}
	if g.inFlight < g.Limit() && g.queue.len() == 0 {
		g.inFlight++
		return Start, Refusal{}, nil
	}
	if why, ok := g.refuses(now, it); ok {
		return Refuse, why, nil
	}
	g.queue.push(it)
	return Wait, Refusal{}, g.giveWay(now)
}

func (g *Gate) refuses(now time.Time, it Item) (Refusal, bool) {
	wait := g.wait(g.queue.ahead(it.Priority, it.Deadline))
	r := Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: g.retryAfter()}
	if start := now.Add(wait); start.After(it.WaitUntil) || start.Add(g.service).After(it.Deadline) {
		return r, true
	}
	if g.queue.len() >= g.cfg.MaxQueue {
		r.Cause = CauseQueue
		return r, true
	}
	return Refusal{}, false
}

// giveWay refuses the calls at the end of the queue that will not start in
// time any more, so that they learn it now and not when their time is up.
func (g *Gate) giveWay(now time.Time) []Refusal {
	var out []Refusal
	for {
		it := g.queue.last()
		if it == nil {
			return out
		}
		start := now.Add(g.wait(g.queue.len() - 1))
		if !start.After(it.WaitUntil) {
			return out
		}
		g.queue.remove(it.ID)
		out = append(out, Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: g.retryAfter()})
	}
}

// wait estimates how long a call waits that has n calls ahead of it.
func (g *Gate) wait(n int) time.Duration {
	return time.Duration(float64(n+1) / float64(g.Limit()) * float64(g.service))
}

// retryAfter estimates when the present queue will have been worked off.
func (g *Gate) retryAfter() time.Duration {
	return max(2*g.wait(g.queue.len()), 100*time.Millisecond)
}

// Cancel removes a waiting call and reports whether it was waiting.
func (g *Gate) Cancel(id string) bool { return g.queue.remove(id) }

// Done notes that a started call ended with result r after the time took.
func (g *Gate) Done(now time.Time, r Result, took time.Duration) Outcome {
	g.inFlight--
	g.learn(now, r, took)
	return g.advance(now)
}

func (g *Gate) learn(now time.Time, r Result, took time.Duration) {
	switch r {
	case OK:
		g.service += time.Duration(smoothing * float64(took-g.service))
		g.limit = min(g.limit+1/g.limit, float64(g.cfg.Slots))
	case Shed, Late:
		if now.Sub(g.lastBackoff) < backoffEvery {
			return
		}
		g.lastBackoff = now
		g.limit = max(1, g.limit*backoff)
	}
}

// Tick refuses the calls whose wait bound has passed.
func (g *Gate) Tick(now time.Time) Outcome { return g.advance(now) }

// advance starts what can start and refuses what has expired.
func (g *Gate) advance(now time.Time) Outcome {
	var out Outcome
	for _, it := range g.queue.byID {
		if now.After(it.WaitUntil) {
			out.Refused = append(out.Refused, Refusal{ID: it.ID, Cause: CauseExpired, RetryAfter: g.retryAfter()})
		}
	}
	for _, r := range out.Refused {
		g.queue.remove(r.ID)
	}
	for g.inFlight < g.Limit() {
		it := g.queue.pop()
		if it == nil {
			break
		}
		g.inFlight++
		out.Start = append(out.Start, *it)
	}
	return out
}
