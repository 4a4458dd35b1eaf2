package gate

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/call"
)

// Headers between a node and its backend server.
const (
	HeaderRequest  = "Tanager-Request"   // id of the call, which the server may echo
	HeaderTimeLeft = "Tanager-Time-Left" // time until the deadline, such as 250ms
	HeaderDepth    = "Tanager-Depth"     // calls above this one
	HeaderOutcome  = "Tanager-Outcome"   // not_run or unknown
)

const (
	defaultMaxConns  = 110
	defaultMaxAnswer = 8 << 20
	backendDial      = 300 * time.Millisecond
)

// backendClient calls one backend server.
type backendClient struct {
	http      *http.Client
	dialer    net.Dialer
	maxAnswer int64
}

func newBackendClient(maxConns int, maxAnswer int64) *backendClient {
	if maxConns <= 0 {
		maxConns = defaultMaxConns
	}
	if maxAnswer <= 0 {
		maxAnswer = defaultMaxAnswer
	}
	c := &backendClient{dialer: net.Dialer{Timeout: backendDial}, maxAnswer: maxAnswer}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dialer.DialContext,
			MaxConnsPerHost:     maxConns,
			MaxIdleConnsPerHost: maxConns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// connect opens and closes a connection, to see whether anything listens.
func (b *backendClient) connect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := b.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// onceBody is a body that net/http can't rewind. The transport sends a request
// again on its own if it thinks that it may, which an Idempotency-Key makes it
// think; it can't if the body can't be rewound.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// do makes the call and reads the whole answer.
func (b *backendClient) do(ctx context.Context, addr string, c call.Call) call.Reply {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := b.request(ctx, addr, c)
	if err != nil {
		return call.Refuse(call.NotRun, err.Error(), 0)
	}
	res, err := b.http.Do(req)
	if err != nil {
		return failed(ctx, connected.Load())
	}
	defer res.Body.Close()
	return b.answer(ctx, c, res)
}

func (b *backendClient) request(ctx context.Context, addr string, c call.Call) (*http.Request, error) {
	body := onceBody{bytes.NewReader(c.Body)}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+c.Target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 && !c.AtMostOnce {
		req.Body = nil
	}
	req.Host = c.Service
	req.Header = c.Header.Clone()
	hideKey(req.Header)
	req.Header.Set(HeaderRequest, c.ID)
	req.Header.Set(HeaderTimeLeft, time.Until(c.Deadline).Round(time.Microsecond).String())
	req.Header.Set(HeaderDepth, strconv.Itoa(c.Depth+1))
	return req, nil
}

// hideKey renames the idempotency headers so that they reach the server, whose
// headers ignore case, but not the retry logic of net/http.
func hideKey(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[string(bytes.ToLower([]byte(name)))] = v
		}
	}
}

// failed tells a call that never left from one that may have run.
func failed(ctx context.Context, connected bool) call.Reply {
	switch {
	case !connected && ctx.Err() == nil:
		return call.Refuse(call.NotRun, call.CauseUnreached, 0)
	case !connected:
		return call.Refuse(call.NotRun, endCause(ctx), 0)
	case ctx.Err() != nil:
		return call.Refuse(call.Unknown, endCause(ctx), 0)
	}
	return call.Refuse(call.Unknown, call.CauseBroken, 0)
}

func endCause(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return call.CauseCanceled
	}
	return call.CauseDeadline
}

// answer reads the whole answer and checks that it is the one to this call.
func (b *backendClient) answer(ctx context.Context, c call.Call, res *http.Response) call.Reply {
	body, err := io.ReadAll(io.LimitReader(res.Body, b.maxAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return call.Refuse(call.Unknown, endCause(ctx), 0)
	case err != nil:
		return call.Refuse(call.Unknown, call.CauseBroken, 0)
	case int64(len(body)) > b.maxAnswer:
		return call.Refuse(call.Unknown, call.CauseTooLarge, 0)
	}
	if id := res.Header.Get(HeaderRequest); id != "" && id != c.ID {
		// The answer to another call: this connection is out of step.
		b.http.CloseIdleConnections()
		return call.Refuse(call.Unknown, call.CauseBroken, 0)
	}
	if shed := notRun(res); shed != nil {
		return *shed
	}
	h := res.Header.Clone()
	h.Del(HeaderRequest)
	return call.Reply{Fate: call.Answered, Status: res.StatusCode, Header: h, Body: body}
}

// notRun returns a refusal if the backend server itself says that it has not
// run the call.
func notRun(res *http.Response) *call.Reply {
	if res.Header.Get(HeaderOutcome) != call.NotRun.String() {
		return nil
	}
	if res.StatusCode != http.StatusServiceUnavailable && res.StatusCode != http.StatusTooManyRequests {
		return nil
	}
	after, _ := strconv.Atoi(res.Header.Get("Retry-After")) // absent or a date: no hint
	r := call.Refuse(call.NotRun, "upstream_shed", time.Duration(after)*time.Second)
	r.Shed = true
	return &r
}
