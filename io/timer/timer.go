// Package timer provides a sleep that ends early when a context ends, repeated attempts, and
// timers that start stopped.
//
// # Usage
//
//	if !timer.Sleep(ctx, time.Second) {
//		return ctx.Err()
//	}
package timer

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx has ended. It returns false if ctx ended
// first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Retry calls try until it returns true. It waits for first after the first failure, and then
// for pauses that double up to last. It returns false if ctx ended first.
func Retry(ctx context.Context, first, last time.Duration, try func() bool) bool {
	for pause := first; !try(); pause = min(2*pause, last) {
		if !Sleep(ctx, pause) {
			return false
		}
	}
	return true
}

// NewStopped returns a timer that is not running. After a Reset it calls f in a goroutine of
// its own.
func NewStopped(f func()) *time.Timer {
	t := time.AfterFunc(time.Hour, f) // any time that can't pass before Stop
	t.Stop()
	return t
}
