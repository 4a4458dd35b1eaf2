// Package timer waits.
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

// Sleep waits for d and reports whether it was not cut short by the end of
// ctx.
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
