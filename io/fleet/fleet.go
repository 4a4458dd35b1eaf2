package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/homes"
	"tanagerchute/core/member"
	"tanagerchute/core/remote"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// Intervals and timeouts.
const (
	tickInterval         = 100 * time.Millisecond
	probeTimeout         = 350 * time.Millisecond
	indirectProbeTimeout = 500 * time.Millisecond
	sendTimeout          = time.Second
	lostAfter            = 5 * time.Second // time without contact after which a data centre is lost
	homesMargin          = 5 * time.Second // tolerance for clock differences, see homes.Config.Margin
)

const (
	inboxSize          = 1024 // functions that wait for the goroutine of Run
	maxConcurrentSends = 64   // broadcast messages in flight at once
)

// Config configures a Fleet.
type Config struct {
	Self        member.Record
	Groups      []string // all data centres or regions of the deployment
	QuorumAddrs []string // addresses in the data centre that always count toward the quorum
	Client      *peer.Client
	Journal     *event.Journal
	Rand        *rand.Rand
	// Stamp returns the stamp of the configuration version in force at this node.
	Stamp func() vers.Stamp
	// OnPeerStamp is called with the stamp of the version in force at the node
	// at addr.
	OnPeerStamp func(addr string, s vers.Stamp)
	// Proof returns the stamp of the version in force at this node with the age of the
	// proof that it is the newest one, 0 if there is none. See package proof.
	Proof func() (vers.Stamp, time.Duration)
	// OnPeerProof is called with a proof from the reply to a request that was sent at
	// sentAt, by the clock of package clock.
	OnPeerProof func(s vers.Stamp, age time.Duration, sentAt time.Time)
}

// Fleet runs the membership protocol. Its methods are safe for concurrent use.
type Fleet struct {
	cfg         Config
	inbox       chan func(now time.Time) // run by the goroutine of Run
	view        atomic.Pointer[View]
	start       time.Time
	lastContact atomic.Int64 // nanoseconds from start to the last contact, 0 if none
	quorumUntil atomic.Int64 // Unix nanoseconds, 0 if the node has no quorum
	changed     chan struct{}
	stopped     chan struct{} // closed when Run no longer reads inbox
	sendSlots   chan struct{} // limits the broadcast messages in flight
	wg          sync.WaitGroup

	// The following fields are accessed only by the goroutine of Run.
	table        *member.Table
	remotes      *remote.Table
	viewOutdated bool
	viewAt       time.Time // when view was last replaced

	crashes *Crashes

	homesMu sync.Mutex // guards homes
	homes   *homes.Tracker
}

// New returns a fleet whose only member is its own node.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:       cfg,
		start:     time.Now(),
		inbox:     make(chan func(time.Time), inboxSize),
		changed:   make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		sendSlots: make(chan struct{}, maxConcurrentSends),
		remotes:   remote.NewTable(remote.Config{DataCentre: cfg.Self.Group(), LostAfter: lostAfter}),
		homes:     homes.New(homes.Config{Self: cfg.Self.ID, Start: time.Now(), Margin: homesMargin}),
	}
	mc := member.DefaultConfig()
	mc.Self = cfg.Self
	mc.Rand = cfg.Rand
	mc.QuorumAddrs = cfg.QuorumAddrs
	mc.NotifyChange = f.onMemberChange
	f.table = member.NewTable(mc)
	f.crashes = newCrashes(f, cfg.Groups)
	f.view.Store(newView(f.table, f.remotes))
	return f
}

// View returns the current snapshot of the fleet.
func (f *Fleet) View() *View { return f.view.Load() }

// Changed returns a channel that receives a value after the view has changed.
// Changes that follow each other may be combined into one value.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// HasQuorum reports whether this node has a quorum at now. Without a quorum it
// must not act as the home of a key. See member.Table.QuorumUntil.
func (f *Fleet) HasQuorum(now time.Time) bool { return now.UnixNano() < f.quorumUntil.Load() }

// recordContact notes that a message was exchanged with another node.
func (f *Fleet) recordContact() { f.lastContact.Store(max(int64(time.Since(f.start)), 1)) }

// SinceContact returns the time since the last contact with another node. It is 0
// if there has been none yet.
func (f *Fleet) SinceContact(now time.Time) time.Duration {
	last := f.lastContact.Load()
	if last == 0 {
		return 0
	}
	return now.Sub(f.start) - time.Duration(last)
}

// FormerHomes returns what this node knows of the nodes that have been the home of
// a key since it was issued. It leaves out the asker, which knows whether it was
// the home. See homes.Tracker.FormerHomes.
func (f *Fleet) FormerHomes(key string, issued time.Time, asker string) (homes.History, bool) {
	f.homesMu.Lock()
	defer f.homesMu.Unlock()
	return f.homes.FormerHomes(key, issued, asker)
}

// Run runs the membership protocol until ctx ends. It returns when the messages in
// flight have ended as well.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer f.wg.Wait()
	defer close(f.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-f.inbox:
			fn(time.Now())
		case now := <-t.C:
			f.tick(ctx, now)
		case <-f.crashes.changed:
			f.crashes.send(ctx)
		}
		f.publishView(time.Now())
	}
}

func (f *Fleet) tick(ctx context.Context, now time.Time) {
	f.perform(ctx, f.table.Tick(now))
	f.updateQuorum(now)
	f.crashes.tick(now)
}

// updateQuorum copies the time until which the node has a quorum for HasQuorum,
// and journals a gain or a loss. A gain restarts the tenure, which is the time for
// which the node has been able to be a home: without a quorum, other nodes may
// have been homes in its place.
func (f *Fleet) updateQuorum(now time.Time) {
	until := f.table.QuorumUntil()
	had := f.quorumUntil.Load() > now.UnixNano()
	has := until.After(now)
	if has && !had {
		f.homesMu.Lock()
		f.homes.RestartTenure(now)
		f.homesMu.Unlock()
		f.recordEvent(now, event.StandingGained, f.cfg.Self.ID, "more than half of the members are up and one of them answers probes")
	}
	if !has && had {
		f.recordEvent(now, event.StandingLost, f.cfg.Self.ID, "at most half of the members are up, or none of them answers probes")
	}
	if until.IsZero() {
		f.quorumUntil.Store(0)
		return
	}
	f.quorumUntil.Store(until.UnixNano())
}

// minViewAge is the shortest time between two views. When many members change,
// the changes within it share a view.
const minViewAge = 100 * time.Millisecond

// publishView replaces the view if a table has changed and the view is at least
// minViewAge old, and notifies Changed.
func (f *Fleet) publishView(now time.Time) {
	if !f.viewOutdated || now.Sub(f.viewAt) < minViewAge {
		return // the next tick publishes it
	}
	f.viewOutdated, f.viewAt = false, now
	f.view.Store(newView(f.table, f.remotes))
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// PublishView makes View hold all that is known now, also if the last view is younger than
// minViewAge.
func (f *Fleet) PublishView(ctx context.Context) {
	f.do(ctx, func(now time.Time) {
		f.viewAt = time.Time{}
		f.publishView(now)
	})
}

// do runs fn on the goroutine of Run and waits for it. It returns false if ctx or
// Run ended first; fn may run nevertheless.
func (f *Fleet) do(ctx context.Context, fn func(now time.Time)) bool {
	done := make(chan struct{})
	select {
	case f.inbox <- func(now time.Time) { fn(now); close(done) }:
	case <-ctx.Done():
		return false
	case <-f.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-f.stopped:
		return false
	}
}

// post runs fn on the goroutine of Run without waiting for it.
func (f *Fleet) post(ctx context.Context, fn func(now time.Time)) {
	select {
	case f.inbox <- fn:
	case <-ctx.Done():
	case <-f.stopped:
	}
}

// onMemberChange journals a change of a member record, and records the removal of
// a member that may have been a home. It runs on the goroutine of Run.
func (f *Fleet) onMemberChange(c member.Change) {
	f.viewOutdated = true
	kind, ok := eventKind(c)
	if ok {
		f.recordEvent(c.At, kind, c.New.ID, c.Cause)
	}
	if c.New.ID != f.cfg.Self.ID {
		f.homesMu.Lock()
		f.homes.RecordChange(c)
		f.homesMu.Unlock()
	}
}

// eventKind returns the kind of event that c is journaled as. ok is false if it is
// not journaled.
func eventKind(c member.Change) (event.Kind, bool) {
	switch {
	case c.Old.ID == "" && c.New.State == member.Dead:
		return "", false // the member was dead before this node learned of it
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
		return event.NodePaused, true // the table reports a pause of this process so
	case c.Old.WithIncarnation(0) == c.New.WithIncarnation(0):
		return event.PeerRefuted, true
	}
	return event.PeerChanged, true
}

func (f *Fleet) recordEvent(at time.Time, k event.Kind, subject, cause string) {
	f.cfg.Journal.Add(event.Event{At: at, Kind: k, Subject: subject, Cause: cause})
}

// SetUpstream publishes the state of this node's backend server to the members.
func (f *Fleet) SetUpstream(ctx context.Context, u member.Upstream) {
	f.do(ctx, func(now time.Time) { f.perform(ctx, f.table.SetUpstream(now, u)) })
}

// BecomeHomeCandidate publishes that this node can be the home of a key. Its tenure
// restarts, see package homes.
func (f *Fleet) BecomeHomeCandidate(ctx context.Context) {
	f.do(ctx, func(now time.Time) {
		f.setHomeCandidate(now, true)
		f.perform(ctx, f.table.BecomeCandidate(now))
	})
}

// StepDownAsHome publishes that this node can't be the home of a key any more. It must
// accept no further keys; the latest that it has accepted was issued at until.
func (f *Fleet) StepDownAsHome(ctx context.Context, until time.Time) {
	f.do(ctx, func(now time.Time) {
		f.setHomeCandidate(now, false)
		f.perform(ctx, f.table.StepDown(now, until))
	})
}

// setHomeCandidate records whether this node can be a home in what it knows of the homes
// of keys.
func (f *Fleet) setHomeCandidate(now time.Time, can bool) {
	f.homesMu.Lock()
	defer f.homesMu.Unlock()
	f.homes.SetCandidate(now, can)
}

// Leave announces to all members that this node is leaving and accepts no new calls.
func (f *Fleet) Leave(ctx context.Context) {
	f.do(ctx, func(now time.Time) { f.perform(ctx, f.table.Leave(now)) })
}

// Stop announces to all members that this node has stopped, and waits until half of its
// neighbours have confirmed it, or ctx ends. They flood it to the others. It does not
// wait for those that are busy.
func (f *Fleet) Stop(ctx context.Context) {
	var messages []member.Action
	if !f.do(ctx, func(now time.Time) { messages = f.table.Stop(now) }) {
		return
	}
	targets := 0
	for _, m := range messages {
		targets += len(m.Targets)
	}
	confirmed := make(chan struct{}, targets)
	for _, m := range messages {
		req := &wire.GossipRequest{From: f.cfg.Self.ID, Members: peer.ToMembers(m.Records)}
		f.broadcast(ctx, m.Targets, req, func() { confirmed <- struct{}{} })
	}
	for range (targets + 1) / 2 {
		select {
		case <-confirmed:
		case <-ctx.Done():
			return
		}
	}
}
