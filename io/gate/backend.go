package gate

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/author"
	"tanagerchute/core/call"
	"tanagerchute/core/owner"
	"tanagerchute/io/upconn"
)

const (
	defaultMaxConns       = 110 // connections to the backend server
	defaultMaxAnswerBytes = 8 << 20
	dialTimeout           = 300 * time.Millisecond
	// atMostOnceMaxIdle bounds the idle time of a connection that is reused for an
	// at-most-once call. The server may be closing a connection that has been idle
	// for longer, and then it is unknown whether the call has run.
	atMostOnceMaxIdle = time.Second
	// answerReserve is subtracted from the time left that is sent to the server.
	// An answer that the server sends at its own deadline then still arrives
	// before the deadline of the call.
	answerReserve = 20 * time.Millisecond
)

// client sends requests to the backend server.
type client struct {
	dialect tanagerchute.Dialect
	pool    *upconn.Pool
	dialer  net.Dialer
	// maxConns returns the maximum number of connections to the server.
	maxConns func() int
	// onRefusedConn is called with the address of the server when it refuses a
	// connection.
	onRefusedConn func(addr string)
	// onDiscarded is called when what the server sent is no answer to a call.
	onDiscarded func(c call.Call, err error)
}

func newClient(cfg Config) *client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	c := &client{dialect: cfg.Dialect, dialer: net.Dialer{Timeout: dialTimeout}, maxConns: maxConnsOrDefault(cfg.MaxConns)}
	c.pool = upconn.New(upconn.Config{MaxConns: c.maxConns, MaxAnswerBytes: cfg.MaxAnswerBytes, Memory: cfg.Memory, Parse: c.parseHead, Rules: cfg.Dialect.AnswerRules()})
	return c
}

// maxConnsOrDefault returns configured with defaultMaxConns in place of a missing
// function or a result of 0.
func maxConnsOrDefault(configured func() int) func() int {
	return func() int {
		if configured == nil {
			return defaultMaxConns
		}
		return cmp.Or(configured(), defaultMaxConns)
	}
}

// parseHead returns what the head of an answer says about its author.
func (cl *client) parseHead(res *http.Response) author.Answer {
	return cl.dialect.ParseResponse(res).Author(res.StatusCode)
}

// closeIdle closes the idle connections to the server.
func (cl *client) closeIdle() { cl.pool.CloseIdle() }

// checkListening opens and closes a connection to check that a server listens at
// addr.
func (cl *client) checkListening(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := cl.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		cl.reportRefusedConn(addr, err)
		return err
	}
	return c.Close()
}

// healthCheck sends a health check to the server at addr and returns what it answers, and
// what it says about itself. A server that is full rejects a health check like any other
// request, so that its answer is not known.
func (cl *client) healthCheck(ctx context.Context, addr, path string) (owner.Answer, tanagerchute.ServerStatement) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := cl.pool.Do(ctx, addr, upconn.Request{Method: http.MethodGet, Path: path, Host: addr, Header: http.Header{}})
	if err != nil || a.Verdict != author.Answered {
		return owner.Answer{}, tanagerchute.ServerStatement{} // the next heartbeat will name the server
	}
	id, ready := cl.dialect.ParseHealthCheck(a.Response)
	if id == "" {
		return owner.Answer{}, tanagerchute.ServerStatement{}
	}
	return owner.Answer{ID: id, Ready: ready}, cl.dialect.ParseResponse(a.Response).Server
}

// do sends a call to the server and reads the whole answer. allowResend is called
// before the call is sent a second time, see upconn.Request. The statement is what the
// answer says about the server, nil if there is no answer of that server.
func (cl *client) do(ctx context.Context, server Backend, c call.Call, allowResend func() bool) (call.Reply, *tanagerchute.ServerStatement) {
	r := cl.newRequest(server, c)
	r.AllowResend = allowResend
	a, err := cl.pool.Do(ctx, server.Address, r)
	if err != nil {
		cl.reportRefusedConn(server.Address, err)
		r := replyForError(ctx, err)
		if r.Cause == call.CauseBrokenAnswer || r.Cause == call.CauseAnswerTooLarge {
			cl.onDiscarded(c, err)
		}
		return r, nil
	}
	info := cl.dialect.ParseResponse(a.Response)
	switch a.Verdict {
	case author.Misdirected:
		return call.Refuse(call.NotRun, call.CauseMoved, 0), nil
	case author.NotRun:
		r := call.Refuse(call.NotRun, call.CauseUpstreamShed, info.RetryAfter)
		r.Shed = true
		return r, &info.Server
	}
	cl.dialect.PrepareResponse(a.Header)
	return call.Reply{Fate: call.Answered, Status: a.StatusCode, Header: a.Header, Body: a.BodyBytes}, &info.Server
}

// reportRefusedConn calls onRefusedConn if err says that the server at addr refused a
// connection.
func (cl *client) reportRefusedConn(addr string, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		cl.onRefusedConn(addr)
	}
}

// newRequest returns the request that sends c to the server.
func (cl *client) newRequest(server Backend, c call.Call) upconn.Request {
	h := c.Header.Clone()
	left := time.Until(c.Deadline)
	if left > 2*answerReserve {
		left -= answerReserve
	}
	cl.dialect.SetForwardHeaders(h, tanagerchute.ForwardInfo{ID: c.ID, TimeLeft: left, Depth: c.Depth + 1, Instance: server.ID, Account: c.Account})
	r := upconn.Request{Method: c.Method, Path: c.Path, Host: c.Host, Header: h, Body: c.Body, ID: c.ID}
	if c.AtMostOnce {
		r.MaxIdle = atMostOnceMaxIdle
	}
	return r
}

// replyForError returns the reply for a request that got no answer. The fate is
// NotRun if no byte was sent to the server, and Unknown if the call may have run.
func replyForError(ctx context.Context, err error) call.Reply {
	var e *upconn.Error
	sent := !errors.As(err, &e) || e.Sent
	switch {
	case !sent && ctx.Err() == nil:
		return call.Refuse(call.NotRun, call.CauseUnreachable, 0)
	case !sent:
		return call.Refuse(call.NotRun, contextCause(ctx), 0)
	case ctx.Err() != nil:
		return call.Refuse(call.Unknown, contextCause(ctx), 0)
	case errors.Is(err, upconn.ErrAnswerTooLarge):
		return call.Refuse(call.Unknown, call.CauseAnswerTooLarge, 0)
	}
	return call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0)
}

// contextCause returns the cause of a refusal after ctx has ended.
func contextCause(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return call.CauseCanceled
	}
	return call.CauseDeadline
}
