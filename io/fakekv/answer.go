package fakekv

import (
	"net/http"
	"strconv"

	"tanagerchute/io/etcd"
)

// eraWriter writes an answer with the era of the store at the time of the call. It
// aborts the connection if a later era has begun since, as the restart of a store
// does to the calls in progress.
type eraWriter struct {
	http.ResponseWriter
	server *Server
	era    uint64
}

// newEraWriter returns an eraWriter for a call that arrives now.
func newEraWriter(s *Server, w http.ResponseWriter) *eraWriter {
	e := s.Era()
	w.Header().Set(etcd.EraHeader, strconv.FormatUint(e, 10))
	return &eraWriter{w, s, e}
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.abortIfRestored()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	w.abortIfRestored()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *eraWriter) abortIfRestored() {
	if w.server.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
}
