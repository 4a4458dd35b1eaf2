package feed

import (
	"cmp"
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

// DefaultInForceWithin is the time from the acceptance of a version to its being in force
// at all nodes if the settings don't say another one.
const DefaultInForceWithin = 7 * time.Second

// ReadersPerDataCentre is the number of nodes of a data centre that watch the
// store.
const ReadersPerDataCentre = 2

// Intervals and timeouts.
const (
	fetchTimeout  = time.Second
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

const (
	fetchQueueSize      = 64 // addresses
	fetchWorkers        = 2
	pushQueueSize       = 64 // versions
	maxConcurrentOffers = 32 // offers in flight at once
	maxReported         = 64 // stamps that reportOnce remembers
	maxCachedDeltas     = 8  // encoded versions that are kept
)

// Config configures a Feed.
type Config struct {
	Self          string              // id of this node
	TrackerConfig vers.Config         // which versions are accepted
	Source        tanagerchute.Source // nil for a node without a store
	Fleet         *fleet.Fleet
	Client        *peer.Client
	Journal       *event.Journal
	Rand          *rand.Rand
	// InForceWithin is the time from the acceptance of a version by the store to its being in
	// force at all nodes that can reach others, 0 for DefaultInForceWithin. The checks
	// that find a version of which no watch has told follow from it.
	InForceWithin time.Duration
	// RevokeWithin is the time within which withdrawn keys must end, 0 if nodes go on
	// with the keys that they know.
	RevokeWithin time.Duration
	// OnChecked, if not nil, is called with the revision of the store as of each check of it
	// that succeeds. It must not block.
	OnChecked func(r tanagerchute.Revision)
	// Mode is how versions are distributed. Only benchmarks set it.
	Mode Mode
}

// Mode is a way of distributing versions. Tree is the one for production; the
// others are baselines for benchmarks.
type Mode int

// Distribution modes.
const (
	Tree      Mode = iota // readers watch the store and push deltas along a tree
	WatchAll              // every node watches the store
	FullFlood             // readers send the full document to every node
)

// Feed holds the version in force at a node and distributes new ones. Its methods
// are safe for concurrent use.
type Feed struct {
	cfg       Config
	mu        sync.Mutex
	tracker   *vers.Tracker
	refusal   string              // why the newest offered version was refused, or empty
	reported  map[vers.Stamp]bool // stamps for which reportOnce has journaled an event
	current   atomic.Pointer[vers.Snapshot]
	forwarded map[forwardKey]bool        // versions that enqueuePush has queued
	deltas    map[deltaKey]*wire.Version // cache of encode
	fetches   chan string                // addresses of nodes with a later version
	pushes    chan push
	readAgain chan struct{} // receives a value from ReadAgain
	isReader  atomic.Bool
	storeLost atomic.Bool  // the store can't be read
	ready     atomic.Bool  // Boot has asked its sources and put a version in force
	joined    atomic.Bool  // set by SetJoined
	rank      atomic.Int64 // rank that runReader acts on
	appliedAt atomic.Int64 // when the version in force was applied, Unix nanoseconds
	watched   atomic.Int64 // versions applied that the watch of the store told
	checked   atomic.Int64 // versions applied that a check of the store found
	proofs    *proofs
	// checkFailed receives the error of a check of the store that failed.
	checkFailed chan error
}

// deltaKey identifies a delta by the digests of the version and of its base.
type deltaKey struct{ version, base string }

// forwardKey identifies a version and the root of the tree along which it is
// pushed.
type forwardKey struct {
	root  string
	stamp vers.Stamp
}

// push is a version to push to the children of this node in the tree of root.
type push struct {
	root        string
	version     vers.Version
	withContent bool // false to offer only the stamp
}

// New returns a feed without a version.
func New(cfg Config) *Feed {
	cfg.InForceWithin = cmp.Or(cfg.InForceWithin, DefaultInForceWithin)
	f := &Feed{
		cfg:         cfg,
		tracker:     vers.NewTracker(cfg.TrackerConfig),
		reported:    map[vers.Stamp]bool{},
		forwarded:   map[forwardKey]bool{},
		deltas:      map[deltaKey]*wire.Version{},
		fetches:     make(chan string, fetchQueueSize),
		pushes:      make(chan push, pushQueueSize),
		readAgain:   make(chan struct{}, 1),
		proofs:      newProofs(cfg),
		checkFailed: make(chan error, 1),
	}
	f.rank.Store(noRank)
	return f
}

// Snapshot returns the version in force, or nil if there is none.
func (f *Feed) Snapshot() *vers.Snapshot { return f.current.Load() }

// Stamp returns the stamp of the version in force, or a zero Stamp if there is
// none.
func (f *Feed) Stamp() vers.Stamp {
	if s := f.current.Load(); s != nil {
		return s.Version.Stamp()
	}
	return vers.Stamp{}
}

// AppliedAt returns when the version in force was applied at this node.
func (f *Feed) AppliedAt() time.Time { return time.Unix(0, f.appliedAt.Load()) }

// RefusalReason returns why the newest offered version was refused. It is empty
// if none has been refused since the version in force was applied.
func (f *Feed) RefusalReason() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusal
}

// IsReader reports whether this node watches the store.
func (f *Feed) IsReader() bool { return f.isReader.Load() }

// Ready reports whether Boot has ended successfully, so that calls can be served
// with the version in force.
func (f *Feed) Ready() bool { return f.ready.Load() }

// SetJoined enables the node to become a reader. It must be called after the node
// has tried to join the other nodes of the data centre: until then its member table
// holds only itself, and it would rank itself as the first reader.
func (f *Feed) SetJoined() { f.joined.Store(true) }

// StoreLost reports whether this node is a reader that can't read the store.
func (f *Feed) StoreLost() bool { return f.storeLost.Load() }

// Run watches the store if the node is a reader, and fetches and pushes versions,
// until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var wg sync.WaitGroup
	loops := []func(context.Context){f.runPushes, f.runReader, f.runChecks}
	for range fetchWorkers {
		loops = append(loops, f.runFetchWorker)
	}
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// VersionByDigest returns the version with the given digest, if it is still held
// in memory.
func (f *Feed) VersionByDigest(digest string) (vers.Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.ByDigest(digest)
}

// origin is the source of a version.
type origin struct {
	name    string // how it was learned from the store, or the node, address or data centre it came from
	isStore bool
}

// Origins of versions that were learned from the store.
var (
	fromWatch = origin{"the watch of the store", true}
	fromCheck = origin{"a check of the store", true}
)

// offerToTracker offers a version to the tracker, which decides whether it is put
// in force, and journals the decision.
func (f *Feed) offerToTracker(v vers.Version, from origin) vers.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d vers.Decision
	if from.isStore {
		d = f.tracker.OfferFromStore(v)
	} else {
		d = f.tracker.Offer(v)
	}
	cause := fmt.Sprintf("from %s: %s", from.name, d.Cause)
	switch d.Kind {
	case vers.Applied:
		s := f.tracker.Current()
		f.appliedAt.Store(time.Now().UnixNano())
		f.putInForce(&s)
		f.countApplied(from)
		f.refusal = ""
		f.recordVersionEvent(event.VersionApplied, v.Number, cause)
	case vers.Refused:
		f.refusal = d.Cause
		f.reportOnce(event.VersionRefused, v.Stamp(), cause)
	case vers.Forked:
		f.reportOnce(event.VersionForked, v.Stamp(), cause)
	case vers.StoreRolledBack:
		f.reportOnce(event.StoreBackward, v.Stamp(), cause)
	}
	return d
}

// countApplied counts a version that was applied, by its origin.
func (f *Feed) countApplied(from origin) {
	switch from.name {
	case fromWatch.name:
		f.watched.Add(1)
	case fromCheck.name:
		f.checked.Add(1)
	}
}

// Learned returns how many of the versions applied at this node were told by its watch of the
// store, and found by its checks of the store. The others came from other nodes.
func (f *Feed) Learned() (watched, checked int64) { return f.watched.Load(), f.checked.Load() }

// reportOnce journals an event about a version, unless one has been reported for
// its stamp already.
func (f *Feed) reportOnce(k event.Kind, s vers.Stamp, cause string) {
	if f.reported[s] {
		return
	}
	if len(f.reported) >= maxReported {
		clear(f.reported)
	}
	f.reported[s] = true
	f.recordVersionEvent(k, s.Number, cause)
}

func (f *Feed) recordVersionEvent(k event.Kind, number uint64, cause string) {
	f.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: fmt.Sprint(number), Cause: cause})
}
