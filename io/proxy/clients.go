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
	// callPingTimeout is when a connection is closed, with all calls on it, if a ping is
	// not answered, or if the node does not read. That is long after linkWatch has found
	// it silent, since the node may only be busy, and its answers still count.
	callPingTimeout = 10 * time.Second
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
	dial     link.Dial
	onSilent func(linkSilence) // called when a link falls silent while calls are in flight on it
	window   int               // stream window for answers, bytes, 0 for the default
	mu       sync.Mutex
	clients  map[clientKey]*nodeClient
}

// nodeClient is an HTTP client for one node, which has its own connection.
type nodeClient struct {
	key        clientKey
	http       *http.Client
	replacedAt time.Time // zero if it replaces no other client
	acks       *ackTimes // of the node, shared with the clients that this one replaces
	link       *linkWatch
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

// newClientPool returns a pool without clients. wrapDial is that of Config.
func newClientPool(wrapDial func(link.Dial) link.Dial, onSilent func(linkSilence), window int) *clientPool {
	d := link.Dial(link.Dialer{UnansweredTimeout: callPingTimeout}.Dial)
	if wrapDial != nil {
		d = wrapDial(d)
	}
	return &clientPool{dial: d, onSilent: onSilent, window: window, clients: map[clientKey]*nodeClient{}}
}

// get returns the client for a node. It replaces one whose link is silent.
func (p *clientPool) get(key clientKey) *nodeClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.clients[key]
	if !ok {
		if len(p.clients) >= maxClients {
			p.closeAll()
		}
		n = p.newClient(key, &ackTimes{})
		p.clients[key] = n
	}
	if n.link.silent(time.Now()) {
		return p.replaceLocked(n)
	}
	return n
}

func (p *clientPool) newClient(key clientKey, acks *ackTimes) *nodeClient {
	watch := newLinkWatch(key.addr, p.onSilent)
	transport := peer.NewTransport(watch.dial(p.dial), callPingTimeout)
	transport.HTTP2.MaxReceiveBufferPerStream = p.window
	return &nodeClient{key: key, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}, acks: acks, link: watch}
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
	if p.clients[failed.key] == failed {
		p.replaceLocked(failed)
	}
}

// replaceLocked is like replace, and returns the client to use now. failed is the
// client of its node. The caller holds mu.
func (p *clientPool) replaceLocked(failed *nodeClient) *nodeClient {
	now := time.Now()
	if now.Sub(failed.replacedAt) < minReplaceInterval {
		return failed
	}
	failed.http.CloseIdleConnections()
	n := p.newClient(failed.key, failed.acks)
	n.replacedAt = now
	p.clients[failed.key] = n
	return n
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
