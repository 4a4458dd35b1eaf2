package back

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Request is one request. It is not changed by a Pool.
type Request struct {
	Method string
	Path   string // with the query, written as it is
	Host   string
	Header http.Header
	Body   []byte
	ID     string
	// Idle is the longest time for which a connection may have been idle to be
	// used for the request, 0 for any. The server may be closing one that has
	// been idle for long, and whether the request ran is not known then.
	Idle time.Duration
	// Repeat reports whether the request may be sent again over a new connection,
	// since its own ended at once, as one does that the server had forgotten. The
	// server may have seen it all the same, so a repeat counts as a resend. It is
	// asked once at most; nil allows none.
	Repeat func() bool
}

// framed are the headers that writeHead writes itself.
var framed = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true}

// writeHead writes the request line and the headers.
func (r Request) writeHead(b *bytes.Buffer) error {
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Method+r.Path+r.Host, " \r\n") {
		return errors.Errorf("request line of %q %q at host %q is malformed", r.Method, r.Path, r.Host)
	}
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Path)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Body) > 0 || r.hasBody() {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	if err := r.Header.WriteSubset(b, framed); err != nil {
		return err
	}
	b.WriteString("\r\n")
	return nil
}

// hasBody reports whether requests of the method have a body, if only an empty
// one.
func (r Request) hasBody() bool {
	return r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch
}
