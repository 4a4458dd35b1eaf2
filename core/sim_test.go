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
	"tanagerchute/core/resend"
	"tanagerchute/core/route"
	"tanagerchute/core/table"
)

// sim plays the decisions on calls in virtual time: the choice of an upstream
// at each node, admission at each upstream, resends, and clients that come back
// when they are told to. It stands for the network and the work only.
type sim struct {
	now       time.Time
	agenda    agenda
	rng       *rand.Rand // for what happens to calls
	arrivals  *rand.Rand // for when clients come, the same whatever is decided
	policy    policy
	nodes     []*simNode
	upstreams []*simUpstream
	classes   map[string]class
	asked     []*asked
	lastID    int
	cutZone   string // its links to other zones are down
	roomy     int    // refusals for load by an upstream that had a slot free
	far       int    // calls to another zone
	farLarge  int    // of those, with a large answer
}

// policy switches parts of the product off, as baselines to measure against.
type policy struct {
	roundRobin  bool // every upstream in turn, wherever it is
	noAdmission bool // first come, first served, and nothing refused
	noLocality  bool // another zone costs nothing
}

// Times of the network.
const (
	nearWay   = 250 * time.Microsecond
	farWay    = 3500 * time.Microsecond
	ackWait   = 300 * time.Millisecond  // for the word that a call has arrived
	newsDelay = 1500 * time.Millisecond // until all nodes know that an upstream is gone
)

// class is a kind of request.
type class struct {
	service  string
	priority table.Priority
	safe     bool
	target   time.Duration
	deadline time.Duration
	work     time.Duration // mean, at an upstream of speed 1
	worth    float64
	late     float64 // worth after the target
	retries  int
	large    bool
	nested   string // class of the calls that a run makes
	times    int    // calls of a run, together
}

// asked is one request of a client with what came of it.
type asked struct {
	class    string
	zone     string
	at       time.Time
	tries    int
	abuse    bool // comes back at once, whatever it is told
	leaves   time.Time
	answered time.Time // zero if it was not served
	refused  bool      // the last word was a refusal
}

type planned struct {
	at time.Time
	n  int // of agenda at the same time, the first planned comes first
	do func()
}

type agenda []planned

// Len implements heap.Interface.
func (e agenda) Len() int { return len(e) }

// Less implements heap.Interface.
func (e agenda) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].n < e[j].n
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e agenda) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *agenda) Push(x any) { *e = append(*e, x.(planned)) }

// Pop implements heap.Interface.
func (e *agenda) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is a node beside an upstream.
type simNode struct {
	zone   string
	picker *route.Picker
	budget map[string]*budget.Budget // by service
	turn   int
}

// simUpstream is an upstream with its gatekeeper.
type simUpstream struct {
	id      string
	service string
	node    *simNode
	slots   int
	speed   float64
	slow    float64 // factor on the time of its work
	grey    float64 // share of calls that it fails at once
	cold    time.Time
	gone    time.Time // when it fell silent, zero if it has not
	gate    *admit.Controller
	busy    int // calls that run, for a server without admission
	waiting map[string]func(start bool, why admit.Refusal)
	fifo    []func() // that wait without admission
}

func newSim(seed uint64, p policy, classes map[string]class) *sim {
	return &sim{now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 3)), policy: p, classes: classes}
}

// add adds n upstreams of a service with their nodes in a zone.
func (s *sim) add(service, zone string, n int, speeds ...float64) {
	for range n {
		rc := route.DefaultConfig(rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
		if s.policy.noLocality {
			rc.RemotePenalty, rc.RemoteLargePenalty, rc.LocalTargetFraction = 0, 0, 0
		}
		node := &simNode{zone: zone, picker: route.New(rc), budget: map[string]*budget.Budget{}}
		s.nodes = append(s.nodes, node)
		s.start(service, node, speeds[len(s.upstreams)%len(speeds)], time.Time{})
	}
}

// start starts an upstream beside a node.
func (s *sim) start(service string, node *simNode, speed float64, cold time.Time) *simUpstream {
	const slots = 12
	u := &simUpstream{
		id: fmt.Sprint("up-", len(s.upstreams)), service: service, node: node, slots: slots, speed: speed, slow: 1, cold: cold,
		gate: admit.New(admit.Config{Slots: slots}), waiting: map[string]func(bool, admit.Refusal){},
	}
	s.upstreams = append(s.upstreams, u)
	return u
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

func (s *sim) at(at time.Time, do func()) {
	s.lastID++
	heap.Push(&s.agenda, planned{at, s.lastID, do})
}

// run plays until the end of the time d from the start.
func (s *sim) run(d time.Duration) {
	s.tick()
	for len(s.agenda) > 0 {
		e := heap.Pop(&s.agenda).(planned)
		if e.at.After(epoch.Add(d)) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// tick lets the gatekeepers refuse what has waited in vain.
func (s *sim) tick() {
	for _, u := range s.upstreams {
		if u.gate.Queued() > 0 {
			s.follow(u, u.gate.Tick(s.now))
		}
	}
	s.after(10*time.Millisecond, s.tick)
}

// traffic lets clients of a zone ask for a class, rate times a second by the
// time since the start.
func (s *sim) traffic(zone, name string, until time.Duration, rate func(at time.Duration) float64, mark func(*asked)) {
	var next func()
	next = func() {
		at := s.now.Sub(epoch)
		if at >= until {
			return
		}
		if r := rate(at); r > 0 {
			a := &asked{class: name, zone: zone, at: s.now}
			if mark != nil {
				mark(a)
			}
			s.asked = append(s.asked, a)
			s.ask(a)
			s.after(time.Duration(s.arrivals.ExpFloat64()/r*float64(time.Second)), next)
			return
		}
		s.after(100*time.Millisecond, next)
	}
	s.after(0, next)
}

// ask makes one try of a client at a node of its zone.
func (s *sim) ask(a *asked) {
	a.tries++
	c := s.classes[a.class]
	var near []*simNode
	for _, n := range s.nodes {
		if n.zone == a.zone {
			near = append(near, n)
		}
	}
	node := near[s.rng.IntN(len(near))]
	left := a.at.Add(c.deadline).Sub(s.now)
	s.call(node, a.class, left, func(r call.Reply) { s.told(a, c, r) })
}

// told is a client's way with an answer.
func (s *sim) told(a *asked, c class, r call.Reply) {
	if !a.leaves.IsZero() && s.now.After(a.leaves) {
		return
	}
	if r.Fate == call.Answered && r.Status < 500 {
		a.answered = s.now
		return
	}
	a.refused = r.Fate == call.NotRun
	left := a.at.Add(c.deadline).Sub(s.now)
	most := 1 + c.retries
	if a.abuse {
		most *= 4
	}
	if a.tries >= most || left <= 0 || r.Fate != call.NotRun && !c.safe {
		return
	}
	pause := min(r.RetryAfter, left/3)
	if a.abuse {
		pause = 0
	}
	s.after(pause, func() { s.ask(a) })
}

// call brings a call from a node to an upstream, and tells then what came of
// it.
func (s *sim) call(from *simNode, name string, left time.Duration, then func(call.Reply)) {
	c := s.classes[name]
	deadline := s.now.Add(min(left, c.deadline))
	resends, ok := from.budget[c.service]
	if !ok {
		resends = budget.New(budget.Config{Ratio: 0.1, Burst: 5})
		from.budget[c.service] = resends
	}
	resends.Earn()
	target := s.now.Add(c.target)
	var tried []string
	var paid *simUpstream // the upstream of a resend that has been paid for
	course := resend.New(resend.Config{Idempotent: c.safe, MaxUpstreams: 2, Deadline: deadline, Spend: func() bool {
		if s.policy.roundRobin {
			return false
		}
		u := s.pick(from, c, target, tried)
		if u == nil || from.picker.AvoidResend(u.id) || !resends.Spend() {
			return false
		}
		paid = u
		return true
	}})
	var next func()
	next = func() {
		u := paid
		paid = nil
		if u == nil {
			u = s.pick(from, c, target, tried)
		}
		if u == nil {
			if len(tried) > 0 {
				then(course.Final())
			} else {
				then(call.Refuse(call.NotRun, call.CauseNoUpstream, time.Second))
			}
			return
		}
		tried = append(tried, u.id)
		from.picker.Sent(s.now, u.id)
		sent := s.now
		s.attempt(from, u, c, target, deadline, func(r call.Reply) {
			from.picker.Done(s.now, u.id, route.Outcome{Result: simResult(r), Latency: s.now.Sub(sent), Load: r.Load})
			if course.Next(s.now, r) {
				next()
				return
			}
			then(course.Final())
		})
	}
	next()
}

// simResult is what a reply says of the upstream, as nodes judge it whose
// upstreams' own calls can't be told from others.
func simResult(r call.Reply) route.Result {
	switch {
	case r.Fate == call.Answered && r.Status >= 500, r.Fate == call.Unknown && r.Replied:
		return route.AmbiguousError
	case r.Fate == call.Answered:
		return route.Success
	case r.Fate == call.NotRun && r.Replied:
		return route.Refused
	}
	return route.TransportError
}

// pick chooses an upstream of those that the node believes to be there.
func (s *sim) pick(from *simNode, c class, target time.Time, tried []string) *simUpstream {
	var cs []route.Candidate
	by := map[string]*simUpstream{}
	for _, u := range s.upstreams {
		if u.service != c.service || !u.gone.IsZero() && s.now.Sub(u.gone) > newsDelay {
			continue
		}
		by[u.id] = u
		cs = append(cs, route.Candidate{ID: u.id, Slots: u.slots, Remote: u.node.zone != from.zone, WarmUntil: u.cold})
	}
	if s.policy.roundRobin {
		cs = slices.DeleteFunc(cs, func(c route.Candidate) bool { return slices.Contains(tried, c.ID) })
		if len(cs) == 0 {
			return nil
		}
		from.turn++
		return by[cs[from.turn%len(cs)].ID]
	}
	got, _, ok := from.picker.Pick(s.now, cs, route.Criteria{Exclude: tried, LargeResponse: c.large, Target: target})
	if !ok {
		return nil
	}
	return by[got.ID]
}

// attempt sends a call to the gatekeeper of an upstream.
func (s *sim) attempt(from *simNode, u *simUpstream, c class, target, deadline time.Time, then func(call.Reply)) {
	way := nearWay
	if u.node.zone != from.zone {
		way = farWay
		s.far++
		if c.large {
			s.farLarge++
		}
	}
	apart := u.node.zone != from.zone && (u.node.zone == s.cutZone || from.zone == s.cutZone)
	over := false
	end := func(r call.Reply) {
		if !over {
			over = true
			then(r)
		}
	}
	if apart || !u.gone.IsZero() {
		s.after(ackWait, func() { end(call.Reply{Fate: call.Unknown, Cause: call.CauseSilent}) })
		return
	}
	s.at(deadline, func() { end(call.Refuse(call.Unknown, call.CauseDeadline, 0)) })
	s.after(way, func() {
		s.offer(u, c, target, deadline, func(r call.Reply) {
			r.Load = route.Load{InFlight: u.gate.InFlight(), Queued: u.gate.Queued(), Limit: u.gate.Limit(), ServiceTime: u.gate.ServiceTime()}
			s.after(way, func() { end(r) })
		})
	})
}

// offer asks the gatekeeper for admission.
func (s *sim) offer(u *simUpstream, c class, target, deadline time.Time, then func(call.Reply)) {
	if s.policy.noAdmission {
		s.queueUp(u, c, deadline, then)
		return
	}
	s.lastID++
	id := fmt.Sprint(s.lastID)
	begin := func(start bool, why admit.Refusal) {
		if !start {
			if u.gate.InFlight() < u.gate.Limit() && why.Cause != admit.CauseDraining {
				s.roomy++
			}
			then(call.Refuse(call.NotRun, string(why.Cause), why.RetryAfter))
			return
		}
		began := s.now
		s.work(u, c, deadline, func(r call.Reply) {
			result := admit.OK
			if r.Fate != call.Answered || r.Status >= 500 {
				result = admit.Failed
			}
			then(r)
			s.follow(u, u.gate.Done(s.now, admit.Completion{Priority: c.priority, Result: result, Duration: s.now.Sub(began)}))
		})
	}
	it := admit.Item{ID: id, Priority: c.priority, Target: target, Deadline: deadline, WaitUntil: deadline}
	v, why, displaced := u.gate.Offer(s.now, it)
	if v == admit.Wait {
		u.waiting[id] = begin
	}
	s.follow(u, admit.Dequeued{Refused: displaced})
	switch v {
	case admit.Start:
		begin(true, why)
	case admit.Refuse:
		begin(false, why)
	}
}

// follow tells those who waited at an upstream.
func (s *sim) follow(u *simUpstream, out admit.Dequeued) {
	for _, it := range out.Started {
		begin := u.waiting[it.ID]
		delete(u.waiting, it.ID)
		begin(true, admit.Refusal{})
	}
	for _, r := range out.Refused {
		begin := u.waiting[r.ID]
		delete(u.waiting, r.ID)
		begin(false, r)
	}
}

// queueUp is the way without admission.
func (s *sim) queueUp(u *simUpstream, c class, deadline time.Time, then func(call.Reply)) {
	run := func() {
		u.busy++
		s.work(u, c, deadline, func(r call.Reply) {
			u.busy--
			then(r)
			if len(u.fifo) > 0 && u.busy < u.slots {
				first := u.fifo[0]
				u.fifo = u.fifo[1:]
				first()
			}
		})
	}
	if u.busy < u.slots {
		run()
		return
	}
	u.fifo = append(u.fifo, run)
}

// work runs a call with the calls that it makes. Its time is spread like that
// of real work.
func (s *sim) work(u *simUpstream, c class, deadline time.Time, then func(call.Reply)) {
	if s.rng.Float64() < u.grey {
		s.after(time.Millisecond, func() { then(call.Reply{Fate: call.Answered, Status: 500, Replied: true}) })
		return
	}
	const spread = 0.5
	took := float64(c.work) / u.speed * u.slow * math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)
	if s.now.Before(u.cold) {
		took *= 2
	}
	if c.nested == "" {
		s.after(time.Duration(took), func() { then(call.Reply{Fate: call.Answered, Status: 200, Replied: true}) })
		return
	}
	s.after(time.Duration(took), func() {
		under, failed := c.times, false
		for range c.times {
			s.call(u.node, c.nested, deadline.Sub(s.now), func(r call.Reply) {
				if failed {
					return
				}
				if under--; r.Fate != call.Answered || r.Status >= 500 {
					failed = true
					then(call.Reply{Fate: call.Answered, Status: 500, Replied: true})
				} else if under == 0 {
					then(call.Reply{Fate: call.Answered, Status: 200, Replied: true})
				}
			})
		}
	})
}

// lose makes an upstream fall silent.
func (s *sim) lose(u *simUpstream) { u.gone = s.now }

// tally is what became of the requests of a span of time.
type tally struct {
	asked, inTime, late, refused, failed int
	worth                                float64 // of all that could be had
}

// tally counts the requests of a class, or of all if it is empty, that came in
// a span of time.
func (s *sim) tally(name string, from, to time.Duration) tally {
	var t tally
	var had, all float64
	for _, a := range s.asked {
		at := a.at.Sub(epoch)
		if at < from || at >= to || name != "" && a.class != name || !a.leaves.IsZero() {
			continue
		}
		c := s.classes[a.class]
		t.asked++
		all += c.worth
		switch {
		case a.answered.IsZero() && a.refused:
			t.refused++
		case a.answered.IsZero():
			t.failed++
		case a.answered.Sub(a.at) <= c.target:
			t.inTime++
			had += c.worth
		default:
			t.late++
			had += c.late
		}
	}
	if all > 0 {
		t.worth = had / all
	}
	return t
}

// String returns the tally as a line.
func (t tally) String() string {
	return fmt.Sprintf("asked %d, in time %d, late %d, refused %d, failed %d, worth %.3f", t.asked, t.inTime, t.late, t.refused, t.failed, t.worth)
}
