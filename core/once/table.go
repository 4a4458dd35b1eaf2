package once

import (
	"container/list"
	"time"
)

// Verdict is what has to be done about an attempt.
type Verdict int

// Verdicts.
const (
	Run    Verdict = iota // start the work
	Join                  // it is running; wait for its answer
	Replay                // it is done; give the kept answer
	Fenced                // the attempt was fenced and must not start
	Lost                  // it started, and how it came out is not known
	TooOld                // the key is older than the table's knowledge
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"run", "join", "replay", "fenced", "lost", "too_old"}[v]
}

// Answer is a complete answer that is kept for repeats. It is immutable.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size estimates the bytes that the answer holds.
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
	key     Key
	state   state
	answer  Answer
	cause   string
	ended   time.Time
	waiters []func()
	elem    *list.Element // in Table.ended, once the work has ended
}

// Config configures a Table.
type Config struct {
	MaxRecords int           // ended records that are kept
	MaxBytes   int           // bytes of kept answers
	Retention  time.Duration // how long an ended record is kept
	MaxFences  int           // fenced attempts that are remembered
	Floor      time.Time     // keys issued at or before it are not known
	// Start is the start of the process, with a margin for the difference of
	// clocks. About an attempt at work issued before it, a former process at
	// the same address may know more than this one.
	Start time.Time
}

// startMargin covers the difference between the clocks of two instances.
const startMargin = 500 * time.Millisecond

// DefaultConfig returns the settings of a process that starts at now.
func DefaultConfig(now time.Time) Config {
	return Config{
		Start:      now.Add(startMargin),
		MaxRecords: 20000,
		MaxBytes:   16 << 20,
		Retention:  10 * time.Minute,
		MaxFences:  20000,
	}
}

// Table is the state machine of all keys at one node. It is not safe for
// concurrent use.
//
// Invariants: Begin returns Run at most once for a key; a fenced attempt never
// gets Run; an ended key never gets Run again.
type Table struct {
	cfg     Config
	floor   time.Time
	records map[string]*record
	ended   *list.List // records that have ended, oldest first
	bytes   int
	fences  map[string]bool
	order   []fence // oldest first
}

// fence is an attempt that must not begin.
type fence struct {
	attempt string
	issued  time.Time // of the key
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

// Raise lifts the floor to at, if it is later than the present one.
func (t *Table) RaiseFloor(at time.Time) {
	if at.After(t.floor) {
		t.floor = at
	}
}

// Floor returns the time up to which nothing is known.
func (t *Table) Floor() time.Time { return t.floor }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Bytes returns the bytes of kept answers.
func (t *Table) Bytes() int { return t.bytes }

// Begin asks whether the work under key may start now, as the given attempt.
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

// Wait calls f when the running work under id has ended. It reports false,
// without calling f, if the work is not running.
func (t *Table) NotifyEnd(id string, f func()) bool {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return false
	}
	r.waiters = append(r.waiters, f)
	return true
}

// Withdraw takes back a Run whose work has provably not started.
func (t *Table) Withdraw(id string) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	delete(t.records, id)
	r.wake()
}

// Finish records the answer of work that ran.
func (t *Table) Finish(now time.Time, id string, a Answer) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	r.state, r.answer = done, a
	t.end(now, r)
}

// Lose records that the work under id may have run, and that its answer will
// not be known.
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
	r.elem = t.ended.PushBack(r)
	t.bytes += r.answer.size()
	r.wake()
	t.expire(now)
}

func (r *record) wake() {
	for _, f := range r.waiters {
		f()
	}
	r.waiters = nil
}

// Look returns what is recorded under id, if anything is.
func (t *Table) Lookup(id string) (v Verdict, a Answer, ok bool) {
	r, ok := t.records[id]
	if !ok {
		return 0, Answer{}, false
	}
	v, a = r.verdict()
	return v, a, true
}

// Inquire asks what became of an attempt under a key. If the work has not
// begun, the attempt is fenced by the question.
func (t *Table) Inquire(now time.Time, key Key, attempt string) (Verdict, Answer) {
	t.expire(now)
	if r, ok := t.records[key.ID]; ok {
		return r.verdict()
	}
	if !key.Issued.After(t.floor) || !key.Issued.After(t.cfg.Start) {
		return TooOld, Answer{}
	}
	t.fence(fence{attempt, key.Issued})
	return Fenced, Answer{}
}

// Fence fences a key under all attempts, unless it is recorded. Whoever calls
// it has to know by other means what this table can speak for.
func (t *Table) Fence(key Key) {
	if _, ok := t.records[key.ID]; !ok {
		t.fence(fence{key.ID, key.Issued})
	}
}

// fence remembers f. When the oldest fence has to go for it, the floor rises
// to that fence's key, so that its attempt still can't begin.
func (t *Table) fence(f fence) {
	if t.fences[f.attempt] {
		return
	}
	t.fences[f.attempt] = true
	t.order = append(t.order, f)
	if len(t.order) <= t.cfg.MaxFences {
		return
	}
	delete(t.fences, t.order[0].attempt)
	t.RaiseFloor(t.order[0].issued)
	t.order = t.order[1:]
}

// expire drops ended records that are too old or too many. The floor rises
// with each, since its key could otherwise begin again.
func (t *Table) expire(now time.Time) {
	for e := t.ended.Front(); e != nil; e = t.ended.Front() {
		r := e.Value.(*record)
		over := t.ended.Len() > t.cfg.MaxRecords || t.bytes > t.cfg.MaxBytes
		if !over && now.Sub(r.ended) < t.cfg.Retention {
			return
		}
		t.ended.Remove(e)
		t.bytes -= r.answer.size()
		delete(t.records, r.key.ID)
		t.RaiseFloor(r.key.Issued)
	}
}
