package admit

import (
	"cmp"
	"slices"
	"time"

	"tanagerchute/core/table"
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
	CauseOverload  Cause = "overload"   // its turn would not come in time
	CauseQueueFull Cause = "queue_full" // the queue is at its bound
	CauseExpired   Cause = "expired"    // its wait bound has passed
	CauseDraining  Cause = "draining"   // the upstream is leaving
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
	OK       Result = iota
	Failed          // the server failed, for a reason other than load
	Shed            // the server refused for load
	TimedOut        // the answer did not come by the deadline
)

// Outcome is what follows from a call that ended or from the passing of time.
type Dequeued struct {
	Started []Item
	Refused []Refusal
}

// Config configures a Gate.
type Config struct {
	Slots    int // concurrency that the server announces
	MaxQueue int // bound on waiting calls
}

const (
	defaultMaxQueue = 1024
	backoff         = 0.9 // factor on the limit when the server sheds
	leastShare      = 0.5 // share of the slots below which the limit does not fall
	crowdedShare    = 0.8 // share of the limit in flight from which a shed call speaks of load
	backoffEvery    = 100 * time.Millisecond
	serviceGuess    = 5 * time.Millisecond // service time before any is known
	smoothing       = 0.1                  // weight of a new service time
	// latePart is the part of the time between target and deadline by which the
	// answer of a call that can't meet its target has to be expected for it to
	// be queued.
	latePart = 0.5
	// crowdedFor is how long after a queued call had to be refused no call is
	// queued that can't meet its target: its turn would not come either.
	crowdedFor = time.Second
	// crowdedPart is the part of the time until its target for which a call may
	// wait while more work is offered than the server can do.
	crowdedPart = 0.25
	// leastLeft is the share of the slots that a priority can count on.
	leastLeft  = 0.1
	leastRetry = 100 * time.Millisecond
	// usefulPart is the part of the service time that has to be left for a call
	// to start.
	usefulPart = 0.5
)

// Gate is the state machine of one backend server's admission. It is not safe
// for concurrent use.
//
// Invariants: no more than Limit calls are in flight; a call is reported once,
// as started or as refused.
type Controller struct {
	cfg         Config
	limit       float64
	inFlight    int
	queue       queue
	service     time.Duration                      // smoothed time for which a call holds its slot
	work        time.Duration                      // the same without the time in which the server waited for calls of its own
	services    [table.NumPriorities]time.Duration // service by priority, 0 if not known
	guessed     bool                               // service and work are not known
	usage       usage                              // of slots by calls that ended
	offered     usage                              // of slots by all calls that were offered, would they run
	crowded     time.Time                          // until when calls that can't meet their target are not queued
	lastBackoff time.Time
	draining    bool
}

// New returns a gate for a server that has not taken a call yet.
func New(cfg Config) *Controller {
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	g := &Controller{cfg: cfg, queue: newQueue(), service: serviceGuess, guessed: true}
	g.limit = max(1, float64(cfg.Slots))
	return g
}

// SetSlots takes a new announcement of the server.
func (g *Controller) SetSlots(n int) {
	g.cfg.Slots = n
	g.limit = max(1, float64(n))
}

// Service returns the smoothed time in which the server works on a call, 0 if it
// is not known. The time in which it waits for calls of its own is not in it:
// that depends on the call and not on the server, and by it a server that is
// full of calls which wait would seem as fast as the last one that did not.
func (g *Controller) ServiceTime() time.Duration {
	if g.guessed {
		return 0
	}
	return g.work
}

// serviceOf returns the smoothed time of a call of a priority.
func (g *Controller) serviceOf(p table.Priority) time.Duration {
	if g.services[p] > 0 {
		return g.services[p]
	}
	return g.service
}

// Limit returns the calls that may be in flight.
func (g *Controller) Limit() int { return max(1, int(g.limit)) }

// InFlight returns the calls that have started and not ended.
func (g *Controller) InFlight() int { return g.inFlight }

// Queued returns the calls that wait.
func (g *Controller) Queued() int { return g.queue.len() }

// Draining reports whether Drain was called.
func (g *Controller) Draining() bool { return g.draining }

// Drain refuses all new and all waiting calls from now on. Calls in flight go
// on.
func (g *Controller) Drain() Dequeued {
	g.draining = true
	var out Dequeued
	for it := g.queue.pop(false); it != nil; it = g.queue.pop(false) {
		out.Refused = append(out.Refused, Refusal{ID: it.ID, Cause: CauseDraining})
	}
	return out
}

// Offer decides on a call. A refusal is for the call itself; others are calls
// that had been waiting and have to give way.
func (g *Controller) Offer(now time.Time, it Item) (Verdict, Refusal, []Refusal) {
	if g.stuck(it) {
		return Refuse, Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: g.RetryAfter(now)}, nil
	}
	if g.draining {
		return Refuse, Refusal{ID: it.ID, Cause: CauseDraining}, nil
	}
	g.offered.add(now, it.Priority, g.serviceOf(it.Priority))
	if g.inFlight < g.Limit() && g.queue.len() == 0 {
		g.inFlight++
		return Start, Refusal{}, nil
	}
	late, why, ok := g.place(now, &it)
	if !ok {
		return Refuse, why, nil
	}
	g.queue.push(it, late)
	return Wait, Refusal{}, g.giveWay(now)
}

// stuck reports whether no slot is free and all are held by calls that may be
// waiting for it: it is better off elsewhere.
func (g *Controller) stuck(it Item) bool {
	return g.inFlight >= g.Limit() && it.PossibleWaiters >= g.inFlight
}

// place decides whether a call may be queued, and whether among those that
// can't meet their target.
func (g *Controller) place(now time.Time, it *Item) (late bool, why Refusal, ok bool) {
	why = Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: g.RetryAfter(now)}
	if g.queue.len() >= g.cfg.MaxQueue {
		why.Cause = CauseQueueFull
		return false, why, false
	}
	g.demote(now)
	service := g.serviceOf(it.Priority)
	wait := g.wait(now, it.Priority, g.queue.ahead(it, false))
	start := now.Add(wait)
	if start.After(it.WaitUntil) {
		return false, why, false
	}
	if g.overloaded(now) && wait > g.crowdedWait(now, it) {
		return false, why, false
	}
	if !start.Add(service).After(it.target()) {
		return false, why, true
	}
	if !it.graded() || g.overloaded(now) {
		return false, why, false
	}
	start = now.Add(g.wait(now, it.Priority, g.queue.ahead(it, true)))
	return true, why, !start.Add(service).After(lateLimit(it))
}

// crowdedWait returns how long a call may wait while more work is offered than
// the server can do. A longer queue would serve no more calls, and each of them
// later. It is long enough for the slots to stay in use.
func (g *Controller) crowdedWait(now time.Time, it *Item) time.Duration {
	busy := 2 * g.serviceOf(it.Priority) / time.Duration(g.Limit())
	return max(busy, time.Duration(crowdedPart*float64(it.target().Sub(now))))
}

// lateLimit returns the time by which the answer of a call that can't meet its
// target has to be expected.
func lateLimit(it *Item) time.Time {
	grace := it.Deadline.Sub(it.target())
	return it.target().Add(time.Duration(latePart * float64(grace)))
}

// demote moves the calls that can't meet their target any more behind others.
func (g *Controller) demote(now time.Time) {
	for p := range table.Priority(table.NumPriorities) {
		g.queue.demote(p, now.Add(g.serviceOf(p)))
	}
}

// overloaded reports whether calls that can't meet their target would wait in
// vain: more work is offered than the server can do, or a queued call had to be
// refused a moment ago.
func (g *Controller) overloaded(now time.Time) bool {
	return now.Before(g.crowded) || g.offered.above(now, table.NumPriorities) > float64(g.Limit())
}

// dropLate refuses the queued calls that can't meet their target any more, if
// they would wait in vain. They have been demoted.
func (g *Controller) dropLate(now time.Time) []Refusal {
	if !g.overloaded(now) {
		return nil
	}
	var out []Refusal
	for _, id := range g.queue.late() {
		g.queue.remove(id)
		out = append(out, Refusal{ID: id, Cause: CauseOverload, RetryAfter: g.RetryAfter(now)})
	}
	return out
}

// giveWay refuses the calls at the end of the queue that will not start in
// time any more, so that they learn it now and not when their time is up.
func (g *Controller) giveWay(now time.Time) []Refusal {
	out := g.dropLate(now)
	for {
		it := g.queue.last()
		if it == nil {
			return out
		}
		ahead := g.queue.all()
		ahead[it.Priority]--
		start := now.Add(g.wait(now, it.Priority, ahead))
		if !start.After(it.WaitUntil) && !start.Add(usefulTime(g.serviceOf(it.Priority))).After(it.Deadline) {
			return out
		}
		g.queue.remove(it.ID)
		g.crowded = now.Add(crowdedFor)
		out = append(out, Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: g.RetryAfter(now)})
	}
}

// usefulTime returns the time that has to be left for a call to start.
func usefulTime(service time.Duration) time.Duration {
	return time.Duration(usefulPart * float64(service))
}

// wait estimates how long a call of a priority waits that has the given calls
// ahead of it. Calls of higher priorities that will come meanwhile take their
// usual share of the slots.
func (g *Controller) wait(now time.Time, p table.Priority, ahead counts) time.Duration {
	work := g.service // until the next of the calls in flight ends, times the limit
	for p, n := range ahead {
		work += time.Duration(n) * g.serviceOf(table.Priority(p))
	}
	slots := float64(g.Limit())
	left := max(slots-g.usage.above(now, p), leastLeft*slots)
	return time.Duration(float64(work) / left)
}

// RetryAfter estimates when the present queue will have been worked off.
func (g *Controller) RetryAfter(now time.Time) time.Duration {
	return max(2*g.wait(now, table.NumPriorities-1, g.queue.all()), leastRetry)
}

// Cancel removes a waiting call and reports whether it was waiting.
func (g *Controller) Cancel(id string) bool { return g.queue.remove(id) }

// Run is what a started call came to.
type Completion struct {
	Priority   table.Priority
	Result     Result
	Duration   time.Duration
	NestedWait time.Duration // of Took, for calls that the server made itself
}

// Done notes that a started call has ended.
func (g *Controller) Done(now time.Time, r Completion) Dequeued {
	g.learn(now, r)
	g.inFlight--
	return g.advance(now)
}

func (g *Controller) learn(now time.Time, r Completion) {
	switch r.Result {
	case OK, TimedOut:
		g.noteTook(now, r, r.Duration)
		g.limit = min(g.limit+1/g.limit, float64(g.cfg.Slots))
	case Failed:
		// A call that was given up has taken at least this long.
		if r.Duration > g.serviceOf(r.Priority) {
			g.noteTook(now, r, max(r.Duration, g.service))
		}
	case Shed:
		crowded := float64(g.inFlight) >= crowdedShare*g.limit
		if !crowded || now.Sub(g.lastBackoff) < backoffEvery {
			return
		}
		g.lastBackoff = now
		g.limit = max(1, leastShare*float64(g.cfg.Slots), g.limit*backoff)
	}
}

// noteTook learns from the time that a call took. service is what it says about
// calls of all priorities.
func (g *Controller) noteTook(now time.Time, r Completion, service time.Duration) {
	g.usage.add(now, r.Priority, r.Duration)
	g.service = smoothed(g.service, service, g.guessed)
	g.work = smoothed(g.work, max(service-r.NestedWait, 0), g.guessed)
	g.guessed = false
	g.services[r.Priority] = smoothed(g.services[r.Priority], r.Duration, g.services[r.Priority] == 0)
}

func smoothed(old, took time.Duration, first bool) time.Duration {
	if first {
		return took
	}
	return old + time.Duration(smoothing*float64(took-old))
}

// Tick refuses the calls that can't be answered in time any more.
func (g *Controller) Tick(now time.Time) Dequeued { return g.advance(now) }

// advance starts what can start and refuses what has expired.
func (g *Controller) advance(now time.Time) Dequeued {
	var out Dequeued
	for _, it := range g.queue.byID {
		if g.expired(now, it) {
			out.Refused = append(out.Refused, Refusal{ID: it.ID, Cause: CauseExpired, RetryAfter: g.RetryAfter(now)})
			g.crowded = now.Add(crowdedFor)
		}
	}
	slices.SortFunc(out.Refused, func(a, b Refusal) int { return cmp.Compare(a.ID, b.ID) }) // the same every time
	for _, r := range out.Refused {
		g.queue.remove(r.ID)
	}
	g.demote(now)
	crowded := g.overloaded(now)
	for g.inFlight < g.Limit() {
		it := g.queue.pop(crowded)
		if it == nil {
			break
		}
		g.inFlight++
		out.Started = append(out.Started, *it)
	}
	out.Refused = append(out.Refused, g.dropLate(now)...)
	return out
}

// expired reports whether it is of no use any more to start a call.
func (g *Controller) expired(now time.Time, it *Item) bool {
	if now.After(it.WaitUntil) {
		return true
	}
	return it.graded() && now.Add(usefulTime(g.serviceOf(it.Priority))).After(it.Deadline)
}
