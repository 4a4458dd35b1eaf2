package proxy

import (
	"net/http"
	"sync"
	"time"

	"tanagerchute/core/acks"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

const (
	maxClients = 8192 // at this number the pool is cleared
	// minReplaceInterval is the minimum time between two replacements of the
	// client for a node. Without it, a slow node would lose one connection after
	// the other.
	minReplaceInterval = time.Second
)

// clientKey identifies a client. Calls with a large answer have a connection of
// their own, so that acknowledgements and small answers don't wait behind large
// ones.
type clientKey struct {
	addr          string
	largeResponse bool
}

// clientPool holds the HTTP clients for other nodes. It is safe for concurrent
// use.
type clientPool struct {
	dial    link.Dial
	mu      sync.Mutex
	clients map[clientKey]*nodeClient
}

// nodeClient is an HTTP client for one node, which has its own connection.
type nodeClient struct {
	key        clientKey
	http       *http.Client
	replacedAt time.Time // zero if it replaces no other client
	acks       *ackTimes // of the node, shared with the clients that this one replaces
}

// ackTimes estimates how long a node takes to acknowledge calls. It is safe for
// concurrent use.
type ackTimes struct {
	mu        sync.Mutex
	estimator acks.Estimator
}

func (a *ackTimes) observe(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimator.Observe(took)
}

func (a *ackTimes) timeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.estimator.Timeout()
}

func newClientPool(d link.Dial) *clientPool {
	return &clientPool{dial: d, clients: map[clientKey]*nodeClient{}}
}

// get returns the client for a node.
func (p *clientPool) get(key clientKey) *nodeClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.clients[key]
	if !ok {
		if len(p.clients) >= maxClients {
			p.closeAll()
		}
		n = &nodeClient{key: key, http: p.newClient(), acks: &ackTimes{}}
		p.clients[key] = n
	}
	return n
}

func (p *clientPool) newClient() *http.Client {
	return &http.Client{Transport: peer.NewTransport(p.dial), CheckRedirect: noRedirect}
}

// noRedirect keeps a client from following redirects, which are answers of the
// backend server for the caller.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// replace gives the node of failed a new client, so that later calls use a new
// connection, if failed is still its client. It is called when the connection of
// failed may be dead. Calls in flight stay on the old connection until they end
// or its keepalive pings fail.
func (p *clientPool) replace(failed *nodeClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.clients[failed.key] != failed || now.Sub(failed.replacedAt) < minReplaceInterval {
		return
	}
	failed.http.CloseIdleConnections()
	p.clients[failed.key] = &nodeClient{key: failed.key, http: p.newClient(), replacedAt: now, acks: failed.acks}
}

// close closes the idle connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll closes the idle connections and removes all clients. The caller holds
// mu.
func (p *clientPool) closeAll() {
	for _, n := range p.clients {
		n.http.CloseIdleConnections()
	}
	clear(p.clients)
}
