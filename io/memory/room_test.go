package memory_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/room"
	"tanagerchute/io/memory"
)

const budget = 32 << 20

func body(n int64, wait time.Duration) memory.Request {
	return memory.Request{Call: "c", Class: room.Body, Bytes: n, Until: time.Now().Add(wait)}
}

// TestBufferCountsUntilCollected checks that a buffer that is still in use keeps its room, and
// that one that is not used any more makes room for a request that waits, without being
// given back.
func TestBufferCountsUntilCollected(t *testing.T) {
	is := is.New(t)
	m := memory.NewRoom(memory.Config{Bytes: budget})
	const n = 14 << 20
	first, err := m.Buffer(context.Background(), body(n, 0))
	is.NoErr(err)
	second, err := m.Buffer(context.Background(), body(n, 300*time.Millisecond))
	var full *memory.FullError
	is.True(errors.As(err, &full) || second != nil)
	is.True(second == nil) // the first one is in use
	is.True(full.RetryAfter > 0)
	first[0] = 1
	first = nil
	third, err := m.Buffer(context.Background(), body(n, 5*time.Second))
	is.NoErr(err)
	is.Equal(len(third), n)
	small, err := m.Buffer(context.Background(), memory.Request{Class: room.Body, Bytes: 2000})
	is.NoErr(err) // beside a body that takes all that bodies may take
	is.Equal(len(small), 2000)
	third[0], small[0] = 1, 1
}

// TestWaitEndsWithContext checks that a request that waits gives up its place.
func TestWaitEndsWithContext(t *testing.T) {
	is := is.New(t)
	m := memory.NewRoom(memory.Config{Bytes: budget})
	held, err := m.Buffer(context.Background(), body(20<<20, 0))
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = m.Buffer(ctx, body(20<<20, 10*time.Second))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(m.State().Waiting, 0)
	held[0] = 1
}

// TestReadReturnsWholeMessages reads messages with and without a declared length, cut and
// too long ones among them.
func TestReadReturnsWholeMessages(t *testing.T) {
	m := memory.NewRoom(memory.Config{Bytes: budget})
	const limit = 3 << 20
	for _, n := range []int{0, 1, 1000, 16 << 10, 16<<10 + 1, 64 << 10, 1 << 20, limit} {
		want := bytes.Repeat([]byte("abcdefgh"), n/8+1)[:n]
		for name, c := range map[string]struct {
			src    io.Reader
			length int64
			ok     bool
		}{
			"declared":          {bytes.NewReader(want), int64(n), true},
			"not declared":      {iotest.OneByteReader(bytes.NewReader(want)), -1, true},
			"with late error":   {iotest.DataErrReader(bytes.NewReader(want)), -1, true},
			"longer":            {bytes.NewReader(append(want[:n:n], 'x')), int64(n), false},
			"cut":               {io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), int64(n) + 1, false},
			"cut, not declared": {io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, false},
		} {
			got, err := m.Read(context.Background(), c.src, c.length, limit, body(0, time.Second))
			if c.ok != (err == nil) || c.ok && !bytes.Equal(got, want) {
				t.Errorf("%s, %d bytes: got %d, error %v", name, n, len(got), err)
			}
		}
	}
	_, err := m.Read(context.Background(), bytes.NewReader(make([]byte, limit+1)), -1, limit, body(0, time.Second))
	if !errors.Is(err, memory.ErrTooLong) {
		t.Errorf("a message without a length that is too long: %v", err)
	}
	_, err = m.Read(context.Background(), iotest.ErrReader(errors.New("read")), limit+1, limit, body(0, time.Second))
	if !errors.Is(err, memory.ErrTooLong) {
		t.Errorf("a declared length that is too long: %v", err)
	}
}
