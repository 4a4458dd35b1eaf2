package room

import (
	"slices"
	"time"
)

// Class is the class of a message.
type Class int

// Classes, in the order in which waiting messages are given room.
const (
	Small  Class = iota // at most SmallBytes
	Answer              // a larger answer
	Body                // a larger body of a request

	numClasses = iota
)

// String returns the name of the class.
func (c Class) String() string { return [...]string{"small", "answer", "body"}[c] }

// SmallBytes is the largest size of a small message.
const SmallBytes = 64 << 10

// ClassOf returns the class of a message of n bytes that is large if n exceeds SmallBytes.
func ClassOf(large Class, n int64) Class {
	if n <= SmallBytes {
		return Small
	}
	return large
}

// Shares of the budget that only one class takes.
const (
	smallShare  = 0.125
	answerShare = 0.2
)

// Config configures a Table.
type Config struct {
	Bytes int64 // that all messages may take together
}

// Message is a message that asks for room.
type Message struct {
	ID    uint64 // unique
	Class Class
	Bytes int64
	Until time.Time // how long it may wait
	// Grows reports that the message already holds room, and needs more as it has no
	// declared length. Only one of a class waits, since two would wait for what the other
	// one holds.
	Grows bool
}

// Verdict is the decision on a message.
type Verdict int

// Verdicts.
const (
	Given   Verdict = iota
	Waits           // it is given room later, unless it is cancelled
	Refused         // it has no room in time
	TooLong         // it has no room even if it is alone
)

// Table is the budget. It is not safe for concurrent use.
//
// Invariant: the room given to all messages together is at most Config.Bytes, and what a
// class has not used of its share is given to no other class.
type Table struct {
	cfg     Config
	used    [numClasses]int64
	taken   int64                 // by what does not ask, see SetTaken
	waiting [numClasses][]Message // oldest first
	pace    pace
}

// New returns a table without messages.
func New(cfg Config) *Table { return &Table{cfg: cfg} }

// share returns what only messages of class c take.
func (t *Table) share(c Class) int64 {
	switch c {
	case Small:
		return int64(smallShare * float64(t.cfg.Bytes))
	case Answer:
		return int64(answerShare * float64(t.cfg.Bytes))
	}
	return 0
}

// free returns what a message of class c may take now.
func (t *Table) free(c Class) int64 {
	n := t.cfg.Bytes - t.taken
	for d := range Class(numClasses) {
		if d == c {
			n -= t.used[d]
		} else {
			n -= max(t.used[d], t.share(d))
		}
	}
	return n
}

// Limit returns what a message of class c can take at most, if there are no others.
func (t *Table) Limit(c Class) int64 {
	n := t.cfg.Bytes
	for d := range Class(numClasses) {
		if d != c {
			n -= t.share(d)
		}
	}
	return n
}

// Offer decides on a message that arrives at now. If it is refused, retryAfter is the time
// after which it should fit.
func (t *Table) Offer(now time.Time, m Message) (v Verdict, retryAfter time.Duration) {
	if m.Bytes > t.Limit(m.Class) {
		return TooLong, 0
	}
	queue := t.waiting[m.Class]
	if (len(queue) == 0 || m.Grows) && m.Bytes <= t.free(m.Class) {
		t.used[m.Class] += m.Bytes
		return Given, 0
	}
	wait := t.expectedWait(now, m)
	growing := func(w Message) bool { return w.Grows }
	if now.Add(wait).After(m.Until) || m.Grows && slices.ContainsFunc(queue, growing) {
		return Refused, max(wait, minWait)
	}
	if m.Grows { // those in front would wait for what it holds
		t.waiting[m.Class] = slices.Insert(queue, 0, m)
	} else {
		t.waiting[m.Class] = append(queue, m)
	}
	return Waits, 0
}

// SetTaken sets what is taken by things that don't ask for room, such as open connections.
// It returns the ids of the messages that are given room, if it is less than before.
func (t *Table) SetTaken(bytes int64) []uint64 {
	t.taken = bytes
	return t.advance()
}

// expectedWait estimates when a message that arrives at now is given room.
func (t *Table) expectedWait(now time.Time, m Message) time.Duration {
	missing := m.Bytes - t.free(m.Class)
	for _, w := range t.waiting[m.Class] {
		missing += w.Bytes
	}
	return t.pace.timeFor(now, max(missing, 0))
}

// Release gives back the room of a message, and returns the ids of those that are given
// room by it.
func (t *Table) Release(now time.Time, c Class, bytes int64) []uint64 {
	t.used[c] -= bytes
	t.pace.add(now, bytes)
	return t.advance()
}

// advance gives room to the messages that wait and fit.
func (t *Table) advance() []uint64 {
	var out []uint64
	for c := range Class(numClasses) {
		for len(t.waiting[c]) > 0 && t.waiting[c][0].Bytes <= t.free(c) {
			m := t.waiting[c][0]
			t.waiting[c] = t.waiting[c][1:]
			t.used[c] += m.Bytes
			out = append(out, m.ID)
		}
	}
	return out
}

// Cancel removes a message of class c that waits, and returns the ids of those behind it
// that are given room now. ok is false if it does not wait.
func (t *Table) Cancel(c Class, id uint64) (given []uint64, ok bool) {
	for i, m := range t.waiting[c] {
		if m.ID == id {
			t.waiting[c] = append(t.waiting[c][:i:i], t.waiting[c][i+1:]...)
			return t.advance(), true
		}
	}
	return nil, false
}

// State is the state of a table.
type State struct {
	Used    [numClasses]int64 // bytes by class
	Waiting int               // messages that wait
}

// Total returns the bytes that all classes use.
func (s State) Total() int64 {
	n := int64(0)
	for _, u := range s.Used {
		n += u
	}
	return n
}

// State returns the present state.
func (t *Table) State() State {
	s := State{Used: t.used}
	for _, q := range t.waiting {
		s.Waiting += len(q)
	}
	return s
}
