package admit

import (
	"cmp"
	"slices"
	"time"

	"tanagerchute/core/quota"
	"tanagerchute/core/routes"
)

// Verdict is the decision on an offered call.
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
	CauseOverload  Cause = "overload"   // it would not start, or be answered, in time
	CauseQueueFull Cause = "queue_full" // the queue has reached Config.MaxQueue
	CauseExpired   Cause = "expired"    // it waited until it was too late to start it
	CauseDraining  Cause = "draining"   // the upstream is draining
	CauseRateLimit Cause = "rate_limit" // as overload, because of the rate limit that the server names
)

// Refusal describes a call that was refused. The call has not started.
type Refusal struct {
	ID         string
	Cause      Cause
	RetryAfter time.Duration // how long the caller should wait before a retry
}

// Result classifies how a started call ended.
type Result int

// Results.
const (
	OK       Result = iota
	Failed          // the server failed for a reason other than load
	Shed            // the server refused the call because of load
	TimedOut        // no answer came by the deadline
)

// Dequeued lists the calls that have left the queue, either started or refused.
type Dequeued struct {
	Started []Item
	Refused []Refusal
}

// Config configures a Controller.
type Config struct {
	Slots    int // number of concurrent calls that the server announces
	MaxQueue int // maximum number of queued calls, the default if it is not positive
}

const (
	defaultMaxQueue = 1024 // calls
	backoffFactor   = 0.9  // factor on the limit when the server sheds a call
	minLimitShare   = 0.5  // share of the slots below which the limit does not fall
	// minBackoffShare is the share of the limit that has to be in flight for a
	// shed call to reduce the limit. With fewer calls in flight, the limit is
	// not taken as the cause.
	minBackoffShare = 0.8
	backoffInterval = 100 * time.Millisecond // shortest time between two reductions of the limit
	initialHoldTime = 5 * time.Millisecond   // hold time assumed until a call has ended
	ewmaWeight      = 0.1                    // weight of a new sample in the average times
	// maxLateShare is the share of the time between target and deadline within
	// which the answer of a call that can't meet its target has to be expected
	// for the call to be queued.
	maxLateShare = 0.5
	// overloadPeriod is how long the server counts as overloaded after a queued
	// call had to be refused. Calls that can't meet their target are not queued
	// in that time, since they would not start either.
	overloadPeriod = time.Second
	// overloadWaitShare is the share of the time until its target for which a
	// call may wait while more work is offered than the server can do.
	overloadWaitShare = 0.25
	// minSlotShare is the share of the slots that the wait estimate grants each
	// priority, however many the higher priorities use.
	minSlotShare = 0.1
	// minRetryAfter is the least RetryAfter of a refusal, apart from those of a
	// draining server.
	minRetryAfter = 100 * time.Millisecond
	// minTimeLeftShare is the share of the hold time that has to be left until
	// the deadline of a call for the call to start.
	minTimeLeftShare = 0.5
)

// Controller is the state machine that controls admission to one backend
// server. It is not safe for concurrent use.
//
// Invariants: no call starts while Limit calls or more are in flight, or earlier
// than the rate limit of the server allows; a call is reported once, as started or
// as refused.
type Controller struct {
	cfg             Config
	limit           float64
	inFlight        int
	queue           queue
	holdTime        time.Duration                // average time for which a call holds its slot
	serviceTime     time.Duration                // holdTime without the time in which the server waited for its own nested calls
	holdTimes       map[string]time.Duration     // holdTime by class, of those of which a call has ended
	acceptances     map[string]*acceptance       // by class
	noSamples       bool                         // holdTime and serviceTime have not been measured yet
	used            usage                        // slots held by calls that have ended
	started         usage                        // slots that the calls started from here on would hold
	offered         usage                        // slots that all offered calls would hold if they ran
	shares          [routes.NumPriorities]shares // of the client accounts
	hasAccounts     bool                         // a call of a client account was offered
	overloadedUntil time.Time                    // calls that can't meet their target are not queued before then
	quota           quota.Limiter                // the rate limit that the server names
	lastBackoff     time.Time
	draining        bool
}

// New returns a Controller for a server that has not taken a call yet.
func New(cfg Config) *Controller {
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	c := &Controller{cfg: cfg, queue: newQueue(), holdTime: initialHoldTime, holdTimes: map[string]time.Duration{}, acceptances: map[string]*acceptance{}, noSamples: true}
	c.limit = max(1, float64(cfg.Slots))
	return c
}

// SetSlots sets the announced number of slots and resets the limit to it.
func (c *Controller) SetSlots(n int) {
	c.cfg.Slots = n
	c.limit = max(1, float64(n))
}

// Limit returns the maximum number of calls in flight.
func (c *Controller) Limit() int { return max(1, int(c.limit)) }

// InFlight returns the number of calls that have started and not ended.
func (c *Controller) InFlight() int { return c.inFlight }

// Queued returns the number of calls in the queue.
func (c *Controller) Queued() int { return c.queue.len() }

// Draining reports whether Drain was called.
func (c *Controller) Draining() bool { return c.draining }

// Drain refuses all queued calls, and all calls offered from now on. Calls in
// flight continue.
func (c *Controller) Drain() Dequeued {
	c.draining = true
	var out Dequeued
	for it := c.queue.pop(false); it != nil; it = c.queue.pop(false) {
		out.Refused = append(out.Refused, Refusal{ID: it.ID, Cause: CauseDraining})
	}
	return out
}

// Offer decides on a call. The Refusal is set if the verdict is Refuse. The
// last result lists queued calls that are refused because of the new one; the
// new call may be among them.
func (c *Controller) Offer(now time.Time, it Item) (Verdict, Refusal, []Refusal) {
	if c.wouldDeadlock(it) {
		return Refuse, Refusal{ID: it.ID, Cause: CauseOverload, RetryAfter: c.RetryAfter(now)}, nil
	}
	if c.draining {
		return Refuse, Refusal{ID: it.ID, Cause: CauseDraining}, nil
	}
	it.hold = c.holdTimeOf(it.Class)
	c.offered.add(now, it.Priority, it.hold)
	c.checkShare(now, &it)
	if c.inFlight < c.Limit() && c.queue.len() == 0 && c.quota.Take(now) {
		c.inFlight++
		c.countStart(now, it.Class)
		c.recordStart(now, &it)
		c.takeShare(now, &it)
		return Start, Refusal{}, nil
	}
	late, refusal, ok := c.checkQueue(now, &it)
	if !ok {
		c.countRefusal(now, it.Class)
		return Refuse, refusal, nil
	}
	c.takeShare(now, &it)
	c.queue.push(it, late)
	return Wait, Refusal{}, c.trimQueue(now)
}

// wouldDeadlock reports whether all slots are held by calls that may be waiting
// for this one. Another upstream may be able to run it.
func (c *Controller) wouldDeadlock(it Item) bool {
	return c.inFlight >= c.Limit() && it.PossibleWaiters >= c.inFlight
}

// checkQueue decides whether a call may be queued. late reports whether it is
// queued among the calls that can't meet their target.
func (c *Controller) checkQueue(now time.Time, it *Item) (late bool, refusal Refusal, ok bool) {
	refusal = Refusal{ID: it.ID, Cause: c.overloadCause(now), RetryAfter: c.RetryAfter(now)}
	if c.queue.len() >= c.cfg.MaxQueue {
		refusal.Cause = CauseQueueFull
		return false, refusal, false
	}
	c.demote(now)
	wait := c.estimateWait(now, it, c.queue.backlogAhead(it, false))
	start := now.Add(wait)
	if start.After(it.WaitUntil) {
		return false, refusal, false
	}
	if c.overloaded(now) && wait > c.maxOverloadWait(now, it) && !it.withinShare() {
		return false, refusal, false
	}
	if !start.After(it.latestStart()) {
		return false, refusal, true
	}
	if !it.usefulAfterTarget() || c.overloaded(now) {
		return false, refusal, false
	}
	start = now.Add(c.estimateWait(now, it, c.queue.backlogAhead(it, true)))
	return true, refusal, !start.Add(it.hold).After(latestAnswer(it))
}

// maxOverloadWait returns how long a call may wait while more work is offered
// than the server can do. A longer queue would not raise the throughput, only
// delay each call. The bound is large enough to keep the slots in use.
func (c *Controller) maxOverloadWait(now time.Time, it *Item) time.Duration {
	minWait := time.Duration(2 * float64(it.hold) / c.capacity())
	if guaranteed, ok := c.guaranteedWait(now, it, it.hold); ok {
		minWait = max(minWait, guaranteed)
	}
	return max(minWait, time.Duration(overloadWaitShare*float64(it.target().Sub(now))))
}

// latestAnswer returns the latest expected time of the answer for which a call
// that can't meet its target is still queued.
func latestAnswer(it *Item) time.Time {
	grace := it.Deadline.Sub(it.target())
	return it.target().Add(time.Duration(maxLateShare * float64(grace)))
}

// demote moves the queued calls that can no longer meet their target behind the
// others of their priority.
func (c *Controller) demote(now time.Time) {
	for p := range routes.Priority(routes.NumPriorities) {
		c.queue.demote(p, now)
	}
}

// overloaded reports whether a call that can't meet its target would wait
// without ever starting: more work is offered than the server can do, or a
// queued call had to be refused within the last overloadPeriod.
func (c *Controller) overloaded(now time.Time) bool {
	return now.Before(c.overloadedUntil) || c.offered.slotsAbove(now, routes.NumPriorities) > c.capacity()
}

// refuseLate refuses all queued calls that can no longer meet their target if
// the server is overloaded. They must have been demoted before.
func (c *Controller) refuseLate(now time.Time) []Refusal {
	if !c.overloaded(now) {
		return nil
	}
	var out []Refusal
	for _, it := range c.queue.lateItems() {
		out = append(out, c.refuseQueued(now, it, c.overloadCause(now)))
	}
	return out
}

// refuseQueued removes a call from the queue that will not start for want of room.
func (c *Controller) refuseQueued(now time.Time, it *Item, cause Cause) Refusal {
	c.dequeue(now, it.ID)
	c.countRefusal(now, it.Class)
	return Refusal{ID: it.ID, Cause: cause, RetryAfter: c.RetryAfter(now)}
}

// trimQueue refuses the calls at the end of the queue that will not start in
// time, so that their callers learn it now and not when the wait is over.
func (c *Controller) trimQueue(now time.Time) []Refusal {
	out := c.refuseLate(now)
	for {
		it := c.queue.last()
		if it == nil {
			return out
		}
		ahead := c.queue.backlog()
		ahead[it.Priority] = ahead[it.Priority].plus(backlog{calls: -1, work: -it.hold})
		start := now.Add(c.estimateWait(now, it, ahead))
		if !start.After(it.WaitUntil) && !start.Add(minTimeLeft(it.hold)).After(it.Deadline) {
			return out
		}
		out = append(out, c.refuseQueued(now, it, c.overloadCause(now)))
		c.overloadedUntil = now.Add(overloadPeriod)
	}
}

// Cancel removes a call from the queue and reports whether it was queued.
func (c *Controller) Cancel(now time.Time, id string) bool { return c.dequeue(now, id) }

// Completion describes a started call that has ended.
type Completion struct {
	Class      string
	Priority   routes.Priority
	Result     Result
	Duration   time.Duration // from its start to its end
	NestedWait time.Duration // part of Duration in which the server waited for its own nested calls
}

// Done records that a started call has ended, and returns the queued calls that
// start or are refused as a result.
func (c *Controller) Done(now time.Time, d Completion) Dequeued {
	c.record(now, d)
	c.inFlight--
	return c.advance(now)
}

// Tick starts queued calls that can start, and refuses those that can no longer
// be answered in time.
func (c *Controller) Tick(now time.Time) Dequeued { return c.advance(now) }

// advance refuses the expired calls and starts others while slots are free.
func (c *Controller) advance(now time.Time) Dequeued {
	var out Dequeued
	for _, it := range c.expiredItems(now) {
		out.Refused = append(out.Refused, c.refuseQueued(now, it, CauseExpired))
		c.overloadedUntil = now.Add(overloadPeriod)
	}
	c.demote(now)
	timelyFirst := c.overloaded(now)
	for c.inFlight < c.Limit() && c.queue.len() > 0 && c.quota.Take(now) {
		it := c.popNext(now, timelyFirst)
		c.inFlight++
		c.countStart(now, it.Class)
		c.recordStart(now, it)
		out.Started = append(out.Started, *it)
	}
	out.Refused = append(out.Refused, c.refuseLate(now)...)
	return out
}

// expiredItems returns the queued calls that it is too late to start, by id.
func (c *Controller) expiredItems(now time.Time) []*Item {
	var out []*Item
	for _, it := range c.queue.byID {
		if c.expired(now, it) {
			out = append(out, it)
		}
	}
	slices.SortFunc(out, func(a, b *Item) int { return cmp.Compare(a.ID, b.ID) }) // the map order is random
	return out
}

// expired reports whether it is too late to start a queued call.
func (c *Controller) expired(now time.Time, it *Item) bool {
	if now.After(it.WaitUntil) {
		return true
	}
	return it.usefulAfterTarget() && now.Add(minTimeLeft(it.hold)).After(it.Deadline)
}
