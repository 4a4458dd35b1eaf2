package nested_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/nested"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestWaitPerDepth handles two calls of one trace at one server, the second of
// them nested below the first. It checks that the time each call waits for its
// nested calls is kept apart.
func TestWaitPerDepth(t *testing.T) {
	is := is.New(t)
	tracker := nested.New()
	tracker.Start("chain", 2, at(5000))
	tracker.StartNested(at(10), "chain", 2)
	tracker.Start("chain", 5, at(4000))
	tracker.StartNested(at(50), "chain", 5)
	tracker.StartNested(at(60), "chain", 5) // overlapping nested calls count once
	is.Equal(tracker.Waiting(), 2)
	deadline, ok := tracker.Deadline("chain")
	is.True(ok)
	is.Equal(deadline, at(5000))
	tracker.EndNested(at(70), "chain", 5, false)
	tracker.EndNested(at(100), "chain", 5, false)
	is.Equal(tracker.End(at(110), "chain", 5), nested.Result{Waited: 50 * time.Millisecond})
	tracker.EndNested(at(200), "chain", 2, true)
	is.Equal(tracker.End(at(205), "chain", 2), nested.Result{Failed: true, Waited: 190 * time.Millisecond})
	_, ok = tracker.Deadline("chain")
	is.True(!ok) // the tracker has dropped the trace
	is.Equal(tracker.Waiting(), 0)
}

// TestIgnoresStrayNestedCalls checks that nested calls of unknown traces, and the
// ends of nested calls whose parent has already ended, change nothing.
func TestIgnoresStrayNestedCalls(t *testing.T) {
	is := is.New(t)
	tracker := nested.New()
	tracker.StartNested(at(0), "none", 0)
	tracker.EndNested(at(1), "none", 0, true)
	is.Equal(tracker.End(at(2), "none", 0), nested.Result{})
	tracker.Start("a", 0, at(100))
	tracker.StartNested(at(10), "a", 0)
	is.Equal(tracker.End(at(30), "a", 0), nested.Result{Waited: 20 * time.Millisecond}) // it ended before its nested call
	tracker.Start("a", 0, at(100))
	tracker.EndNested(at(40), "a", 0, false)
	is.Equal(tracker.End(at(50), "a", 0), nested.Result{})
	is.Equal(tracker.Waiting(), 0)
}
