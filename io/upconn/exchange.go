package upconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/author"
	"tanagerchute/core/room"
	"tanagerchute/io/memory"
)

const (
	// dialTimeout bounds the wait for a new connection. The server runs close to
	// the node.
	dialTimeout = time.Second
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. It fits into the socket buffers, so the write does not block. Larger
	// bodies are written while the answer is read.
	maxInlineBodyBytes = 16 << 10
	// maxDropped bounds the answers that are dropped for one request: interim ones, and
	// those to other requests.
	maxDropped = 8
	// defaultMemoryWait bounds the wait of an answer for memory if its request has no
	// deadline.
	defaultMemoryWait = time.Second
	// writeGrace bounds the wait for the rest of a request to be written after its
	// answer has been read. The server may still be reading the request.
	writeGrace = 50 * time.Millisecond
)

// Answer is an answer whose body has been read.
type Answer struct {
	*http.Response
	Verdict   author.Verdict // neither Other nor Foreign
	BodyBytes []byte         // the body
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
	ErrForeign        = errors.New("not shown to be an answer of the server")
)

// exchange writes a request and reads its answer. reusable reports whether the
// connection can carry another request.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request) (a Answer, reusable bool, err error) {
	var head bytes.Buffer
	if err := r.writeHead(&head); err != nil {
		return Answer{}, false, &Error{Err: err}
	}
	w := newWriting(c.Conn)
	if len(r.Body) <= maxInlineBodyBytes {
		n, err := c.Write(append(head.Bytes(), r.Body...))
		if err != nil {
			return Answer{}, false, &Error{Sent: n > 0, Err: errors.Wrap(err, "write")}
		}
		w.finish(nil)
	} else {
		go func() {
			buffers := net.Buffers{head.Bytes(), r.Body}
			_, err := buffers.WriteTo(c.Conn)
			w.finish(err)
		}()
	}
	a, clean, err := p.readAnswer(ctx, c, r, w)
	if err != nil {
		return Answer{}, false, &Error{Sent: true, Err: err}
	}
	return a, clean && w.succeedsSoon(), nil
}

// readAnswer reads answers until one belongs to the request, and drops the others.
// There must be fewer than maxDropped of these, together no larger than one answer. clean reports
// whether the connection can be reused.
func (p *Pool) readAnswer(ctx context.Context, c *conn, r Request, w *writing) (a Answer, clean bool, err error) {
	clean = true
	m := memoryRequest(ctx, r.ID)
	mayDrop := p.cfg.MaxAnswerBytes
	for range maxDropped {
		in, err := c.readHead(ctx, r.Method, m, w)
		if err != nil {
			return Answer{}, false, errors.Wrap(err, "read head of answer")
		}
		if in.interim {
			continue
		}
		verdict, named, reason := p.judge(c, r, in.Response)
		switch verdict {
		case author.Foreign:
			return Answer{}, false, errors.Wrapf(ErrForeign, "status %d: %s", in.StatusCode, reason)
		case author.Other:
			clean = false
			if in.last {
				return Answer{}, false, errors.New("the answer is to another request")
			}
			if mayDrop, err = dropBody(in.body, mayDrop); err != nil {
				return Answer{}, false, errors.Wrap(err, "read answer to another request")
			}
			continue
		}
		m.Grows = memory.IsLarge(in.Header) // the head holds room
		body, err := p.readBody(ctx, in, m)
		if err != nil {
			return Answer{}, false, err
		}
		c.applyKeepAlive(in.Header.Get("Keep-Alive"))
		clean = clean && named && !in.last && c.br.Buffered() == 0
		return Answer{Response: in.Response, Verdict: verdict, BodyBytes: body}, clean, nil
	}
	return Answer{}, false, errors.New("too many interim answers or answers to other requests")
}

// incoming is an answer whose body has not been read.
type incoming struct {
	*http.Response
	interim bool // the answer itself is still to come
	last    bool // on its connection
	body    io.Reader
	length  int64 // of the body, negative if it is not declared
}

// readHead reads the head of an answer to a request with the given method.
func (c *conn) readHead(ctx context.Context, method string, m memory.Request, w *writing) (incoming, error) {
	h, err := c.heads.readHead(ctx, m)
	if err != nil {
		return incoming{}, err
	}
	if h.Code == http.StatusSwitchingProtocols {
		return incoming{}, errors.New("change to a protocol that the request has not asked for")
	}
	f, err := framingOf(method, h)
	if err != nil {
		return incoming{}, err
	}
	return incoming{
		Response: &http.Response{StatusCode: h.Code, Header: h.header},
		interim:  h.isInterim(),
		last:     h.endsConn() || f.kind == untilClose || f.excess,
		length:   f.declared(),
		body: newBody(c.br, f, bodyEnds{
			trailer: func() error { return c.heads.readTrailer(ctx, m) },
			conn:    func() error { return w.checkEnd(ctx) },
		}),
	}, nil
}

// judge decides on the head of an answer. named reports that it says which request it is to,
// so that further answers on the connection can be told apart.
func (p *Pool) judge(c *conn, r Request, res *http.Response) (v author.Verdict, named bool, reason string) {
	if p.cfg.Parse == nil {
		return author.Answered, true, ""
	}
	a := p.cfg.Parse(res)
	a.Asked, a.FirstOnly = r.ID, c.idleSince.IsZero()
	v, reason = author.Judge(p.cfg.Rules, a)
	return v, a.Named != "", reason
}

// dropBody reads the body of an answer to another request, and returns how much of limit is
// left.
func dropBody(body io.Reader, limit int64) (left int64, err error) {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		err = ErrAnswerTooLarge
	}
	return limit - n, err
}

// memoryRequest asks for memory for the answer to the request with the given id. It waits
// until ctx ends.
func memoryRequest(ctx context.Context, id string) memory.Request {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(defaultMemoryWait)
	}
	return memory.Request{Call: id, Class: room.Answer, Until: until}
}

// readBody reads the body of the answer to a request up to its end. It returns
// ErrAnswerTooLarge if the body is too long.
func (p *Pool) readBody(ctx context.Context, in incoming, m memory.Request) ([]byte, error) {
	b, err := p.cfg.Memory.Read(ctx, in.body, in.length, p.cfg.MaxAnswerBytes, m)
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, ErrAnswerTooLarge
	case err != nil:
		return nil, errors.Wrap(err, "read body")
	}
	return b, nil
}
