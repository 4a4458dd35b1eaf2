package upconn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerchute/io/upconn"
)

// uploadBytes is the size of the uploads in these tests. It does not fit into the buffers of a
// connection that is not read.
const uploadBytes = 8 << 20

// partBytes is the size of the bodies that servers send before an upload has arrived.
const partBytes = 20_000

// uploadServer is a server that answers an upload when it has read its head, and then treats
// the connection as end says.
type uploadServer struct {
	ln     net.Listener
	head   string // of the answer
	body   []byte
	end    func(c *net.TCPConn, upload io.Reader)
	closed chan struct{} // ends the connections that are left open
}

func newUploadServer(t *testing.T, s uploadServer) *uploadServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ln, s.closed = ln, make(chan struct{})
	t.Cleanup(func() {
		_ = ln.Close()
		close(s.closed)
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return &s
}

// serve answers the request on a connection.
func (s *uploadServer) serve(c *net.TCPConn) {
	defer c.Close()
	br := bufio.NewReader(c)
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = c.Write(append([]byte(s.head+"\r\n"), s.body...))
	s.end(c, req.Body)
}

// do sends an upload to the server.
func (s *uploadServer) do(t *testing.T, bytes int) (upconn.Answer, error) {
	t.Helper()
	p := upconn.New(upconn.Config{MaxAnswerBytes: 1 << 20})
	defer p.CloseIdle()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, s.ln.Addr().String(), upconn.Request{Method: http.MethodPost, Path: "/", Host: "a", Header: http.Header{}, Body: make([]byte, bytes)})
}

// reset returns an end that resets the connection after a time.
func reset(after time.Duration) func(*net.TCPConn, io.Reader) {
	return func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(after)
		_ = c.SetLinger(0)
	}
}

// TestResetDuringUpload guards against the start of an answer that is taken for all of it. The
// server answers an upload without reading it, in part, and resets the connection. The error of
// the connection may reach the write of the upload, so that a read finds the end of the
// connection instead.
func TestResetDuringUpload(t *testing.T) {
	for _, framing := range []string{"", "Connection: close\r\n", "Content-Length: 40000\r\n", "Transfer-Encoding: chunked\r\n"} {
		for _, status := range []int{200, 500} {
			for _, after := range []time.Duration{0, 20 * time.Millisecond, 90 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d %s after %v", status, framing, after), func(t *testing.T) {
					t.Parallel()
					s := newUploadServer(t, uploadServer{head: fmt.Sprintf("HTTP/1.1 %d x\r\n%s", status, framing), body: make([]byte, partBytes), end: reset(after)})
					for range 10 {
						if a, err := s.do(t, uploadBytes); err == nil {
							t.Fatalf("status %d with %d bytes is taken for a whole answer", a.StatusCode, len(a.BodyBytes))
						}
					}
				})
			}
		}
	}
}

// TestEndDuringUpload checks that an answer without a length whose end the server has sent is
// whole, whatever becomes of the upload.
func TestEndDuringUpload(t *testing.T) {
	open := make(chan struct{})
	defer close(open)
	for name, end := range map[string]func(*net.TCPConn, io.Reader){
		"reads on": func(c *net.TCPConn, upload io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, upload)
		},
		"reads no more": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			<-open
		},
		"reads first": func(c *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) },
		"resets later": func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("x"), partBytes)
			s := newUploadServer(t, uploadServer{head: "HTTP/1.1 200 OK\r\n", body: body, end: end})
			for _, n := range []int{1000, uploadBytes} {
				for range 10 {
					start := time.Now()
					a, err := s.do(t, n)
					if err != nil || !bytes.Equal(a.BodyBytes, body) {
						t.Fatalf("upload of %d bytes: %d bytes of the answer, error %v", n, len(a.BodyBytes), err)
					}
					if took := time.Since(start); took > 2*time.Second {
						t.Errorf("upload of %d bytes: answer after %v", n, took)
					}
				}
			}
		})
	}
}
