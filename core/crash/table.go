package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of a Table.
const (
	maxWorks       = 256 // works that are remembered
	maxEndsPerWork = 16
)

// Times after the last end after which a work is forgotten.
const (
	clearedTTL = 2 * time.Minute  // if it ended no server, until all nodes know that
	suspectTTL = 10 * time.Minute // if too few servers ended to hold it back
	heldTTL    = time.Hour        // if it is held back; also the longest hold
)

// endsUntilHeld is the number of servers that end under a work before it is held back.
const endsUntilHeld = 3

// minSpread is the time that must lie between the first and the last of these ends. Servers
// that end at the same moment have a common cause, such as a loss of power, and whatever
// was often asked for was running at all of them.
const minSpread = 500 * time.Millisecond

// Times of a hold.
const (
	firstHold  = time.Minute
	holdFactor = 4 // by which each failed trial extends the next hold
	// clearTime is the time after an end was found, or heard of, before a node holds a
	// work back. Other nodes that have completed the work since the end say so by then.
	clearTime = 300 * time.Millisecond
	// settleTime is the time in which all nodes learn that a work is held back. Ends
	// within it are due to calls that had been sent before, and not to a trial.
	settleTime = 10 * time.Second
	// trialTimeout is the time after which another trial may run if the outcome of the
	// one before is not known. A server that ended is back and announced by then.
	trialTimeout = 15 * time.Second
)

// Bounds on the time after which the caller of a held call should come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// EndID identifies the end of one server.
type EndID uint64

// endIDHashBits is the number of bits of an EndID that do not hold the time.
const endIDHashBits = 20

// NewEndID returns the id of the end of a server at a time. hash distinguishes the ends
// of several servers in the same millisecond. Later ends have higher ids if clocks agree.
func NewEndID(at time.Time, hash uint64) EndID {
	return EndID(uint64(at.UnixMilli())<<endIDHashBits | hash&(1<<endIDHashBits-1))
}

// KnownEnd is the end of a server under a work.
type KnownEnd struct {
	ID EndID
	At time.Time // by the clock of this node
	// HeardAt is when the node from which this one learned of it had found it or learned
	// of it, by the clock of this node.
	HeardAt time.Time
	// Cleared is set if the work was completed by a server since then, so that it was
	// not what ended this one.
	Cleared bool
}

// Record is what is known of a work. It is immutable.
type Record struct {
	Work Work
	Ends []KnownEnd // sorted by id, highest first, at most maxEndsPerWork
}

// Judgement tells what may be done with a call.
type Judgement struct {
	Held       bool          // it must not run now
	RetryAfter time.Duration // if Held, when its caller should come back
	TrialDue   bool          // it has been held for long enough, and one may run as a trial
	TrialNode  string        // if TrialDue, the node that may run it, see TrialNode; not set by Table
	// Suspect is set if a server ended while the work ran. Only the requests of its
	// caller then run: it is neither hedged nor resent after a server may have run it.
	Suspect bool
	Ends    int // servers that ended while the work ran
}

// Table remembers the works under which servers have ended. Nodes exchange their records.
// Merge is commutative and idempotent, so the tables of all nodes become equal in whatever
// order and however often they get each other's records. It is not safe for concurrent
// use, except that the methods that change nothing may run concurrently.
type Table struct {
	records map[Work]Record
	trials  map[Work]time.Time // when the outcome of the last trial here is no longer awaited
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Work]Record{}, trials: map[Work]time.Time{}} }

// Len returns the number of works.
func (t *Table) Len() int { return len(t.records) }

// AddEnd records an end that was found at now. It returns the records that have changed.
func (t *Table) AddEnd(now time.Time, id EndID, end End) []Record {
	changes := make([]Record, 0, len(end.Works))
	for _, w := range end.Works {
		delete(t.trials, w)
		changes = append(changes, Record{Work: w, Ends: []KnownEnd{{ID: id, At: end.At, HeardAt: now}}})
	}
	return t.Merge(now, changes)
}

// Complete records that a server has completed a work at a time. The earlier ends under
// the work were not due to it. It returns the records that have changed.
func (t *Table) Complete(at time.Time, w Work) []Record {
	r, known := t.records[w]
	if !known {
		return nil
	}
	ends, changed := slices.Clone(r.Ends), false
	for i, e := range ends {
		if !e.Cleared && e.At.Before(at) {
			ends[i].Cleared, changed = true, true
		}
	}
	if !changed {
		return nil
	}
	delete(t.trials, w)
	r.Ends = ends
	t.records[w] = r
	return []Record{r}
}

// Merge adds the records of another node. It returns the records that have changed.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	var changed []Record
	for _, r := range records[:min(len(records), maxWorks)] {
		merged, differs := t.records[r.Work].merge(r)
		if !differs || merged.expired(now) {
			continue
		}
		t.records[r.Work] = merged
		changed = append(changed, merged)
	}
	t.evict()
	return slices.DeleteFunc(changed, func(r Record) bool { _, kept := t.records[r.Work]; return !kept })
}

// merge returns the union of the ends of r and o, and whether it differs from r.
func (r Record) merge(o Record) (merged Record, differs bool) {
	ends := slices.Clone(r.Ends)
	for _, e := range o.Ends {
		at := slices.IndexFunc(ends, func(k KnownEnd) bool { return k.ID == e.ID })
		if at < 0 {
			ends = append(ends, e)
			continue
		}
		ends[at].Cleared = ends[at].Cleared || e.Cleared
	}
	slices.SortFunc(ends, func(a, b KnownEnd) int { return cmp.Compare(b.ID, a.ID) })
	ends = ends[:min(len(ends), maxEndsPerWork)]
	same := slices.EqualFunc(ends, r.Ends, func(a, b KnownEnd) bool { return a.ID == b.ID && a.Cleared == b.Cleared })
	return Record{Work: o.Work, Ends: ends}, !same
}

// active returns the number of ends that have not been cleared.
func (r Record) active() int {
	n := 0
	for _, e := range r.Ends {
		if !e.Cleared {
			n++
		}
	}
	return n
}

// activeTimes returns the times of the ends that have not been cleared, and when they
// were heard of, each oldest first.
func (r Record) activeTimes() (at, heard []time.Time) {
	for _, e := range r.Ends {
		if !e.Cleared {
			at = append(at, e.At)
			heard = append(heard, e.HeardAt)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	slices.SortFunc(heard, time.Time.Compare)
	return at, heard
}

// lastEnd returns the time of the last end.
func (r Record) lastEnd() time.Time {
	var last time.Time
	for _, e := range r.Ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// expired reports whether r is no longer remembered.
func (r Record) expired(now time.Time) bool { return now.Sub(r.lastEnd()) >= r.ttl() }

// ttl returns the time after its last end after which r is forgotten.
func (r Record) ttl() time.Duration {
	switch {
	case r.active() == 0:
		return clearedTTL
	case r.HeldUntil().IsZero():
		return suspectTTL
	}
	return heldTTL
}

// HeldUntil returns when the work may run again as a trial, zero if it is not held back.
func (r Record) HeldUntil() time.Time {
	ends, _ := r.activeTimes()
	return heldUntil(ends)
}

// Active returns the number of servers that ended under the work, without those that it
// did not end.
func (r Record) Active() int { return r.active() }

// Known returns what is known of a work.
func (t *Table) Known(w Work) (Record, bool) {
	r, ok := t.records[w]
	return r, ok
}

// heldUntil returns when a work under which servers ended at the given times, oldest
// first, may run again as a trial. It is zero if the work is not held back.
func heldUntil(ends []time.Time) time.Time {
	if len(ends) < endsUntilHeld || ends[len(ends)-1].Sub(ends[0]) < minSpread {
		return time.Time{}
	}
	settled := ends[endsUntilHeld-1].Add(settleTime)
	hold := firstHold
	for _, at := range ends[endsUntilHeld:] {
		if at.After(settled) {
			hold = min(hold*holdFactor, heldTTL)
		}
	}
	return ends[len(ends)-1].Add(hold)
}

// Judge tells what may be done with a call that asks for a work.
func (t *Table) Judge(now time.Time, w Work) Judgement {
	r, known := t.records[w]
	if !known || r.expired(now) {
		return Judgement{}
	}
	ends, heard := r.activeTimes()
	j := Judgement{Ends: len(ends), Suspect: len(ends) > 0}
	until := heldUntil(ends)
	if until.IsZero() || now.Sub(heard[endsUntilHeld-1]) < clearTime {
		return j
	}
	if trial, ok := t.trials[w]; ok && trial.After(until) {
		until = trial // the outcome of a trial is awaited
	}
	left := until.Sub(now)
	j.Held, j.TrialDue = left > 0, left <= 0
	j.RetryAfter = min(max(left, minRetryAfter), maxRetryAfter)
	return j
}

// BeginTrial reports whether a held work may run now as a trial, and if so keeps it from
// running again here until the outcome is known.
func (t *Table) BeginTrial(now time.Time, w Work) bool {
	if !t.Judge(now, w).TrialDue {
		return false
	}
	t.trials[w] = now.Add(trialTimeout)
	return true
}

// Records returns all records, in the order of their works.
func (t *Table) Records() []Record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b Record) int { return cmp.Compare(a.Work, b.Work) })
}

// Expire forgets the works whose last end was long ago.
func (t *Table) Expire(now time.Time) {
	for w, r := range t.records {
		if r.expired(now) {
			t.remove(w)
		}
	}
}

func (t *Table) remove(w Work) {
	delete(t.records, w)
	delete(t.trials, w)
}

// evict removes records until there are at most maxWorks: those with the fewest active
// ends first, and of these the oldest.
func (t *Table) evict() {
	excess := len(t.records) - maxWorks
	if excess <= 0 {
		return
	}
	records := t.Records()
	slices.SortStableFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.active(), b.active()), a.lastEnd().Compare(b.lastEnd()))
	})
	for _, r := range records[:excess] {
		t.remove(r.Work)
	}
}

// Digest returns a hash of the table. Tables with the same ends have the same digest. It
// is 0 for an empty table.
func (t *Table) Digest() uint64 {
	var d uint64
	for _, r := range t.records {
		for _, e := range r.Ends {
			d ^= hashEnd(r.Work, e)
		}
	}
	return d
}
