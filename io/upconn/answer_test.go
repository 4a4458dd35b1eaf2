package upconn_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"tanagerchute/core/author"
	"tanagerchute/io/upconn"
)

// Headers of the answers in these tests, and what stands for their values in the bytes that
// a server sends.
const (
	headerID      = "X-Id"
	headerSeal    = "X-Seal"
	headerNotRun  = "X-Not-Run"
	placeID       = "{id}"
	placeOther    = "{other}"
	requestID     = "9c41d07be2a35f68"
	earlierID     = "07be2a35f689c41d"
	earlierAnswer = "HTTP/1.1 200 OK\r\nX-Id: " + earlierID + "\r\nX-Seal: s\r\nContent-Length: 7\r\n\r\nearlier"
)

// parseHead reads the headers of these tests.
func parseHead(res *http.Response) author.Answer {
	return author.Answer{
		Status: res.StatusCode, Named: res.Header.Get(headerID), Marked: res.Header.Get(headerSeal) != "",
		NotRun: res.Header.Get(headerNotRun) != "",
	}
}

// script is a request to a server that sends data in place of an answer, on each of its
// connections, and closes it.
type script struct {
	name  string
	parse func(*http.Response) author.Answer // nil for servers that do not name the request
	id    string                             // of the request
	kept  bool                               // the connection carries an earlier request first
	data  []byte
	// earlier is the answer to the earlier request, earlierAnswer if it is empty.
	earlier string
}

// pool returns a pool of connections to the server.
func (s script) pool() *upconn.Pool {
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		answers := [][]byte{s.data}
		if s.kept {
			answers = [][]byte{[]byte(cmp.Or(s.earlier, earlierAnswer)), s.data}
		}
		for _, a := range answers {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = c.Write(a)
		}
	}
	return upconn.New(upconn.Config{
		MaxAnswerBytes: 1 << 16, Parse: s.parse, Rules: author.Rules{NamesRequest: true, PromisesByStatus: true},
		Dial: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go serve(server)
			return client, nil
		},
	})
}

// do sends the request.
func (s script) do() (upconn.Answer, error) {
	p := s.pool()
	defer p.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := func(id string) upconn.Request {
		return upconn.Request{Method: http.MethodPost, Path: "/", Host: "a", Header: http.Header{}, ID: id}
	}
	if s.kept {
		if _, err := p.Do(ctx, "a", request(earlierID)); err != nil {
			return upconn.Answer{}, err
		}
	}
	return p.Do(ctx, "a", request(s.id))
}

// withData returns s with the given data, in which the ids of the requests take their places.
func (s script) withData(data []byte) script {
	data = bytes.ReplaceAll(data, []byte(placeID), []byte(s.id))
	s.data = bytes.ReplaceAll(data, []byte(placeOther), []byte(earlierID))
	return s
}

// doScripted sends a request to a server that sends data.
func doScripted(data []byte, kept bool) (upconn.Answer, error) {
	return script{parse: parseHead, id: requestID, kept: kept}.withData(data).do()
}

// TestHeadCutAnywhere guards against an answer that ends in its head and is taken for a
// success with an empty or short body.
func TestHeadCutAnywhere(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		whole := "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: " + requestID + "\r\n" + framing + "Keep-Alive: timeout=5\r\n\r\n"
		for n := range len(whole) {
			for _, kept := range []bool{false, true} {
				if a, err := doScripted([]byte(whole[:n]), kept); err == nil {
					t.Errorf("head cut after %q, kept connection %v: answer with status %d and body %q", whole[:n], kept, a.StatusCode, a.BodyBytes)
				}
			}
		}
	}
}

// TestEarlierRefusalAgain guards against a server that sends an earlier refusal once more, on
// a connection that is in use again: the request must not be taken for refused.
func TestEarlierRefusalAgain(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length: 4\r\n\r\nmine"
	for name, refusal := range map[string]string{
		"named":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: {other}\r\nContent-Length: 0\r\n\r\n",
		"unnamed": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"429":     "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\nX-Id: {other}\r\nContent-Length: 0\r\n\r\n",
	} {
		a, err := doScripted([]byte(refusal+answer), true)
		switch {
		case err == nil && (a.Verdict != author.Answered || string(a.BodyBytes) != "mine"):
			t.Errorf("%s: verdict %v, body %q", name, a.Verdict, a.BodyBytes)
		case err != nil:
			var e *upconn.Error
			if !errors.As(err, &e) || !e.Sent {
				t.Errorf("%s: %v counts as not sent", name, err)
			}
		}
	}
}

// FuzzAnswer sends any bytes in place of an answer. No success, promise or answer to another
// request may be made out of bytes that are none.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\n\r\nto the end",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\n\r\nunavailable\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: {id}\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: {other}\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Oops\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 x\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\n\n",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX T: a\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Seal: s\r\nX-Id: {id}\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n c\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"\x16\x03\x01\x00*\x02\x00\x00",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, kept bool) {
		a, err := doScripted(data, kept)
		if err != nil {
			return
		}
		has := func(s string) bool { return bytes.Contains(bytes.ToLower(data), []byte(s)) }
		if !has(placeID) && !strings.Contains(string(data), requestID) {
			t.Fatalf("%q is taken for an answer to the request", data)
		}
		switch a.Verdict {
		case author.Answered:
			if !has("x-seal") {
				t.Fatalf("%q passes without the mark of the server", data)
			}
			if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
				t.Fatalf("%q passes as a promise", data)
			}
		case author.NotRun:
			if !has("x-not-run") {
				t.Fatalf("%q is taken for a refusal", data)
			}
		}
		if a.StatusCode < 200 || a.StatusCode > 599 {
			t.Fatalf("%q passes with status %d", data, a.StatusCode)
		}
		for name, values := range a.Header {
			if !httpguts.ValidHeaderFieldName(name) || slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
				t.Fatalf("%q passes with the field %q: %q", data, name, values)
			}
		}
	})
}
