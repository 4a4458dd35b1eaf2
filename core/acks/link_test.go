package acks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/acks"
)

// TestLinkSilence checks when a link counts as silent.
func TestLinkSilence(t *testing.T) {
	const limit = acks.PingAfterIdle + acks.PingTimeout
	start := time.Unix(1000, 0)
	type step struct {
		at     time.Duration // since start
		do     func(*acks.Link, time.Time)
		check  bool
		silent bool
	}
	heard := func(l *acks.Link, at time.Time) { l.Heard(at) }
	closed := func(l *acks.Link, _ time.Time) { l.Closed() }
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"no data, found by two checks", []step{
			{at: limit - 1, check: true}, {at: limit, check: true}, {at: limit + 50*time.Millisecond, check: true},
			{at: limit + 100*time.Millisecond, check: true, silent: true}, {at: limit + time.Minute, check: true, silent: true},
		}},
		{"data between the checks", []step{
			{at: limit, check: true}, {at: limit + time.Millisecond, do: heard}, {at: limit + 100*time.Millisecond, check: true},
			{at: 2*limit + 2*time.Millisecond, check: true}, {at: 2*limit + 102*time.Millisecond, check: true, silent: true},
		}},
		{"data after silence", []step{
			{at: limit, check: true}, {at: limit + 100*time.Millisecond, check: true, silent: true},
			{at: limit + time.Second, do: heard}, {at: limit + time.Second, check: true},
		}},
		{"the process itself did not run", []step{
			{at: time.Hour, check: true}, {at: time.Hour + time.Millisecond, do: heard}, {at: time.Hour + 100*time.Millisecond, check: true},
		}},
		{"no connection is open", []step{
			{at: time.Second, do: closed}, {at: time.Hour, check: true}, {at: 2 * time.Hour, check: true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l acks.Link
			l.Opened(start)
			for _, s := range c.steps {
				at := start.Add(s.at)
				if s.do != nil {
					s.do(&l, at)
				}
				if !s.check {
					continue
				}
				silent, next := l.Check(at)
				is.Equal(silent, s.silent)
				is.True(next.After(at))
			}
		})
	}
}
