// Package keep runs work under the record of package once: at most one run for
// a key, and the same answer for all who ask for it.
//
// # Usage
//
//	reply := keep.Run(ctx, table, call, func() call.Reply { … })
package keep

import (
	"context"
	"net/http"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/once"
)

// Table is a record of work that is safe for concurrent use.
type Table interface {
	// Begin asks whether the work of c may start.
	Begin(c call.Call) (once.Verdict, once.Answer)
	// Wait calls f when the running work under id has ended, or reports false.
	Wait(id string, f func()) bool
	// End records what came of work that Begin let start.
	End(c call.Call, r call.Reply)
}

// Run runs work for c if the table lets it start. Otherwise it waits for the
// run that is under way and returns its answer, or refuses.
func Run(ctx context.Context, t Table, c call.Call, work func() call.Reply) call.Reply {
	for {
		v, a := t.Begin(c)
		switch v {
		case once.Run:
			r := work()
			t.End(c, r)
			return r
		case once.Join:
			if !waitForRun(ctx, t, c) {
				return call.Refuse(call.Unknown, call.CauseDeadline, 0)
			}
		default:
			return ReplyFor(v, a)
		}
	}
}

// join waits until the work under way has ended. It reports false if the
// deadline came first.
func waitForRun(ctx context.Context, t Table, c call.Call) bool {
	done := make(chan struct{})
	if !t.Wait(c.ID, func() { close(done) }) {
		return true
	}
	timer := time.NewTimer(time.Until(c.Deadline))
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// Reply returns the reply for a verdict other than Run and Join.
func ReplyFor(v once.Verdict, a once.Answer) call.Reply {
	switch v {
	case once.Replay:
		h := http.Header(a.Header).Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set("Tanager-Replayed", "true")
		return call.Reply{Fate: call.Answered, Status: a.Status, Header: h, Body: a.Body, Replied: true}
	case once.Fenced:
		return call.Refuse(call.NotRun, call.CauseFenced, 0)
	case once.TooOld:
		return call.Refuse(call.Unknown, call.CauseKeyTooOld, 0)
	}
	return call.Refuse(call.Unknown, call.CauseAnswerLost, 0)
}
