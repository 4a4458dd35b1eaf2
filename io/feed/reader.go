package feed

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/timer"
)

// rankCheck is how often a node looks whether it is a reader.
const rankCheck = 200 * time.Millisecond

// alone is the silence of all other nodes after which a node reads the store
// itself. Probes come many times a second.
const alone = 800 * time.Millisecond

// runReader watches the store while this node is a reader.
func (f *Feed) runReader(ctx context.Context) {
	if f.cfg.Source == nil {
		return
	}
	t := time.NewTicker(rankCheck)
	defer t.Stop()
	var stop context.CancelFunc
	var ended chan struct{}
	for {
		rank := f.readerRank()
		f.rankAt.Store(int64(rank))
		switch {
		case rank >= 0 && stop == nil:
			stop, ended = f.startReading(ctx, rank)
		case rank < 0 && stop != nil:
			stop()
			<-ended
			stop = nil
			f.stopped()
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

func (f *Feed) readerRank() int {
	if f.cfg.Mode == WatchAll {
		return 0
	}
	if !f.joined.Load() {
		return -1
	}
	if f.cfg.Fleet.SinceContact(time.Now()) > alone {
		// Nobody else can bring news.
		return 0
	}
	return f.cfg.Fleet.View().RankInDataCentre("reader", ReadersPerDataCentre)
}

func (f *Feed) startReading(ctx context.Context, rank int) (context.CancelFunc, chan struct{}) {
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	f.reader.Store(true)
	f.event(event.ReaderStarted, fmt.Sprintf("rank %d of the data centre's readers", rank))
	go func() {
		defer close(ended)
		f.read(ctx)
	}()
	return stop, ended
}

func (f *Feed) stopped() {
	f.reader.Store(false)
	f.lost.Store(false)
	f.event(event.ReaderStopped, "other members rank higher")
}

func (f *Feed) event(k event.Kind, cause string) {
	f.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: f.cfg.Self, Cause: cause})
}

// read follows the store until ctx ends. After a failure it comes back after
// a jittered, growing delay, so that readers don't come back all at once.
func (f *Feed) read(ctx context.Context) {
	delay := retryMin
	for ctx.Err() == nil {
		began := time.Now()
		err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		f.storeLost(err)
		if time.Since(began) > retryMax {
			delay = retryMin
		}
		if !timer.Sleep(ctx, f.jitter(delay)) {
			return
		}
		delay = min(2*delay, retryMax)
	}
}

func (f *Feed) storeLost(err error) {
	if !f.lost.Swap(true) {
		f.event(event.StoreLost, err.Error())
	}
}

func (f *Feed) storeBack() {
	if f.lost.Swap(false) {
		f.event(event.StoreBack, "watch stands again")
	}
}

// jitter returns a time between half of d and one and a half times d.
func (f *Feed) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.cfg.Rand.Int64N(int64(d)))
}

// follow reads the newest version and then watches for later ones. Beside the
// watch it polls, since a watch whose connection has gone silent looks like one
// on which nothing happens.
func (f *Feed) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, err := f.check(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() {
		failed <- f.cfg.Source.Watch(ctx, f.VersionByDigest, head.Revision+1, f.storeBack, func(v vers.Version, err error) {
			f.fromStore(ctx, v, err)
		})
	}()
	go func() { failed <- f.poll(ctx) }()
	return <-failed
}

func (f *Feed) fromStore(ctx context.Context, v vers.Version, err error) {
	if err != nil {
		f.event(event.VersionRefused, "record in the store: "+err.Error())
		return
	}
	if f.take(v, origin{"store", true}).Kind == vers.Applied {
		f.distribute(ctx, v, int(f.rankAt.Load()))
	}
}

// poll checks the store at a steady pace, if this node is the first reader.
func (f *Feed) poll(ctx context.Context) error {
	for {
		if !timer.Sleep(ctx, f.jitter(pollEvery)) {
			return ctx.Err()
		}
		if f.rankAt.Load() != 0 {
			continue
		}
		if _, err := f.check(ctx); err != nil {
			return err
		}
	}
}

// check reads the newest version of the store. If the store holds less than
// the version in force, which it once accepted, the version is written back.
func (f *Feed) check(ctx context.Context) (tanagerchute.Head, error) {
	head, err := f.cfg.Source.Head(ctx, f.VersionByDigest)
	if err != nil {
		return head, err
	}
	cur := f.Snapshot()
	if cur != nil && head.Version.Number < cur.Version.Number {
		// The version in force may have been written after the read began.
		if head, err = f.cfg.Source.Head(ctx, f.VersionByDigest); err != nil {
			return head, err
		}
	}
	if cur != nil && head.Version.Number < cur.Version.Number {
		f.take(head.Version, origin{"store", true})
		return head, f.restore(ctx, head, cur.Version)
	}
	if head.Version.Number > 0 {
		f.fromStore(ctx, head.Version, nil)
	}
	return head, nil
}

func (f *Feed) restore(ctx context.Context, head tanagerchute.Head, v vers.Version) error {
	ok, err := f.cfg.Source.Restore(ctx, v, head)
	if err != nil {
		return errors.Wrap(err, "write back lost version")
	}
	if ok {
		f.journal(event.StoreRepaired, v.Number, fmt.Sprintf("store held version %d, version %d was written back", head.Version.Number, v.Number))
	}
	return nil
}
