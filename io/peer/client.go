package peer

import (
	"net/http"
	"sync"
	"time"

	"tanagerchute/core/acks"
	"tanagerchute/io/link"
	"tanagerchute/io/wire"
)

// HeaderDeployment is the header of a request between nodes that carries the
// identifier of the sender's deployment.
const HeaderDeployment = "Tanager-Deployment"

// maxAnswerHeadBytes bounds the head of an answer, in which each field counts with 32 bytes
// more than its text. A connection may be closed at it, so it is well above what nodes pass on
// of backend servers.
const maxAnswerHeadBytes = 512 << 10

// maxAnswerBytes bounds the body of the answer to a control request.
const maxAnswerBytes = 8 << 20

// Timeouts of a connection.
const (
	// controlPingTimeout is when a connection for control messages is closed if a ping
	// is not answered. Each message has a timeout and is sent again.
	controlPingTimeout = acks.PingTimeout
	idleTimeout        = 5 * time.Second // a connection without requests is closed
)

// Config configures a Client.
type Config struct {
	Deployment string // identifier of the deployment, the same at all of its nodes
	Dial       link.Dial
}

// Client calls other nodes. It is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	mu    sync.Mutex
	peers map[string]wire.Peer // by address
}

// maxPeers bounds the number of cached clients. There is one for each address.
const maxPeers = 4096

// NewClient returns a client that has opened no connection yet.
func NewClient(cfg Config) *Client {
	transport := NewTransport(cfg.Dial, controlPingTimeout)
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: &deploymentTransport{transport, cfg.Deployment}},
		peers: map[string]wire.Peer{},
	}
}

// NewTransport returns a transport for HTTP/2 without TLS. It closes a connection,
// with all requests on it, if a ping is not answered within pingTimeout.
func NewTransport(dial link.Dial, pingTimeout time.Duration) *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:            dial,
		Protocols:              &protocols,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: acks.PingAfterIdle,
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

// ProofsOf returns the client of the node at addr for proofs. Like those of RolloutsOf and
// QuotasOf, it shares the connections of To.
func (c *Client) ProofsOf(addr string) wire.Proofs {
	return wire.NewProofsProtobufClient("http://"+addr, c.http)
}

// RolloutsOf returns the client of the node at addr for roll-outs.
func (c *Client) RolloutsOf(addr string) wire.Rollouts {
	return wire.NewRolloutsProtobufClient("http://"+addr, c.http)
}

// QuotasOf returns the client of the node at addr for quotas.
func (c *Client) QuotasOf(addr string) wire.Quotas {
	return wire.NewQuotasProtobufClient("http://"+addr, c.http)
}

// DedicatedTo returns a client of the node at addr that uses a connection of its
// own, and a function that closes the connection. A new connection can work
// while an existing one no longer responds.
func (c *Client) DedicatedTo(addr string) (wire.Peer, func()) {
	transport := NewTransport(c.cfg.Dial, controlPingTimeout)
	client := &http.Client{Transport: &deploymentTransport{transport, c.cfg.Deployment}}
	return wire.NewPeerProtobufClient("http://"+addr, client), transport.CloseIdleConnections
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// deploymentTransport is a transport that sets HeaderDeployment in each request and bounds
// the answers.
type deploymentTransport struct {
	*http.Transport
	deployment string
}

// RoundTrip implements http.RoundTripper. The body of the response returns an error at
// maxAnswerBytes, and when the context of r ends.
func (s *deploymentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(HeaderDeployment, s.deployment)
	res, err := s.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = http.MaxBytesReader(nil, InTime(r.Context(), res.Body), maxAnswerBytes)
	return res, nil
}
