package admit

import (
	"container/heap"
	"time"

	"tanagerchute/core/routes"
)

// Item is a call offered for admission.
type Item struct {
	ID       string
	Class    string // of work, the calls of which take about equally long
	Priority routes.Priority
	// The answer is worth most up to Target and nothing after Deadline. If
	// Target is zero, Deadline takes its place.
	Target    time.Time
	Deadline  time.Time
	WaitUntil time.Time // latest start
	// PossibleWaiters is the number of calls in flight that may be waiting for
	// this one: if this is a nested call, those that wait for nested calls of
	// their own.
	PossibleWaiters int
	Account         string        // client account, empty if there is none
	hold            time.Duration // expected time in a slot
	excess          int           // how far its account is beyond its share of the slots, see shares.offer
	takenAt         time.Time     // when hold was recorded as taken by its account
	heap            *itemHeap     // the heap that holds it, nil if none does
	heapIndex       int
}

// target returns Target, or Deadline if Target is zero.
func (it *Item) target() time.Time {
	if it.Target.IsZero() {
		return it.Deadline
	}
	return it.Target
}

// latestStart returns when the call has to start to meet its target.
func (it *Item) latestStart() time.Time { return it.target().Add(-it.hold) }

// usefulAfterTarget reports whether an answer after the target still has a
// value.
func (it *Item) usefulAfterTarget() bool { return it.target().Before(it.Deadline) }

// itemHeap is a heap of items, the earliest due first. Items beyond the share of their
// account come behind the others.
type itemHeap struct {
	items        []*Item
	work         time.Duration // sum of Item.hold
	numOverShare int           // items beyond the share of their account
	late         bool          // the items can't meet their target, and are due at their deadline
}

// due returns when an item of the heap is due to start.
func (h *itemHeap) due(it *Item) time.Time {
	if h.late {
		return it.Deadline
	}
	return it.latestStart()
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.before(h.items[i], h.items[j]) }

// before reports whether a starts before b.
func (h *itemHeap) before(a, b *Item) bool {
	if a.excess != b.excess {
		return a.excess < b.excess
	}
	return h.due(a).Before(h.due(b))
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex, h.items[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex, it.heap = len(h.items), h
	h.items = append(h.items, it)
	h.work += it.hold
	if it.excess > 0 {
		h.numOverShare++
	}
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	it := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	it.heap = nil
	h.work -= it.hold
	if it.excess > 0 {
		h.numOverShare--
	}
	return it
}

// backlogBefore returns the items that start before other, which the heap need not hold.
func (h *itemHeap) backlogBefore(other *Item) backlog {
	var b backlog
	for _, it := range h.items {
		if h.before(it, other) {
			b.calls++
			b.work += it.hold
		}
	}
	return b
}

// backlog returns all items.
func (h *itemHeap) backlog() backlog { return backlog{calls: len(h.items), work: h.work} }

// last returns the item that starts last, or nil if the heap is empty.
func (h *itemHeap) last() *Item {
	var last *Item
	for _, it := range h.items {
		if last == nil || h.before(last, it) {
			last = it
		}
	}
	return last
}

// firstInShare returns the item that is due first of those within the share of their
// account, or nil.
func (h *itemHeap) firstInShare() *Item {
	if len(h.items) > h.numOverShare {
		return h.items[0]
	}
	return nil
}

// firstOverShare returns the item that is due first of those beyond the share of their
// account, or nil.
func (h *itemHeap) firstOverShare() *Item {
	if h.numOverShare == 0 {
		return nil
	}
	var first *Item
	for _, it := range h.items {
		if it.excess > 0 && (first == nil || h.due(it).Before(h.due(first))) {
			first = it
		}
	}
	return first
}

// level holds the items of one priority: those that can still meet their
// target, and those that can't.
type level struct {
	timely itemHeap
	late   itemHeap
}

// queue holds the waiting items by priority. Within a priority, timely items
// start before late ones.
type queue struct {
	levels [routes.NumPriorities]level
	byID   map[string]*Item
}

func newQueue() queue {
	q := queue{byID: map[string]*Item{}}
	for i := range q.levels {
		q.levels[i].late.late = true
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) push(it Item, late bool) {
	p := &it
	q.byID[p.ID] = p
	l := &q.levels[p.Priority]
	if late {
		heap.Push(&l.late, p)
		return
	}
	heap.Push(&l.timely, p)
}

// demote moves the items of priority p that can no longer meet their target at now behind
// those that can, if their answers are still of use after the target.
func (q *queue) demote(p routes.Priority, now time.Time) {
	l := &q.levels[p]
	for l.demoteItem(l.timely.firstInShare(), now) {
	}
	for l.demoteItem(l.timely.firstOverShare(), now) {
	}
}

// demoteItem moves an item that can't meet its target, but is useful after it, to the late
// ones, and reports whether it did. The item may be nil.
func (l *level) demoteItem(it *Item, now time.Time) bool {
	if it == nil || !it.usefulAfterTarget() || !it.latestStart().Before(now) {
		return false
	}
	heap.Remove(&l.timely, it.heapIndex)
	heap.Push(&l.late, it)
	return true
}

// pop removes and returns the item that starts next, or returns nil if the
// queue is empty. timelyFirst places the late items of all priorities behind
// the timely items of all priorities.
func (q *queue) pop(timelyFirst bool) *Item {
	var late *itemHeap
	for i := range q.levels {
		if h := &q.levels[i].timely; h.Len() > 0 {
			return q.popFrom(h)
		}
		if h := &q.levels[i].late; h.Len() > 0 && late == nil {
			if !timelyFirst {
				return q.popFrom(h)
			}
			late = h
		}
	}
	if late == nil {
		return nil
	}
	return q.popFrom(late)
}

// popFrom removes and returns the first item of h.
func (q *queue) popFrom(h *itemHeap) *Item {
	it := heap.Pop(h).(*Item)
	delete(q.byID, it.ID)
	return it
}

// remove removes the item with the given id. It returns nil if there is none.
func (q *queue) remove(id string) *Item {
	it, ok := q.byID[id]
	if !ok {
		return nil
	}
	heap.Remove(it.heap, it.heapIndex)
	delete(q.byID, id)
	return it
}

// popLevel removes and returns the item of priority p that starts next, or returns nil
// if there is none.
func (q *queue) popLevel(p routes.Priority) *Item {
	l := &q.levels[p]
	switch {
	case l.timely.Len() > 0:
		return q.popFrom(&l.timely)
	case l.late.Len() > 0:
		return q.popFrom(&l.late)
	}
	return nil
}

// backlog is work that starts before a call.
type backlog struct {
	calls int
	work  time.Duration // in slots
}

func (b backlog) plus(o backlog) backlog { return backlog{b.calls + o.calls, b.work + o.work} }

// backlogByPriority is the work of each priority.
type backlogByPriority [routes.NumPriorities]backlog

// total returns the work of all priorities.
func (b backlogByPriority) total() backlog {
	var sum backlog
	for _, x := range b {
		sum = sum.plus(x)
	}
	return sum
}

// backlogAhead returns the queued work that would start before it, if it were queued among
// the late or the timely items of its priority.
func (q *queue) backlogAhead(it *Item, late bool) backlogByPriority {
	var b backlogByPriority
	for i := range q.levels[:it.Priority] {
		b[i] = q.levels[i].backlog()
	}
	l := &q.levels[it.Priority]
	if late {
		b[it.Priority] = l.timely.backlog().plus(l.late.backlogBefore(it))
	} else {
		b[it.Priority] = l.timely.backlogBefore(it)
	}
	return b
}

// backlog returns the queued work of each priority.
func (q *queue) backlog() backlogByPriority {
	var b backlogByPriority
	for i := range q.levels {
		b[i] = q.levels[i].backlog()
	}
	return b
}

// backlog returns the work of a priority.
func (l *level) backlog() backlog { return l.timely.backlog().plus(l.late.backlog()) }

// lateItems returns the items that can no longer meet their target.
func (q *queue) lateItems() []*Item {
	var out []*Item
	for i := range q.levels {
		out = append(out, q.levels[i].late.items...)
	}
	return out
}

// last returns the item that starts last, or nil if the queue is empty.
func (q *queue) last() *Item {
	for i := len(q.levels) - 1; i >= 0; i-- {
		if it := q.levels[i].late.last(); it != nil {
			return it
		}
		if it := q.levels[i].timely.last(); it != nil {
			return it
		}
	}
	return nil
}
