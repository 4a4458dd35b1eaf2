package feed

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/clock"
	"tanagerchute/io/timer"
)

// rankCheckInterval is how often a node checks whether it is a reader.
const rankCheckInterval = 100 * time.Millisecond

// noRank is the rank of a node that is not a reader.
const noRank = -1

// isolationTimeout is the time without contact to any other node after which a node
// watches the store itself. Nodes exchange probes several times a second.
const isolationTimeout = 800 * time.Millisecond

// runReader watches the store while this node is a reader, until ctx ends.
func (f *Feed) runReader(ctx context.Context) {
	if f.cfg.Source == nil {
		return
	}
	t := time.NewTicker(rankCheckInterval)
	defer t.Stop()
	var stop context.CancelFunc
	var ended chan struct{}
	var settled rankFilter
	for {
		rank := settled.update(time.Now(), f.readerRank(), f.isIsolated())
		f.rank.Store(int64(rank))
		switch {
		case rank >= 0 && stop == nil:
			stop, ended = f.startReading(ctx, rank)
		case rank < 0 && stop != nil:
			stop()
			<-ended
			stop = nil
			f.recordReaderStopped()
		}
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
				<-ended
			}
			return
		case <-t.C:
		}
	}
}

// readerSettleTime is how long a node must have ranked as a reader before it reads
// the store. While the nodes of a group start together, each knows only a few of
// the others at first, and many rank as readers for a moment.
const readerSettleTime = 300 * time.Millisecond

// rankFilter delays the change from a node that is not a reader to a reader.
type rankFilter struct{ rankedSince time.Time } // zero if the node does not rank

// update returns the rank to act on, given the present one. An isolated node acts
// on its rank at once.
func (r *rankFilter) update(now time.Time, rank int, isolated bool) int {
	if rank < 0 {
		r.rankedSince = time.Time{}
		return rank
	}
	if r.rankedSince.IsZero() {
		r.rankedSince = now
	}
	if !isolated && now.Sub(r.rankedSince) < readerSettleTime {
		return noRank
	}
	return rank
}

// readerRank returns the rank of this node among the readers of its data centre,
// counted from 0, or noRank if it is not a reader.
func (f *Feed) readerRank() int {
	if f.cfg.Mode == WatchAll {
		return 0
	}
	if !f.joined.Load() {
		return noRank
	}
	if f.isIsolated() {
		return 0
	}
	return f.cfg.Fleet.View().ReaderRank(ReadersPerDataCentre)
}

// isIsolated reports whether no other node can deliver new versions to this one.
func (f *Feed) isIsolated() bool { return f.cfg.Fleet.SinceContact(time.Now()) > isolationTimeout }

// startReading starts watching the store. The function it returns stops the watch,
// and the channel is closed when it has ended.
func (f *Feed) startReading(ctx context.Context, rank int) (context.CancelFunc, chan struct{}) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	f.isReader.Store(true)
	f.recordReaderEvent(event.ReaderStarted, fmt.Sprintf("rank %d among the readers of the data centre", rank))
	go func() {
		defer close(ended)
		f.followWithRetry(ctx)
	}()
	return stop, ended
}

func (f *Feed) recordReaderStopped() {
	f.isReader.Store(false)
	f.storeLost.Store(false)
	f.recordReaderEvent(event.ReaderStopped, "other members rank higher")
}

func (f *Feed) recordReaderEvent(k event.Kind, cause string) {
	f.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: f.cfg.Self, Cause: cause})
}

// followWithRetry follows the store until ctx ends. After a failure it retries with
// exponential backoff and jitter, so that the readers do not reconnect all at once.
func (f *Feed) followWithRetry(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(began) > maxRetryDelay {
			delay = minRetryDelay
		}
		if errors.Is(err, tanagerchute.ErrEraChanged) {
			delay = minRetryDelay // the store can be read
		} else {
			f.recordStoreLost(err)
		}
		if !f.pause(ctx, f.jitter(delay)) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// ReadAgain makes a reader that is waiting to retry read the store soon, because
// another call has shown that the store has restarted. It does not block.
func (f *Feed) ReadAgain() {
	select {
	case f.readAgain <- struct{}{}:
	default:
	}
}

// pause waits until d has passed, or for a jittered minRetryDelay after ReadAgain. It
// returns false if ctx ended first.
func (f *Feed) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	case <-f.readAgain:
		return timer.Sleep(ctx, f.jitter(minRetryDelay))
	}
}

func (f *Feed) recordStoreLost(err error) {
	if !f.storeLost.Swap(true) {
		f.recordReaderEvent(event.StoreLost, err.Error())
	}
}

func (f *Feed) recordStoreBack() {
	if f.storeLost.Swap(false) {
		f.recordReaderEvent(event.StoreBack, "watch is established again")
	}
}

// jitter returns a random duration between d/2 and 3*d/2.
func (f *Feed) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.cfg.Rand.Int64N(int64(d)))
}

// follow reads the newest version and then watches for later ones until the watch or a check
// of the store fails. A watch whose connection is dead can't be told from one without events,
// but a check can, see runChecks.
func (f *Feed) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.forgetFailedCheck()
	head, err := f.syncWithStore(ctx)
	if err != nil {
		return err
	}
	lastValid := f.recordWatched(vers.Stamp{}, head.Version, nil)
	failed := make(chan error, 1)
	go func() {
		failed <- f.cfg.Source.Watch(ctx, f.VersionByDigest, head.Revision.Next(), f.recordStoreBack, func(v vers.Version, err error) {
			f.applyFromStore(ctx, v, err, fromWatch)
			lastValid = f.recordWatched(lastValid, v, err)
		})
	}()
	select {
	case err = <-failed:
	case err = <-f.checkFailed:
	}
	return err
}

// applyFromStore handles a version read from the store, or the error of a record
// that can't be decoded. It distributes the version if it was applied.
func (f *Feed) applyFromStore(ctx context.Context, v vers.Version, err error, from origin) {
	if err != nil {
		f.recordReaderEvent(event.VersionRefused, "record in the store: "+err.Error())
		return
	}
	if f.offerToTracker(v, from).Kind == vers.Applied {
		f.distribute(ctx, v, int(f.rank.Load()))
	}
}

// syncWithStore reads the newest version of the store and applies it if it is later
// than the one in force. If it is earlier, the store has lost the version in force,
// which it had accepted. syncWithStore then writes that version back.
func (f *Feed) syncWithStore(ctx context.Context) (tanagerchute.Head, error) {
	began := clock.Now()
	head, err := f.cfg.Source.Head(ctx, f.VersionByDigest)
	if errors.Is(err, tanagerchute.ErrUnreadable) {
		f.refuseUnreadable(head, err)
		return head, nil
	}
	if err != nil {
		return head, err
	}
	cur := f.Snapshot()
	if cur != nil && head.Version.Number < cur.Version.Number {
		// The version in force may have been written after the read began.
		began = clock.Now()
		if head, err = f.cfg.Source.Head(ctx, f.VersionByDigest); err != nil {
			return head, err
		}
	}
	if cur != nil && head.Version.Number < cur.Version.Number {
		f.offerToTracker(head.Version, fromCheck)
		return head, f.restoreStore(ctx, head, cur.Version)
	}
	if head.Version.Number > 0 {
		f.applyFromStore(ctx, head.Version, nil, fromCheck)
		f.recordHead(head, began)
	}
	return head, nil
}

// refuseUnreadable handles a head that is not a version. It is recorded, so that the checks notice
// the next change, and journaled once.
func (f *Feed) refuseUnreadable(head tanagerchute.Head, err error) {
	if f.replaceHead(head).ModRevision != head.ModRevision {
		f.recordReaderEvent(event.VersionRefused, "record in the store: "+err.Error())
	}
}

// restoreStore writes v back to the store, whose newest version is head.
func (f *Feed) restoreStore(ctx context.Context, head tanagerchute.Head, v vers.Version) error {
	ok, err := f.cfg.Source.Restore(ctx, v, head)
	if err != nil {
		return errors.Wrap(err, "write lost version back to the store")
	}
	if ok {
		f.recordVersionEvent(event.StoreRepaired, v.Number, fmt.Sprintf("store held version %d, version %d was written back", head.Version.Number, v.Number))
	}
	return nil
}
