package back

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/io/link"
)

const (
	// dialTimeout bounds the wait for a connection to a server next door.
	dialTimeout = time.Second
	// inlineBytes is the size of a body that is written before the answer is
	// read. It fits into the buffers of a socket.
	inlineBytes = 16 << 10
	// writeGrace is how long an answer waits for the end of its request, which
	// the server may still be reading.
	writeGrace = 50 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	// MaxConns returns how many connections may be open, 0 for no bound. It is
	// called for each new one.
	MaxConns  func() int
	MaxAnswer int64 // bytes of an answer's body
	// Answers reports whether res is the answer to the request with an id. An
	// answer that is not is read and dropped, and the next one is waited for.
	Answers func(res *http.Response, id string) bool
	// Dial opens connections, nil for link.Direct.
	Dial link.Dial
}

// Answer is a whole answer.
type Answer struct {
	*http.Response
	Bytes []byte // the body
}

// Error is the error of a request without an answer.
type Error struct {
	// Sent reports whether a byte of the request may have reached the server.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Errors of an answer.
var (
	ErrTooLarge  = errors.New("answer is too large")
	ErrConnLimit = errors.New("all connections to the backend server are in use")
)

// Pool holds the connections to one backend server. It is safe for concurrent
// use.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	addr string
	idle []*conn // the last used at the end
	open int
	// short bounds, until a time, how long a connection may have been idle: the
	// server has forgotten one that was idle for longer.
	short      time.Duration
	shortUntil time.Time
}

// Times of servers that forget connections.
const (
	// atOnce is how soon after a request a connection ends that the server had
	// forgotten before: nothing has run.
	atOnce = 20 * time.Millisecond
	// shortFor is how long the pool remembers it.
	shortFor = 10 * time.Second
	// leastRest is how long a connection has to have been idle to be forgotten.
	// One that ends after less has been reset for another reason, as by a server
	// that crashes or loses answers, and says nothing about idle ones.
	leastRest = 100 * time.Millisecond
)

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = link.Direct
	}
	if cfg.MaxConns == nil {
		cfg.MaxConns = func() int { return 0 }
	}
	return &Pool{cfg: cfg}
}

// Reset closes the idle connections, as when another server has taken the
// address.
func (p *Pool) Reset() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.drop(c)
	}
}

// Do sends a request to the server at addr and returns its whole answer, or an
// *Error. When ctx ends the connection is closed, which tells the server. A
// request that may be repeated is sent once more if the server had forgotten its
// connection.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (Answer, error) {
	c, err := p.take(ctx, addr, r.Idle)
	if err != nil {
		return Answer{}, &Error{Err: err}
	}
	rested, began := c.rested(time.Now()), time.Now()
	a, err := p.do(ctx, c, r)
	if err == nil || rested < leastRest || ctx.Err() != nil || time.Since(began) > atOnce {
		return a, err
	}
	p.forgotten(rested)
	if r.Repeat == nil || !r.Repeat() {
		return a, err
	}
	if c, err = p.dial(ctx, addr); err != nil {
		return Answer{}, &Error{Sent: true, Err: err}
	}
	return p.do(ctx, c, r)
}

// forgotten notes that the server has forgotten a connection that had been idle
// for a time.
func (p *Pool) forgotten(rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.shortUntil) || rested/2 < p.short {
		p.short = max(rested/2, leastRest)
	}
	p.shortUntil = now.Add(shortFor)
}

// longest returns how long a connection may have been idle for a request, 0 for
// no bound.
func (p *Pool) longest(r time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.shortUntil) {
		return r
	}
	if r == 0 {
		return p.short
	}
	return min(r, p.short)
}

// do sends a request over a connection and returns its answer.
func (p *Pool) do(ctx context.Context, c *conn, r Request) (Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // ends reads and writes
	a, keep, err := p.exchange(c, r)
	if !stop() || err != nil || !keep {
		p.drop(c)
	} else {
		p.put(c)
	}
	return a, err
}

// take returns an idle connection that can be used, or a new one.
func (p *Pool) take(ctx context.Context, addr string, idle time.Duration) (*conn, error) {
	idle = p.longest(idle)
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.usable(time.Now(), idle) {
			return c, nil
		}
		p.drop(c)
	}
}

// pop takes the idle connection that was used last. Connections to another
// address than addr are dropped.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != addr {
		for _, c := range p.idle {
			_ = c.Close()
			p.open--
		}
		p.idle, p.addr = nil, addr
		return nil
	}
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	most := p.cfg.MaxConns()
	p.mu.Lock()
	full := most > 0 && p.open >= most
	if !full {
		p.open++
	}
	p.mu.Unlock()
	if full {
		return nil, ErrConnLimit
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(nc, addr), nil
}

func (p *Pool) put(c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	keep := c.addr == p.addr
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close() // nothing on it is wanted
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// exchange writes a request and reads its answer. keep reports whether the
// connection is clean.
func (p *Pool) exchange(c *conn, r Request) (a Answer, keep bool, err error) {
	var head bytes.Buffer
	if err := r.writeHead(&head); err != nil {
		return Answer{}, false, &Error{Err: err}
	}
	sent := make(chan error, 1)
	if len(r.Body) <= inlineBytes {
		n, err := c.Write(append(head.Bytes(), r.Body...))
		if err != nil {
			return Answer{}, false, &Error{Sent: n > 0, Err: errors.Wrap(err, "write")}
		}
		sent <- nil
	} else {
		go func() {
			buffers := net.Buffers{head.Bytes(), r.Body}
			_, err := buffers.WriteTo(c.Conn)
			sent <- err
		}()
	}
	a, clean, err := p.read(c, r)
	if err != nil {
		return Answer{}, false, &Error{Sent: true, Err: err}
	}
	return a, clean && written(sent), nil
}

// written reports whether the whole request has been written. A server may
// answer before it has read a body; the rest of it must not be taken for the
// next request.
func written(sent <-chan error) bool {
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case err := <-sent:
		return err == nil
	case <-t.C:
		return false
	}
}

// read reads answers until one is to the request.
func (p *Pool) read(c *conn, r Request) (a Answer, clean bool, err error) {
	clean = true
	for {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, false, errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		body, err := readBody(res, p.cfg.MaxAnswer)
		if err != nil {
			return Answer{}, false, err
		}
		if p.cfg.Answers != nil && !p.cfg.Answers(res, r.ID) {
			clean = false
			if res.Close {
				return Answer{}, false, errors.New("the answer is to another request")
			}
			continue
		}
		c.limit(res.Header.Get("Keep-Alive"))
		return Answer{res, body}, clean && !res.Close && c.br.Buffered() == 0, nil
	}
}

// readBody reads a body to the end that the answer declares.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, ErrTooLarge
	}
	var b bytes.Buffer
	if res.ContentLength > 0 {
		b.Grow(int(res.ContentLength) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if n > limit {
		return nil, ErrTooLarge
	}
	return b.Bytes(), nil
}
