package crash

import "time"

// recentSlots is the number of works that a Recent remembers at most.
const recentSlots = 4096

// Recent remembers when works were last completed. A work displaces another one with the
// same slot, so that memory is bounded and those that are completed often stay. It is not
// safe for concurrent use.
type Recent struct {
	start time.Time
	slots [recentSlots]completion
}

// completion is the completion of a work.
type completion struct {
	work Work
	at   time.Duration // since Recent.start
}

// NewRecent returns a Recent without works.
func NewRecent(now time.Time) *Recent { return &Recent{start: now} }

// Add records that a work is completed at now.
func (r *Recent) Add(now time.Time, w Work) {
	r.slots[w%recentSlots] = completion{w, now.Sub(r.start)}
}

// CompletedAt returns when a work was last completed. ok is false if that is not known.
func (r *Recent) CompletedAt(w Work) (at time.Time, ok bool) {
	s := r.slots[w%recentSlots]
	if w == 0 || s.work != w {
		return time.Time{}, false
	}
	return r.start.Add(s.at), true
}
