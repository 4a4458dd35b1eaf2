package memory

import (
	"context"
	"io"

	"github.com/go-faster/errors"
)

// ErrTooLong means that a message is longer than its limit.
var ErrTooLong = errors.New("message exceeds the size limit")

// growth is the factor by which the buffer of a message without a declared length grows.
const growth = 4

// firstBytes is the size of the first buffer of such a message.
const firstBytes = 16 << 10

// Read reads a whole message into a buffer of m. length is the declared length, negative if
// there is none; the message must not be longer than limit. r.Bytes is not used. Nothing is
// read that has no room: Read returns a *FullError before, and also when a message without a
// length outgrows what there is.
func (m *Room) Read(ctx context.Context, src io.Reader, length, limit int64, r Request) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	if length >= 0 {
		r.Bytes = length
		b, err := m.Buffer(ctx, r)
		if err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(src, b); err != nil {
			return nil, errors.Wrap(err, "read message")
		}
		return b, readEnd(src)
	}
	return m.readGrowing(ctx, src, limit, r)
}

// readEnd reads the end of a message whose declared length has been read.
func readEnd(src io.Reader) error {
	var one [1]byte
	switch n, err := src.Read(one[:]); {
	case n > 0:
		return errors.New("message is longer than declared")
	case err != nil && !errors.Is(err, io.EOF):
		return errors.Wrap(err, "read end of message")
	}
	return nil
}

// readGrowing reads a message without a declared length.
func (m *Room) readGrowing(ctx context.Context, src io.Reader, limit int64, r Request) ([]byte, error) {
	r.Bytes = min(firstBytes, limit+1)
	b, err := m.Buffer(ctx, r)
	if err != nil {
		return nil, err
	}
	n := 0
	for {
		read, err := fill(src, b[n:])
		n += read
		switch {
		case int64(n) > limit:
			return nil, ErrTooLong
		case err == io.EOF: // not one that is wrapped: the message is complete
			return b[:n:n], nil
		case err != nil:
			return nil, errors.Wrap(err, "read message")
		}
		r.Bytes, r.Grows = min(growth*int64(len(b)), limit+1), true
		larger, err := m.Buffer(ctx, r)
		if err != nil {
			return nil, err
		}
		copy(larger, b[:n])
		b = larger
	}
}

// fill reads until b is full, or returns the error of src. Unlike io.ReadFull, it keeps the
// end of a message apart from one that was cut.
func fill(src io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var read int
		read, err = src.Read(b[n:])
		n += read
	}
	return n, err
}
