package core_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerchute/core/admit"
	"tanagerchute/core/budget"
	"tanagerchute/core/call"
	"tanagerchute/core/pick"
	"tanagerchute/core/quota"
	"tanagerchute/core/resend"
	"tanagerchute/core/routes"
	"tanagerchute/core/waits"
)

// simulation runs the decisions on calls in virtual time: the choice of an
// upstream at each node, admission at each upstream, resends, and clients that
// retry after RetryAfter. The decisions are made by the product's own packages;
// only the network and the work of the backend servers are simulated.
type simulation struct {
	now                 time.Time
	events              eventQueue
	rng                 *rand.Rand // for the routing of calls and their outcomes
	arrivals            *rand.Rand // for the arrival of requests; a source of its own, so that decisions do not change arrivals
	policy              policy
	nodes               []*simNode
	upstreams           []*simUpstream
	classes             map[string]class
	requests            []*request
	lastID              int
	isolatedZone        string // zone whose links to other zones are down
	refusedWithFreeSlot int    // refusals by an upstream that had a free slot
	nestedCalls         int    // calls that executions make
	nestedRefused       int    // of these, that were refused for load
	attempts            int    // calls sent to an upstream
	crossZone           int    // calls to another zone
	crossZoneLarge      int    // calls to another zone with a large answer
}

// policy disables parts of the product, for baselines to compare with.
type policy struct {
	roundRobin      bool // upstreams in turn, in any zone, without resends
	noAdmission     bool // first come, first served, without refusals
	noLocality      bool // no cost for another zone
	noQuota         bool // upstreams ignore the rate limits that their servers name
	hiddenQuota     bool // upstreams do not tell the callers' nodes of those limits
	forgetsRefusals bool // callers that return are not recognised by their deadline
	alwaysMoves     bool // a refused call goes on to other upstreams, whether or not they are full
	noWaits         bool // the target counts from each arrival, also that of a caller that returns
}

// Latencies and delays of the simulated network.
const (
	sameZoneLatency  = 250 * time.Microsecond
	crossZoneLatency = 3500 * time.Microsecond
	ackTimeout       = 300 * time.Millisecond  // until an unacknowledged call is given up
	detectionDelay   = 1500 * time.Millisecond // until all nodes know that an upstream has stopped
)

// class describes a kind of request.
type class struct {
	name        string // set by newSimulation
	service     string
	priority    routes.Priority
	safe        bool
	target      time.Duration
	deadline    time.Duration
	work        time.Duration // mean duration at an upstream of speed 1
	value       float64       // value of an answer by the target
	lateValue   float64       // value of an answer between target and deadline
	maxRetries  int
	large       bool
	nested      string // class of the nested calls that each execution makes
	nestedCalls int    // number of concurrent nested calls of each execution
}

// minorDifference is the largest difference between the times for which clients
// wait, relative to the deadline of the class.
const minorDifference = 0.15

// request is one request of a client and its outcome.
type request struct {
	class         string
	zone          string
	node          *simNode // on the instance of its client
	at            time.Time
	patience      float64 // share of the deadline of the class for which its client waits
	attempts      int
	retriesAtOnce bool // ignores RetryAfter and makes up to four times as many attempts
	abandonsAt    time.Time
	answeredAt    time.Time // zero if it got no good answer
	refused       bool      // the last attempt was refused
}

type scheduledEvent struct {
	at     time.Time
	seq    int // order of events at the same time
	action func()
}

type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simNode is the node next to an upstream.
type simNode struct {
	zone            string
	picker          *pick.Picker
	budgets         map[string]*budget.Budget // by service
	waits           *waits.Estimator
	roundRobinIndex int
}

// simUpstream is an upstream with its admission controller.
type simUpstream struct {
	id          string
	service     string
	node        *simNode
	slots       int
	speed       float64
	slowdown    float64 // factor on the duration of its work
	failureRate float64 // share of calls that fail at once
	warmupEnd   time.Time
	stoppedAt   time.Time // when it stopped responding, zero if it has not
	controller  *admit.Controller
	namedRate   float64     // requests a second that its answers name as its limit, 0 for none
	starts      []time.Time // of the calls that it ran
	running     int         // running calls, used without admission
	waiting     map[string]func(start bool, refusal admit.Refusal)
	fifo        []func() // waiting calls, used without admission
}

func newSimulation(seed uint64, p policy, classes map[string]class) *simulation {
	for name, c := range classes {
		c.name = name
		classes[name] = c
	}
	return &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 3)), policy: p, classes: classes}
}

// addUpstreams adds n upstreams of a service, with their nodes, in a zone.
func (s *simulation) addUpstreams(service, zone string, n int, speeds ...float64) {
	for range n {
		pickerConfig := pick.DefaultConfig(rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
		if s.policy.noLocality {
			pickerConfig.RemotePenalty, pickerConfig.RemoteLargePenalty, pickerConfig.LocalTargetFraction = 0, 0, 0
		}
		node := &simNode{zone: zone, picker: pick.New(pickerConfig), budgets: map[string]*budget.Budget{}, waits: waits.New()}
		s.nodes = append(s.nodes, node)
		s.startUpstream(service, node, speeds[len(s.upstreams)%len(speeds)], time.Time{})
	}
}

// startUpstream adds an upstream to a node.
func (s *simulation) startUpstream(service string, node *simNode, speed float64, warmupEnd time.Time) *simUpstream {
	const slots = 12
	u := &simUpstream{
		id: fmt.Sprint("up-", len(s.upstreams)), service: service, node: node, slots: slots, speed: speed, slowdown: 1, warmupEnd: warmupEnd,
		controller: admit.New(admit.Config{Slots: slots}), waiting: map[string]func(bool, admit.Refusal){},
	}
	s.upstreams = append(s.upstreams, u)
	return u
}

func (s *simulation) after(d time.Duration, action func()) { s.at(s.now.Add(d), action) }

func (s *simulation) at(at time.Time, action func()) {
	s.lastID++
	heap.Push(&s.events, scheduledEvent{at, s.lastID, action})
}

// run processes the events up to the time d after the start.
func (s *simulation) run(d time.Duration) {
	s.tick()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(scheduledEvent)
		if e.at.After(epoch.Add(d)) {
			return
		}
		s.now = e.at
		e.action()
	}
}

// tick lets the admission controllers refuse calls that have waited too long.
func (s *simulation) tick() {
	for _, u := range s.upstreams {
		if u.controller.Queued() > 0 {
			s.deliver(u, u.controller.Tick(s.now))
		}
	}
	s.after(10*time.Millisecond, s.tick)
}

// generateTraffic creates requests of a class from clients of a zone. rate
// returns the requests a second by the time since the start.
func (s *simulation) generateTraffic(zone, className string, until time.Duration, rate func(at time.Duration) float64, customize func(*request)) {
	var next func()
	next = func() {
		at := s.now.Sub(epoch)
		if at >= until {
			return
		}
		if r := rate(at); r > 0 {
			req := &request{class: className, zone: zone, at: s.now, patience: 1 - minorDifference*s.arrivals.Float64()}
			if customize != nil {
				customize(req)
			}
			s.requests = append(s.requests, req)
			s.sendRequest(req)
			s.after(time.Duration(s.arrivals.ExpFloat64()/r*float64(time.Second)), next)
			return
		}
		s.after(100*time.Millisecond, next)
	}
	s.after(0, next)
}

// sendRequest sends one attempt at a request to a random node of its zone.
func (s *simulation) sendRequest(req *request) {
	req.attempts++
	c := s.classes[req.class]
	if req.node == nil {
		req.node = s.randomNode(req.zone)
	}
	left := req.at.Add(time.Duration(req.patience * float64(c.deadline))).Sub(s.now)
	s.sendCall(req.node, req.class, left, func(r call.Reply) { s.handleReply(req, c, r) })
}

// randomNode returns a node of a zone.
func (s *simulation) randomNode(zone string) *simNode {
	var sameZone []*simNode
	for _, n := range s.nodes {
		if n.zone == zone {
			sameZone = append(sameZone, n)
		}
	}
	return sameZone[s.rng.IntN(len(sameZone))]
}

// handleReply records a reply to a client, or schedules a retry.
func (s *simulation) handleReply(req *request, c class, r call.Reply) {
	if !req.abandonsAt.IsZero() && s.now.After(req.abandonsAt) {
		return
	}
	if r.Fate == call.Answered && r.Status < 500 {
		req.answeredAt = s.now
		return
	}
	req.refused = r.Fate == call.NotRun
	left := req.at.Add(c.deadline).Sub(s.now)
	maxAttempts := 1 + c.maxRetries
	if req.retriesAtOnce {
		maxAttempts *= 4
	}
	if req.attempts >= maxAttempts || left <= 0 || r.Fate != call.NotRun && !c.safe {
		return
	}
	delay := min(r.RetryAfter, left/3)
	if req.retriesAtOnce {
		delay = 0
	}
	s.after(delay, func() { s.sendRequest(req) })
}

// sendCall sends a call from a node to an upstream, resends it where the
// product would, and passes the final reply to onReply.
func (s *simulation) sendCall(from *simNode, className string, left time.Duration, onReply func(call.Reply)) {
	c := s.classes[className]
	deadline := s.now.Add(min(left, c.deadline))
	retryBudget, ok := from.budgets[c.service]
	if !ok {
		retryBudget = budget.New(budget.Config{Ratio: 0.1, Burst: 5})
		from.budgets[c.service] = retryBudget
	}
	retryBudget.Earn()
	target := s.now.Add(c.target)
	if !s.policy.noWaits {
		callerDeadline := s.now.Add(left)
		asked := s.now.Add(-from.waits.Observe(s.now, className, left))
		target = asked.Add(c.target)
		reply := onReply
		onReply = func(r call.Reply) {
			if r.Fate == call.NotRun && r.RetryAfter > 0 && !s.policy.forgetsRefusals {
				from.waits.Refused(s.now, waits.Refusal{Route: className, Deadline: callerDeadline, AskedAt: asked, ReturnAt: s.now.Add(r.RetryAfter)})
			}
			reply(r)
		}
	}
	var tried []string
	var grantedUpstream *simUpstream // chosen for a resend that the budget has granted
	tracker := resend.New(resend.Config{Idempotent: c.safe, MaxUpstreams: 2, Deadline: deadline, Spend: func() bool {
		if s.policy.roundRobin {
			return false
		}
		u := s.pickUpstream(from, c, target, tried, false)
		if u == nil || from.picker.AvoidResend(u.id) || !retryBudget.Spend() {
			return false
		}
		grantedUpstream = u
		return true
	}})
	var next func()
	refused := false // by an upstream without room
	next = func() {
		u := grantedUpstream
		grantedUpstream = nil
		if u == nil {
			u = s.pickUpstream(from, c, target, tried, refused)
		}
		if u == nil {
			if len(tried) > 0 {
				onReply(tracker.Final())
			} else {
				onReply(call.Refuse(call.NotRun, call.CauseNoUpstream, time.Second))
			}
			return
		}
		tried = append(tried, u.id)
		from.picker.Sent(s.now, u.id)
		sent := s.now
		s.attempt(from, u, c, target, deadline, func(r call.Reply) {
			from.picker.Done(s.now, u.id, pick.Outcome{Result: pickResult(r), Class: c.name, Latency: s.now.Sub(sent), Load: r.Load})
			if tracker.Next(s.now, r) {
				refused = r.RefusedForLoad() && !s.policy.alwaysMoves
				next()
				return
			}
			onReply(tracker.Final())
		})
	}
	next()
}

// pickResult classifies a reply for the picker, as a node does that can't
// assign nested calls to the calls that caused them.
func pickResult(r call.Reply) pick.Result {
	switch {
	case r.Fate == call.Answered && r.Status >= 500, r.Fate == call.Unknown && r.Replied:
		return pick.AmbiguousError
	case r.Fate == call.Answered:
		return pick.Success
	case r.Fate == call.NotRun && r.Replied:
		return pick.Refused
	}
	return pick.TransportError
}

// pickUpstream chooses among the upstreams that the node does not know to have stopped.
func (s *simulation) pickUpstream(from *simNode, c class, target time.Time, tried []string, refused bool) *simUpstream {
	var cs []pick.Candidate
	byID := map[string]*simUpstream{}
	for _, u := range s.upstreams {
		if u.service != c.service || !u.stoppedAt.IsZero() && s.now.Sub(u.stoppedAt) > detectionDelay {
			continue
		}
		byID[u.id] = u
		cs = append(cs, pick.Candidate{ID: u.id, Slots: u.slots, Remote: u.node.zone != from.zone, WarmupEnd: u.warmupEnd})
	}
	if s.policy.roundRobin {
		cs = slices.DeleteFunc(cs, func(c pick.Candidate) bool { return slices.Contains(tried, c.ID) })
		if len(cs) == 0 {
			return nil
		}
		from.roundRobinIndex++
		return byID[cs[from.roundRobinIndex%len(cs)].ID]
	}
	got, _, ok := from.picker.Pick(s.now, cs, pick.Criteria{Exclude: tried, LargeResponse: c.large, Target: target, Class: c.name, Refused: refused})
	if !ok {
		return nil
	}
	return byID[got.ID]
}

// attempt sends a call to an upstream once.
func (s *simulation) attempt(from *simNode, u *simUpstream, c class, target, deadline time.Time, onReply func(call.Reply)) {
	s.attempts++
	latency := sameZoneLatency
	if u.node.zone != from.zone {
		latency = crossZoneLatency
		s.crossZone++
		if c.large {
			s.crossZoneLarge++
		}
	}
	partitioned := u.node.zone != from.zone && (u.node.zone == s.isolatedZone || from.zone == s.isolatedZone)
	finished := false
	finish := func(r call.Reply) {
		if !finished {
			finished = true
			onReply(r)
		}
	}
	if partitioned || !u.stoppedAt.IsZero() {
		s.after(ackTimeout, func() { finish(call.Reply{Fate: call.Unknown, Cause: call.CauseSilent}) })
		return
	}
	s.at(deadline, func() { finish(call.Refuse(call.Unknown, call.CauseDeadline, 0)) })
	s.after(latency, func() {
		s.offer(u, c, target, deadline, func(r call.Reply) {
			r.Load = pick.Load{InFlight: u.controller.InFlight(), Queued: u.controller.Queued(), Limit: u.controller.Limit(), ServiceTime: u.controller.ServiceTime()}
			if !s.policy.alwaysMoves {
				r.Load.Acceptance = u.controller.Acceptance(s.now, c.name)
			}
			if rate, limited := u.controller.Quota().Rate(); limited && !s.policy.hiddenQuota {
				r.Load.RateLimit, r.Load.QuotaWait = rate, u.controller.QuotaWait(s.now)
			}
			s.after(latency, func() { finish(r) })
		})
	})
}

// offer offers a call to the admission controller of an upstream.
func (s *simulation) offer(u *simUpstream, c class, target, deadline time.Time, onReply func(call.Reply)) {
	if s.policy.noAdmission {
		s.offerWithoutAdmission(u, c, deadline, onReply)
		return
	}
	s.lastID++
	id := fmt.Sprint(s.lastID)
	onDecision := func(start bool, refusal admit.Refusal) {
		if !start {
			if u.controller.InFlight() < u.controller.Limit() && u.controller.QuotaWait(s.now) == 0 && refusal.Cause != admit.CauseDraining {
				s.refusedWithFreeSlot++
			}
			onReply(call.Refuse(call.NotRun, string(refusal.Cause), refusal.RetryAfter))
			return
		}
		started := s.now
		u.starts = append(u.starts, started)
		s.execute(u, c, deadline, func(r call.Reply) {
			result := admit.OK
			if r.Fate != call.Answered || r.Status >= 500 {
				result = admit.Failed
			}
			if !s.policy.noQuota {
				a := quota.Answer{SentAt: started, ReceivedAt: s.now, Limited: u.namedRate > 0, Rate: u.namedRate}
				_, refused := u.controller.ObserveLimit(a)
				s.deliver(u, refused)
			}
			onReply(r)
			s.deliver(u, u.controller.Done(s.now, admit.Completion{Class: c.name, Priority: c.priority, Result: result, Duration: s.now.Sub(started)}))
		})
	}
	it := admit.Item{ID: id, Class: c.name, Priority: c.priority, Target: target, Deadline: deadline, WaitUntil: deadline}
	v, refusal, displaced := u.controller.Offer(s.now, it)
	if v == admit.Wait {
		u.waiting[id] = onDecision
	}
	s.deliver(u, admit.Dequeued{Refused: displaced})
	switch v {
	case admit.Start:
		onDecision(true, refusal)
	case admit.Refuse:
		onDecision(false, refusal)
	}
}

// deliver starts or refuses calls that have left the queue of an upstream.
func (s *simulation) deliver(u *simUpstream, out admit.Dequeued) {
	for _, it := range out.Started {
		onDecision := u.waiting[it.ID]
		delete(u.waiting, it.ID)
		onDecision(true, admit.Refusal{})
	}
	for _, r := range out.Refused {
		onDecision := u.waiting[r.ID]
		delete(u.waiting, r.ID)
		onDecision(false, r)
	}
}

// offerWithoutAdmission runs calls in order of arrival and refuses none.
func (s *simulation) offerWithoutAdmission(u *simUpstream, c class, deadline time.Time, onReply func(call.Reply)) {
	run := func() {
		u.running++
		s.execute(u, c, deadline, func(r call.Reply) {
			u.running--
			onReply(r)
			if len(u.fifo) > 0 && u.running < u.slots {
				first := u.fifo[0]
				u.fifo = u.fifo[1:]
				first()
			}
		})
	}
	if u.running < u.slots {
		run()
		return
	}
	u.fifo = append(u.fifo, run)
}

// execute runs a call and its nested calls at an upstream. The duration of the
// work is log-normal, like that of real work, with the mean of its class.
func (s *simulation) execute(u *simUpstream, c class, deadline time.Time, onReply func(call.Reply)) {
	if s.rng.Float64() < u.failureRate {
		s.after(time.Millisecond, func() { onReply(call.Reply{Fate: call.Answered, Status: 500, Replied: true}) })
		return
	}
	const sigma = 0.5
	duration := float64(c.work) / u.speed * u.slowdown * math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2)
	if s.now.Before(u.warmupEnd) {
		duration *= 2
	}
	if c.nested == "" {
		s.after(time.Duration(duration), func() { onReply(call.Reply{Fate: call.Answered, Status: 200, Replied: true}) })
		return
	}
	s.after(time.Duration(duration), func() {
		pending, failed := c.nestedCalls, false
		for range c.nestedCalls {
			s.nestedCalls++
			s.sendCall(u.node, c.nested, deadline.Sub(s.now), func(r call.Reply) {
				if r.Fate == call.NotRun {
					s.nestedRefused++
				}
				if failed {
					return
				}
				if pending--; r.Fate != call.Answered || r.Status >= 500 {
					failed = true
					onReply(call.Reply{Fate: call.Answered, Status: 500, Replied: true})
				} else if pending == 0 {
					onReply(call.Reply{Fate: call.Answered, Status: 200, Replied: true})
				}
			})
		}
	})
}

// stopResponding makes an upstream stop responding without notice.
func (s *simulation) stopResponding(u *simUpstream) { u.stoppedAt = s.now }

// tally counts the outcomes of the requests of a period.
type tally struct {
	requests, inTime, late, refused, failed int
	value                                   float64 // value of the answers divided by the value if all requests were answered in time
}

// tally counts the requests of a class, or of all classes if className is
// empty, that were made in a period. Requests that their clients abandon are
// left out.
func (s *simulation) tally(className string, from, to time.Duration) tally {
	var t tally
	var gained, possible float64
	for _, req := range s.requests {
		at := req.at.Sub(epoch)
		if at < from || at >= to || className != "" && req.class != className || !req.abandonsAt.IsZero() {
			continue
		}
		c := s.classes[req.class]
		t.requests++
		possible += c.value
		switch {
		case req.answeredAt.IsZero() && req.refused:
			t.refused++
		case req.answeredAt.IsZero():
			t.failed++
		case req.answeredAt.Sub(req.at) <= c.target:
			t.inTime++
			gained += c.value
		default:
			t.late++
			gained += c.lateValue
		}
	}
	if possible > 0 {
		t.value = gained / possible
	}
	return t
}

// String formats the tally on one line.
func (t tally) String() string {
	return fmt.Sprintf("requests %d, in time %d, late %d, refused %d, failed %d, value %.3f", t.requests, t.inTime, t.late, t.refused, t.failed, t.value)
}

// zoneValues returns the value of the answers to the requests of each zone.
func (s *simulation) zoneValues(from, to time.Duration) []float64 {
	var out []float64
	for _, zone := range zones {
		inZone := &simulation{classes: s.classes}
		for _, req := range s.requests {
			if req.zone == zone {
				inZone.requests = append(inZone.requests, req)
			}
		}
		out = append(out, inZone.tally("", from, to).value)
	}
	return out
}
