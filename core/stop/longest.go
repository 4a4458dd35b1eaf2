package stop

import "time"

const (
	// window is the time after which the longest calls are forgotten, one window later at most.
	window = 30 * time.Second
	// maxClasses bounds the classes that are kept apart. The others have no longest call.
	maxClasses = 256
)

// Durations knows how long the longest call of each class has lasted in the present window and
// the one before. The zero Durations has seen none. It is not safe for concurrent use.
type Durations struct {
	windowEnd time.Time
	present   map[string]time.Duration
	before    map[string]time.Duration
}

// Observe records a call of a class that has ended at now.
func (d *Durations) Observe(now time.Time, class string, took time.Duration) {
	d.advance(now)
	if _, known := d.present[class]; !known && len(d.present) >= maxClasses {
		return
	}
	d.present[class] = max(d.present[class], took)
}

// Longest returns how long the longest call of a class has lasted of late, 0 if there was none.
func (d *Durations) Longest(now time.Time, class string) time.Duration {
	d.advance(now)
	return max(d.present[class], d.before[class])
}

// advance begins a new window if the present one has ended.
func (d *Durations) advance(now time.Time) {
	if d.present != nil && now.Before(d.windowEnd) {
		return
	}
	d.before = d.present
	if now.After(d.windowEnd.Add(window)) {
		d.before = nil // nothing was observed for a whole window
	}
	d.present = map[string]time.Duration{}
	d.windowEnd = now.Add(window)
}
