package upconn

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/io/link"
)

const (
	// dialTimeout bounds the wait for a new connection. The server runs close to
	// the node.
	dialTimeout = time.Second
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. It fits into the socket buffers, so the write does not block. Larger
	// bodies are written while the answer is read.
	maxInlineBodyBytes = 16 << 10
	// maxHeadBytes bounds what is read of an answer before its body: its head, the
	// interim answers before it, and the heads of answers to other requests.
	maxHeadBytes = 1 << 20
	// maxDropped bounds the answers that are dropped for one request: interim ones, and
	// those to other requests.
	maxDropped = 8
	// writeGrace bounds the wait for the rest of a request to be written after its
	// answer has been read. The server may still be reading the request.
	writeGrace = 50 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	// MaxConns returns the maximum number of open connections, 0 for no limit. It
	// is called for each new connection.
	MaxConns       func() int
	MaxAnswerBytes int64 // maximum size of an answer's body
	// AnswerID returns the id of the request that res answers, empty if it names none.
	// An answer to another request is read and dropped. nil accepts all answers.
	AnswerID func(res *http.Response) string
	// Dial opens connections. The default is link.Direct.
	Dial link.Dial
}

// Answer is an answer whose body has been read.
type Answer struct {
	*http.Response
	BodyBytes []byte // the body
}

// Error is the error of a request that got no answer.
type Error struct {
	// Sent reports whether any byte of the request may have reached the server.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Errors that Error wraps.
var (
	ErrAnswerTooLarge = errors.New("answer is too large")
	ErrConnLimit      = errors.New("all connections to the backend server are in use")
)

// Pool holds the connections to one backend server. It is safe for concurrent
// use.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	addr string
	idle []*conn // the most recently used is last
	open int
	// learnedMaxIdle limits the idle time of reused connections until learnedUntil.
	// It is set when the server has dropped a connection that was idle for longer.
	learnedMaxIdle time.Duration
	learnedUntil   time.Time
}

// Detection of stale connections, which the server dropped while they were idle.
const (
	// staleErrorWindow bounds the time from sending a request to the error for the
	// connection to count as stale. A server resets a stale connection at once,
	// before it runs anything.
	staleErrorWindow = 20 * time.Millisecond
	// learnedMaxIdleTTL is how long learnedMaxIdle applies.
	learnedMaxIdleTTL = 10 * time.Second
	// minStaleIdle is the shortest idle time after which a connection counts as
	// stale. One that ends after less idle time was reset for another reason, for
	// example because the server crashed or lost an answer. Other idle connections
	// are then not affected.
	minStaleIdle = 100 * time.Millisecond
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

// CloseIdle closes the idle connections, for example because another server has
// taken over the address.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.closeConn(c)
	}
}

// Do sends a request to the server at addr and returns the answer, or an *Error.
// If ctx ends first, the connection is closed, so that the server can stop working
// on the request. If a reused connection was stale and Request.AllowResend agrees,
// the request is sent once more over a new connection.
func (p *Pool) Do(ctx context.Context, addr string, r Request) (Answer, error) {
	c, err := p.getConn(ctx, addr, r.MaxIdle)
	if err != nil {
		return Answer{}, &Error{Err: err}
	}
	idleTime, start := c.idleTime(time.Now()), time.Now()
	a, err := p.roundTrip(ctx, c, r)
	if err == nil || idleTime < minStaleIdle || ctx.Err() != nil || time.Since(start) > staleErrorWindow {
		return a, err
	}
	p.recordStale(idleTime)
	if r.AllowResend == nil || !r.AllowResend() {
		return a, err
	}
	if c, err = p.dial(ctx, addr); err != nil {
		return Answer{}, &Error{Sent: true, Err: err}
	}
	return p.roundTrip(ctx, c, r)
}

// recordStale records that a connection was stale after the given idle time. Half
// of that time becomes the limit if it is lower than the one in effect.
func (p *Pool) recordStale(idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.After(p.learnedUntil) || idleTime/2 < p.learnedMaxIdle {
		p.learnedMaxIdle = max(idleTime/2, minStaleIdle)
	}
	p.learnedUntil = now.Add(learnedMaxIdleTTL)
}

// effectiveMaxIdle returns the lower of a request's MaxIdle and learnedMaxIdle, 0
// for no limit.
func (p *Pool) effectiveMaxIdle(requested time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.learnedUntil) {
		return requested
	}
	if requested == 0 {
		return p.learnedMaxIdle
	}
	return min(requested, p.learnedMaxIdle)
}

// roundTrip sends a request over c and returns its answer. It then puts c back into
// the pool, or closes it.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r Request) (Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks reads and writes
	a, reusable, err := p.exchange(c, r)
	if !stop() || err != nil || !reusable {
		p.closeConn(c)
	} else {
		p.putIdle(c)
	}
	return a, err
}

// getConn returns an idle connection that can be reused, or else a new one.
func (p *Pool) getConn(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	maxIdle = p.effectiveMaxIdle(maxIdle)
	for {
		c := p.popIdle(addr)
		if c == nil {
			return p.dial(ctx, addr)
		}
		if c.canReuse(time.Now(), maxIdle) {
			return c, nil
		}
		p.closeConn(c)
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if
// there is none. If addr has changed, it closes the connections to the old address.
func (p *Pool) popIdle(addr string) *conn {
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

// dial opens a connection, or returns ErrConnLimit if MaxConns are open.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	maxConns := p.cfg.MaxConns()
	p.mu.Lock()
	full := maxConns > 0 && p.open >= maxConns
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

// putIdle returns a connection to the pool, or closes it if the address of the pool
// has changed.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := c.addr == p.addr
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.closeConn(c)
	}
}

func (p *Pool) closeConn(c *conn) {
	_ = c.Close() // an error does not matter: the connection is not used again
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// exchange writes a request and reads its answer. reusable reports whether the
// connection can carry another request.
func (p *Pool) exchange(c *conn, r Request) (a Answer, reusable bool, err error) {
	var head bytes.Buffer
	if err := r.writeHead(&head); err != nil {
		return Answer{}, false, &Error{Err: err}
	}
	written := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head.Bytes(), r.Body...))
		if err != nil {
			return Answer{}, false, &Error{Sent: n > 0, Err: errors.Wrap(err, "write")}
		}
		written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head.Bytes(), r.Body}
			_, err := buffers.WriteTo(c.Conn)
			written <- err
		}()
	}
	a, clean, err := p.readAnswer(c, r)
	if err != nil {
		return Answer{}, false, &Error{Sent: true, Err: err}
	}
	return a, clean && awaitWritten(written), nil
}

// awaitWritten reports whether the whole request is written within writeGrace.
// A server may answer before it has read the body. The connection can't be reused
// then, since the server would take the rest of the body for the next request.
func awaitWritten(written <-chan error) bool {
	t := time.NewTimer(writeGrace)
	defer t.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-t.C:
		return false
	}
}

// readAnswer reads answers until one belongs to the request, and drops the others.
// There must be fewer than maxDropped of these, no larger than one answer. clean reports whether the
// connection can be reused.
func (p *Pool) readAnswer(c *conn, r Request) (a Answer, clean bool, err error) {
	clean = true
	c.limit.left = maxHeadBytes
	for range maxDropped {
		res, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return Answer{}, false, errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue
		}
		id := r.ID
		if p.cfg.AnswerID != nil {
			id = p.cfg.AnswerID(res)
		}
		if id != "" && id != r.ID {
			if clean {
				c.limit.left += p.cfg.MaxAnswerBytes // one answer, which may be large
			}
			clean = false
			if res.Close {
				return Answer{}, false, errors.New("the answer is to another request")
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				return Answer{}, false, errors.Wrap(err, "read answer to another request")
			}
			continue
		}
		c.limit.left = math.MaxInt64 // readBody has its own limit
		body, err := readBody(res, p.cfg.MaxAnswerBytes)
		if err != nil {
			return Answer{}, false, err
		}
		if p.cfg.AnswerID != nil && id == "" {
			// On a new connection it can only be to the one request that was sent.
			if !c.idleSince.IsZero() {
				return Answer{}, false, errors.New("the answer does not say to which request it is")
			}
			clean = false
		}
		c.applyKeepAlive(res.Header.Get("Keep-Alive"))
		return Answer{res, body}, clean && !res.Close && c.br.Buffered() == 0, nil
	}
	return Answer{}, false, errors.New("too many interim answers or answers to other requests")
}

// readBody reads a body up to its declared end, or returns ErrAnswerTooLarge if it
// is longer than limit.
func readBody(res *http.Response, limit int64) ([]byte, error) {
	if res.ContentLength > limit {
		return nil, ErrAnswerTooLarge
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
		return nil, ErrAnswerTooLarge
	}
	return b.Bytes(), nil
}
