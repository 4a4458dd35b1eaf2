package upconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"tanagerchute/core/field"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 1 << 20
	// keptHeadBytes is the size of the buffer for heads that stays with a connection. Most
	// heads fit into it.
	keptHeadBytes = 4 << 10
)

// headReader reads the heads and the trailers of the answers on a connection.
type headReader struct {
	br   *bufio.Reader
	kept []byte // empty, with room for a small head; nil before the first head
}

// head is the head of an answer.
type head struct {
	field.Status
	header http.Header
}

// isInterim reports whether the answer itself is still to come.
func (h head) isInterim() bool { return h.Code < http.StatusOK }

// endsConn reports whether the connection ends behind the answer.
func (h head) endsConn() bool {
	has := func(token string) bool { return httpguts.HeaderValuesContainsToken(h.header["Connection"], token) }
	return has("close") || h.Minor == 0 && !has("keep-alive")
}

// readHead reads a head, its end included. It returns ErrAnswerTooLarge if the head is too
// large, and another error if it is cut or malformed.
func (h *headReader) readHead() (head, error) {
	var out head
	text, err := h.readLines(func(i int, line []byte) (err error) {
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
func (h *headReader) readTrailer() error {
	_, err := h.readLines(func(i int, line []byte) error { return field.CheckLine(line, i == 0) })
	return err
}

// readLines reads the lines up to an empty one, which is not returned. It calls check for
// each as it arrives, since the next one may never come.
func (h *headReader) readLines(check func(i int, line []byte) error) (string, error) {
	if h.kept == nil {
		h.kept = make([]byte, 0, keptHeadBytes)
	}
	raw := h.kept
	for i := 0; ; i++ {
		start := len(raw)
		var err error
		if raw, err = h.readLine(raw); err != nil {
			return "", err
		}
		line := trimLineEnd(raw[start:])
		if len(line) == 0 {
			return string(raw[:start]), nil
		}
		if err := check(i, line); err != nil {
			return "", err
		}
	}
}

// readLine reads a line and appends it to raw, with its end.
func (h *headReader) readLine(raw []byte) ([]byte, error) {
	for {
		part, readErr := h.br.ReadSlice('\n')
		if readErr != nil && !errors.Is(readErr, bufio.ErrBufferFull) {
			return nil, cutShort(readErr)
		}
		if len(raw)+len(part) > maxHeadBytes {
			return nil, ErrAnswerTooLarge
		}
		raw = append(raw, part...)
		if readErr == nil {
			return raw, nil
		}
	}
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
