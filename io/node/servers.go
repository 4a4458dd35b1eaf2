package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/event"
	"tanagerchute/io/admin"
	"tanagerchute/io/ahead"
	"tanagerchute/io/link"
	"tanagerchute/io/memory"
	"tanagerchute/io/peer"
	"tanagerchute/io/proxy"
	"tanagerchute/io/wire"
)

// servers are the HTTP servers of a node and their listeners.
type servers struct {
	callers, egress, peers, admin *http.Server
	bound                         []boundServer // all except the one for callers
	serveErrs                     chan error    // of servers that stopped unexpectedly
	callerConns                   *connTracker
	pipeline                      *ahead.Pipeline
	cancelCalls                   context.CancelFunc             // cancels the calls from callers
	callersListener               atomic.Pointer[activeListener] // nil until it is opened
}

// boundServer is a server with its address and its listener.
type boundServer struct {
	addr     string
	server   *http.Server
	listener net.Listener
}

// activeListener is a listener that is being served.
type activeListener struct {
	listener net.Listener
	done     chan struct{} // closed when it returns no more connections
}

// listen opens all listeners except the one for callers, which is opened by
// serveCallers. If one of them fails, it closes the others.
func (n *Node) listen() (*servers, error) {
	control := peer.Handler(peerServer{n}, n.deploymentID(), n.recordDroppedFrame, n.services()...)
	pipeline := n.newPipeline()
	s := &servers{
		pipeline:    pipeline,
		callers:     peer.NewServer(n.recordFailures(pipeline.Handler())),
		egress:      peer.NewServer(n.recordFailures(n.proxy.Ingress(proxy.Origin{Service: n.cfg.Settings.Service, Backend: true}))),
		peers:       peer.NewServer(n.recordFailures(n.proxy.Peer(control))),
		admin:       peer.NewServer(admin.Handler(admin.Config{Node: adminNode{n}, Vars: n.vars})),
		callerConns: newConnTracker(n.taken.setConns),
	}
	s.callers.ConnState = s.callerConns.track
	s.callers.ConnContext = ahead.ConnContext
	// HTTP/1 connections have the timeouts of callerTimeouts instead.
	s.callers.ReadHeaderTimeout, s.callers.IdleTimeout = 0, http2IdleTimeout
	baseCtx, cancelCalls := context.WithCancel(context.Background())
	s.callers.BaseContext = func(net.Listener) context.Context { return baseCtx }
	s.cancelCalls = cancelCalls
	l := n.cfg.Settings.Listen
	s.add(l.Egress, s.egress)
	s.add(l.Peers, s.peers)
	s.add(l.Admin, s.admin)
	for _, e := range n.attached {
		s.add(e.addr, peer.NewServer(e.handler))
	}
	s.serveErrs = make(chan error, len(s.bound)+1)
	for i := range s.bound {
		ln, err := net.Listen("tcp", s.bound[i].addr)
		if err != nil {
			s.closeListeners()
			return nil, errors.Wrap(err, "listen")
		}
		s.bound[i].listener = n.otherCloser.Listener(ln)
	}
	return s, nil
}

// services returns the services between nodes that are served beside wire.Peer.
func (n *Node) services() []wire.TwirpServer {
	out := []wire.TwirpServer{wire.NewProofsServer(n.feed), wire.NewRolloutsServer(n.rollouts)}
	if n.quotas != nil {
		out = append(out, wire.NewQuotasServer(n.quotas))
	}
	return out
}

// newPipeline returns the pipeline of the requests of callers. While the node is stopping,
// its responses ask callers to close their connection.
func (n *Node) newPipeline() *ahead.Pipeline {
	return ahead.New(ahead.Config{
		Handler:   n.proxy.Ingress(n.callerOrigin()),
		Depth:     n.cfg.Settings.PipelineDepth,
		Eligible:  n.proxy.MayStartEarly,
		Stopping:  n.stopping.Load,
		MaxHead:   n.proxy.MaxHeadBytes,
		RoomBytes: memory.HeadBytes(n.cfg.Settings.Limits.MemoryBytes()),
		OnRoom:    n.taken.addHeads,
		OnStart:   n.metrics.CountPipelined,
		OnHeadCut: func(caller net.Addr) {
			n.recordCaller(event.HeadCut, caller, "the connection is closed: a large head did not end, or got no room, in time")
		},
		OnEnd: func(caller net.Addr) {
			n.recordCaller(event.CallerEnded, caller, "its side of the connection, while a request is in progress")
		},
		OnDrop: func(caller net.Addr, dropped int) {
			n.recordCaller(event.RequestDropped, caller, fmt.Sprintf("the connection is closed with %d bytes of requests that were read", dropped))
		},
	})
}

// add adds a server that will listen at addr. It is ignored if addr is empty.
func (s *servers) add(addr string, srv *http.Server) {
	if addr != "" {
		s.bound = append(s.bound, boundServer{addr: addr, server: srv})
	}
}

func (s *servers) closeListeners() {
	for _, v := range s.bound {
		if v.listener != nil {
			_ = v.listener.Close() // it is not served yet
		}
	}
}

// callerOrigin returns the origin of requests that arrive at the listener for
// callers.
func (n *Node) callerOrigin() proxy.Origin {
	if n.cfg.Settings.LocalCallers {
		return proxy.Origin{Service: n.cfg.Settings.Service}
	}
	return proxy.Origin{}
}

// attachedHandler is a handler that is served in addition to the node's own.
type attachedHandler struct {
	addr    string
	handler http.Handler
}

// Attach makes Run serve h at addr until it returns. It must be called before
// Run.
func (n *Node) Attach(addr string, h http.Handler) {
	n.attached = append(n.attached, attachedHandler{addr, h})
}

// callerTimeouts returns the timeouts for connections of callers that the
// version in force sets.
func (n *Node) callerTimeouts() link.ReadTimeouts {
	l := n.proxy.Limits()
	return link.ReadTimeouts{Idle: l.IdleTimeout, Header: l.HeaderTimeout}
}

// callerConfig returns the configuration of connections of callers.
func (n *Node) callerConfig() link.CallerConfig {
	return link.CallerConfig{Timeouts: n.callerTimeouts, Closer: n.callerCloser}
}

// newCloser returns a closer of connections, see link.CloserConfig.
func (n *Node) newCloser(noReadTime bool) *link.Closer {
	return link.NewCloser(link.CloserConfig{
		NoReadTime: noReadTime,
		Stopping:   n.stopping.Load,
		OnCut: func(other net.Addr, o link.Outstanding) {
			n.recordCaller(event.ConnectionReset, other, fmt.Sprintf("closed with %d bytes of its other end unread, %d bytes of answers not delivered", o.Unread, o.Unsent))
		},
	})
}

// recordCaller adds an event about a connection of a caller to the journal.
func (n *Node) recordCaller(kind event.Kind, caller net.Addr, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: caller.String(), Cause: cause})
}

// serveCallers listens at addr and serves callers in the background.
func (s *servers) serveCallers(addr string, cfg link.CallerConfig) error {
	ln, err := link.Listen(addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	active := &activeListener{listener: ln, done: make(chan struct{})}
	s.callersListener.Store(active)
	s.serve(s.pipeline.Listener(link.Callers(ln, cfg)), s.callers, active.done)
	return nil
}

// serve serves ln in the background and closes done when it accepts no more
// connections.
func (s *servers) serve(ln net.Listener, srv *http.Server, done chan struct{}) {
	go func() {
		defer close(done)
		err := srv.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.serveErrs <- err
		}
	}()
}
