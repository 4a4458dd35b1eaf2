// Package timer provides a sleep that ends early when a context ends, and timers that start
// stopped.
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

// NewStopped returns a timer that is not running. After a Reset it calls f in a goroutine of
// its own.
func NewStopped(f func()) *time.Timer {
	t := time.AfterFunc(time.Hour, f) // any time that can't pass before Stop
	t.Stop()
	return t
}
