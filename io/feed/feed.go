package feed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/fleet"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// Readers is the number of nodes of a data centre that watch the store.
const ReadersPerDataCentre = 2

// Times of the duty.
const (
	fetchTimeout = time.Second
	pollEvery    = 3 * time.Second // check of the store by the first reader
	retryMin     = 200 * time.Millisecond
	retryMax     = 3 * time.Second
)

const (
	fetchQueue   = 64
	fetchWorkers = 2
	pushQueue    = 64
	pushSends    = 32 // concurrent offers
	maxAlarms    = 64 // stamps that an alarm was raised about
	maxDeltas    = 8  // encoded versions that are kept
)

// Config configures a Feed.
type Config struct {
	Self          string
	TrackerConfig vers.Config         // which versions are taken
	Source        tanagerchute.Source // nil for a node without a store
	Fleet         *fleet.Fleet
	Client        *peer.Client
	Journal       *event.Journal
	Rand          *rand.Rand
	// Mode is how versions reach the nodes. The zero Mode is the one to use.
	Mode Mode
}

// Mode is a way of distribution. Other modes than Tree are baselines for
// measurements.
type Mode int

// Modes.
const (
	Tree      Mode = iota // readers watch the store and push deltas down a tree
	WatchAll              // every node watches the store
	FullFlood             // readers send the full document to everyone
)

// Feed is the duty of versions. Its methods are safe for concurrent use.
type Feed struct {
	cfg     Config
	mu      sync.Mutex
	tracker *vers.Tracker
	refused string
	alarms  map[vers.Stamp]bool
	current atomic.Pointer[vers.Snapshot]
	offered map[offerKey]bool // offers that were passed on
	deltas  map[deltaKey]*wire.Version
	fetches chan string
	pushes  chan push
	reader  atomic.Bool
	lost    atomic.Bool // the store can't be read
	ready   atomic.Bool // every source that answers has been heard
	joined  atomic.Bool // the other nodes of the data centre have been looked for
	rankAt  atomic.Int64
	at      atomic.Int64 // when the version in force was applied, Unix nanoseconds
}

// deltaKey names a delta by the digests of the version and of its base.
type deltaKey struct{ version, base string }

type offerKey struct {
	root  string
	stamp vers.Stamp
}

// push is a version to be passed on down the tree of root.
type push struct {
	root    string
	version vers.Version
	whole   bool // with its content, not only its stamp
}

// New returns a feed without a version.
func New(cfg Config) *Feed {
	return &Feed{
		cfg:     cfg,
		tracker: vers.NewTracker(cfg.TrackerConfig),
		alarms:  map[vers.Stamp]bool{},
		offered: map[offerKey]bool{},
		deltas:  map[deltaKey]*wire.Version{},
		fetches: make(chan string, fetchQueue),
		pushes:  make(chan push, pushQueue),
	}
}

// Snapshot returns the version in force, or nil if there is none.
func (f *Feed) Snapshot() *vers.Snapshot { return f.current.Load() }

// Stamp returns the stamp of the version in force.
func (f *Feed) Stamp() vers.Stamp {
	if s := f.current.Load(); s != nil {
		return s.Version.Stamp()
	}
	return vers.Stamp{}
}

// AppliedAt returns when the version in force was applied here.
func (f *Feed) AppliedAt() time.Time { return time.Unix(0, f.at.Load()) }

// Refused returns why the newest offered version was refused, or "".
func (f *Feed) RefusalReason() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// Reader reports whether this node watches the store.
func (f *Feed) IsReader() bool { return f.reader.Load() }

// Ready reports whether Boot has ended, so that calls may be served by the
// version in force.
func (f *Feed) Ready() bool { return f.ready.Load() }

// Joined tells the feed that the other nodes of the data centre have been
// looked for. Before that each node would take itself for the first reader.
func (f *Feed) SetJoined() { f.joined.Store(true) }

// StoreLost reports whether this node is a reader that can't read the store.
func (f *Feed) StoreLost() bool { return f.lost.Load() }

// Run works until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	duties := []func(context.Context){f.runPushes, f.runReader}
	for range fetchWorkers {
		duties = append(duties, f.runFetches)
	}
	for _, duty := range duties {
		wg.Go(func() { duty(ctx) })
	}
	wg.Wait()
}

// Kept returns the version with a digest, if it is held.
func (f *Feed) VersionByDigest(digest string) (vers.Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.ByDigest(digest)
}

// origin says where a version came from.
type origin struct {
	name  string
	store bool
}

// take offers a version to the tracker and journals the decision.
func (f *Feed) take(v vers.Version, from origin) vers.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d vers.Decision
	if from.store {
		d = f.tracker.OfferFromStore(v)
	} else {
		d = f.tracker.Offer(v)
	}
	cause := fmt.Sprintf("from %s: %s", from.name, d.Cause)
	switch d.Kind {
	case vers.Applied:
		s := f.tracker.Current()
		f.at.Store(time.Now().UnixNano())
		f.current.Store(&s)
		f.refused = ""
		f.journal(event.VersionApplied, v.Number, cause)
	case vers.Refused:
		f.refused = d.Cause
		f.alarm(event.VersionRefused, v.Stamp(), cause)
	case vers.Forked:
		f.alarm(event.VersionForked, v.Stamp(), cause)
	case vers.StoreRolledBack:
		f.alarm(event.StoreBackward, v.Stamp(), cause)
	}
	return d
}

// alarm journals a finding about a stamp once.
func (f *Feed) alarm(k event.Kind, s vers.Stamp, cause string) {
	if f.alarms[s] {
		return
	}
	if len(f.alarms) >= maxAlarms {
		clear(f.alarms)
	}
	f.alarms[s] = true
	f.journal(k, s.Number, cause)
}

func (f *Feed) journal(k event.Kind, number uint64, cause string) {
	f.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: fmt.Sprint(number), Cause: cause})
}

// Heard notes the version in force at another node and fetches it if it is
// later. It does not block.
func (f *Feed) ObserveStamp(addr string, s vers.Stamp) {
	if s.Number == 0 {
		return
	}
	if cur := f.Stamp(); s == cur || s.Number < cur.Number {
		return
	}
	f.mu.Lock()
	wants := f.tracker.ShouldFetch(s)
	if cur := f.tracker.Current().Version; s.Digest != "" && cur.Number == s.Number && cur.Stamp() != s {
		f.alarm(event.VersionForked, s, fmt.Sprintf("%s has version %d with digest %.12s", addr, s.Number, s.Digest))
	}
	f.mu.Unlock()
	if !wants {
		return
	}
	select {
	case f.fetches <- addr:
	default: // the next message from anyone ahead brings it up again
	}
}

func (f *Feed) runFetches(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-f.fetches:
			_, _ = f.Fetch(ctx, addr) // brought up again by the next message
		}
	}
}

// Fetch takes the version of the node at addr if it is later, and reports
// whether it was applied.
func (f *Feed) Fetch(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := f.cfg.Client.To(addr).Fetch(ctx, &wire.FetchRequest{Have: peer.ToStamp(f.Stamp())})
	if err != nil {
		return false, err
	}
	if reply.GetVersion() == nil {
		return false, nil
	}
	return f.ApplyEncoded(addr, reply.GetVersion())
}

// TakeFrom takes a version in its wire form from the node at addr.
func (f *Feed) ApplyEncoded(addr string, w *wire.Version) (bool, error) {
	v, err := peer.FromVersion(w, f.VersionByDigest)
	if err != nil {
		return false, err
	}
	return f.take(v, origin{name: addr}).Kind == vers.Applied, nil
}

// ServeFetch answers a fetch with the version in force, as a delta if the
// asker holds a version that is still kept here.
func (f *Feed) ServeFetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchReply, error) {
	s := f.Snapshot()
	have := peer.FromStamp(req.GetHave())
	if s == nil || !s.Version.Stamp().After(have) {
		return &wire.FetchReply{}, nil
	}
	v, err := f.encoded(s.Version, have.Digest)
	if err != nil {
		return nil, err
	}
	return &wire.FetchReply{Version: v}, nil
}

// encoded returns v as a delta to the version with the digest base, if that is
// held, and whole otherwise. The last deltas are kept, since many nodes ask for
// the same one.
func (f *Feed) encoded(v vers.Version, base string) (*wire.Version, error) {
	from, _ := f.VersionByDigest(base)
	key := deltaKey{v.Digest, from.Digest}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.deltas[key]; ok {
		return w, nil
	}
	w, err := peer.ToVersion(v, from)
	if err != nil {
		return nil, err
	}
	if len(f.deltas) >= maxDeltas {
		clear(f.deltas)
	}
	f.deltas[key] = w
	return w, nil
}

// Encoded returns the version in force as a delta to the version that stamp
// names, if that is held, and whole otherwise.
func (f *Feed) EncodeFor(have vers.Stamp) (*wire.Version, error) {
	return f.encoded(f.Snapshot().Version, have.Digest)
}
