package ahead

import (
	"bytes"
	"net/http"
	"strconv"
)

// body tells where the body of a request ends in the bytes of its connection. The zero body
// has ended.
type body struct {
	left    int64 // bytes of the body, or of its present chunk with the line end behind it
	chunked bool  // chunks follow
	last    bool  // the last chunk has begun, whose line end follows
	broken  bool  // the chunks can't be read, or have trailers
}

// newBody returns the body of a request whose head has been read. ok is false if its end
// can't be told.
func newBody(r *http.Request) (b body, ok bool) {
	switch {
	case len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked":
		return body{chunked: true}, true
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return body{}, false
	}
	return body{left: r.ContentLength}, true
}

// ended reports whether nothing of the body follows.
func (b *body) ended() bool { return !b.chunked && b.left == 0 }

// take returns how many bytes at the start of buf belong to the body. The next call goes on
// behind them. The line in front of a chunk is only taken whole.
func (b *body) take(buf []byte) int {
	taken := 0
	for !b.ended() && !b.broken {
		n := b.takePart(buf[taken:])
		if n == 0 {
			break
		}
		taken += n
	}
	return taken
}

// takePart takes data of the body, or one line of a chunked body.
func (b *body) takePart(buf []byte) int {
	if b.left > 0 {
		n := int(min(b.left, int64(len(buf))))
		b.left -= int64(n)
		return n
	}
	n := bytes.IndexByte(buf, '\n') + 1
	switch {
	case n == 0:
		b.broken = len(buf) > maxChunkLine
		return 0
	case b.last:
		b.broken = string(buf[:n]) != lineEnd
		b.chunked = b.broken
	default:
		b.beginChunk(buf[:n])
	}
	if b.broken {
		return 0
	}
	return n
}

const (
	lineEnd      = "\r\n"
	maxChunkLine = 4096 // bytes; net/http reads no longer line in front of a chunk
	maxChunkBits = 62   // of the size of a chunk
)

// beginChunk reads the line in front of a chunk.
func (b *body) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";")) // extensions follow
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t"+lineEnd)), 16, maxChunkBits)
	if err != nil {
		b.broken = true
		return
	}
	b.last = n == 0
	if !b.last {
		b.left = int64(n) + int64(len(lineEnd))
	}
}
