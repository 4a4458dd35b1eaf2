package upconn

import (
	"bytes"
	"context"
	"io"
	"math"
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
	// maxHeadBytes bounds what is read of an answer before its body: its head, the
	// interim answers before it, and the heads of answers to other requests.
	maxHeadBytes = 1 << 20
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
// There must be fewer than maxDropped of these, no larger than one answer. clean reports whether the
// connection can be reused.
func (p *Pool) readAnswer(ctx context.Context, c *conn, r Request, w *writing) (a Answer, clean bool, err error) {
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
		verdict, named, reason := p.judge(c, r, res)
		switch verdict {
		case author.Foreign:
			return Answer{}, false, errors.Wrapf(ErrForeign, "status %d: %s", res.StatusCode, reason)
		case author.Other:
			if clean {
				c.limit.left += p.cfg.MaxAnswerBytes // one answer, which may be large
			}
			clean = false
			if err := dropAnswer(res); err != nil {
				return Answer{}, false, err
			}
			continue
		}
		c.limit.left = math.MaxInt64 // readBody has its own limit
		body, err := p.readBody(ctx, r.ID, res)
		if err != nil {
			return Answer{}, false, err
		}
		if endsWithConn(res) {
			if err := w.checkEnd(ctx); err != nil {
				return Answer{}, false, errors.Wrap(err, "read body")
			}
		}
		c.applyKeepAlive(res.Header.Get("Keep-Alive"))
		clean = clean && named && !res.Close && c.br.Buffered() == 0
		return Answer{Response: res, Verdict: verdict, BodyBytes: body}, clean, nil
	}
	return Answer{}, false, errors.New("too many interim answers or answers to other requests")
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

// endsWithConn reports whether the body of an answer ends with the connection.
func endsWithConn(res *http.Response) bool {
	return res.Body != http.NoBody && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// dropAnswer reads the body of an answer to another request.
func dropAnswer(res *http.Response) error {
	if res.Close {
		return errors.New("the answer is to another request")
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return errors.Wrap(err, "read answer to another request")
	}
	return nil
}

// readBody reads the body of the answer to a request up to its declared end, or returns
// ErrAnswerTooLarge if it is too long. It waits for memory until ctx ends.
func (p *Pool) readBody(ctx context.Context, id string, res *http.Response) ([]byte, error) {
	length := res.ContentLength
	if res.Body == http.NoBody { // the answer to a HEAD request may declare a length
		length = 0
	}
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(defaultMemoryWait)
	}
	b, err := p.cfg.Memory.Read(ctx, res.Body, length, p.cfg.MaxAnswerBytes, memory.Request{Call: id, Class: room.Answer, Until: until})
	switch {
	case errors.Is(err, memory.ErrTooLong):
		return nil, ErrAnswerTooLarge
	case err != nil:
		return nil, errors.Wrap(err, "read body")
	}
	return b, nil
}
