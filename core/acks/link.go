package acks

import "time"

// Times of the keepalive pings on a connection between nodes.
const (
	PingAfterIdle = 1200 * time.Millisecond // a ping is sent if nothing was received for this long
	PingTimeout   = 500 * time.Millisecond  // time for its answer, after which the link counts as silent
)

// recheckDelay is the time between the two checks that find a link silent. A process
// that did not run itself finds what was received meanwhile before the second.
const recheckDelay = 100 * time.Millisecond

// Link decides whether a node has fallen silent, from what is received on the
// connections to it. Keepalive pings keep data coming while a connection is open.
//
// A silent node may be busy, or what it sends may wait behind a large answer. So
// silence ends no call: it is a reason to use another connection, or another node,
// while the answers are still awaited. A Link is not safe for concurrent use.
type Link struct {
	open      int       // connections
	heardAt   time.Time // when data was received, or a connection was opened
	doubtedAt time.Time // first check that found no data for too long, zero if none did
}

// Opened records that a connection was opened.
func (l *Link) Opened(now time.Time) {
	l.open++
	l.Heard(now)
}

// Closed records that a connection was closed. It returns how many are open.
func (l *Link) Closed() int {
	l.open--
	return l.open
}

// Heard records that data was received.
func (l *Link) Heard(now time.Time) { l.heardAt, l.doubtedAt = now, time.Time{} }

// Check reports whether the link is silent, and when to check again.
func (l *Link) Check(now time.Time) (silent bool, next time.Time) {
	if l.open == 0 {
		return false, now.Add(PingAfterIdle)
	}
	silentAt := l.heardAt.Add(PingAfterIdle + PingTimeout)
	switch {
	case now.Before(silentAt):
		l.doubtedAt = time.Time{}
		return false, silentAt
	case l.doubtedAt.IsZero():
		l.doubtedAt = now
	case now.Sub(l.doubtedAt) >= recheckDelay:
		return true, now.Add(PingTimeout)
	}
	return false, l.doubtedAt.Add(recheckDelay)
}

// LastHeard returns when data was last received, or a connection was opened.
func (l *Link) LastHeard() time.Time { return l.heardAt }
