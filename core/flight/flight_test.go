package flight_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/flight"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestWaits serves two calls of one chain at one server, the second of them
// below the first, and holds that each is told the time for which it waited.
func TestWaits(t *testing.T) {
	is := is.New(t)
	f := flight.New()
	f.Start("chain", 2, at(5000))
	f.StartNested(at(10), "chain", 2)
	f.Start("chain", 5, at(4000))
	f.StartNested(at(50), "chain", 5)
	f.StartNested(at(60), "chain", 5) // two at once count once
	is.Equal(f.Waiting(), 2)
	deadline, ok := f.Deadline("chain")
	is.True(ok)
	is.Equal(deadline, at(5000))
	f.EndNested(at(70), "chain", 5, false)
	f.EndNested(at(100), "chain", 5, false)
	is.Equal(f.End(at(110), "chain", 5), flight.NestedResult{Waited: 50 * time.Millisecond})
	f.EndNested(at(200), "chain", 2, true)
	is.Equal(f.End(at(205), "chain", 2), flight.NestedResult{Failed: true, Waited: 190 * time.Millisecond})
	_, ok = f.Deadline("chain")
	is.True(!ok) // nothing is left of it
	is.Equal(f.Waiting(), 0)
}

// TestStrays holds that calls of unknown traces and answers that come when the
// call above has ended change nothing.
func TestStrays(t *testing.T) {
	is := is.New(t)
	f := flight.New()
	f.StartNested(at(0), "none", 0)
	f.EndNested(at(1), "none", 0, true)
	is.Equal(f.End(at(2), "none", 0), flight.NestedResult{})
	f.Start("a", 0, at(100))
	f.StartNested(at(10), "a", 0)
	is.Equal(f.End(at(30), "a", 0), flight.NestedResult{Waited: 20 * time.Millisecond}) // it did not wait for its call
	f.Start("a", 0, at(100))
	f.EndNested(at(40), "a", 0, false)
	is.Equal(f.End(at(50), "a", 0), flight.NestedResult{})
	is.Equal(f.Waiting(), 0)
}
