package ahead

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Config configures a Pipeline.
type Config struct {
	Handler http.Handler
	// Depth is the number of requests of one connection that may be in progress at once. None
	// is started early if it is below 2.
	Depth int
	// Eligible reports whether a request may be started before the requests in front of
	// it are answered. It may be called for a request that is not started.
	Eligible func(*http.Request) bool
	// Stopping, if not nil, reports whether the server begins to stop. Answers close their
	// connection then, unless bytes behind their requests have been read.
	Stopping func() bool
	// MaxHead, if not nil, returns the number of bytes beyond which the head of a request is not
	// read on. RefusalOf tells the handler.
	MaxHead func() int
	// RoomBytes bounds what large heads take together, from their first bytes until their requests
	// are answered, 0 for no bound. A request whose head has no room is not read on either.
	RoomBytes int64
	// OnRoom, if not nil, is called when large heads take n bytes more, or less if it is negative.
	OnRoom func(n int)
	// OnHeadCut, if not nil, is called when a connection of HTTP/2 is closed in the middle of a large
	// head, which does not end or has no room in time.
	OnHeadCut func(caller net.Addr)
	// OnStart, if not nil, is called when a request is started ahead of its turn.
	OnStart func()
	// OnEnd, if not nil, is called when a caller ends its side of a connection while a request
	// is in progress.
	OnEnd func(caller net.Addr)
	// OnDrop, if not nil, is called when a connection is closed on which n bytes of the caller
	// were read and not handed to the server.
	OnDrop func(caller net.Addr, n int)
}

// MaxKeptBytes bounds the responses that a Pipeline keeps until their turn, in bytes. A response
// for which there is no room is written in its turn, and its handler waits until then.
const MaxKeptBytes = 4 << 20

// Pipeline starts pipelined requests ahead of their turn. It is safe for concurrent
// use.
type Pipeline struct {
	cfg   Config
	kept  atomic.Int64 // bytes of responses that wait for their turn
	heads atomic.Int64 // bytes of large heads
}

// New returns a pipeline.
func New(cfg Config) *Pipeline { return &Pipeline{cfg: cfg} }

// keep reports whether n more bytes may be kept. They are until unkeep is called.
func (p *Pipeline) keep(n int) bool {
	if p.kept.Add(int64(n)) <= MaxKeptBytes {
		return true
	}
	p.unkeep(n)
	return false
}

func (p *Pipeline) unkeep(n int) { p.kept.Add(-int64(n)) }

// Listener returns a listener whose connections look ahead. The server must use
// ConnContext and Handler.
func (p *Pipeline) Listener(ln net.Listener) net.Listener { return listener{ln, p} }

// minDepth is the least depth at which requests are started early.
const minDepth = 2

type listener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.pipeline), nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is the ConnContext hook of a server whose listener is a
// Pipeline.Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	pc, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	return context.WithValue(pc.withBase(ctx), connKey{}, pc)
}

// Handler returns a handler that answers a request that was started early with the
// response of that run, and passes all others to Config.Handler.
func (p *Pipeline) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn) // nil if the listener is another one
		if r.ProtoMajor > 1 {
			with, release := p.withHeadRoom(r)
			defer release()
			p.cfg.Handler.ServeHTTP(p.closingWriter(c, w, with), with)
			return
		}
		early := c.take(r)
		if early == nil {
			w = p.closingWriter(c, w, r)
			p.cfg.Handler.ServeHTTP(w, r)
			return
		}
		early.finish(r.Context(), p.closingWriter(c, w, r))
	})
}

// closingWriter returns a writer of the response to r that closes its connection if the server
// is stopping when the response begins. What has been read behind r by then is answered first.
func (p *Pipeline) closingWriter(c *Conn, w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	if p.cfg.Stopping == nil {
		return w
	}
	return &closingWriter{ResponseWriter: w, closes: func() bool { return p.cfg.Stopping() && (r.ProtoMajor > 1 || c.endAfterAnswer()) }}
}

// mayStart reports whether r may be started ahead of its turn.
func (p *Pipeline) mayStart(r *http.Request) bool {
	return (p.cfg.Stopping == nil || !p.cfg.Stopping()) && p.cfg.Eligible(r)
}
