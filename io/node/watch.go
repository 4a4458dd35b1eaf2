package node

import (
	"fmt"
	"net/http"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/io/memory"
)

// watchMemory returns the watch over the memory of the process.
func (n *Node) watchMemory() memory.Watch {
	limit := n.cfg.Settings.Limits.MemoryBytes()
	return memory.Watch{LimitBytes: limit, OnHigh: func(u memory.Use) {
		n.recordEvent(event.MemoryHigh, fmt.Sprintf("%d of %d MB in use, %d MB of it objects", u.Process>>20, limit>>20, u.Live>>20))
	}}
}

// recordFailures records the panics of h. The server then ends the connection.
func (n *Node) recordFailures(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				n.journal.Add(event.Event{At: time.Now(), Kind: event.HandlerFailed, Subject: r.RemoteAddr, Cause: fmt.Sprintf("%s: %v", r.Method, cause)})
			}
			panic(cause)
		}()
		h.ServeHTTP(w, r)
	})
}
