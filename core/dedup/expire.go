package dedup

import "time"

// expire drops records of ended work that are too old, and the oldest ones
// while there are too many. It raises the floor to the issue time of
// each dropped key, which could otherwise begin again.
func (t *Table) expire(now time.Time) {
	t.dropAnswers()
	for e := t.ended.Front(); e != nil; e = t.ended.Front() {
		r := e.Value.(*record)
		tooMany := t.ended.Len() > t.cfg.MaxRecords
		if !tooMany && now.Sub(r.ended) < t.cfg.Retention {
			return
		}
		if tooMany {
			t.droppedAt = now
		}
		t.ended.Remove(e)
		t.bytes -= r.answer.size()
		delete(t.records, r.key.ID)
		t.RaiseFloor(r.key.Issued)
		if t.nextDrop == e {
			t.nextDrop = nil
		}
	}
}

// dropAnswers drops the oldest answers while they are too large together. That their work has
// run is still recorded.
func (t *Table) dropAnswers() {
	for t.bytes > t.cfg.MaxBytes {
		if t.nextDrop == nil {
			t.nextDrop = t.ended.Front()
		} else {
			t.nextDrop = t.nextDrop.Next()
		}
		if t.nextDrop == nil {
			return // only the overhead of records is left
		}
		r := t.nextDrop.Value.(*record)
		t.bytes -= r.answer.size()
		r.state, r.answer, r.cause = lost, Answer{}, "its answer is no longer kept"
		t.bytes += r.answer.size()
	}
}
