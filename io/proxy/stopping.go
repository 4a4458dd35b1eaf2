package proxy

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/stop"
)

// stopping is what a proxy knows about the planned stop of its node.
type stopping struct {
	ended  context.Context // ends when the stop does
	endNow context.CancelFunc

	mu        sync.Mutex
	plan      stop.Plan      // zero before a planned stop
	durations stop.Durations // of calls of callers, from their arrival to their reply
}

func (s *stopping) init() { s.ended, s.endNow = context.WithCancel(context.Background()) }

// current returns the plan, and how long calls of the class of c may last.
func (s *stopping) current(now time.Time, c call.Call) (plan stop.Plan, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plan, s.durations.Longest(now, durationClass(c))
}

// durationClass returns the class of c in stop.Durations.
func durationClass(c call.Call) string { return c.Service + "/" + c.Class }

// PrepareStop announces a planned stop of the node.
func (p *Proxy) PrepareStop(plan stop.Plan) {
	p.stopping.mu.Lock()
	p.stopping.plan = plan
	p.stopping.mu.Unlock()
	time.AfterFunc(time.Until(plan.End), p.stopping.endNow)
}

// observeDuration records how long a call has taken from its arrival to its reply.
func (p *Proxy) observeDuration(c call.Call, r call.Reply, arrivedAt time.Time) {
	if r.Fate == call.NotRun {
		return
	}
	now := time.Now()
	p.stopping.mu.Lock()
	defer p.stopping.mu.Unlock()
	p.stopping.durations.Observe(now, durationClass(c), now.Sub(arrivedAt))
}

// arrivesTooLate reports whether c arrives when a planned stop takes no more calls like it.
func (p *Proxy) arrivesTooLate(c call.Call, arrivedAt time.Time) bool {
	plan, longest := p.stopping.current(arrivedAt, c)
	if plan.Takes(arrivedAt, c.Deadline, longest) {
		return false
	}
	p.recordEvent(event.RequestOutlastsStop, c, fmt.Sprintf("arrived %v before the end of the stop, the longest call of class %s has lasted %v of late, deadline in %v",
		time.Until(plan.End).Round(time.Millisecond), c.Class, longest.Round(time.Millisecond), time.Until(c.Deadline).Round(time.Millisecond)))
	return true
}

// latestStart returns when c may be started at a backend server at the latest, zero if there is
// no bound.
func (p *Proxy) latestStart(c call.Call) time.Time {
	plan, longest := p.stopping.current(time.Now(), c)
	return plan.LatestStart(c.Deadline, longest)
}
