package feed

import (
	"context"
	"sync"
	"time"

	"tanagerchute/core/vers"
	"tanagerchute/io/timer"
)

// Times of a boot.
const (
	bootRound    = 250 * time.Millisecond // pause between rounds of asking peers
	bootPatience = time.Second            // shortest wait before a node asks the store itself
	bootSpread   = 2 * time.Second        // jitter on top of it
	// fetchPatience bounds the wait for the versions of peers in one round.
	fetchPatience = 300 * time.Millisecond
	storeGrace    = 400 * time.Millisecond // wait for the store once peers have answered
)

// Boot takes the highest version of all sources that can be reached: the peers
// at addrs, the readers of the data centre, and the store. It returns once a
// version is in force and every source that answers has been heard.
//
// The store is asked by the readers. Another node asks it only if no reader
// has a version for a jittered while, so that a herd of starting nodes does
// not reach the store all at once.
func (f *Feed) Boot(ctx context.Context, addrs []string) error {
	patience := bootPatience + f.jitter(bootSpread)
	own := time.Now().Add(patience)
	for {
		asked := make(chan struct{})
		if f.cfg.Source != nil && (f.readerRank() >= 0 || time.Now().After(own)) {
			own = time.Now().Add(patience)
			go func() {
				defer close(asked)
				f.askStore(ctx)
			}()
		} else {
			close(asked)
		}
		f.fetchAll(ctx, append(f.readers(), addrs...), fetchPatience)
		f.awaitStore(ctx, asked)
		if f.Snapshot() != nil {
			f.ready.Store(true)
			return nil
		}
		if !timer.Sleep(ctx, f.jitter(bootRound)) {
			return ctx.Err()
		}
	}
}

// awaitStore waits for the answer of the store: as long as it takes if no
// version is known, and for storeGrace if peers have given one.
func (f *Feed) awaitStore(ctx context.Context, asked <-chan struct{}) {
	if f.Snapshot() != nil {
		limited, cancel := context.WithTimeout(ctx, storeGrace)
		defer cancel()
		ctx = limited
	}
	select {
	case <-asked:
	case <-ctx.Done():
	}
}

// fetchAll fetches from all addresses at once and waits for all answers, but no
// longer than patience: some may be addresses of nodes that have gone.
func (f *Feed) fetchAll(ctx context.Context, addrs []string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var wg sync.WaitGroup
	seen := map[string]bool{}
	for _, a := range addrs {
		if seen[a] {
			continue
		}
		seen[a] = true
		wg.Go(func() { _, _ = f.Fetch(ctx, a) }) // the next round asks again
	}
	wg.Wait()
}

func (f *Feed) askStore(ctx context.Context) {
	head, err := f.cfg.Source.Head(ctx, f.VersionByDigest)
	if err != nil || head.Version.Number == 0 {
		return
	}
	cur := f.Stamp()
	if head.Version.Stamp().After(cur) {
		f.take(head.Version, origin{name: "store"})
	}
}

// Wait returns once version s, or a later one, is in force here.
func (f *Feed) WaitFor(ctx context.Context, s vers.Stamp) error {
	for f.Stamp().Number < s.Number {
		if !timer.Sleep(ctx, bootRound/10) {
			return ctx.Err()
		}
	}
	return nil
}
