package logs_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/logs"
)

// TestAsyncWriterWritesAll checks that lines written before Close appear in the
// output, in order, and that Write neither blocks nor fails after Close.
func TestAsyncWriterWritesAll(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logs.NewAsyncWriter(&out)
	const lines = 100
	for range lines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Close()
	is.Equal(out.String(), strings.Repeat("line\n", lines))
	is.Equal(w.Dropped(), uint64(0))
	for range 5000 {
		_, err := w.Write([]byte("late\n"))
		is.NoErr(err)
	}
}

// TestAsyncWriterNeverBlocks checks that neither Write nor Close waits for an
// output that nobody reads, and that dropped lines are counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	_, out := io.Pipe()
	w := logs.NewAsyncWriter(out)
	start := time.Now()
	const lines = 5000
	for range lines {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(w.Congested())
	w.Close()
	is.True(time.Since(start) < 5*time.Second)
	is.True(w.Dropped() >= lines-1025) // all but the 1024 queued lines and the one that is being written
}
