package proxy

import (
	"context"
	"time"

	"tanagerchute/core/call"
)

// outcome is how a request of a caller ended.
type outcome struct {
	reply    call.Reply
	summary  AttemptSummary
	rej      *rejection
	panicked any // value with which the work panicked, nil if it did not
}

// handleInTime handles a call and returns how it ended, at the latest overdueAfter after its
// deadline. All that a call waits for ends by the deadline by itself, and says then what is known
// of its fate. This holds also if one of these waits does not: the caller gets a reply, and what
// has not ended is left to itself, with its context canceled.
func (p *Proxy) handleInTime(ctx context.Context, c call.Call, begunAt time.Time) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan outcome, 1)
	go func() {
		var o outcome
		defer func() {
			o.panicked = recover()
			ended <- o
		}()
		o.reply, o.summary, o.rej = p.handleWithinQuota(ctx, c, begunAt)
	}()
	t := time.NewTimer(time.Until(c.Deadline) + overdueAfter)
	defer t.Stop()
	select {
	case o := <-ended:
		if o.panicked != nil {
			panic(o.panicked) // in the goroutine of the server, which ends the connection
		}
		return o
	case <-t.C:
		return outcome{reply: call.Refuse(call.Unknown, call.CauseDeadline, 0)}
	}
}
