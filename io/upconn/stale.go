package upconn

import "time"

// Detection of stale connections, which the server dropped while they were idle.
const (
	// staleErrorWindow bounds the time from sending a request to the error for the
	// connection to count as stale. A server resets a stale connection at once,
	// before it runs anything.
	staleErrorWindow = 20 * time.Millisecond
	// learnedMaxIdleTTL is how long learnedMaxIdle applies.
	learnedMaxIdleTTL = 10 * time.Second
	// minStaleIdle is the shortest idle time after which a connection counts as
	// stale. One that ends after less idle time was reset for another reason, for
	// example because the server crashed or lost an answer. Other idle connections
	// are then not affected.
	minStaleIdle = 100 * time.Millisecond
)

// recordStale records that a connection was stale after the given idle time. Half
// of that time becomes the limit if it is lower than the one in effect.
func (p *Pool) recordStale(idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.learnedUntil) || idleTime/2 < p.learnedMaxIdle {
		p.learnedMaxIdle = max(idleTime/2, minStaleIdle)
	}
	p.learnedUntil = now.Add(learnedMaxIdleTTL)
}

// effectiveMaxIdle returns the lower of a request's MaxIdle and learnedMaxIdle, 0
// for no limit.
func (p *Pool) effectiveMaxIdle(requested time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.learnedUntil) {
		return requested
	}
	if requested == 0 {
		return p.learnedMaxIdle
	}
	return min(requested, p.learnedMaxIdle)
}
