package gate

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/io/back"
)

const (
	defaultMaxConns  = 110
	defaultMaxAnswer = 8 << 20
	backendDial      = 300 * time.Millisecond
	// onceIdle is how long a connection may have been idle to carry work that
	// must not run twice: the server may be closing one that has been idle for
	// longer, and what became of the work would not be known.
	onceIdle = time.Second
	// returnTime is the part of the time left that an answer needs for its way
	// back, so that the server's own word at its deadline still arrives.
	returnTime = 20 * time.Millisecond
)

// client calls the backend server.
type client struct {
	dialect tanagerchute.Dialect
	pool    *back.Pool
	dialer  net.Dialer
	// maxConns returns how many connections the server takes.
	maxConns func() int
}

func newClient(cfg Config) *client {
	if cfg.MaxAnswer <= 0 {
		cfg.MaxAnswer = defaultMaxAnswer
	}
	c := &client{dialect: cfg.Dialect, dialer: net.Dialer{Timeout: backendDial}, maxConns: maxConns(cfg.MaxConns)}
	c.pool = back.New(back.Config{MaxConns: c.maxConns, MaxAnswer: cfg.MaxAnswer, Answers: c.answers})
	return c
}

// maxConns puts the default in the place of a bound that is not set.
func maxConns(set func() int) func() int {
	return func() int {
		if set == nil {
			return defaultMaxConns
		}
		return cmp.Or(set(), defaultMaxConns)
	}
}

// answers reports whether res is the answer to the request with an id. An
// answer that names no request can only be to the one that was sent.
func (b *client) answers(res *http.Response, id string) bool {
	word := b.dialect.ParseResponse(res)
	return word.ID == "" || word.ID == id
}

// reset closes the idle connections.
func (b *client) reset() { b.pool.Reset() }

// connect opens and closes a connection, to see whether anything listens.
func (b *client) connect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := b.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// health asks a server for its name. ok is false if it takes no work.
func (b *client) health(ctx context.Context, addr, path string) (id string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := b.pool.Do(ctx, addr, back.Request{Method: http.MethodGet, Path: path, Host: addr, Header: http.Header{}})
	if err != nil {
		return "", false // the next heartbeat tells
	}
	return b.dialect.ParseHealthCheck(a.Response)
}

// do makes the call at a server and reads the whole answer. repeat is asked
// before it is sent again, see back.Request.
func (b *client) do(ctx context.Context, server Backend, c call.Call, repeat func() bool) call.Reply {
	r := b.request(server, c)
	r.Repeat = repeat
	a, err := b.pool.Do(ctx, server.Address, r)
	if err != nil {
		return failed(ctx, err)
	}
	word := b.dialect.ParseResponse(a.Response)
	switch {
	case word.Misdirected:
		return call.Refuse(call.NotRun, call.CauseMoved, 0)
	case word.NotRun:
		r := call.Refuse(call.NotRun, call.CauseUpstreamShed, word.RetryAfter)
		r.Shed = true
		return r
	}
	b.dialect.PrepareResponse(a.Header)
	return call.Reply{Fate: call.Answered, Status: a.StatusCode, Header: a.Header, Body: a.Bytes}
}

func (b *client) request(server Backend, c call.Call) back.Request {
	h := c.Header.Clone()
	left := time.Until(c.Deadline)
	if left > 2*returnTime {
		left -= returnTime
	}
	b.dialect.SetForwardHeaders(h, tanagerchute.ForwardInfo{ID: c.ID, TimeLeft: left, Depth: c.Depth + 1, Instance: server.ID})
	r := back.Request{Method: c.Method, Path: c.Path, Host: c.Host, Header: h, Body: c.Body, ID: c.ID}
	if c.AtMostOnce {
		r.Idle = onceIdle
	}
	return r
}

// failed tells a call that never left from one that may have run.
func failed(ctx context.Context, err error) call.Reply {
	var e *back.Error
	sent := !errors.As(err, &e) || e.Sent
	switch {
	case !sent && ctx.Err() == nil:
		return call.Refuse(call.NotRun, call.CauseUnreachable, 0)
	case !sent:
		return call.Refuse(call.NotRun, endCause(ctx), 0)
	case ctx.Err() != nil:
		return call.Refuse(call.Unknown, endCause(ctx), 0)
	case errors.Is(err, back.ErrTooLarge):
		return call.Refuse(call.Unknown, call.CauseAnswerTooLarge, 0)
	}
	return call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0)
}

func endCause(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return call.CauseCanceled
	}
	return call.CauseDeadline
}
