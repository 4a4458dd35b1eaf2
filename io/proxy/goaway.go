package proxy

import (
	"fmt"
	"strings"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/event"
)

// goAwayError is a part of the error, of no exported type, that net/http returns for a request
// that can't be sent again after a GOAWAY frame whose last stream came before that of the
// request. The other end has not looked at such a request (RFC 9113, 6.8).
const goAwayError = "received Server's graceful shutdown GOAWAY"

// unprocessedError reports whether err, of a request to another node, says that the node has not
// looked at the request.
func unprocessedError(err error) bool { return strings.Contains(err.Error(), goAwayError) }

// recordUnprocessed records that a node has closed the connection of a call without looking at
// the call.
func (p *Proxy) recordUnprocessed(addr string, c call.Call, a *ackWatch, err error) {
	p.recordEvent(event.RequestUnprocessed, c, fmt.Sprintf("%s: %v, %v after the call was sent", addr, err, time.Since(a.startedAt).Round(time.Millisecond)))
}
