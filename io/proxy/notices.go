package proxy

import (
	"sync"
	"time"

	"tanagerchute/core/call"
)

// noticeTTL is how long a notice is kept that no reply has confirmed.
const noticeTTL = 5 * time.Minute

// notices remembers what the backend servers of other nodes have said about
// themselves, by the address of the node, which outlives its process. It is safe for
// concurrent use.
type notices struct {
	mu     sync.Mutex
	byAddr map[string]call.ServerNotice
}

func newNotices() *notices { return &notices{byAddr: map[string]call.ServerNotice{}} }

// get returns the notice about the backend server of the node at addr, zero if there
// is none.
func (ns *notices) get(addr string) call.ServerNotice {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.byAddr[addr]
}

// record takes in the notice of a reply from the node at addr. A notice without
// HeardAt says nothing: the node has restarted and heard no answer yet.
func (ns *notices) record(now time.Time, addr string, n call.ServerNotice) {
	if n.HeardAt.IsZero() {
		return
	}
	ns.mu.Lock()
	defer ns.mu.Unlock()
	if known, ok := ns.byAddr[addr]; ok && known.Server == n.Server && known.HeardAt.After(n.HeardAt) {
		return
	}
	if !n.Restricts() {
		delete(ns.byAddr, addr)
		return
	}
	for a, old := range ns.byAddr {
		if now.Sub(old.HeardAt) > noticeTTL {
			delete(ns.byAddr, a)
		}
	}
	ns.byAddr[addr] = n
}
