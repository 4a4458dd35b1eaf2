package dedup

import (
	"container/list"
	"time"
)

// Verdict tells what to do about an attempt, or what became of it.
type Verdict int

// Verdicts.
const (
	Run    Verdict = iota // start the work
	Join                  // the work is running; wait for its answer
	Replay                // the work has ended; return the recorded answer
	Fenced                // the attempt was fenced and must not start
	Lost                  // the work started, and its outcome is unknown
	TooOld                // the records may be incomplete for a key issued that early
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	return [...]string{"run", "join", "replay", "fenced", "lost", "too_old"}[v]
}

// Answer is a complete answer recorded for repeats of the work. It is
// immutable.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size estimates the memory that the answer takes, in bytes.
func (a Answer) size() int {
	n := len(a.Body) + 64
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

type state int

const (
	running state = iota
	done
	lost
)

type record struct {
	key       Key
	state     state
	answer    Answer
	cause     string
	ended     time.Time
	waiters   []func()
	endedElem *list.Element // element of Table.ended, nil while the work is running
}

// Config configures a Table.
type Config struct {
	MaxRecords int           // maximum number of records of work that has ended
	MaxBytes   int           // maximum total size of recorded answers, beyond which only the answers are dropped
	Retention  time.Duration // how long a record is kept after its work has ended
	MaxFences  int           // maximum number of fenced attempts that are kept
	Floor      time.Time     // keys issued at or before it may have run without a record here
	// Start is the start of the process plus a margin for clock differences. An
	// attempt that was sent before it may have been sent to an earlier process
	// at the same address, of which this one has no records.
	Start time.Time
}

// clockMargin is the allowance for the clock difference between two instances.
const clockMargin = 500 * time.Millisecond

// DefaultConfig returns the settings for a process that starts at now.
func DefaultConfig(now time.Time) Config {
	return Config{
		Start:      now.Add(clockMargin),
		MaxRecords: 40000,
		MaxBytes:   16 << 20,
		Retention:  10 * time.Minute,
		MaxFences:  20000,
	}
}

// Table is the state machine that records all keys at one node. It is not safe
// for concurrent use.
//
// Invariants: Begin returns Run at most once for a key, unless Withdraw takes
// it back. It never returns Run for a fenced attempt.
type Table struct {
	cfg        Config
	floor      time.Time
	records    map[string]*record
	ended      *list.List // *record of work that has ended, oldest first
	bytes      int
	nextDrop   *list.Element // the last record whose answer was dropped, nil if it was dropped itself
	droppedAt  time.Time     // when a record was last dropped since there were too many
	fences     map[string]bool
	fenceOrder []fence // fences, oldest first
}

// fence records an attempt that must not begin.
type fence struct {
	attempt string
	issued  time.Time // issue time of its key
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		floor:   cfg.Floor,
		records: map[string]*record{},
		ended:   list.New(),
		fences:  map[string]bool{},
	}
}

// RaiseFloor sets the floor to at if that is later than the present floor.
func (t *Table) RaiseFloor(at time.Time) {
	if at.After(t.floor) {
		t.floor = at
	}
}

// Floor returns the issue time up to which the records may be incomplete.
func (t *Table) Floor() time.Time { return t.floor }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the total size of the recorded answers.
func (t *Table) Bytes() int { return t.bytes }

// Begin decides whether the work under key may start now, as the given attempt.
// If it returns Run, the work is recorded as running.
func (t *Table) Begin(now time.Time, key Key, attempt string) (Verdict, Answer) {
	t.expire(now)
	if t.fences[attempt] || t.fences[key.ID] {
		return Fenced, Answer{}
	}
	if r, ok := t.records[key.ID]; ok {
		return r.verdict()
	}
	if !key.Issued.After(t.floor) {
		return TooOld, Answer{}
	}
	t.records[key.ID] = &record{key: key}
	return Run, Answer{}
}

func (r *record) verdict() (Verdict, Answer) {
	switch r.state {
	case running:
		return Join, Answer{}
	case done:
		return Replay, r.answer
	}
	return Lost, Answer{}
}

// NotifyEnd arranges for f to be called when the running work under id ends. If
// the work is not running, NotifyEnd returns false and f is not called.
func (t *Table) NotifyEnd(id string, f func()) bool {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return false
	}
	r.waiters = append(r.waiters, f)
	return true
}

// Withdraw removes the record of work that Begin allowed and that has certainly
// not started.
func (t *Table) Withdraw(id string) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	delete(t.records, id)
	r.notifyWaiters()
}

// Finish records that the work under id has ended with an answer.
func (t *Table) Finish(now time.Time, id string, a Answer) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	r.state, r.answer = done, a
	t.end(now, r)
}

// MarkLost records that the work under id may have run and that its outcome
// will stay unknown.
func (t *Table) MarkLost(now time.Time, id, cause string) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	r.state, r.cause = lost, cause
	t.end(now, r)
}

func (t *Table) end(now time.Time, r *record) {
	r.ended = now
	r.endedElem = t.ended.PushBack(r)
	t.bytes += r.answer.size()
	r.notifyWaiters()
	t.expire(now)
}

func (r *record) notifyWaiters() {
	for _, f := range r.waiters {
		f()
	}
	r.waiters = nil
}

// Lookup returns what is recorded under id. ok is false if nothing is.
func (t *Table) Lookup(id string) (v Verdict, a Answer, ok bool) {
	r, ok := t.records[id]
	if !ok {
		return 0, Answer{}, false
	}
	v, a = r.verdict()
	return v, a, true
}

// Inquiry asks what became of an attempt.
type Inquiry struct {
	Key     Key // of the work
	Attempt string
	// Own is set if the attempt was sent to this very process. Otherwise an earlier process
	// at its address may have got it.
	Own bool
	// SentAt is when the attempt was sent at the earliest, by the clock of this process. If it is
	// zero, the issue time of the key stands for it, which is a time of the sender's clock.
	SentAt time.Time
}

// sentAt returns when the attempt was sent at the earliest.
func (q Inquiry) sentAt() time.Time {
	if q.SentAt.IsZero() {
		return q.Key.Issued
	}
	return q.SentAt
}

// Inquire returns what became of an attempt. If the work has not begun, Inquire fences
// the attempt.
func (t *Table) Inquire(now time.Time, q Inquiry) (Verdict, Answer) {
	t.expire(now)
	if r, ok := t.records[q.Key.ID]; ok {
		return r.verdict()
	}
	// The clock of the sender may be ahead, so that the floor alone proves nothing.
	droppedLately := !t.droppedAt.IsZero() && now.Sub(t.droppedAt) < t.cfg.Retention
	maybeDropped := droppedLately || !q.Key.Issued.After(t.floor)
	maybeEarlier := !q.Own && !q.sentAt().After(t.cfg.Start)
	if maybeDropped || maybeEarlier {
		return TooOld, Answer{}
	}
	t.addFence(fence{q.Attempt, q.Key.Issued})
	return Fenced, Answer{}
}

// Fence fences all attempts at the work under key, unless the key is recorded.
// It does not check the floor, so the caller has to make sure that this table's
// records are complete for the key.
func (t *Table) Fence(key Key) {
	if _, ok := t.records[key.ID]; !ok {
		t.addFence(fence{key.ID, key.Issued})
	}
}

// addFence adds f. If it has to drop the oldest fence, it raises the floor to
// the issue time of that fence's key, so that the attempt still can't begin.
func (t *Table) addFence(f fence) {
	if t.fences[f.attempt] {
		return
	}
	t.fences[f.attempt] = true
	t.fenceOrder = append(t.fenceOrder, f)
	if len(t.fenceOrder) <= t.cfg.MaxFences {
		return
	}
	delete(t.fences, t.fenceOrder[0].attempt)
	t.RaiseFloor(t.fenceOrder[0].issued)
	t.fenceOrder = t.fenceOrder[1:]
}
