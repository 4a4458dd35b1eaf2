package acks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acks"
)

// TestTimeoutFollowsSlowNode guards against a fixed timeout, which takes every
// call to a node that acknowledges late for lost.
func TestTimeoutFollowsSlowNode(t *testing.T) {
	is := is.New(t)
	var e acks.Estimator
	is.Equal(e.Timeout(), acks.MinTimeout)
	for range 20 {
		e.Observe(5 * time.Millisecond)
	}
	is.Equal(e.Timeout(), acks.MinTimeout) // a fast node does not shorten it
	late := 450 * time.Millisecond
	for range 3 {
		e.Observe(late)
	}
	is.True(e.Timeout() > late)
	for range 60 {
		e.Observe(5 * time.Millisecond)
	}
	is.Equal(e.Timeout(), acks.MinTimeout) // it recovers with the node
	for range 10 {
		e.Observe(time.Minute)
	}
	is.Equal(e.Timeout(), acks.MaxTimeout)
}

// TestWait checks when an acknowledgement is overdue. It guards against silence that is
// found by a process which did not run itself.
func TestWait(t *testing.T) {
	const due = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	type step struct {
		at      time.Duration // since start
		overdue bool
		next    time.Duration // since start, if not overdue
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"checked in time", []step{{at: due, overdue: true}}},
		{"checked early", []step{{at: due - 1, next: due}, {at: due, overdue: true}}},
		{"checked a little late", []step{{at: due + 30*time.Millisecond, overdue: true}}},
		{"the process did not run", []step{
			{at: due + 31*time.Millisecond, next: due + 131*time.Millisecond},
			{at: due + 130*time.Millisecond, next: due + 131*time.Millisecond},
			{at: due + 131*time.Millisecond, overdue: true},
		}},
		{"it did not run twice", []step{{at: time.Hour, next: time.Hour + 100*time.Millisecond}, {at: 2 * time.Hour, overdue: true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := acks.NewWait(start.Add(due))
			for _, s := range c.steps {
				overdue, next := w.Check(start.Add(s.at))
				is.Equal(overdue, s.overdue)
				if !overdue {
					is.Equal(next, start.Add(s.next))
				}
			}
		})
	}
}
