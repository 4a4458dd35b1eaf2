package call

import "time"

// ServerNotice is what a backend server last said about itself in its answers. The
// gatekeeper passes it to the senders of calls, and they attach it to later calls, so
// that a gatekeeper that has restarted knows what they know.
type ServerNotice struct {
	Server    string  // id of the backend server, or its address if it has no id
	StartMs   int64   // start of the backend server, Unix milliseconds, 0 if unknown
	RateLimit float64 // requests a second from all nodes together, 0 for no limit
	Leaving   bool    // it takes no new requests
	HeardAt   time.Time
}

// Restricts reports whether the notice limits what the server may get.
func (n ServerNotice) Restricts() bool { return n.RateLimit > 0 || n.Leaving }

// IsAbout reports whether n is about the backend server with the given id and start,
// which is 0 if it is not known. A server that started after the notice was heard is
// another one with the same id.
func (n ServerNotice) IsAbout(server string, startMs int64) bool {
	switch {
	case n.Server != server:
		return false
	case n.StartMs != 0 && startMs != 0:
		return n.StartMs == startMs
	}
	return startMs <= n.HeardAt.UnixMilli()
}

// WithNotice returns c with n as what the sender has heard.
func (c Call) WithNotice(n ServerNotice) Call {
	c.Notice = n
	return c
}
