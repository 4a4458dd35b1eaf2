package memory_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/room"
	"tanagerchute/io/memory"
)

func answer(wait time.Duration) memory.Request {
	return memory.Request{Call: "c", Class: room.Answer, Until: time.Now().Add(wait)}
}

// TestHeaderCountsUntilCollected checks that a large header takes room for more than its text,
// for as long as any part of it is used, and that it is equal to the one that was given.
func TestHeaderCountsUntilCollected(t *testing.T) {
	is := is.New(t)
	const fields = 1000
	m := memory.NewRoom(memory.Config{Bytes: budget})
	h := http.Header{"X-Twice": {"a", ""}}
	for i := range fields {
		h.Set(fmt.Sprint("X-", i), "")
	}
	got, err := m.Header(context.Background(), h, answer(0))
	is.NoErr(err)
	is.True(maps.EqualFunc(got, h, slices.Equal))
	is.True(m.State().Total() > 100*fields)
	kept := got["X-Twice"][0]
	got = nil
	var held []http.Header
	for err == nil { // until there is no room
		var more http.Header
		more, err = m.Header(context.Background(), h, answer(0))
		held = append(held, more)
	}
	var full *memory.FullError
	is.True(errors.As(err, &full))
	is.Equal(kept, "a")
	is.True(len(held) > 20)
	held = nil
	_, err = m.Header(context.Background(), h, answer(5*time.Second))
	is.NoErr(err) // those that are not used any more have been collected
}

// TestTextCountsBeforeItIsParsed checks that the room for a text depends on its fields, and that
// small ones take none.
func TestTextCountsBeforeItIsParsed(t *testing.T) {
	is := is.New(t)
	m := memory.NewRoom(memory.Config{Bytes: budget})
	small, err := m.Text(context.Background(), []byte("X-A: b\r\n"), 1, answer(0))
	is.NoErr(err)
	is.Equal(small, "X-A: b\r\n")
	is.Equal(m.State().Total(), int64(0))
	lines := strings.Repeat("a:\r\n", 1000)
	text, err := m.Text(context.Background(), []byte(lines), 1000, answer(0))
	is.NoErr(err)
	is.Equal(text, lines)
	is.True(m.State().Total() > 40*int64(len(lines)))
	same, err := m.Header(context.Background(), http.Header{"A": {"b"}}, answer(0))
	is.NoErr(err)
	is.Equal(same.Get("A"), "b")
}
