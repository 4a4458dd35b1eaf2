package ahead

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// head is the head of a request at the start of a buffer.
type head struct {
	size    int           // bytes, 0 if it is not complete
	request *http.Request // nil if it can't be read
	noBody  bool          // nothing follows the head before the next request
	// mayHaveBody is set if a body may follow, and then the next request, or nothing that counts if
	// this one closes the connection.
	mayHaveBody bool
}

// parseHead reads the head of a request at the start of buf.
func parseHead(buf []byte) head {
	h := head{size: headSize(buf)}
	if h.size == 0 {
		return h
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:h.size])))
	if err != nil {
		return h
	}
	h.request = r
	framed := r.ProtoMajor == 1 && r.ProtoMinor == 1 && !changesConn(r)
	h.noBody = framed && !r.Close && r.Method == http.MethodGet && !announcesBody(r)
	h.mayHaveBody = framed && !h.noBody
	return h
}

// headSize returns the size of the head of a request at the start of buf, up to and with
// the empty line, or 0 if it is not complete. Like net/http, it takes LF and CRLF as the
// end of a line.
func headSize(buf []byte) int {
	for size := 0; ; {
		n := bytes.IndexByte(buf[size:], '\n') + 1
		if n == 0 {
			return 0
		}
		size += n
		switch rest := buf[size:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return size + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return size + 2
		}
	}
}

// announcesBody reports whether r has a header of a message with a body, even if it
// says that the body is empty.
func announcesBody(r *http.Request) bool {
	return len(r.Header["Content-Length"]) > 0 || len(r.Header["Transfer-Encoding"]) > 0 || len(r.TransferEncoding) > 0 || r.ContentLength != 0
}

// changesConn reports whether what follows r may be something else than a request.
func changesConn(r *http.Request) bool {
	if len(r.Header["Upgrade"]) > 0 || len(r.Header["Expect"]) > 0 {
		return true
	}
	for _, v := range r.Header["Connection"] {
		if !strings.EqualFold(v, "keep-alive") && !strings.EqualFold(v, "close") {
			return true
		}
	}
	return false
}
