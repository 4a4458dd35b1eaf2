package quota

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRate is the lowest rate in requests a second. A server that names less
	// still gets some requests, since only an answer can end its limit.
	minRate = 0.2
	// burstPeriod is the time whose requests may arrive at once.
	burstPeriod = 250 * time.Millisecond
)

// Answer is what one answer of the server says about its limit.
type Answer struct {
	SentAt     time.Time // when its request was sent
	ReceivedAt time.Time
	Limited    bool
	Rate       float64 // requests a second, if Limited
}

// Limiter holds the limit of one server. The zero Limiter has heard of none. It is
// not safe for concurrent use.
type Limiter struct {
	bucket *rate.Limiter // nil without a limit
	// namedAt is when an answer last named the limit in force, or a lower one.
	namedAt time.Time
	heardAt time.Time // when the last answer was received, zero if none was
}

// Observe takes in an answer of the server. It reports whether the limit changed.
func (l *Limiter) Observe(a Answer) bool {
	l.heardAt = a.ReceivedAt
	current, limited := l.Rate()
	if !a.Limited {
		if !limited || a.SentAt.Before(l.namedAt) {
			return false
		}
		l.bucket = nil
		return true
	}
	named := max(a.Rate, minRate)
	if limited && named > current && a.SentAt.Before(l.namedAt) {
		return false
	}
	l.namedAt = a.ReceivedAt
	return l.set(a.ReceivedAt, named)
}

// Adopt takes over a limit that another node heard of at heardAt, unless the server
// itself has answered here or a later notice was adopted. It reports whether the
// limit changed.
func (l *Limiter) Adopt(now time.Time, named float64, heardAt time.Time) bool {
	if !l.heardAt.IsZero() || l.bucket != nil && !heardAt.After(l.namedAt) {
		return false
	}
	l.namedAt = heardAt
	return l.set(now, max(named, minRate))
}

// set sets the limit and reports whether it differs from the one before.
func (l *Limiter) set(now time.Time, named float64) bool {
	burst := max(1, int(named*burstPeriod.Seconds()))
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(rate.Limit(named), burst)
		l.bucket.AllowN(now, burst) // a bucket starts full
		return true
	}
	if l.bucket.Limit() == rate.Limit(named) {
		return false
	}
	l.bucket.SetLimitAt(now, rate.Limit(named))
	l.bucket.SetBurstAt(now, burst)
	return true
}

// Rate returns the limit in requests a second. limited is false if there is none.
func (l *Limiter) Rate() (named float64, limited bool) {
	if l.bucket == nil {
		return 0, false
	}
	return float64(l.bucket.Limit()), true
}

// HeardAt returns when the last answer of the server was received, zero if none was.
func (l *Limiter) HeardAt() time.Time { return l.heardAt }

// NamedAt returns when the limit was last named, zero if it never was.
func (l *Limiter) NamedAt() time.Time { return l.namedAt }

// Take reports whether a request may be sent at now, and counts it if so.
func (l *Limiter) Take(now time.Time) bool {
	return l.bucket == nil || l.bucket.AllowN(now, 1)
}

// Wait returns how long a request waits for its turn behind the given number of
// others.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if l.bucket == nil {
		return 0
	}
	missing := float64(ahead+1) - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.bucket.Limit()) * float64(time.Second))
}
