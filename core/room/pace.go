package room

import "time"

const (
	// paceTime is the time over which the pace is smoothed.
	paceTime = 500 * time.Millisecond
	// unknownWait is the expected wait while the pace is not known.
	unknownWait = 300 * time.Millisecond
	// minWait and maxWait bound the expected wait that a refusal names.
	minWait = 10 * time.Millisecond
	maxWait = 5 * time.Second
)

// pace estimates how fast room is given back.
type pace struct {
	began time.Time // of the present span
	bytes int64     // given back in it
	rate  float64   // of the span before, bytes a second, 0 if it is not known
}

// add records that room was given back.
func (p *pace) add(now time.Time, bytes int64) {
	p.roll(now)
	p.bytes += bytes
}

// roll ends the present span if it is over.
func (p *pace) roll(now time.Time) {
	switch d := now.Sub(p.began); {
	case p.began.IsZero() || d > 4*paceTime: // what was long ago says nothing
		p.began, p.bytes, p.rate = now, 0, 0
	case d >= paceTime:
		p.rate = float64(p.bytes) / d.Seconds()
		p.began, p.bytes = now, 0
	}
}

// timeFor returns the time until that many bytes are given back.
func (p *pace) timeFor(now time.Time, bytes int64) time.Duration {
	p.roll(now)
	if p.rate == 0 {
		return unknownWait
	}
	return min(time.Duration(float64(bytes)/p.rate*float64(time.Second)), maxWait)
}
