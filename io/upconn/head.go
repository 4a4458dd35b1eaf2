package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"tanagerchute/core/field"
	"tanagerchute/io/memory"
)

const (
	// maxHeadBytes bounds the head of an answer, as nodes bound those of requests.
	maxHeadBytes = 256 << 10
	// maxHeadLines bounds the lines of a head. A line of four bytes takes fifty times as much
	// when it is parsed.
	maxHeadLines = 1000
	// keptHeadBytes is the size of the buffer for heads that stays with a connection. Most
	// heads fit into it.
	keptHeadBytes = 4 << 10
	// headGrowth is the factor by which the buffer of a larger head grows.
	headGrowth = 4
)

// headReader reads the heads and the trailers of the answers on a connection. Room for large
// ones is taken before they are read and parsed.
type headReader struct {
	br   *bufio.Reader
	room *memory.Room
	kept []byte // empty, with room for a small head; nil before the first head
}

// head is the head of an answer.
type head struct {
	field.Status
	header http.Header
}

// isInterim reports whether the answer itself is still to come.
func (h head) isInterim() bool { return h.Code < http.StatusOK }

// endsConn reports whether the connection ends after the answer.
func (h head) endsConn() bool {
	has := func(token string) bool { return httpguts.HeaderValuesContainsToken(h.header["Connection"], token) }
	return has("close") || h.MinorVersion == 0 && !has("keep-alive")
}

// readHead reads a head, its end included. It returns ErrAnswerTooLarge if the head is too
// large, a *memory.FullError if there is no room for it in time, and another error if it is
// cut or malformed.
func (h *headReader) readHead(ctx context.Context, r memory.Request) (head, error) {
	var out head
	text, err := h.readLines(ctx, r, func(i int, line []byte) (err error) {
		if i == 0 {
			out.Status, err = field.ParseStatus(string(line))
			return err
		}
		return field.CheckLine(line, i == 1)
	})
	if err != nil {
		return head{}, err
	}
	if text == "" {
		return head{}, errors.New("empty line in place of a head")
	}
	_, fields, _ := strings.Cut(text, "\n")
	out.header = field.Header(fields)
	return out, nil
}

// readTrailer reads a trailer, its end included, and drops its fields. The errors are those of
// readHead.
func (h *headReader) readTrailer(ctx context.Context, r memory.Request) error {
	r.Grows = true // beside the body
	_, err := h.readLines(ctx, r, func(i int, line []byte) error { return field.CheckLine(line, i == 0) })
	return err
}

// readLines reads the lines up to an empty one, which is not returned. It calls check for
// each as it arrives, since the next one may never come.
func (h *headReader) readLines(ctx context.Context, r memory.Request, check func(i int, line []byte) error) (string, error) {
	if h.kept == nil {
		h.kept = make([]byte, 0, keptHeadBytes)
	}
	raw := h.kept
	for i := range maxHeadLines {
		start := len(raw)
		var err error
		if raw, err = h.readLine(ctx, r, raw); err != nil {
			return "", err
		}
		line := trimLineEnd(raw[start:])
		if len(line) == 0 {
			r.Grows = r.Grows || cap(raw) > keptHeadBytes
			return h.room.Text(ctx, raw[:start], i, r)
		}
		if err := check(i, line); err != nil {
			return "", err
		}
	}
	return "", ErrAnswerTooLarge
}

// readLine reads a line and appends it to raw, with its end.
func (h *headReader) readLine(ctx context.Context, r memory.Request, raw []byte) ([]byte, error) {
	for {
		part, readErr := h.br.ReadSlice('\n')
		if readErr != nil && !errors.Is(readErr, bufio.ErrBufferFull) {
			return nil, cutShort(readErr)
		}
		grown, err := h.grow(ctx, r, raw, len(part))
		if err != nil {
			return nil, err
		}
		raw = append(grown, part...)
		if readErr == nil {
			return raw, nil
		}
	}
}

// grow returns raw with room for n more bytes.
func (h *headReader) grow(ctx context.Context, r memory.Request, raw []byte, n int) ([]byte, error) {
	if len(raw)+n > maxHeadBytes {
		return nil, ErrAnswerTooLarge
	}
	if len(raw)+n <= cap(raw) {
		return raw, nil
	}
	r.Bytes = int64(min(max(headGrowth*cap(raw), len(raw)+n), maxHeadBytes))
	r.Grows = r.Grows || cap(raw) > keptHeadBytes
	larger, err := h.room.Buffer(ctx, r)
	if err != nil {
		return nil, err
	}
	return append(larger[:0], raw...), nil
}

// trimLineEnd returns a line without its end, which may lack the carriage return.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// cutShort returns the error of a read in the middle of a message.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
