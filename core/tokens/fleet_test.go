package tokens_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerchute/core/acct"
	"tanagerchute/core/member"
	"tanagerchute/core/tokens"
)

// fleet connects holders and keepers in virtual time. Messages take up to maxDelay, and
// are lost with probability loss. What a node knows of the others follows their state
// with the delays of the membership protocol.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	events   eventQueue
	order    int
	nodes    []*process // running, by index of the instance
	quotas   map[string]acct.Quota
	cut      map[int]bool // instances that are cut off from the others
	slow     map[int]bool // instances whose messages take slowDelay more
	loss     float64
	started  int
	requests []request
	sent     int // messages between nodes
}

const (
	maxDelay   = 12 * time.Millisecond
	slowDelay  = 40 * time.Millisecond
	tickPeriod = 100 * time.Millisecond
	msgTimeout = 400 * time.Millisecond
	waitLimit  = 250 * time.Millisecond
	gossip     = 300 * time.Millisecond // until a change is known everywhere
)

// request is a request of an account and what became of it.
type request struct {
	account string
	at      time.Time // of its admission
	granted bool
	wait    time.Duration // Retry-After if it was refused as over the quota
	waited  time.Duration // for a token
}

// process is one node process.
type process struct {
	f           *fleet
	instance    int
	id          string
	startMs     int64
	holder      *tokens.Holder
	keeper      *tokens.Keeper
	roster      *tokens.Roster
	records     map[string]member.Record
	waiting     map[uint64]time.Time // arrival of the requests, by ticket
	frozenUntil time.Time
	pumpAt      time.Time // of the next pump, if it is in the future
	joined      bool
	dead        bool
}

var bounds = tokens.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

func newFleet(n int, seed uint64, quotas map[string]acct.Quota) *fleet {
	f := &fleet{now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), quotas: quotas, cut: map[int]bool{}}
	f.nodes = make([]*process, n)
	var all []member.Record
	for i := range n {
		f.nodes[i] = f.newProcess(i)
		all = append(all, f.nodes[i].record(member.Alive))
	}
	for _, p := range f.nodes {
		p.learn(all...)
		p.join()
	}
	return f
}

func (f *fleet) newProcess(i int) *process {
	f.started++
	p := &process{
		f: f, instance: i, id: fmt.Sprintf("n%03d.%d", i, f.started), startMs: f.now.UnixMilli(),
		roster: tokens.NewRoster(nil), records: map[string]member.Record{}, waiting: map[uint64]time.Time{},
	}
	p.holder = tokens.NewHolder(tokens.HolderConfig{Self: p.id})
	p.keeper = tokens.NewKeeper(tokens.KeeperConfig{Self: p.id, Bounds: bounds, Quota: func(a string) acct.Quota { return f.quotas[a] }})
	return p
}

// start starts a process at an instance and tells the others within the gossip time.
func (f *fleet) start(i int) {
	p := f.newProcess(i)
	f.nodes[i] = p
	p.learn(p.record(member.Alive))
	f.meet(p)
	p.boot()
}

// boot gets the member table and the configuration of another process. A process that
// finds none gets the configuration from the store, if it is not cut off.
func (p *process) boot() {
	f := p.f
	for _, q := range f.others(p) {
		if q.joined && f.connected(p, q) && !q.frozen() {
			p.learn(slices.Collect(maps.Values(q.records))...)
			p.learn(p.record(member.Alive))
			p.join()
			return
		}
	}
	if !f.cut[p.instance] {
		p.join()
		return
	}
	f.after(200*time.Millisecond, func() {
		if !p.dead {
			p.boot()
		}
	})
}

// join ends the start of a process.
func (p *process) join() {
	p.joined = true
	p.keeper.Join(p.f.now)
	p.f.after(p.f.within(tickPeriod), p.tick)
}

func (p *process) record(s member.State) member.Record {
	return member.Record{ID: p.id, Addr: fmt.Sprint(p.instance), StartMs: p.startMs, State: s}
}

// learn changes what p knows of members, unless it is not running.
func (p *process) learn(records ...member.Record) {
	if p.dead {
		return
	}
	for _, r := range records {
		p.records[r.ID] = r
	}
	m := p.roster.Update(p.f.now, slices.Collect(maps.Values(p.records)))
	p.keeper.SetMembers(p.f.now, m)
	p.holder.SetMembers(p.f.now, m)
}

func (p *process) tick() {
	if p.dead {
		return
	}
	if !p.frozen() {
		p.keeper.Tick(p.f.now)
		p.pump()
	}
	p.f.after(tickPeriod, p.tick)
}

func (p *process) frozen() bool { return p.f.now.Before(p.frozenUntil) }

// pump sends the messages that are due.
func (p *process) pump() {
	if p.dead || p.frozen() {
		return
	}
	f := p.f
	p.end(p.holder.Expire(f.now))
	for msgs := p.holder.Due(f.now); len(msgs) > 0; msgs = p.holder.Due(f.now) {
		for _, m := range msgs {
			f.send(p, m)
		}
	}
	if next := p.holder.Next(); !next.IsZero() && (!p.pumpAt.After(f.now) || next.Before(p.pumpAt)) {
		p.pumpAt = f.now.Add(max(next.Sub(f.now), time.Millisecond))
		f.after(p.pumpAt.Sub(f.now), p.pump)
	}
}

// end records the outcomes of requests that waited.
func (p *process) end(outcomes []tokens.Outcome) {
	for _, o := range outcomes {
		if arrivedAt, ok := p.waiting[o.Ticket]; ok {
			delete(p.waiting, o.Ticket)
			p.f.requests = append(p.f.requests, request{o.Account, p.f.now, o.Granted, o.RetryAfter, p.f.now.Sub(arrivedAt)})
		}
	}
}

// send delivers a message and its reply.
func (f *fleet) send(p *process, m tokens.Message) {
	if m.To == p.id {
		p.end(p.holder.Receive(f.now, m.To, m.Seq, p.keeper.Answer(f.now, m)))
		return
	}
	f.sent++
	f.after(msgTimeout, func() {
		if !p.dead {
			p.holder.Fail(f.now, m.To, m.Seq)
			p.pump()
		}
	})
	to := f.find(m.To)
	if to == nil || !f.connected(p, to) || f.rng.Float64() < f.loss {
		return
	}
	f.deliver(to, func() {
		reply := to.keeper.Answer(f.now, m)
		if !f.connected(p, to) || f.rng.Float64() < f.loss {
			return
		}
		f.deliver(p, func() {
			p.end(p.holder.Receive(f.now, m.To, m.Seq, reply))
			p.pump()
		})
	})
}

// deliver runs fn at p after the delay of a message, or when p is no longer frozen.
func (f *fleet) deliver(p *process, fn func()) {
	delay := f.within(maxDelay)
	if f.slow[p.instance] {
		delay += slowDelay
	}
	f.after(delay, func() {
		switch {
		case p.dead:
		case p.frozen():
			f.after(p.frozenUntil.Sub(f.now), func() { f.deliver(p, fn) })
		default:
			fn()
		}
	})
}

func (f *fleet) find(id string) *process {
	for _, p := range f.nodes {
		if p != nil && p.id == id {
			return p
		}
	}
	return nil
}

func (f *fleet) connected(a, b *process) bool { return f.cut[a.instance] == f.cut[b.instance] }

// request sends a request of an account to an instance.
func (f *fleet) request(i int, account string) {
	p := f.nodes[i]
	if p == nil || p.frozen() {
		return
	}
	o, ended := p.holder.Admit(f.now, account, f.now.Add(waitLimit))
	if ended {
		f.requests = append(f.requests, request{account, f.now, o.Granted, o.RetryAfter, 0})
	} else {
		p.waiting[o.Ticket] = f.now
	}
	p.pump()
}

// load sends requests of an account at random times to random instances of those given.
func (f *fleet) load(account string, perSecond float64, instances []int, from, to time.Duration) {
	start := f.now
	for at := from; at < to; {
		at += time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
		i := instances[f.rng.IntN(len(instances))]
		f.after(start.Add(at).Sub(f.now), func() { f.request(i, account) })
	}
}

// suspect makes the observers learn that p fails, as the membership protocol does, unless
// still is false by then.
func (f *fleet) suspect(p *process, observers []*process, still func() bool) {
	for _, q := range observers {
		suspected := f.between(850*time.Millisecond, 1350*time.Millisecond)
		f.after(suspected, func() {
			if still() {
				q.learn(p.record(member.Suspect))
			}
		})
		f.after(suspected+f.between(600*time.Millisecond, 1200*time.Millisecond), func() {
			if still() {
				q.learn(p.record(member.Dead))
			}
		})
	}
}

// kill ends the process of an instance and starts another one later.
func (f *fleet) kill(i int, restartAfter time.Duration) {
	p := f.nodes[i]
	if p == nil {
		return
	}
	p.dead = true
	f.nodes[i] = nil
	f.suspect(p, f.running(), func() bool { return true })
	f.after(restartAfter, func() { f.restart(i) })
}

// stop stops a process as planned and starts another one later.
func (f *fleet) stop(i int, restartAfter time.Duration) {
	p := f.nodes[i]
	if p == nil {
		return
	}
	p.learn(p.record(member.Leaving))
	left := p.record(member.Dead)
	left.Left = true
	for _, q := range f.running() {
		if q != p {
			f.after(f.within(gossip), func() { q.learn(p.record(member.Leaving)) })
		}
	}
	f.after(500*time.Millisecond, func() {
		p.dead = true
		if f.nodes[i] == p {
			f.nodes[i] = nil
		}
		for _, q := range f.running() {
			f.after(f.within(gossip), func() { q.learn(left) })
		}
	})
	f.after(max(restartAfter, 600*time.Millisecond), func() { f.restart(i) })
}

// restart starts a process at an instance that has none.
func (f *fleet) restart(i int) {
	if f.nodes[i] == nil {
		f.start(i)
	}
}

// partition cuts off instances for a while.
func (f *fleet) partition(instances []int, d time.Duration) {
	if len(f.cut) > 0 {
		return
	}
	for _, i := range instances {
		f.cut[i] = true
	}
	cut := f.cut
	for _, p := range f.running() {
		var others []*process
		for _, q := range f.running() {
			if !f.connected(p, q) {
				others = append(others, q)
			}
		}
		f.suspect(p, others, func() bool { return len(f.cut) > 0 && len(cut) > 0 })
	}
	f.after(d, func() {
		f.cut = map[int]bool{}
		clear(cut)
		for _, p := range f.running() {
			f.meet(p)
		}
	})
}

// meet makes p and all others that it is connected to learn that they are alive.
func (f *fleet) meet(p *process) {
	for _, q := range f.others(p) {
		f.after(f.within(gossip), func() { f.introduce(p, q) })
		f.after(f.within(gossip), func() { f.introduce(q, p) })
	}
}

// introduce makes q learn that p is alive.
func (f *fleet) introduce(p, q *process) {
	if !p.dead && f.connected(p, q) {
		q.learn(p.record(member.Alive))
	}
}

// freeze stops a process for a while without ending it.
func (f *fleet) freeze(i int, d time.Duration) {
	p := f.nodes[i]
	if p == nil || p.frozen() {
		return
	}
	p.frozenUntil = f.now.Add(d)
	f.suspect(p, f.others(p), func() bool { return p.frozen() && !p.dead })
	f.after(d, func() { f.meet(p) })
}

func (f *fleet) running() []*process {
	var out []*process
	for _, p := range f.nodes {
		if p != nil {
			out = append(out, p)
		}
	}
	return out
}

func (f *fleet) others(p *process) []*process {
	var out []*process
	for _, q := range f.running() {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}

// check returns an error if more requests of an account were admitted in a window than
// its quota allows. highest is the highest rate and burst in force.
func (f *fleet) check(account string, highest acct.Quota) error {
	var at []time.Time
	for _, r := range f.requests {
		if r.account == account && r.granted {
			at = append(at, r.at)
		}
	}
	w := bounds.Window
	allowed := (highest.Rate*w.Seconds()+highest.Burst)*(1+bounds.Overshoot) + bounds.Slack
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= w {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return fmt.Errorf("%d requests of %s in %v up to %v, %.0f are allowed", n, account, w, at[i].Sub(time.Unix(1_800_000_000, 0)), allowed)
		}
	}
	return nil
}

// served returns how many requests of an account were admitted and refused in all.
func (f *fleet) served(account string) (granted, refused int) {
	for _, r := range f.requests {
		switch {
		case r.account != account:
		case r.granted:
			granted++
		default:
			refused++
		}
	}
	return granted, refused
}

func (f *fleet) within(d time.Duration) time.Duration { return f.between(0, d) }

func (f *fleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rng.Float64()*float64(b-a))
}

// after runs fn in virtual time.
func (f *fleet) after(d time.Duration, fn func()) {
	f.order++
	heap.Push(&f.events, timed{f.now.Add(d), f.order, fn})
}

// run advances the virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(timed)
		f.now = e.at
		e.fn()
	}
	f.now = end
}

// timed is an event of the fleet.
type timed struct {
	at    time.Time
	order int
	fn    func()
}

// eventQueue is a heap of events.
type eventQueue []timed

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
