package gate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tanagerchute"
	"tanagerchute/core/admit"
	"tanagerchute/core/beat"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/flight"
	"tanagerchute/core/health"
	"tanagerchute/core/member"
	"tanagerchute/core/once"
	"tanagerchute/core/route"
	"tanagerchute/io/keep"
)

// Times of the duty.
const (
	busyTick      = 10 * time.Millisecond  // while calls wait
	idleTick      = 100 * time.Millisecond // otherwise
	probeEvery    = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	announceValid = 10 * time.Second // after which an announcement has to be repeated
)

// refusalsToFail is the number of refused connections in a row after which a
// backend server is failing.
const refusalsToFail = 2

// Backend is what a backend server announces of itself.
type Backend struct {
	Address string `json:"address"` // host:port
	Slots   int    `json:"slots"`
	// ID names the server, if its dialect can ask for it by name.
	ID string `json:"id,omitempty"`
	// WarmUntil is when the server stops being slow after its start.
	WarmUntil time.Time `json:"-"`
}

// Config configures a Gate.
type Config struct {
	Node    string
	Journal *event.Journal
	Service string // that the backend server belongs to
	Dialect tanagerchute.Dialect
	// Changed is told what is to be known of the backend server elsewhere. It
	// is called on the goroutine of Run.
	Changed   func(member.Upstream)
	MaxAnswer int64 // bytes of an answer
	// MaxConns returns how many connections the backend server takes, 0 for
	// the default. nil is the default.
	MaxConns func() int
	// Spend takes a resend from the budget of the own service, if there is one.
	// nil allows none.
	Spend func() bool
	// Untraced says that the server's own calls can't be told from those of
	// callers, so that a failed answer may be due to one of them and says
	// nothing of the server.
	Untraced bool
	// NoProbe leaves out the probes of an idle backend server, for one whose
	// own heartbeats suffice.
	NoProbe bool
}

// Gate is the gatekeeper. Its methods are safe for concurrent use.
type Gate struct {
	cfg     Config
	client  *client
	records *keep.SyncTable

	mu        sync.Mutex
	backend   Backend
	beats     beat.Tracker
	announced time.Time // when the last announcement was made
	worked    time.Time // when a call last succeeded
	refused   int       // refused connections in a row
	left      bool      // the server has said that it takes no new work
	stopping  bool      // the node takes no new work
	running   int       // calls in flight, at a former server as well
	admit     *admit.Controller
	health    *health.Monitor
	waiting   map[string]chan admitted
	flights   *flight.Tracker // calls in flight at the server
	idle      chan struct{}   // closed when a drained gate has no call left
	kick      chan struct{}   // asks for a tick at once
	told      member.Upstream
}

// admitted is what a waiting call is told.
type admitted struct {
	start   bool
	refusal admit.Refusal
}

// New returns a gate without a backend server.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:     cfg,
		client:  newClient(cfg),
		admit:   admit.New(admit.Config{Slots: 1}),
		health:  newHealth(cfg),
		records: keep.NewSyncTable(),
		waiting: map[string]chan admitted{},
		flights: flight.New(),
		idle:    make(chan struct{}),
		kick:    make(chan struct{}, 1),
	}
}

// newHealth returns the judgement of a server that is taken to be well. A server
// whose failures may be due to others, or to a few lost answers, is given up
// only when hardly anything works: those who choose among servers avoid it
// before.
func newHealth(cfg Config) *health.Monitor {
	hc := health.DefaultConfig()
	if cfg.Untraced {
		hc.FailureThreshold = untracedFailAt
		hc.ConsecutiveFailures = untracedInARow
	}
	return health.New(hc)
}

// Judgement of a server whose own calls can't be told from those of callers.
const (
	untracedFailAt = 0.9
	untracedInARow = 10
)

// Announce takes an announcement of the backend server.
func (g *Gate) Announce(b Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announce(b)
}

// announce takes an announcement. Its caller holds mu.
func (g *Gate) announce(b Backend) {
	g.announced = time.Now()
	b.Slots = min(b.Slots, g.client.maxConns()) // a call takes a connection
	if b.Address != g.backend.Address || b.ID != g.backend.ID || g.left {
		// Another server than before, which starts cold.
		g.admit = g.successor(b)
		g.health = newHealth(g.cfg)
		g.refused = 0
		g.client.reset()
		g.event(event.UpstreamReady, b.name(), "announced")
	}
	g.left = false
	if b.Slots != g.backend.Slots {
		g.admit.SetSlots(b.Slots)
	}
	g.backend = b
	g.wakeUp()
}

// successor returns the admission of a new server. Calls that wait for the old
// one stay with its gate until they end.
func (g *Gate) successor(b Backend) *admit.Controller {
	next := admit.New(admit.Config{Slots: b.Slots})
	if g.stopping {
		next.Drain()
	}
	return next
}

// name returns what names the server in logs.
func (b Backend) name() string {
	if b.ID != "" {
		return b.ID
	}
	return b.Address
}

// Heartbeat takes a heartbeat of the backend server and returns what was made
// of it. Once it has returned, a server that leaves gets no new call.
func (g *Gate) Heartbeat(h beat.Heartbeat) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, _ := g.beats.Last()
	v := g.beats.Observe(time.Now(), h)
	switch {
	case v == beat.Stale:
		g.event(event.HeartbeatStale, h.ID, fmt.Sprintf("sequence %d of start %d, known are sequence %d of start %d", h.Sequence, h.StartMs, last.Sequence, last.StartMs))
	case h.State != beat.Ready:
		g.leave(h.ID, h.State.String())
	default:
		g.announce(Backend{Address: h.Address, Slots: h.Slots, ID: h.ID, WarmUntil: h.WarmupEnd})
	}
	return v
}

// Adopt asks the server at addr who it is, and takes it for the backend server
// until a heartbeat says more. A node that was restarted beside a server that
// has gone on would otherwise wait for the next heartbeat.
func (g *Gate) Adopt(ctx context.Context, addr, healthPath string, slots int) {
	id, ok := g.client.health(ctx, addr, healthPath)
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.beats.Last(); !ok || known || g.left || g.backend.Address != "" {
		return
	}
	g.announce(Backend{Address: addr, Slots: slots, ID: id})
}

// Gone takes the word of a backend server that it is gone, see
// beat.Tracker.ObserveLeave.
func (g *Gate) Gone(id string, born int64) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.beats.ObserveLeave(time.Now(), id, born)
	if v != beat.Stale {
		g.leave(id, beat.Gone.String())
	}
	return v
}

// Leave notes that the backend server takes no new work.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave(g.backend.name(), "announced its stop")
}

// leave lets no new call start at the server, and refuses those that wait for
// it. Its caller holds mu.
func (g *Gate) leave(name, cause string) {
	if !g.left {
		g.event(event.UpstreamLeaving, name, cause)
	}
	g.left = true
	g.tell(g.admit.Drain())
	g.wakeUp()
}

// Load returns the load that answers carry.
func (g *Gate) Load() route.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

func (g *Gate) load() route.Load {
	return route.Load{InFlight: g.admit.InFlight(), Queued: g.admit.Queued(), Limit: g.admit.Limit(), ServiceTime: g.admit.ServiceTime()}
}

// Deadline returns the deadline of a call in flight with a trace id, so that
// the calls which its backend server makes for it inherit it.
func (g *Gate) Deadline(trace string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.flights.Deadline(trace)
}

// Below notes that the backend server makes a call with a trace id at a depth,
// and returns what is to be called with whether it failed when it has ended.
func (g *Gate) Below(trace string, depth int) func(failed bool) {
	above := depth - 1
	g.mu.Lock()
	defer g.mu.Unlock()
	g.flights.StartNested(time.Now(), trace, above)
	return func(failed bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.flights.EndNested(time.Now(), trace, above, failed)
	}
}

// Inquire answers what became of an attempt, and fences it if it has not
// begun.
func (g *Gate) Inquire(key once.Key, attempt string) (once.Verdict, once.Answer) {
	v, a := g.records.Inquire(key, attempt)
	if v == once.Fenced {
		g.event(event.RequestFenced, key.ID, "asked about before it had begun")
	}
	return v, a
}

// ready reports whether the backend server takes work.
func (g *Gate) ready(now time.Time) bool {
	if g.backend.Address == "" || g.left || g.stopping {
		return false
	}
	if now.Sub(g.announced) > announceValid && now.Sub(g.worked) > announceValid {
		return false
	}
	return !g.health.Failing() || g.health.TrialDue(now) && g.refused == 0
}

// Run keeps the clocks of the state machines until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if !g.cfg.NoProbe {
		wg.Go(func() { g.runProbes(ctx) })
	}
	for {
		t := time.NewTimer(g.pace())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-g.kick:
		case <-t.C:
		}
		t.Stop()
		g.tick(time.Now())
	}
}

// pace returns the time until the next tick. An idle gate ticks slowly, since
// each tick of each node costs processor time; what changes kicks it.
func (g *Gate) pace() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admit.Queued() > 0 {
		return busyTick
	}
	return idleTick
}

// wakeUp asks for a tick at once. It does not block.
func (g *Gate) wakeUp() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

func (g *Gate) tick(now time.Time) {
	g.mu.Lock()
	if g.admit.Queued() > 0 {
		g.tell(g.admit.Tick(now))
	}
	is := member.Upstream{Ready: g.ready(now), Slots: g.backend.Slots}
	if g.backend.WarmUntil.After(now) {
		is.WarmupEnd = g.backend.WarmUntil
	}
	news := is.Differs(g.told)
	if news {
		g.told = is
	}
	g.mu.Unlock()
	if news && g.cfg.Changed != nil {
		g.cfg.Changed(is)
	}
}

// runProbes looks whether anything listens at the address of an idle backend
// server. A refused connection is the one sign of health that does not lie.
func (g *Gate) runProbes(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.probe(ctx)
		}
	}
}

func (g *Gate) probe(ctx context.Context) {
	g.mu.Lock()
	addr := g.backend.Address
	recent := time.Since(g.worked) < probeEvery
	g.mu.Unlock()
	if addr == "" || recent {
		return
	}
	err := g.client.connect(ctx, addr)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.refused = 0
		return
	}
	g.unreachable(time.Now(), err)
}

// unreachable notes a refused connection. Its caller holds mu.
func (g *Gate) unreachable(now time.Time, err error) {
	g.refused++
	if g.refused >= refusalsToFail && g.health.MarkFailing(now) {
		g.event(event.UpstreamFailing, g.backend.Address, "connection refused: "+err.Error())
		g.wakeUp()
	}
}

// tell passes an outcome on to the calls that wait. Its caller holds mu.
func (g *Gate) tell(out admit.Dequeued) {
	for _, it := range out.Started {
		g.wake(it.ID, admitted{start: true})
	}
	g.tellRefused(out.Refused)
}

func (g *Gate) tellRefused(rs []admit.Refusal) {
	for _, r := range rs {
		g.wake(r.ID, admitted{refusal: r})
	}
}

func (g *Gate) wake(id string, a admitted) {
	if ch, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		ch <- a // buffered, and sent to once
	}
}

// Drain refuses new and waiting calls from now on, and waits until those in
// flight have ended or ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.StartDrain()
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StartDrain refuses new and waiting calls from now on.
func (g *Gate) StartDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopping {
		return
	}
	g.stopping = true
	g.tell(g.admit.Drain())
	g.wakeUp()
	g.checkIdle()
}

func (g *Gate) checkIdle() {
	if !g.stopping || g.running > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

func (g *Gate) event(k event.Kind, subject, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: subject, Cause: cause})
}

func (g *Gate) callEvent(k event.Kind, c call.Call, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: c.ID, Trace: c.Trace, Cause: cause})
}
