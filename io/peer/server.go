package peer

import (
	"net/http"
	"time"

	"tanagerchute/io/wire"
)

// maxRequestBytes bounds the body of a control request.
const maxRequestBytes = 2 << 20

// Handler serves the control protocol, with further services. It calls onDrop with the
// sender's address and the cause for each request that it rejects without reading the
// body.
func Handler(s wire.Peer, deployment string, onDrop func(from, cause string), services ...wire.TwirpServer) http.Handler {
	next := http.NewServeMux()
	next.Handle("/", wire.NewPeerServer(s))
	for _, service := range services {
		next.Handle(service.PathPrefix(), service)
	}
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
		next.ServeHTTP(w, withReceivedAge(r))
	})
}

// truncate bounds the length of a text that was sent by a peer, for logging.
func truncate(s string) string {
	const maxLen = 64
	if len(s) > maxLen {
		return s[:maxLen]
	}
	return s
}

// NewServer returns an HTTP server that accepts HTTP/1.1 and HTTP/2 without TLS.
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

// Limits of a server.
const (
	serverIdleTimeout    = time.Minute
	readHeaderTimeout    = 5 * time.Second
	maxHeaderBytes       = 256 << 10 // the configured limit for callers is checked later, with the request
	maxConcurrentStreams = 4096
)
