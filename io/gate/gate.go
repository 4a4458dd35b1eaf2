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
	"tanagerchute/core/crash"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/health"
	"tanagerchute/core/member"
	"tanagerchute/core/nested"
	"tanagerchute/core/pick"
	"tanagerchute/io/runner"
)

// Intervals and timeouts.
const (
	queuedTickInterval = 10 * time.Millisecond  // while calls are queued
	idleTickInterval   = 100 * time.Millisecond // otherwise
	probeInterval      = 500 * time.Millisecond
	probeTimeout       = 300 * time.Millisecond
	announcementTTL    = 10 * time.Second // time after which an announcement has to be repeated
)

// failAfterRefusedDials is the number of refused connections in a row after which
// a backend server counts as failing.
const failAfterRefusedDials = 2

// Backend describes a backend server as announced by the server itself.
type Backend struct {
	Address string `json:"address"` // host:port
	Slots   int    `json:"slots"`   // number of concurrent calls
	// ID is the instance id of the server, empty if it is unknown. If the dialect
	// supports it, each call names the id, so that another server at the same
	// address does not run the call.
	ID string `json:"id,omitempty"`
	// StartMs is the start of the server, Unix milliseconds, 0 if it is unknown. A
	// server may start again under its id.
	StartMs int64 `json:"-"`
	// WarmupEnd is the end of the server's warm-up, zero if there is none.
	WarmupEnd time.Time `json:"-"`
}

// Config configures a Gate.
type Config struct {
	Node    string // id of this node
	Journal *event.Journal
	Service string // service of the backend server
	Dialect tanagerchute.Dialect
	// OnUpstreamChange, if not nil, is called on the goroutine of Run when the
	// state of the backend server that other nodes need has changed.
	OnUpstreamChange func(member.Upstream)
	MaxAnswerBytes   int64 // maximum size of an answer, 0 for the default
	// MaxConns returns the maximum number of connections to the backend server.
	// The default applies if it is nil or returns 0.
	MaxConns func() int
	// SpendRetry charges one resend to the retry budget of Service. It reports
	// false if the budget is exhausted. If it is nil, no call is resent.
	SpendRetry func() bool
	// NestedCallsUntraced is set if the nested calls of the backend server can't
	// be distinguished from calls of other callers. Then a failed answer may be
	// due to a nested call, and does not count against the server's health.
	NestedCallsUntraced bool
	// NoProbe disables the connection probes of an idle backend server, for
	// servers whose heartbeats are sufficient.
	NoProbe bool
	// Crashes is what the nodes know together of the calls under which backend servers
	// ended. If it is nil, no call is held back.
	Crashes CrashRegistry
}

// Gate controls access to the backend server of a node. Its methods are safe for
// concurrent use.
type Gate struct {
	cfg     Config
	client  *client
	records *runner.SyncTable

	mu             sync.Mutex
	backend        Backend
	heartbeats     beat.Tracker
	announcedAt    time.Time                // time of the last announcement
	lastSuccess    time.Time                // time of the last successful call
	refusedDials   int                      // in a row
	backendLeaving bool                     // the server accepts no new calls
	statementsAt   map[event.Kind]time.Time // last events of recordStatement
	leavingHeardAt time.Time                // when the server said in an answer that it leaves, zero if it did not
	draining       bool                     // the gate accepts no new calls
	inFlight       int                      // calls in flight, including those at a previous backend server
	admission      *admit.Controller
	health         *health.Monitor
	waiters        map[string]chan admissionResult // by attempt id
	callTracker    *nested.Tracker                 // calls in flight and their nested calls
	watch          *crash.Watch                    // finds the ends of the backend server
	drained        chan struct{}                   // closed when the gate drains and no call is in flight
	tickRequested  chan struct{}                   // requests an immediate tick
	published      member.Upstream                 // last state passed to OnUpstreamChange
}

// admissionResult is the decision that is sent to a queued call.
type admissionResult struct {
	started bool
	refusal admit.Refusal
}

// New returns a gate without a backend server.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:           cfg,
		client:        newClient(cfg),
		admission:     admit.New(admit.Config{Slots: 1}),
		health:        newHealthMonitor(cfg),
		records:       runner.NewSyncTable(),
		waiters:       map[string]chan admissionResult{},
		statementsAt:  map[event.Kind]time.Time{},
		callTracker:   nested.New(),
		watch:         crash.NewWatch(),
		drained:       make(chan struct{}),
		tickRequested: make(chan struct{}, 1),
	}
	g.client.onRefusedConn = g.observeRefusedConn
	return g
}

// newHealthMonitor returns the health monitor of a new backend server. With
// NestedCallsUntraced, failures may be due to nested calls or a few lost answers.
// Then the server is marked as failing only if nearly all calls fail. Load
// balancing avoids it before that.
func newHealthMonitor(cfg Config) *health.Monitor {
	hc := health.DefaultConfig()
	if cfg.NestedCallsUntraced {
		hc.FailureThreshold = untracedFailureThreshold
		hc.ConsecutiveFailures = untracedConsecutiveFailures
	}
	return health.New(hc)
}

// Limits of the health monitor if NestedCallsUntraced is set.
const (
	untracedFailureThreshold    = 0.9 // share of recent calls that fail
	untracedConsecutiveFailures = 10
)

// Announce handles an announcement of the backend server.
func (g *Gate) Announce(b Backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setBackend(b)
}

// setBackend handles an announcement. The caller holds mu.
func (g *Gate) setBackend(b Backend) {
	g.announcedAt = time.Now()
	b.Slots = min(b.Slots, g.client.maxConns()) // each call needs a connection
	if b.isOther(g.backend) || g.backendLeaving {
		// A new server starts without the state of the previous one. The calls that
		// are queued for that one have not started, so other upstreams can run them.
		g.watchReplacement(g.announcedAt, b.logName()+" has taken its place")
		g.notifyWaiters(g.admission.Drain())
		g.admission = g.newAdmission(b)
		g.health = newHealthMonitor(g.cfg)
		g.refusedDials = 0
		g.leavingHeardAt = time.Time{}
		g.client.closeIdle()
		g.recordEvent(event.UpstreamReady, b.logName(), "announced")
	}
	g.backendLeaving = false
	if b.Slots != g.backend.Slots {
		g.admission.SetSlots(b.Slots)
	}
	g.backend = b
	g.requestTick()
}

// isOther reports whether b is known to be another backend server than o.
func (b Backend) isOther(o Backend) bool {
	restarted := b.StartMs != 0 && o.StartMs != 0 && b.StartMs != o.StartMs
	return b.Address != o.Address || b.ID != o.ID || restarted
}

// newAdmission returns the admission controller for a new backend server.
func (g *Gate) newAdmission(b Backend) *admit.Controller {
	admission := admit.New(admit.Config{Slots: b.Slots})
	if g.draining {
		admission.Drain()
	}
	return admission
}

// logName returns the name of the server in events.
func (b Backend) logName() string {
	if b.ID != "" {
		return b.ID
	}
	return b.Address
}

// ObserveHeartbeat handles a heartbeat of the backend server and returns the
// verdict on it. If the heartbeat reports that the server drains or has stopped,
// no call is sent to the server after ObserveHeartbeat has returned.
func (g *Gate) ObserveHeartbeat(h beat.Heartbeat) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, _ := g.heartbeats.Last()
	v := g.heartbeats.Observe(time.Now(), h)
	switch {
	case v == beat.Stale:
		g.recordEvent(event.HeartbeatStale, h.ID, fmt.Sprintf("sequence %d with start time %d, the last heartbeat had sequence %d with start time %d", h.Sequence, h.StartMs, last.Sequence, last.StartMs))
	case h.State != beat.Ready:
		g.markLeaving(h.ID, h.State.String())
	default:
		g.setBackend(Backend{Address: h.Address, Slots: h.Slots, ID: h.ID, StartMs: h.StartMs, WarmupEnd: h.WarmupEnd})
	}
	return v
}

// DiscoverBackend sends a health check to addr and uses the server that answers as
// the backend server until its first heartbeat. A node that restarts while its
// backend server keeps running would otherwise have to wait for that heartbeat.
func (g *Gate) DiscoverBackend(ctx context.Context, addr, healthPath string, slots int) {
	began := time.Now()
	id, statement, ok := g.client.healthCheck(ctx, addr, healthPath)
	ok = ok && !statement.Leaving
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.heartbeats.Last(); !ok || known || g.backendLeaving || g.backend.Address != "" {
		return
	}
	g.setBackend(Backend{Address: addr, Slots: slots, ID: id})
	if statement.Limited { // without a limit, the answer to a health check says nothing
		g.observeLimit(began, "a health check", statement)
	}
}

// ObserveLeave handles a leave request, by which a backend server announces that
// it has stopped, and returns the verdict on it, see beat.Tracker.ObserveLeave.
func (g *Gate) ObserveLeave(id string, startMs int64) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.heartbeats.ObserveLeave(time.Now(), id, startMs)
	if v != beat.Stale {
		g.markLeaving(id, beat.Gone.String())
	}
	return v
}

// MarkLeaving records that the backend server accepts no new calls.
func (g *Gate) MarkLeaving() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markLeaving(g.backend.logName(), "announced its stop")
}

// markLeaving refuses new and queued calls from now on. The caller holds mu.
func (g *Gate) markLeaving(name, cause string) {
	if !g.backendLeaving {
		g.recordEvent(event.UpstreamLeaving, name, cause)
	}
	g.watch.Leaving()
	g.backendLeaving = true
	g.notifyWaiters(g.admission.Drain())
	g.requestTick()
}

// leftServer returns the backend server if it has announced its stop, else zero. The
// caller holds mu.
func (g *Gate) leftServer() member.ServerID {
	h, ok := g.heartbeats.Last()
	if !ok || h.State == beat.Ready {
		return member.ServerID{}
	}
	return member.ServerID{ID: h.ID, StartMs: h.StartMs}
}

// ObserveFormerLeave records that the given backend server announced its stop to an
// earlier process of this node.
func (g *Gate) ObserveFormerLeave(s member.ServerID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, known := g.heartbeats.Last(); known && (last.ID != s.ID || last.StartMs != s.StartMs) {
		return // another server has taken its place
	}
	if g.heartbeats.ObserveLeave(time.Now(), s.ID, s.StartMs) == beat.Fresh {
		g.markLeaving(s.ID, "announced to an earlier process of this node")
	}
}

// Load returns the load of the backend server. It is attached to each reply.
func (g *Gate) Load() pick.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load()
}

// load returns the load of the backend server. The caller holds mu.
func (g *Gate) load() pick.Load {
	l := pick.Load{InFlight: g.admission.InFlight(), Queued: g.admission.Queued(), Limit: g.admission.Limit(), ServiceTime: g.admission.ServiceTime()}
	if rate, limited := g.admission.Quota().Rate(); limited {
		l.RateLimit, l.QuotaWait = rate, g.admission.QuotaWait(time.Now())
	}
	return l
}

// Deadline returns the latest deadline of the calls in flight with the given trace
// id. Nested calls inherit it. It reports false if there are no such calls.
func (g *Gate) Deadline(trace string) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callTracker.Deadline(trace)
}

// StartNested records that the backend server makes a nested call with the given
// trace id and depth. The function that it returns must be called when the nested
// call has ended.
func (g *Gate) StartNested(trace string, depth int) func(failed bool) {
	parentDepth := depth - 1
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callTracker.StartNested(time.Now(), trace, parentDepth)
	return func(failed bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.callTracker.EndNested(time.Now(), trace, parentDepth, failed)
	}
}

// Inquire returns the outcome of an attempt. An attempt that has not started is
// fenced, so that it can't start later.
func (g *Gate) Inquire(key dedup.Key, attempt string) (dedup.Verdict, dedup.Answer) {
	v, a := g.records.Inquire(key, attempt)
	if v == dedup.Fenced {
		g.recordEvent(event.RequestFenced, key.ID, "an inquiry about it arrived before it had started")
	}
	return v, a
}

// backendReady reports whether the backend server accepts calls. The caller holds
// mu.
func (g *Gate) backendReady(now time.Time) bool {
	if g.backend.Address == "" || g.backendLeaving || g.draining {
		return false
	}
	if now.Sub(g.announcedAt) > announcementTTL && now.Sub(g.lastSuccess) > announcementTTL {
		return false
	}
	return !g.health.Failing() || g.health.TrialDue(now) && g.refusedDials == 0
}

// Run drives the timers of the state machines, the probes of the backend server
// and OnUpstreamChange until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if !g.cfg.NoProbe {
		wg.Go(func() { g.runProbes(ctx) })
	}
	for {
		t := time.NewTimer(g.tickInterval())
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-g.tickRequested:
		case <-t.C:
		}
		t.Stop()
		g.tick(time.Now())
	}
}

// tickInterval returns the time until the next tick. A gate without queued calls
// ticks slowly to save processor time. Changes of state request a tick at once.
func (g *Gate) tickInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.Queued() > 0 {
		return queuedTickInterval
	}
	return idleTickInterval
}

// requestTick makes Run tick at once. It does not block.
func (g *Gate) requestTick() {
	select {
	case g.tickRequested <- struct{}{}:
	default:
	}
}

// tick advances the admission queue, and calls OnUpstreamChange if the state of the
// backend server has changed.
func (g *Gate) tick(now time.Time) {
	g.mu.Lock()
	if g.admission.Queued() > 0 {
		g.notifyWaiters(g.admission.Tick(now))
	}
	upstream := member.Upstream{Ready: g.backendReady(now), Slots: g.backend.Slots, Left: g.leftServer()}
	if g.backend.WarmupEnd.After(now) {
		upstream.WarmupEnd = g.backend.WarmupEnd
	}
	changed := upstream.Differs(g.published)
	if changed {
		g.published = upstream
	}
	g.mu.Unlock()
	if changed && g.cfg.OnUpstreamChange != nil {
		g.cfg.OnUpstreamChange(upstream)
	}
}

// notifyWaiters sends queued calls their admission results. The caller holds mu.
func (g *Gate) notifyWaiters(out admit.Dequeued) {
	for _, it := range out.Started {
		g.notifyWaiter(it.ID, admissionResult{started: true})
	}
	g.notifyRefused(out.Refused)
}

func (g *Gate) notifyRefused(rs []admit.Refusal) {
	for _, r := range rs {
		g.notifyWaiter(r.ID, admissionResult{refusal: r})
	}
}

func (g *Gate) notifyWaiter(id string, a admissionResult) {
	if ch, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		ch <- a // does not block: buffered, and only one result is sent
	}
}

// Drain refuses new and queued calls from now on, and waits until no call is in
// flight or ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.StartDrain()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// StartDrain refuses new and queued calls from now on.
func (g *Gate) StartDrain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return
	}
	g.draining = true
	g.notifyWaiters(g.admission.Drain())
	g.requestTick()
	g.closeIfDrained()
}

// closeIfDrained closes drained if the gate drains and no call is in flight. The
// caller holds mu.
func (g *Gate) closeIfDrained() {
	if !g.draining || g.inFlight > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

func (g *Gate) recordEvent(k event.Kind, subject, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: subject, Cause: cause})
}

func (g *Gate) recordCallEvent(k event.Kind, c call.Call, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: c.ID, Trace: c.Trace, Cause: cause})
}
