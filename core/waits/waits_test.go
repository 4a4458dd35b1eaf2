package waits_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/waits"
)

const ms = time.Millisecond

// TestReturningCallers checks that a caller that was refused and returns is told from
// one that asks for the first time.
func TestReturningCallers(t *testing.T) {
	is := is.New(t)
	e := waits.New()
	now := time.Unix(1_800_000_000, 0)
	for i := range 100 {
		is.Equal(e.Observe(now, "lookup", time.Duration(2500-i*4)*ms), time.Duration(0)) // first requests
		now = now.Add(10 * ms)
	}
	is.Equal(e.Observe(now, "lookup", 1300*ms), 700*ms) // it had 2000 ms at least when it asked first
	is.Equal(e.Observe(now, "lookup", 2050*ms), time.Duration(0))
	is.Equal(e.Observe(now, "booking", 1800*ms), time.Duration(0)) // nothing is known of this route
}

// TestCallersThatDiffer checks that no estimate is made where callers wait for
// different times, which says nothing about requests before.
func TestCallersThatDiffer(t *testing.T) {
	is := is.New(t)
	e := waits.New()
	now := time.Unix(1_800_000_000, 0)
	for i := range 1000 {
		timeLeft := 500 * ms
		if i%20 == 0 {
			timeLeft = 10 * time.Second
		}
		waited := e.Observe(now, "lookup", timeLeft)
		is.True(i < 100 || waited == 0)
	}
}

// TestLongestIsForgotten checks that the estimate follows callers that begin to wait
// less long.
func TestLongestIsForgotten(t *testing.T) {
	is := is.New(t)
	e := waits.New()
	now := time.Unix(1_800_000_000, 0)
	for range 100 {
		e.Observe(now, "lookup", 4000*ms)
	}
	is.Equal(e.Observe(now, "lookup", 2000*ms), 1200*ms)
	for range 200 {
		now = now.Add(500 * ms)
		e.Observe(now, "lookup", 2000*ms)
	}
	is.Equal(e.Observe(now, "lookup", 2000*ms), time.Duration(0))
}
