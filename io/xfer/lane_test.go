package xfer_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/band"
	"tanagerchute/io/xfer"
)

const rate = 1.25e6 // bytes a second

func transfer(id string, n int64) band.Transfer {
	return band.Transfer{ID: id, Bytes: n, Deadline: time.Now().Add(5 * time.Second)}
}

// TestCancelledTransferLeavesNothing checks that transfers whose contexts end while they wait
// give up their places.
func TestCancelledTransferLeavesNothing(t *testing.T) {
	is := is.New(t)
	l := xfer.NewLane(xfer.Config{BytesPerSecond: rate})
	first := l.Acquire(context.Background(), transfer("first", 100_000))
	is.True(first.Admitted)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan band.Decision)
	for i := range 5 {
		go func() { done <- l.Acquire(ctx, transfer(fmt.Sprint(i), 50_000)) }()
	}
	for l.State().Waiting < 5 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	for range 5 {
		is.True(!(<-done).Admitted)
	}
	l.Done(first.ID)
	s := l.State()
	is.Equal(s.Waiting+s.Unfinished, 0)
	is.Equal(l.Counts().Waited, int64(5))
	is.True(l.Acquire(context.Background(), transfer("next", 50_000)).Admitted)
}

// TestPiecesLeaveRoom checks that a transfer is read at its pace, whole, and that a nil lane
// lets all pass at once.
func TestPiecesLeaveRoom(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789"), 10_000)
	start := time.Now()
	got := make([]byte, len(body))
	is.NoErr(xfer.Read(context.Background(), bytes.NewReader(body), got, xfer.NewPace(rate, 0)))
	is.True(bytes.Equal(got, body))
	is.True(time.Since(start) > 60*time.Millisecond) // 80 ms without the first pieces
	var none *xfer.Lane
	is.True(!none.Bulk(1 << 30))
	is.True(none.Acquire(context.Background(), transfer("any", 1<<30)).Admitted)
}

// TestTransfersOfOneID checks that two transfers with the same id, as two copies of one
// attempt have, wait and end apart from each other.
func TestTransfersOfOneID(t *testing.T) {
	is := is.New(t)
	l := xfer.NewLane(xfer.Config{BytesPerSecond: rate})
	first := l.Acquire(context.Background(), transfer("first", 100_000))
	done := make(chan band.Decision, 2)
	for range 2 {
		go func() { done <- l.Acquire(context.Background(), transfer("twice", 10_000)) }()
	}
	for l.State().Waiting < 2 {
		time.Sleep(time.Millisecond)
	}
	l.Done(first.ID)
	for range 2 {
		select {
		case d := <-done:
			is.True(d.Admitted)
			l.Done(d.ID)
		case <-time.After(time.Second):
			t.Fatal("a transfer was not decided on")
		}
	}
	is.Equal(l.State().Unfinished, 0)
}

// TestPaceEnds checks that a transfer is held back up to the end of its pace only.
func TestPaceEnds(t *testing.T) {
	const size, rate = 1 << 20, 100 << 10 // some 10 s at the rate
	began := time.Now()
	end := began.Add(200 * time.Millisecond)
	var w bytes.Buffer
	err := xfer.Write(t.Context(), &w, make([]byte, size), xfer.NewPace(rate).WithEnd(end), func() error { return nil })
	if err != nil || w.Len() != size {
		t.Fatalf("%d bytes written: %v", w.Len(), err)
	}
	if now := time.Now(); now.Before(end) || now.After(end.Add(500*time.Millisecond)) {
		t.Errorf("written after %v, want shortly after %v", now.Sub(began), end.Sub(began))
	}
}
