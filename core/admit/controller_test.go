package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/admit"
	"tanagerchute/core/config"
	"tanagerchute/core/routes"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

// model tracks the calls that a Controller has queued, started and refused.
type model struct {
	t          *rapid.T
	controller *admit.Controller
	now        time.Time
	waiting    map[string]admit.Item
	running    map[string]bool
	reported   map[string]bool // started, refused or canceled
}

func (m *model) start(it admit.Item) {
	if m.reported[it.ID] {
		m.t.Fatalf("%s was reported twice", it.ID)
	}
	m.reported[it.ID] = true
	m.running[it.ID] = true
	// The limit can fall below the number of calls in flight, since running
	// calls are not stopped, but no call may start then.
	if m.controller.InFlight() > m.controller.Limit() {
		m.t.Fatalf("%s started with %d calls in flight under a limit of %d", it.ID, m.controller.InFlight(), m.controller.Limit())
	}
	delete(m.waiting, it.ID)
}

func (m *model) refuse(r admit.Refusal) {
	if m.reported[r.ID] {
		m.t.Fatalf("%s was refused after it had been reported", r.ID)
	}
	m.reported[r.ID] = true
	delete(m.waiting, r.ID)
}

func (m *model) apply(out admit.Dequeued) {
	// The started calls must be the first ones in the order of the queue, apart
	// from refused calls.
	for _, r := range out.Refused {
		m.refuse(r)
	}
	for _, it := range out.Started {
		for id, other := range m.waiting {
			if other.Priority < it.Priority && !hasStarted(out, id) {
				m.t.Fatalf("%s of priority %d started before %s of priority %d", it.ID, it.Priority, id, other.Priority)
			}
			if other.Priority == it.Priority && other.Deadline.Before(it.Deadline) && !hasStarted(out, id) {
				m.t.Fatalf("%s started before %s, which has an earlier deadline", it.ID, id)
			}
		}
		m.start(it)
	}
}

func hasStarted(out admit.Dequeued, id string) bool {
	for _, it := range out.Started {
		if it.ID == id {
			return true
		}
	}
	return false
}

// TestController checks, for random sequences of operations, the order of
// starts, the bounds on the queue and the calls in flight, and that each call
// is reported exactly once.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 4, 10
		m := &model{
			t: t, controller: admit.New(admit.Config{Slots: slots, MaxQueue: queue}), now: epoch,
			waiting: map[string]admit.Item{}, running: map[string]bool{}, reported: map[string]bool{},
		}
		offered := 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "offer", "done", "tick", "cancel"}).Draw(t, "op") {
			case "offer":
				offered++
				m.offer(offered)
			case "done":
				m.done()
			case "tick":
				m.apply(m.controller.Tick(m.now))
			case "cancel":
				m.cancel()
			}
			if m.controller.Queued() != len(m.waiting) || m.controller.Queued() > queue || m.controller.Limit() > slots {
				t.Fatalf("%d calls queued, %d expected, limit %d", m.controller.Queued(), len(m.waiting), m.controller.Limit())
			}
		}
		m.apply(m.controller.Drain())
		if len(m.waiting) > 0 {
			t.Fatalf("%d calls still wait after Drain", len(m.waiting))
		}
		if v, r, _ := m.controller.Offer(m.now, admit.Item{ID: "late"}); v != admit.Refuse || r.Cause != admit.CauseDraining {
			t.Fatalf("a call was not refused as draining after Drain")
		}
	})
}

func (m *model) offer(n int) {
	it := admit.Item{
		ID:       fmt.Sprint("c", n),
		Priority: routes.Priority(rapid.IntRange(0, int(routes.NumPriorities)-1).Draw(m.t, "priority")),
	}
	wait := time.Duration(rapid.IntRange(0, 60).Draw(m.t, "wait")) * time.Millisecond
	it.WaitUntil = m.now.Add(wait)
	it.Deadline = it.WaitUntil.Add(time.Duration(rapid.IntRange(1, 200).Draw(m.t, "left")) * time.Millisecond)
	v, r, displaced := m.controller.Offer(m.now, it)
	if v == admit.Wait {
		m.waiting[it.ID] = it
	}
	for _, d := range displaced {
		m.refuse(d)
	}
	switch v {
	case admit.Start:
		m.start(it)
	case admit.Refuse:
		m.refuse(r)
	}
}

func (m *model) done() {
	for id := range m.running {
		delete(m.running, id)
		r := rapid.SampledFrom([]admit.Result{admit.OK, admit.OK, admit.Shed, admit.TimedOut, admit.Failed}).Draw(m.t, "result")
		m.apply(m.controller.Done(m.now, admit.Completion{Result: r, Duration: 5 * time.Millisecond}))
		return
	}
}

func (m *model) cancel() {
	for id := range m.waiting {
		if !m.controller.Cancel(m.now, id) {
			m.t.Fatalf("%s was not waiting", id)
		}
		m.reported[id] = true
		delete(m.waiting, id)
		return
	}
}

// TestRefusesNestedCallThatAllSlotsWaitFor guards against a deadlock: a nested
// call waits for a slot while all slots are held by calls that may be waiting
// for it. Such a call must be refused at once, and only such a call.
func TestRefusesNestedCallThatAllSlotsWaitFor(t *testing.T) {
	is := is.New(t)
	c := admit.New(admit.Config{Slots: 2})
	offer := func(id string, waiters int) admit.Verdict {
		deadline := epoch.Add(time.Second)
		v, r, _ := c.Offer(epoch, admit.Item{ID: id, Deadline: deadline, WaitUntil: deadline, PossibleWaiters: waiters})
		if v == admit.Refuse {
			is.Equal(r.Cause, admit.CauseOverload)
			is.True(r.RetryAfter > 0)
		}
		return v
	}
	is.Equal(offer("a", 0), admit.Start)
	is.Equal(offer("b", 1), admit.Start) // a slot is free
	is.Equal(offer("c", 2), admit.Refuse)
	is.Equal(offer("d", 1), admit.Wait) // the call that does not wait for it may end
	is.Equal(offer("e", 0), admit.Wait)
}

// TestRefusesEarly checks that a call that can't start in time is refused at
// once, with a RetryAfter.
func TestRefusesEarly(t *testing.T) {
	is := is.New(t)
	c := admit.New(admit.Config{Slots: 1})
	item := func(id string, p routes.Priority, wait time.Duration) admit.Item {
		return admit.Item{ID: id, Priority: p, WaitUntil: epoch.Add(wait), Deadline: epoch.Add(wait + time.Second)}
	}
	v, _, _ := c.Offer(epoch, item("a", config.PriorityLatencySensitive, 0))
	is.Equal(v, admit.Start)
	v, r, _ := c.Offer(epoch, item("b", config.PriorityLatencySensitive, 0))
	is.Equal(v, admit.Refuse) // it may not wait
	is.True(r.RetryAfter > 0)
	// Queued calls of low priority are displaced by one of high priority.
	var displaced []admit.Refusal
	for i := range 40 {
		v, _, d := c.Offer(epoch, item(fmt.Sprint("p", i), config.PriorityDelayTolerant, 60*time.Millisecond))
		displaced = append(displaced, d...)
		if v == admit.Refuse {
			break
		}
	}
	v, _, d := c.Offer(epoch, item("booking", config.PriorityAtMostOnce, 50*time.Millisecond))
	is.Equal(v, admit.Wait)
	is.True(len(displaced)+len(d) > 0)
	out := c.Done(epoch.Add(5*time.Millisecond), admit.Completion{Duration: 5 * time.Millisecond})
	is.Equal(out.Started[0].ID, "booking")
}

// TestServiceTimeCountsAbandonedCalls simulates a server that becomes slow, so
// that most of its callers give up before the answer. If the service time
// counted only the few calls that were short enough to be answered, the server
// would look fast.
func TestServiceTimeCountsAbandonedCalls(t *testing.T) {
	is := is.New(t)
	c := admit.New(admit.Config{Slots: 4})
	now := epoch
	run := func(r admit.Result, duration time.Duration) {
		now = now.Add(10 * time.Millisecond)
		v, _, _ := c.Offer(now, admit.Item{ID: now.String(), Deadline: now.Add(time.Second), WaitUntil: now})
		is.Equal(v, admit.Start)
		c.Done(now.Add(duration), admit.Completion{Result: r, Duration: duration})
	}
	for range 30 {
		run(admit.OK, 50*time.Millisecond)
	}
	is.True(c.ServiceTime() < 60*time.Millisecond)
	for i := range 40 {
		if i%4 == 0 {
			run(admit.OK, 60*time.Millisecond)
			continue
		}
		run(admit.Failed, 600*time.Millisecond) // its caller has given up
	}
	is.True(c.ServiceTime() > 300*time.Millisecond)
	before := c.ServiceTime()
	run(admit.Failed, time.Millisecond) // a call that fails at once does not lower the service time
	is.Equal(c.ServiceTime(), before)
}

// TestTimelyBeforeLate offers load at twice the capacity. Calls that can still
// meet their target must start before those that can't, so that the server
// spends its time on the answers that are worth most. Once the overload has
// been measured for a while, calls that will not be served must be refused
// early.
func TestTimelyBeforeLate(t *testing.T) {
	is := is.New(t)
	const work, interval = 100 * time.Millisecond, 25 * time.Millisecond // four calls arrive while each of two slots runs one
	c := admit.New(admit.Config{Slots: 2})
	const warmup = 2 * time.Second
	target, deadline := 300*time.Millisecond, 1200*time.Millisecond
	arrived := map[string]time.Time{}
	ends := map[string]time.Time{}
	timely, late, longestWait := 0, 0, time.Duration(0)
	refuse := func(now time.Time, rs []admit.Refusal) {
		for _, r := range rs {
			if arrived[r.ID].Sub(epoch) > warmup {
				longestWait = max(longestWait, now.Sub(arrived[r.ID]))
			}
		}
	}
	start := func(now time.Time, id string) { ends[id] = now.Add(work) }
	var now time.Time
	for i := range 400 {
		now = epoch.Add(time.Duration(i) * interval)
		for id, end := range ends {
			if end.After(now) {
				continue
			}
			delete(ends, id)
			if end.Sub(arrived[id]) <= target {
				timely++
			} else {
				late++
			}
			out := c.Done(now, admit.Completion{Duration: work})
			refuse(now, out.Refused)
			for _, it := range out.Started {
				start(now, it.ID)
			}
		}
		id := now.String()
		arrived[id] = now
		it := admit.Item{ID: id, Target: now.Add(target), Deadline: now.Add(deadline), WaitUntil: now.Add(deadline)}
		v, r, displaced := c.Offer(now, it)
		refuse(now, displaced)
		switch v {
		case admit.Start:
			start(now, id)
		case admit.Refuse:
			refuse(now, []admit.Refusal{r})
		}
	}
	t.Logf("%d timely, %d late, refused after at most %v", timely, late, longestWait)
	is.True(timely >= 9*late)     // nearly all answers are in time
	is.True(timely+late > 180)    // the slots stay in use
	is.True(longestWait < target) // no call waits long and is then refused
}
