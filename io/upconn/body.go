package upconn

import (
	"io"
	"net/http"
	"net/http/httputil"
)

// bodyEnds tell whether the end of a body without a length is one that the server has sent.
type bodyEnds struct {
	trailer func() error // reads what follows the last chunk
	conn    func() error // is called when there is nothing more to read from the connection
}

// newBody returns a reader of the body at the start of r. It returns io.EOF only at the end of
// a whole body.
func newBody(r io.Reader, f framing, ends bodyEnds) io.Reader {
	switch f.kind {
	case sized:
		return &sizedBody{r: r, left: f.length}
	case chunked:
		return &endedBody{r: httputil.NewChunkedReader(r), checkEnd: ends.trailer}
	case untilClose:
		return &endedBody{r: r, checkEnd: ends.conn}
	}
	return http.NoBody
}

// sizedBody reads a body with a declared length.
type sizedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(buf []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(buf[:min(int64(len(buf)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		return n, nil
	}
	return n, cutShort(err)
}

// endedBody reads a body without a declared length.
type endedBody struct {
	r        io.Reader
	checkEnd func() error
	err      error // of all further reads, nil before the end
}

// Read implements io.Reader.
func (b *endedBody) Read(buf []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(buf)
	if err == io.EOF {
		err = b.checkEnd()
		if err == nil {
			err = io.EOF
		}
	}
	b.err = err
	return n, err
}
