package xfer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"tanagerchute/core/band"
	"tanagerchute/io/timer"
)

// Config configures a Lane.
type Config struct {
	BytesPerSecond float64 // of the link in this direction, 0 if it has no bound
	// OnWait and OnRefuse are called when a transfer was admitted after a wait, and when
	// it was refused, with the load of the schedule at that time. They must not block.
	OnWait   func(t band.Transfer, waited time.Duration, s band.State)
	OnRefuse func(t band.Transfer, waited time.Duration, s band.State)
}

// Counts are the numbers of transfers of a lane, and of the bytes that passed it.
type Counts struct {
	Admitted, Waited, Refused, Bytes int64
}

// Lane is one direction of a link. Its methods are safe for concurrent use, and may be
// called on a nil Lane.
type Lane struct {
	cfg Config

	mu       sync.Mutex
	schedule *band.Schedule
	waiting  map[string]waiter // by transfer id
	lastID   uint64            // of the last transfer
	timer    *time.Timer       // for the next decision
	counts   Counts
}

// waiter is a transfer that waits for a decision.
type waiter struct {
	bytes   int64
	decided chan band.Decision
}

// NewLane returns a lane, nil if the link has no bound.
func NewLane(cfg Config) *Lane {
	if cfg.BytesPerSecond <= 0 {
		return nil
	}
	l := &Lane{cfg: cfg, schedule: band.New(band.Config{BytesPerSecond: cfg.BytesPerSecond}), waiting: map[string]waiter{}}
	l.timer = timer.NewStopped(l.advance)
	return l
}

// Bulk reports whether a message of n bytes needs to be admitted.
func (l *Lane) Bulk(n int64) bool { return l != nil && l.schedule.Bulk(n) }

// Rate returns the rate of bulk transfers in bytes a second, 0 if it has no bound.
func (l *Lane) Rate() float64 {
	if l == nil {
		return 0
	}
	return l.schedule.Rate()
}

// Pass accounts for n bytes that pass without admission.
func (l *Lane) Pass(n int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.Pass(time.Now(), n)
	l.counts.Bytes += n
}

// WaitTime returns the time until the link has room for another transfer.
func (l *Lane) WaitTime() time.Duration { return l.State().Wait }

// State returns the load of the lane.
func (l *Lane) State() band.State {
	if l == nil {
		return band.State{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.schedule.State(time.Now())
}

// Counts returns the counts since the start.
func (l *Lane) Counts() Counts {
	if l == nil {
		return Counts{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Acquire waits until a bulk transfer is admitted or refused, or ctx ends, which counts as
// given up. It sets the id of t, since attempts of other nodes need not have unique ones. If
// t is admitted, Done must be called at its end with the id of the decision.
func (l *Lane) Acquire(ctx context.Context, t band.Transfer) band.Decision {
	if l == nil {
		return band.Decision{ID: t.ID, Admitted: true}
	}
	start := time.Now()
	t.ID = l.newID()
	d, decided := l.offer(start, t)
	if decided == nil {
		return d
	}
	select {
	case d = <-decided:
	case <-ctx.Done():
		if l.giveUp(t.ID) {
			return band.Decision{ID: t.ID}
		}
		d = <-decided
	}
	switch observe := l.cfg.OnWait; {
	case !d.Admitted:
		l.observeRefusal(t, time.Since(start))
	case observe != nil:
		observe(t, time.Since(start), l.State())
	}
	return d
}

// newID returns the id of a new transfer.
func (l *Lane) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return strconv.FormatUint(l.lastID, 10)
}

// offer offers t to the schedule. If it waits, the returned channel receives the decision.
func (l *Lane) offer(now time.Time, t band.Transfer) (band.Decision, <-chan band.Decision) {
	l.mu.Lock()
	verdict, retryAfter := l.schedule.Offer(now, t)
	switch verdict {
	case band.Admitted:
		l.countAdmitted(t.Bytes)
		l.mu.Unlock()
		return band.Decision{ID: t.ID, Admitted: true}, nil
	case band.Refused:
		l.counts.Refused++
		l.mu.Unlock()
		l.observeRefusal(t, 0)
		return band.Decision{ID: t.ID, RetryAfter: retryAfter}, nil
	}
	defer l.mu.Unlock()
	decided := make(chan band.Decision, 1)
	l.waiting[t.ID] = waiter{t.Bytes, decided}
	l.counts.Waited++
	l.setTimer(now)
	return band.Decision{}, decided
}

func (l *Lane) observeRefusal(t band.Transfer, waited time.Duration) {
	if l.cfg.OnRefuse != nil {
		l.cfg.OnRefuse(t, waited, l.State())
	}
}

func (l *Lane) countAdmitted(n int64) {
	l.counts.Admitted++
	l.counts.Bytes += n
}

// giveUp removes a transfer that waits. It returns false if it was decided on before.
func (l *Lane) giveUp(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.waiting[id]; !ok {
		return false
	}
	delete(l.waiting, id)
	l.schedule.Done(id)
	return true
}

// Done records that an admitted transfer has ended.
func (l *Lane) Done(id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.schedule.Done(id)
	l.advanceLocked(time.Now())
}

// advance passes on the decisions that are due.
func (l *Lane) advance() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked(time.Now())
}

func (l *Lane) advanceLocked(now time.Time) {
	if len(l.waiting) == 0 {
		return
	}
	for _, d := range l.schedule.Advance(now) {
		w := l.waiting[d.ID]
		delete(l.waiting, d.ID)
		if d.Admitted {
			l.countAdmitted(w.bytes)
		} else {
			l.counts.Refused++
		}
		w.decided <- d
	}
	l.setTimer(now)
}

// setTimer sets the timer for the next decision. The caller holds mu.
func (l *Lane) setTimer(now time.Time) {
	if next := l.schedule.Next(now); !next.IsZero() {
		l.timer.Reset(next.Sub(now))
	}
}
