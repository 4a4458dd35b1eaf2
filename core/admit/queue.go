package admit

import (
	"container/heap"
	"time"

	"tanagerchute/core/table"
)

// Item is a call that asks to start.
type Item struct {
	ID       string
	Priority table.Priority
	// Target is when its answer is worth most, and Deadline when it is worth
	// nothing any more. A zero Target is the Deadline.
	Target    time.Time
	Deadline  time.Time
	WaitUntil time.Time // when it has to have started
	// Behind is how many of the calls in flight may be waiting for this one, since
	// they wait for calls of their own and it is such a call.
	PossibleWaiters int
	line            *line // that holds it
	index           int
}

// target returns the target of the item.
func (it *Item) target() time.Time {
	if it.Target.IsZero() {
		return it.Deadline
	}
	return it.Target
}

// graded reports whether the item is worth something after its target.
func (it *Item) graded() bool { return it.target().Before(it.Deadline) }

// line is a heap of items, the earliest due first.
type line struct {
	items []*Item
	due   func(*Item) time.Time
}

func byTarget(it *Item) time.Time   { return it.target() }
func byDeadline(it *Item) time.Time { return it.Deadline }

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.items) }

// Less implements heap.Interface.
func (l *line) Less(i, j int) bool { return l.due(l.items[i]).Before(l.due(l.items[j])) }

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) {
	l.items[i], l.items[j] = l.items[j], l.items[i]
	l.items[i].index, l.items[j].index = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	it := x.(*Item)
	it.index, it.line = len(l.items), l
	l.items = append(l.items, it)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	it := l.items[len(l.items)-1]
	l.items = l.items[:len(l.items)-1]
	it.line = nil
	return it
}

// before returns the number of items that are due before at.
func (l *line) before(at time.Time) int {
	n := 0
	for _, it := range l.items {
		if l.due(it).Before(at) {
			n++
		}
	}
	return n
}

// last returns the item that is due last, or nil.
func (l *line) last() *Item {
	var last *Item
	for _, it := range l.items {
		if last == nil || l.due(it).After(l.due(last)) {
			last = it
		}
	}
	return last
}

// lane holds the items of one priority: those that can still meet their
// target, and after them those that can't.
type lane struct {
	timely line
	late   line
}

// queue holds the waiting items by priority.
type queue struct {
	lanes [table.NumPriorities]lane
	byID  map[string]*Item
}

func newQueue() queue {
	q := queue{byID: map[string]*Item{}}
	for i := range q.lanes {
		q.lanes[i] = lane{line{due: byTarget}, line{due: byDeadline}}
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) push(it Item, late bool) {
	p := &it
	q.byID[p.ID] = p
	l := &q.lanes[p.Priority]
	if late {
		heap.Push(&l.late, p)
		return
	}
	heap.Push(&l.timely, p)
}

// demote moves the items that can't meet their target any more behind those
// that can, if they are worth something after it. reach is when a call that
// starts now would be answered.
func (q *queue) demote(p table.Priority, reach time.Time) {
	l := &q.lanes[p]
	for l.timely.Len() > 0 {
		it := l.timely.items[0]
		if !it.graded() || !it.target().Before(reach) {
			return
		}
		heap.Pop(&l.timely)
		heap.Push(&l.late, it)
	}
}

// pop removes the item that starts next, or returns nil. timely puts the late
// items of all priorities behind all others.
func (q *queue) pop(timely bool) *Item {
	var late *line
	for i := range q.lanes {
		if l := &q.lanes[i].timely; l.Len() > 0 {
			return q.take(l)
		}
		if l := &q.lanes[i].late; l.Len() > 0 && late == nil {
			if !timely {
				return q.take(l)
			}
			late = l
		}
	}
	if late == nil {
		return nil
	}
	return q.take(late)
}

// take removes the first item of a line.
func (q *queue) take(l *line) *Item {
	it := heap.Pop(l).(*Item)
	delete(q.byID, it.ID)
	return it
}

func (q *queue) remove(id string) bool {
	it, ok := q.byID[id]
	if !ok {
		return false
	}
	heap.Remove(it.line, it.index)
	delete(q.byID, id)
	return true
}

// counts is a number of items for each priority.
type counts [table.NumPriorities]int

// ahead returns the items that start before it, would it be queued.
func (q *queue) ahead(it *Item, late bool) counts {
	var n counts
	for i := range q.lanes[:it.Priority] {
		n[i] = q.lanes[i].timely.Len() + q.lanes[i].late.Len()
	}
	l := &q.lanes[it.Priority]
	if late {
		n[it.Priority] = l.timely.Len() + l.late.before(it.Deadline)
	} else {
		n[it.Priority] = l.timely.before(it.target())
	}
	return n
}

// all returns the number of items of each priority.
func (q *queue) all() counts {
	var n counts
	for i := range q.lanes {
		n[i] = q.lanes[i].timely.Len() + q.lanes[i].late.Len()
	}
	return n
}

// late returns the ids of the items that can't meet their target any more.
func (q *queue) late() []string {
	var out []string
	for i := range q.lanes {
		for _, it := range q.lanes[i].late.items {
			out = append(out, it.ID)
		}
	}
	return out
}

// last returns the item that would start last, or nil.
func (q *queue) last() *Item {
	for i := len(q.lanes) - 1; i >= 0; i-- {
		if it := q.lanes[i].late.last(); it != nil {
			return it
		}
		if it := q.lanes[i].timely.last(); it != nil {
			return it
		}
	}
	return nil
}
