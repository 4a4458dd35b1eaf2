package peer

import (
	"net/http"
	"time"

	"tanagerchute/io/wire"
)

// maxFrame bounds the body of a control request, in bytes.
const maxRequestBytes = 2 << 20

// Handler serves the control protocol. dropped is called with the cause of
// each request that is refused before it is read.
func Handler(s wire.Peer, deployment string, onDrop func(from, cause string)) http.Handler {
	next := wire.NewPeerServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d := r.Header.Get(HeaderDeployment); d != deployment {
			onDrop(r.RemoteAddr, "request of deployment \""+truncate(d)+"\"")
			http.Error(w, "another deployment", http.StatusForbidden)
			return
		}
		if r.ContentLength > maxRequestBytes {
			onDrop(r.RemoteAddr, "request is oversized")
			http.Error(w, "oversized", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next.ServeHTTP(w, r)
	})
}

// clip bounds a text that came from a peer, for logs.
func truncate(s string) string {
	const maxLen = 64
	if len(s) > maxLen {
		return s[:maxLen]
	}
	return s
}

// NewServer returns an HTTP server for a listener that takes HTTP/1.1 and
// HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams},
	}
}

const (
	serverIdleTimeout    = time.Minute
	readHeaderTimeout    = 5 * time.Second
	maxHeaderBytes       = 256 << 10 // the bound on a caller's headers is checked with the request
	maxConcurrentStreams = 4096
)
