package upconn

import (
	"context"
	"net/http"
	"sync"
	"time"

	"tanagerchute/core/author"
	"tanagerchute/io/link"
	"tanagerchute/io/memory"
)

// Config configures a Pool.
type Config struct {
	// MaxConns returns the maximum number of open connections, 0 for no limit. It
	// is called for each new connection.
	MaxConns       func() int
	MaxAnswerBytes int64 // maximum size of an answer's body
	// Memory holds the answers, nil for no limit.
	Memory *memory.Room
	// Parse returns what the head of an answer says. Judged by Rules, an answer to another
	// request is read and dropped, and one that is foreign fails the request. nil accepts all
	// answers.
	Parse func(res *http.Response) author.Answer
	Rules author.Rules
	// Dial opens connections. The default gives a server unreadTimeout to read.
	Dial link.Dial
}

// unreadTimeout is when a connection fails because the server does not read what is
// sent. A server that is busy may read late, and requests have deadlines of their own.
const unreadTimeout = 10 * time.Second

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

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = link.Dialer{UnansweredTimeout: unreadTimeout}.Dial
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

// roundTrip sends a request over c and returns its answer. It then puts c back into
// the pool, or closes it.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r Request) (Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks reads and writes
	a, reusable, err := p.exchange(ctx, c, r)
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
	return newConn(nc, addr, p.cfg.Memory), nil
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
