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

// TestRefusedCallersAreRecognised checks that the request of a caller that was told to come back
// is told from others: by the moment up to which it waits, and not before the time it was told.
func TestRefusedCallersAreRecognised(t *testing.T) {
	asked := time.Unix(1_800_000_000, 0)
	const waits2s, retryAfter = 2000 * ms, 200 * ms
	for _, tc := range []struct {
		name     string
		after    time.Duration // from the refusal to the next request
		timeLeft time.Duration // of that request
		route    string
		waited   time.Duration
	}{
		{"returns when told", 203 * ms, waits2s - 203*ms, "lookup", 203 * ms},
		{"a connection later", 230 * ms, waits2s - 224*ms, "lookup", 230 * ms},
		{"before it was told", 150 * ms, waits2s - 150*ms, "lookup", 0},
		{"much later", 400 * ms, waits2s - 400*ms, "lookup", 0},
		{"another caller", 203 * ms, waits2s, "lookup", 0},
		{"another route", 203 * ms, waits2s - 203*ms, "booking", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			e := waits.New()
			is.Equal(e.Observe(asked, "lookup", waits2s), time.Duration(0))
			e.Refused(asked, waits.Refusal{Route: "lookup", Deadline: asked.Add(waits2s), AskedAt: asked, ReturnAt: asked.Add(retryAfter)})
			now := asked.Add(tc.after)
			is.Equal(e.Observe(now, tc.route, tc.timeLeft), tc.waited)
			is.Equal(e.Observe(now, tc.route, tc.timeLeft), time.Duration(0)) // once only
		})
	}
}
