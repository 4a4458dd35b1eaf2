package proxy

import (
	"net/http"
	"sync"
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

// Bounds on the connections to other nodes.
const (
	maxClients = 4096
	// renewEvery is the shortest time between two renewals of the connection to
	// a node. One that is slow must not lose connection after connection.
	minReplaceInterval = time.Second
)

// links holds the connections to other nodes, by address. It is safe for
// concurrent use.
type clientPool struct {
	dial   link.Dial
	mu     sync.Mutex
	byAddr map[string]*nodeClient
}

// nodeLink is the connection to one node.
type nodeClient struct {
	client     *http.Client
	replacedAt time.Time
}

func newClientPool(d link.Dial) *clientPool {
	return &clientPool{dial: d, byAddr: map[string]*nodeClient{}}
}

// to returns the client of the node at addr.
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

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// renew lets the next calls to a node go over a new connection, since the
// present one may have gone silent. Calls under way stay on the old one, which
// ends with them or by its pings.
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

// close closes idle connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

// closeAll forgets all connections. Its caller holds mu.
func (p *clientPool) closeAll() {
	for _, n := range p.byAddr {
		n.client.CloseIdleConnections()
	}
	clear(p.byAddr)
}
