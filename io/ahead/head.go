package ahead

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// endOfHead is the end of the headers of a request.
var endOfHead = []byte("\r\n\r\n")

// head is the head of a request at the start of a buffer.
type head struct {
	size    int           // bytes, 0 if it is not complete
	request *http.Request // nil if it can't be read
	noBody  bool          // nothing follows the head before the next request
}

// parseHead reads the head of a request at the start of buf.
func parseHead(buf []byte) head {
	end := bytes.Index(buf, endOfHead)
	if end < 0 {
		return head{}
	}
	h := head{size: end + len(endOfHead)}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:h.size])))
	if err != nil {
		return h
	}
	h.request = r
	h.noBody = r.Method == http.MethodGet && r.ProtoAtLeast(1, 1) && !announcesBody(r) && !changesConn(r)
	return h
}

// announcesBody reports whether r has a header of a message with a body, even if it
// says that the body is empty.
func announcesBody(r *http.Request) bool {
	return len(r.Header["Content-Length"]) > 0 || len(r.Header["Transfer-Encoding"]) > 0 || len(r.TransferEncoding) > 0 || r.ContentLength != 0
}

// changesConn reports whether r ends the sequence of requests on its connection.
func changesConn(r *http.Request) bool {
	if r.Close || len(r.Header["Upgrade"]) > 0 || len(r.Header["Expect"]) > 0 {
		return true
	}
	for _, v := range r.Header["Connection"] {
		if !strings.EqualFold(v, "keep-alive") {
			return true
		}
	}
	return false
}
