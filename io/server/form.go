package server

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"tanagerchute/io/face"
)

// Asked is what a request says of itself.
type Asked struct {
	ID     string        // that the answer echoes
	Caller string        // service that made the call, empty if it is not told
	Left   time.Duration // until the deadline, negative if it is not told
}

// Form is how a Server speaks: the names of its headers.
type Form interface {
	// Read reads the headers of a request.
	Read(h http.Header) Asked
	// Refuse answers a request that has not run and never will.
	Refuse(w http.ResponseWriter)
	// Mark marks the answer to the request with an id.
	Mark(h http.Header, id string)
}

// ownForm is the product's own dialect.
type ownForm struct{}

// Read implements Form.
func (ownForm) Read(h http.Header) Asked {
	left, err := time.ParseDuration(h.Get(face.HeaderTimeLeft))
	if err != nil {
		left = -1
	}
	return Asked{ID: h.Get(face.HeaderRequest), Left: left}
}

// Refuse implements Form.
func (ownForm) Refuse(w http.ResponseWriter) {
	w.Header().Set(face.HeaderOutcome, "not_run")
	http.Error(w, "too busy", http.StatusServiceUnavailable)
}

// Mark implements Form.
func (ownForm) Mark(h http.Header, id string) { h.Set(face.HeaderRequest, id) }

// answerTwice writes an answer with another one after it.
func (s *Server) answerTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var b bytes.Buffer
	for _, mark := range []string{id, id + "-other"} {
		h := http.Header{}
		s.cfg.Form.Mark(h, mark)
		text := "answer to " + mark
		h.Set("Content-Length", strconv.Itoa(len(text)))
		b.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(&b) // a Buffer takes all
		b.WriteString("\r\n" + text)
	}
	_, _ = conn.Write(b.Bytes()) // a fault all the same
	time.Sleep(s.cfg.Work)       // so that the second answer is there before the end
}
