package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/core/tenure"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
)

// Times of the duty.
const (
	tickEvery    = 100 * time.Millisecond
	probeTimeout = 350 * time.Millisecond
	relayTimeout = 500 * time.Millisecond
	sendTimeout  = time.Second
	lostAfter    = 5 * time.Second // silence after which a data centre is lost
	keyGuard     = 5 * time.Second // see package tenure
)

const (
	inboxSize = 1024
	senders   = 64 // concurrent one-way messages
)

// Config configures a Fleet.
type Config struct {
	Self        member.Record
	QuorumAddrs []string // addresses of the data centre that count for a majority
	Client      *peer.Client
	Journal     *event.Journal
	Rand        *rand.Rand
	// Stamp returns the version in force here.
	Stamp func() vers.Stamp
	// Heard is told the version in force at another node.
	OnPeerStamp func(addr string, s vers.Stamp)
}

// Fleet is the duty of membership. Its methods are safe for concurrent use.
type Fleet struct {
	cfg      Config
	inbox    chan func(now time.Time)
	view     atomic.Pointer[View]
	start    time.Time
	heard    atomic.Int64 // nanoseconds from start to the last word of another node, 0 if there was none
	standing atomic.Int64 // Unix nanoseconds until which the node is in standing
	changed  chan struct{}
	ended    chan struct{} // closed when Run has ended
	sends    chan struct{}
	wg       sync.WaitGroup
	underWay atomic.Int64 // messages that are being sent

	// The fields below belong to the goroutine of Run.
	table  *member.Table
	remote *remote.Table
	dirty  bool

	tenureMu sync.Mutex
	tenure   *tenure.Tracker
}

// New returns a fleet that knows only its own node.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:     cfg,
		start:   time.Now(),
		inbox:   make(chan func(time.Time), inboxSize),
		changed: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		sends:   make(chan struct{}, senders),
		remote:  remote.NewTable(remote.Config{DataCentre: cfg.Self.Group(), LostAfter: lostAfter}),
		tenure:  tenure.New(tenure.Config{Self: cfg.Self.ID, Start: time.Now(), Margin: keyGuard}),
	}
	mc := member.DefaultConfig()
	mc.Self = cfg.Self
	mc.Rand = cfg.Rand
	mc.QuorumAddrs = cfg.QuorumAddrs
	mc.NotifyChange = f.note
	f.table = member.NewTable(mc)
	f.view.Store(newView(f.table, f.remote))
	return f
}

// View returns what is known of the fleet now.
func (f *Fleet) View() *View { return f.view.Load() }

// Changed is sent to, without blocking, after the view has changed.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// InStanding reports whether this node may act as the only home of a key now.
func (f *Fleet) HasQuorum(now time.Time) bool { return now.UnixNano() < f.standing.Load() }

// hear notes that another node has been heard.
func (f *Fleet) hear() { f.heard.Store(max(int64(time.Since(f.start)), 1)) }

// Silence returns how long no other node has been heard. It is 0 for a node
// that has not heard of any yet.
func (f *Fleet) SinceContact(now time.Time) time.Duration {
	at := f.heard.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(f.start) - time.Duration(at)
}

// Former returns what this node knows of the homes of a key since it was
// issued, see package tenure.
func (f *Fleet) FormerHomes(key string, issued time.Time, asker string) (tenure.FormerHomes, bool) {
	f.tenureMu.Lock()
	defer f.tenureMu.Unlock()
	return f.tenure.FormerHomes(key, issued, asker)
}

// Run works until ctx ends and the messages under way have ended.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	defer f.wg.Wait()
	defer close(f.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case do := <-f.inbox:
			do(time.Now())
		case now := <-t.C:
			f.tick(ctx, now)
		}
		f.publish()
	}
}

func (f *Fleet) tick(ctx context.Context, now time.Time) {
	f.act(ctx, f.table.Tick(now))
	f.updateStanding(now)
}

// updateStanding publishes the standing, and restarts the tenure if it had
// been lost.
func (f *Fleet) updateStanding(now time.Time) {
	until := f.table.QuorumUntil()
	was := f.standing.Load() > now.UnixNano()
	is := until.After(now)
	if is && !was {
		f.tenureMu.Lock()
		f.tenure.RestartTenure(now)
		f.tenureMu.Unlock()
		f.journal(now, event.StandingGained, f.cfg.Self.ID, "more than half of the data centre's members answer")
	}
	if !is && was {
		f.journal(now, event.StandingLost, f.cfg.Self.ID, "no majority of the data centre's members answers")
	}
	if until.IsZero() {
		f.standing.Store(0)
		return
	}
	f.standing.Store(until.UnixNano())
}

func (f *Fleet) publish() {
	if !f.dirty {
		return
	}
	f.dirty = false
	f.view.Store(newView(f.table, f.remote))
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// do runs fn on the goroutine of Run and waits for it. It reports false if ctx
// ended first.
func (f *Fleet) do(ctx context.Context, fn func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case f.inbox <- func(now time.Time) { fn(now); close(done) }:
	case <-ctx.Done():
		return false
	case <-f.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-f.ended:
		return false
	}
}

// post runs fn on the goroutine of Run without waiting for it.
func (f *Fleet) post(ctx context.Context, fn func(now time.Time)) {
	select {
	case f.inbox <- fn:
	case <-ctx.Done():
	case <-f.ended:
	}
}

// note journals a change of a record. It runs on the goroutine of Run.
func (f *Fleet) note(c member.Change) {
	f.dirty = true
	kind, ok := kindOf(c)
	if ok {
		f.journal(c.At, kind, c.New.ID, c.Cause)
	}
	// A member that was not known before may have been a home all the same.
	if c.New.ID != f.cfg.Self.ID && (c.Old.IsHomeCandidate() || c.Old.ID == "") && !c.New.IsHomeCandidate() && c.New.CanBeHome {
		f.tenureMu.Lock()
		f.tenure.RecordRemoval(c.At, c.New.ID)
		f.tenureMu.Unlock()
	}
}

func kindOf(c member.Change) (event.Kind, bool) {
	switch {
	case c.Old.ID == "" && c.New.State == member.Dead:
		return "", false // news of an old death
	case c.Old.ID == "":
		return event.PeerJoined, true
	case c.New.State == member.Dead:
		return event.PeerDead, true
	case c.New.State == member.Leaving:
		return event.PeerLeaving, true
	case c.New.State == member.Suspect:
		return event.PeerSuspected, true
	case c.Old.State != member.Alive:
		return event.PeerRefuted, true
	case c.Old == c.New:
		return event.NodePaused, true
	case c.Old.WithIncarnation(0) == c.New.WithIncarnation(0):
		return event.PeerRefuted, true
	}
	return event.PeerChanged, true
}

func (f *Fleet) journal(at time.Time, k event.Kind, subject, cause string) {
	f.cfg.Journal.Add(event.Event{At: at, Kind: k, Subject: subject, Cause: cause})
}

// SetUpstream tells the fleet the state of this node's backend server.
func (f *Fleet) SetUpstream(ctx context.Context, u member.Upstream) {
	f.do(ctx, func(now time.Time) { f.act(ctx, f.table.SetUpstream(now, u)) })
}

// SetKeeper tells the fleet whether this node can be the home of a key. Its
// tenure starts when it can.
func (f *Fleet) SetCanBeHome(ctx context.Context, keeper bool) {
	f.do(ctx, func(now time.Time) {
		if keeper && !f.table.Self().CanBeHome {
			f.tenureMu.Lock()
			f.tenure.RestartTenure(now)
			f.tenureMu.Unlock()
		}
		f.act(ctx, f.table.SetCanBeHome(now, keeper))
	})
}

// Leave tells every member that this node takes no new work.
func (f *Fleet) Leave(ctx context.Context) {
	f.do(ctx, func(now time.Time) { f.act(ctx, f.table.Leave(now)) })
}

// Stop tells every member that this node stops, and waits until the message
// has been sent.
func (f *Fleet) Stop(ctx context.Context) {
	f.do(ctx, func(now time.Time) { f.act(ctx, f.table.Stop(now)) })
	f.drainSends(ctx)
}

// drainCheck is how often a stop looks whether messages are under way.
const drainCheck = 5 * time.Millisecond

// drainSends waits until no one-way message is under way.
func (f *Fleet) drainSends(ctx context.Context) {
	for f.underWay.Load() > 0 && timer.Sleep(ctx, drainCheck) {
	}
}
