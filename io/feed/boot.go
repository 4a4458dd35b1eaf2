package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tanagerchute/core/vers"
	"tanagerchute/io/clock"
	"tanagerchute/io/timer"
)

// Intervals and timeouts of Boot.
const (
	bootRetryDelay = 250 * time.Millisecond // mean pause between rounds
	// bootStoreDelay is the delay, without jitter, before a node that is not a
	// reader reads the store.
	bootStoreDelay  = time.Second
	bootStoreJitter = 2 * time.Second // mean jitter added to bootStoreDelay
	// bootFetchTimeout limits the wait for the versions of all peers in one round.
	bootFetchTimeout = 300 * time.Millisecond
	// bootStoreTimeout limits the wait for the store after a peer has supplied a
	// version.
	bootStoreTimeout = 400 * time.Millisecond
	maxBootAddrs     = 4 // peers asked in one round, besides the readers
)

// Boot asks some of the peers at addrs, the members that rank first as readers, and
// the store for a version, and puts the latest one in force. It asks in rounds. It
// returns after the first round in which a version is in force, when every source
// that was asked has answered or timed out.
//
// Readers read the store. Any other node reads it only if it has received no
// version from peers after a jittered delay, so that many nodes that start together
// do not read the store at once.
func (f *Feed) Boot(ctx context.Context, addrs []string) error {
	storeDelay := bootStoreDelay + f.jitter(bootStoreJitter)
	storeAt := time.Now().Add(storeDelay)
	for {
		storeRead := make(chan struct{})
		if f.cfg.Source != nil && (f.rank.Load() != noRank || time.Now().After(storeAt)) {
			storeAt = time.Now().Add(storeDelay)
			go func() {
				defer close(storeRead)
				f.readStore(ctx)
			}()
		} else {
			close(storeRead)
		}
		f.fetchAll(ctx, append(f.readerAddrs(), randomAddrs(addrs)...), bootFetchTimeout)
		f.awaitStore(ctx, storeRead)
		if f.Snapshot() != nil {
			f.ready.Store(true)
			return nil
		}
		if !timer.Sleep(ctx, f.jitter(bootRetryDelay)) {
			return ctx.Err()
		}
	}
}

// randomAddrs returns up to maxBootAddrs of addrs at random. Nodes that start
// together then do not all ask the same seeds.
func randomAddrs(addrs []string) []string {
	out := slices.Clone(addrs)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxBootAddrs)]
}

// awaitStore waits until storeRead is closed, that is, until the store has been
// read. If a version is in force already, it waits for bootStoreTimeout at most.
func (f *Feed) awaitStore(ctx context.Context, storeRead <-chan struct{}) {
	if f.Snapshot() != nil {
		limited, cancel := context.WithTimeout(ctx, bootStoreTimeout)
		defer cancel()
		ctx = limited
	}
	select {
	case <-storeRead:
	case <-ctx.Done():
	}
}

// fetchAll fetches the versions of the nodes at addrs concurrently. It waits for
// all answers, but no longer than timeout, since some of the nodes may be gone.
func (f *Feed) fetchAll(ctx context.Context, addrs []string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	seen := map[string]bool{}
	for _, a := range addrs {
		if seen[a] {
			continue
		}
		seen[a] = true
		wg.Go(func() { _, _ = f.Fetch(ctx, a) }) // the next round fetches again
	}
	wg.Wait()
}

// readStore reads the store and applies its newest version if it is later than the
// one in force.
func (f *Feed) readStore(ctx context.Context) {
	began := clock.Now()
	head, err := f.cfg.Source.Head(ctx, f.VersionByDigest)
	if err != nil || head.Version.Number == 0 {
		return
	}
	cur := f.Stamp()
	if head.Version.Stamp().After(cur) {
		f.offerToTracker(head.Version, origin{name: fromCheck.name})
	}
	f.recordHead(head, began)
}

// WaitFor waits until version s or a later one is in force at this node.
func (f *Feed) WaitFor(ctx context.Context, s vers.Stamp) error {
	for f.Stamp().Number < s.Number {
		if !timer.Sleep(ctx, bootRetryDelay/10) {
			return ctx.Err()
		}
	}
	return nil
}
