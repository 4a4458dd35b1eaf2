package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Endless is where a response has no end.
type Endless string

// Values of Endless.
const (
	EndlessStatus  Endless = "status" // bytes that are no response
	EndlessHead    Endless = "head"
	EndlessInterim Endless = "interim" // responses with status 100
	EndlessOther   Endless = "other"   // responses to another call
	EndlessChunks  Endless = "chunks"
	EndlessBody    Endless = "body" // without a length
)

// Cut is where a response ends too early.
type Cut string

// Values of Cut. The connection is closed there, or reset where it says so.
const (
	CutInHead        Cut = "in_head"
	CutAfterHead     Cut = "after_head"
	CutInBody        Cut = "in_body"
	CutLastByte      Cut = "last_byte" // all but the last byte of a body with a length
	CutInChunk       Cut = "in_chunk"
	CutLastChunk     Cut = "last_chunk"      // all chunks but the last, empty one
	CutResetNoLength Cut = "reset_no_length" // a body without a length ends by a reset
)

// endlessPiece is the number of bytes that Endless sends at a time.
const endlessPiece = 32 << 10

// EndlessBytes returns the number of bytes sent so far for Faults.Endless.
func (s *Server) EndlessBytes() int64 { return s.endless.Load() }

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn, rw
}

// rawHead returns the head of a successful response to the call with the given id.
func (s *Server) rawHead(id string, headers ...string) string {
	h := http.Header{}
	s.cfg.Protocol.SetRequestID(h, id)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&b) // writes to a bytes.Buffer don't fail
	for _, line := range headers {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// writeEndless sends a response without an end until the connection is closed.
func (s *Server) writeEndless(w http.ResponseWriter, id string, where Endless) {
	conn, _ := hijack(w)
	defer conn.Close()
	head := s.rawHead(id, "Transfer-Encoding: chunked")
	piece := strings.Repeat("x", endlessPiece)
	switch where {
	case EndlessStatus:
		head = ""
	case EndlessHead:
		head = "HTTP/1.1 200 OK\r\n"
		piece = "X-Filler: " + piece[:1<<10] + "\r\n"
	case EndlessInterim:
		head, piece = "", "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessOther:
		head, piece = "", s.rawHead(id+"-other", "Content-Length: 5")+"other"
	case EndlessChunks:
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	case EndlessBody:
		head = s.rawHead(id)
	}
	for piece = strings.Repeat(piece, max(1, endlessPiece/len(piece))); ; head = "" {
		n, err := conn.Write([]byte(head + piece))
		s.endless.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// writeCut sends a part of a response.
func (s *Server) writeCut(w http.ResponseWriter, id string, where Cut) {
	conn, _ := hijack(w)
	defer conn.Close()
	const body = "a whole answer"
	sized := s.rawHead(id, "Content-Length: "+strconv.Itoa(len(body)))
	chunked := s.rawHead(id, "Transfer-Encoding: chunked")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	text := map[Cut]string{
		CutInHead:        sized[:len(sized)/2],
		CutAfterHead:     sized,
		CutInBody:        sized + body[:len(body)/2],
		CutLastByte:      sized + body[:len(body)-1],
		CutInChunk:       chunked + chunk[:len(chunk)/2],
		CutLastChunk:     chunked + chunk,
		CutResetNoLength: s.rawHead(id, "Connection: close") + body,
	}[where]
	_, _ = conn.Write([]byte(text)) // a failed write is a fault as well
	if where == CutResetNoLength {
		time.Sleep(resetDelay)
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0)
		}
	}
}

// resetDelay is the time between the bytes of a response and the reset of its
// connection, which would otherwise discard them.
const resetDelay = 20 * time.Millisecond

// writeLateCopies responds to a call and to the later ones of its connection. Each
// later response follows a copy of the one before.
func (s *Server) writeLateCopies(w http.ResponseWriter, id string) {
	conn, rw := hijack(w)
	defer conn.Close()
	previous := ""
	for {
		body := "answer to " + id
		response := s.rawHead(id, "Content-Length: "+strconv.Itoa(len(body))) + body
		if _, err := conn.Write([]byte(previous + response)); err != nil {
			return
		}
		previous = response
		r, err := http.ReadRequest(rw.Reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		info := s.cfg.Protocol.ReadRequest(r.Header)
		e := s.newEntry(r, info.ID)
		e.Done, e.End = true, e.At
		s.record(e)
		id = info.ID
	}
}
