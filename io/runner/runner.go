// Package runner runs each call at most once. A repeat, which has the same call
// id, waits until the first run has ended and gets the recorded answer. A Table
// keeps the records; SyncTable does so with package dedup, under the id of the
// call as the key.
//
// # Usage
//
//	reply := runner.Run(ctx, table, call, func() call.Reply { … })
package runner

import (
	"context"
	"net/http"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
)

// Table records which calls have run. It is safe for concurrent use.
type Table interface {
	// Begin records the start of c if c may start. The verdict says whether it
	// may, and the answer is the recorded one for the verdict Replay.
	Begin(c call.Call) (dedup.Verdict, dedup.Answer)
	// Wait arranges for f to be called when the call with the given id has
	// ended. It reports false, and does not call f, if that call is not running.
	Wait(id string, f func()) bool
	// End records the reply to a call for which Begin returned Run.
	End(c call.Call, r call.Reply)
}

// Run runs c by calling work, if the table permits it. If c is already running, Run
// waits for it to end and returns its answer. Otherwise it returns the reply for
// the verdict of the table.
func Run(ctx context.Context, t Table, c call.Call, work func() call.Reply) call.Reply {
	for {
		v, a := t.Begin(c)
		switch v {
		case dedup.Run:
			r := work()
			t.End(c, r)
			return r
		case dedup.Join:
			if !waitForRun(ctx, t, c) {
				return call.Refuse(call.Unknown, call.CauseDeadline, 0)
			}
		default:
			return ReplyFor(v, a)
		}
	}
}

// waitForRun waits until the running call with the id of c has ended. It reports
// false if ctx or the deadline of c ended first.
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

// ReplyFor returns the reply for a verdict other than Run and Join.
func ReplyFor(v dedup.Verdict, a dedup.Answer) call.Reply {
	switch v {
	case dedup.Replay:
		h := http.Header(a.Header).Clone()
		if h == nil {
			h = http.Header{}
		}
		h.Set("Tanager-Replayed", "true")
		return call.Reply{Fate: call.Answered, Status: a.Status, Header: h, Body: a.Body, Replied: true}
	case dedup.Fenced:
		return call.Refuse(call.NotRun, call.CauseFenced, 0)
	case dedup.TooOld:
		return call.Refuse(call.Unknown, call.CauseKeyTooOld, 0)
	}
	return call.Refuse(call.Unknown, call.CauseAnswerLost, 0)
}
