package peer

import (
	"context"
	"io"
	"net/http"
)

// InTime returns the body of an answer such that a read from it ends when ctx does. By itself, the
// transport tells the other node first, and blocks if that does not read.
func InTime(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	if body == http.NoBody {
		return body
	}
	return &timedBody{body, context.AfterFunc(ctx, func() { _ = body.Close() })}
}

// timedBody is a body that is closed when its context ends.
type timedBody struct {
	io.ReadCloser
	stop func() bool // reports whether the context has not ended
}

// Close implements io.Closer.
func (b *timedBody) Close() error {
	if !b.stop() {
		return nil // it is being closed, which may take long
	}
	return b.ReadCloser.Close()
}
