package upconn

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Request is a request to the backend server. A Pool does not modify it.
type Request struct {
	Method string
	Path   string // with the query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	ID     string // compared with that of the answer, see Config.AnswerID
	// MaxIdle is the longest idle time of a connection that is reused for the
	// request, 0 for no limit. The server may be closing a connection that has been
	// idle for longer, and then it is unknown whether the request has run.
	MaxIdle time.Duration
	// AllowResend reports whether the request may be sent again over a new
	// connection, after an idle one turned out to be stale: it ended as soon as the
	// request was sent. The server may have received the request all the same, so
	// this counts as a resend. AllowResend is called at most once. If it is nil,
	// the request is not sent again.
	AllowResend func() bool
}

// framingHeaders are the headers that are not copied from Request.Header, since
// writeHead sets them.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// writeHead writes the request line and the headers.
func (r Request) writeHead(b *bytes.Buffer) error {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Method+r.Path+r.Host, " \r\n") {
		return errors.Errorf("request line with method %q, path %q and host %q is malformed", r.Method, r.Path, r.Host)
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.methodHasBody() {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if err := r.Header.WriteSubset(b, framingHeaders); err != nil {
		return err
	}
	b.WriteString("\r\n")
	return nil
}

// methodHasBody reports whether requests with the method have a body. They have a
// Content-Length header even if the body is empty.
func (r Request) methodHasBody() bool {
	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}
