// Package timer provides a sleep that ends early when a context ends.
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
