package server

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"tanagerchute/io/native"
)

// RequestInfo holds the metadata in the headers of a request.
type RequestInfo struct {
	ID       string        // request ID, which the response repeats
	Caller   string        // service that made the call, empty if unknown
	TimeLeft time.Duration // time until the deadline, negative if unknown
}

// Protocol reads and writes the headers that a Server exchanges with its node.
type Protocol interface {
	// ReadRequest returns the metadata in the headers of a request.
	ReadRequest(h http.Header) RequestInfo
	// WriteNotRun rejects a request. The response states that the request has
	// not run and never will.
	WriteNotRun(w http.ResponseWriter)
	// SetRequestID adds the request ID to the headers of a response.
	SetRequestID(h http.Header, id string)
}

// tanagerProtocol implements Protocol with the Tanager headers.
type tanagerProtocol struct{}

// ReadRequest implements Protocol.
func (tanagerProtocol) ReadRequest(h http.Header) RequestInfo {
	left, err := time.ParseDuration(h.Get(native.HeaderTimeLeft))
	if err != nil {
		left = -1
	}
	return RequestInfo{ID: h.Get(native.HeaderRequest), TimeLeft: left}
}

// WriteNotRun implements Protocol.
func (tanagerProtocol) WriteNotRun(w http.ResponseWriter) {
	w.Header().Set(native.HeaderOutcome, "not_run")
	http.Error(w, "too busy", http.StatusServiceUnavailable)
}

// SetRequestID implements Protocol.
func (tanagerProtocol) SetRequestID(h http.Header, id string) { h.Set(native.HeaderRequest, id) }

// writeTwoAnswers writes a response and, on the same connection, a second one
// with another request ID.
func (s *Server) writeTwoAnswers(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var b bytes.Buffer
	for _, answerID := range []string{id, id + "-other"} {
		h := http.Header{}
		s.cfg.Protocol.SetRequestID(h, answerID)
		text := "answer to " + answerID
		h.Set("Content-Length", strconv.Itoa(len(text)))
		b.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(&b) // writes to a bytes.Buffer don't fail
		b.WriteString("\r\n" + text)
	}
	_, _ = conn.Write(b.Bytes()) // a failed write is a fault as well
	time.Sleep(s.cfg.Work)       // the second response arrives before the connection closes
}
