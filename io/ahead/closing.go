package ahead

import "net/http"

// closingWriter is a ResponseWriter that may close its connection with the response.
type closingWriter struct {
	http.ResponseWriter
	closes func() bool
	began  bool // the head of the final response has been written
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.begin()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// begin decides whether the response closes the connection.
func (w *closingWriter) begin() {
	if w.began {
		return
	}
	w.began = true
	if w.closes() {
		w.Header().Set("Connection", "close")
	}
}
