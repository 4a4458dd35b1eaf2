package peer

import (
	"net/http"
	"sync"
	"time"

	"tanagerchute/io/link"
	"tanagerchute/io/wire"
)

// HeaderDeployment names the deployment of a request between nodes.
const HeaderDeployment = "Tanager-Deployment"

// Times after which a connection counts as silent, and idle ones are closed.
const (
	pingAfterIdle = 1200 * time.Millisecond // without a frame received
	pingTimeout   = 500 * time.Millisecond
	idleTimeout   = 5 * time.Second
)

// Config configures a Client.
type Config struct {
	Deployment string
	Dial       link.Dial
}

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	mu    sync.Mutex
	peers map[string]wire.Peer
}

// maxCached bounds the clients kept, one an address.
const maxPeers = 4096

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	transport := NewTransport(cfg.Dial)
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: &deploymentTransport{transport, cfg.Deployment}},
		peers: map[string]wire.Peer{},
	}
}

// NewTransport returns a transport that speaks HTTP/2 without TLS and replaces
// connections that go silent.
func NewTransport(dial link.Dial) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        dial,
		Protocols:          &protocols,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfterIdle,
			PingTimeout:     pingTimeout,
		},
	}
}

// To returns the client of the node at addr.
func (c *Client) To(addr string) wire.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		if len(c.peers) >= maxPeers {
			clear(c.peers)
		}
		p = wire.NewPeerProtobufClient("http://"+addr, c.http)
		c.peers[addr] = p
	}
	return p
}

// Fresh returns a client of the node at addr that opens a new connection, and
// a function that closes it. A new connection can work where an old one is
// silent.
func (c *Client) DedicatedTo(addr string) (wire.Peer, func()) {
	transport := NewTransport(c.cfg.Dial)
	client := &http.Client{Transport: &deploymentTransport{transport, c.cfg.Deployment}}
	return wire.NewPeerProtobufClient("http://"+addr, client), transport.CloseIdleConnections
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// stamped is a transport that names the deployment in each request.
type deploymentTransport struct {
	*http.Transport
	deployment string
}

// RoundTrip implements http.RoundTripper.
func (s *deploymentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(HeaderDeployment, s.deployment)
	return s.Transport.RoundTrip(r)
}
