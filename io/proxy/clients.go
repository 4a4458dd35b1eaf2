package proxy

import (
	"net/http"
	"sync"
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

const (
	maxClients = 4096 // nodes with a client; at this number the pool is cleared
	// minReplaceInterval is the minimum time between two replacements of the
	// client for a node. Without it, a slow node would lose one connection after
	// the other.
	minReplaceInterval = time.Second
)

// clientPool holds an HTTP client for each node, by address. It is safe for
// concurrent use.
type clientPool struct {
	dial   link.Dial
	mu     sync.Mutex
	byAddr map[string]*nodeClient
}

// nodeClient is the HTTP client for one node, which has its own connection.
type nodeClient struct {
	client     *http.Client
	replacedAt time.Time // zero if it replaces no other client
}

func newClientPool(d link.Dial) *clientPool {
	return &clientPool{dial: d, byAddr: map[string]*nodeClient{}}
}

// get returns the client for the node at addr.
func (p *clientPool) get(addr string) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.byAddr[addr]
	if !ok {
		if len(p.byAddr) >= maxClients {
			p.closeAll()
		}
		n = &nodeClient{client: p.newClient()}
		p.byAddr[addr] = n
	}
	return n.client
}

func (p *clientPool) newClient() *http.Client {
	return &http.Client{Transport: peer.NewTransport(p.dial), CheckRedirect: noRedirect}
}

// noRedirect keeps a client from following redirects, which are answers of the
// backend server for the caller.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// replace gives the node at addr a new client, so that later calls use a new
// connection, if failed is still its client. It is called when the connection of
// failed may be dead. Calls in flight stay on the old connection until they end
// or its keepalive pings fail.
func (p *clientPool) replace(addr string, failed *http.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.byAddr[addr]
	now := time.Now()
	if !ok || n.client != failed || now.Sub(n.replacedAt) < minReplaceInterval {
		return
	}
	n.client.CloseIdleConnections()
	p.byAddr[addr] = &nodeClient{client: p.newClient(), replacedAt: now}
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
	for _, n := range p.byAddr {
		n.client.CloseIdleConnections()
	}
	clear(p.byAddr)
}
