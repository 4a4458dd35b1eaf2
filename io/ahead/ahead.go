package ahead

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
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
	// OnStart, if not nil, is called when a request is started ahead of its turn.
	OnStart func()
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
	cfg  Config
	kept atomic.Int64 // bytes of responses that wait for their turn
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

// closingWriter is a ResponseWriter that may close its connection with the response.
type closingWriter struct {
	http.ResponseWriter
	closes func() bool
	began  bool // the head of the final response has been written
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin decides whether the response closes the connection.
func (w *closingWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	if w.closes() {
		w.Header().Set("Connection", "close")
	}
}

// mayStart reports whether r may be started ahead of its turn.
func (p *Pipeline) mayStart(r *http.Request) bool {
	return (p.cfg.Stopping == nil || !p.cfg.Stopping()) && p.cfg.Eligible(r)
}

// run is a request that was started ahead of its turn.
type run struct {
	turn     uint64 // number of the request on its connection
	request  *http.Request
	cancel   context.CancelFunc
	response *recorder
	panicked any           // value with which the handler panicked, nil if it did not
	done     chan struct{} // closed when response is complete
}

// start starts r. Its context ends when that of the connection does.
func (p *Pipeline) start(ctx context.Context, r *http.Request) *run {
	ctx, cancel := context.WithCancel(ctx)
	e := &run{request: r, cancel: cancel, response: newRecorder(ctx, p), done: make(chan struct{})}
	if p.cfg.OnStart != nil {
		p.cfg.OnStart()
	}
	go func() {
		defer close(e.done)
		defer func() { e.panicked = recover() }()
		p.cfg.Handler.ServeHTTP(e.response, r.WithContext(ctx))
	}()
	return e
}

// finish writes the response to w when it is complete, or as it comes if it is not kept. If ctx,
// that of the request in its turn, ends first, the run is cancelled. A panic of the handler
// goes on here.
func (e *run) finish(ctx context.Context, w http.ResponseWriter) {
	defer e.cancel()
	defer e.response.drop()
	defer context.AfterFunc(ctx, e.cancel)()
	select {
	case <-e.done:
	case e.response.turn <- w:
		<-e.done
	}
	if e.panicked != nil {
		panic(e.panicked)
	}
	e.response.copyTo(w)
}

// abandon cancels a run that nobody waits for.
func (e *run) abandon() {
	e.cancel()
	go func() {
		<-e.done
		e.response.drop()
	}()
}

// answers reports whether e is a run of r.
func (e *run) answers(r *http.Request) bool {
	return e.request.Method == r.Method && e.request.RequestURI == r.RequestURI && e.request.Host == r.Host &&
		maps.EqualFunc(e.request.Header, r.Header, slices.Equal[[]string])
}

// recorder is a ResponseWriter that keeps the response, or waits for its turn if there is no
// room to keep it.
type recorder struct {
	ctx      context.Context // of the run
	pipeline *Pipeline
	turn     chan http.ResponseWriter // gives the writer of the response in its turn
	header   http.Header
	status   int // 0 until it is written
	body     []byte
	out      http.ResponseWriter // where the response is written in its turn, nil while it is kept
}

func newRecorder(ctx context.Context, p *Pipeline) *recorder {
	return &recorder{ctx: ctx, pipeline: p, turn: make(chan http.ResponseWriter), header: http.Header{}}
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. Informational statuses are dropped.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 && status >= http.StatusOK {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.out == nil && r.pipeline.keep(len(b)) {
		r.body = append(r.body, b...)
		return len(b), nil
	}
	if err := r.awaitTurn(); err != nil {
		return 0, err
	}
	return r.out.Write(b)
}

// awaitTurn waits for the turn of the response and writes what has been kept.
func (r *recorder) awaitTurn() error {
	if r.out != nil {
		return nil
	}
	select {
	case w := <-r.turn:
		r.copyTo(w)
		r.drop()
		r.out = w
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// drop gives back the room for what is kept.
func (r *recorder) drop() {
	r.pipeline.unkeep(len(r.body))
	r.body = nil
}

// copyTo writes what has been kept to w, unless the response is written there already.
func (r *recorder) copyTo(w http.ResponseWriter) {
	if r.out != nil {
		return
	}
	maps.Copy(w.Header(), r.header)
	if r.status != 0 {
		w.WriteHeader(r.status)
	}
	if len(r.body) > 0 {
		_, _ = w.Write(r.body) // fails only if the caller has disconnected
	}
}
