package resend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/call"
	"tanagerchute/core/resend"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

func answered(status int) call.Reply {
	return call.Reply{Fate: call.Answered, Status: status, Replied: true}
}

func shed() call.Reply {
	r := call.Refuse(call.NotRun, call.CauseUpstreamShed, 0)
	r.Shed = true
	return r
}

// TestNext checks after which replies a call is resent, for idempotent calls and
// for others, and that no call is resent without time left.
func TestNext(t *testing.T) {
	lost := call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0)
	for _, c := range []struct {
		name                      string
		reply                     call.Reply
		idempotent, notIdempotent bool // whether it is resent
	}{
		{"answered", answered(200), false, false},
		{"refused request", answered(404), false, false},
		{"failed", answered(500), true, false},
		{"lost", lost, true, false},
		{"late", call.Refuse(call.Unknown, call.CauseDeadline, 0), false, false},
		{"shed by the server", shed(), true, true},
		{"full gatekeeper", call.Refuse(call.NotRun, "overload", 0), true, true},
		{"draining", call.Refuse(call.NotRun, call.CauseDraining, 0), true, true},
		{"unreachable", call.Refuse(call.NotRun, call.CauseUnreachable, 0), true, true},
		{"fenced", call.Refuse(call.NotRun, call.CauseFenced, 0), true, true},
	} {
		for _, idempotent := range []bool{true, false} {
			want := c.notIdempotent
			if idempotent {
				want = c.idempotent
			}
			tracker := resend.New(resend.Config{Idempotent: idempotent, MaxUpstreams: 2, Deadline: epoch.Add(time.Second), Spend: func() bool { return true }})
			if got := tracker.Next(epoch, c.reply); got != want {
				t.Errorf("%s, idempotent %v: resent %v, want %v", c.name, idempotent, got, want)
			}
			late := resend.New(resend.Config{Idempotent: idempotent, MaxUpstreams: 2, Deadline: epoch.Add(time.Millisecond), Spend: func() bool { return true }})
			if late.Next(epoch, c.reply) {
				t.Errorf("%s, idempotent %v: resent without time left", c.name, idempotent)
			}
		}
	}
}

// TestFinalReply checks, over random sequences of replies, that the caller is told
// that a call has not run only if no attempt may have run it, and that it gets
// the answer of a backend server if there is one. A call that is not
// idempotent is not resent after it may have run, and no more backend servers
// receive a call than allowed. Spend runs out after a random number of resends.
func TestFinalReply(t *testing.T) {
	replies := []call.Reply{
		answered(200), answered(500), answered(504), shed(),
		call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0), call.Refuse(call.Unknown, call.CauseDeadline, 0),
		call.Refuse(call.NotRun, "overload", 0), call.Refuse(call.NotRun, call.CauseDraining, 0),
		call.Refuse(call.NotRun, call.CauseUnreachable, 0), call.Refuse(call.NotRun, call.CauseMoved, 0),
	}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		maxUpstreams := rapid.IntRange(1, 3).Draw(t, "maxUpstreams")
		tokens := rapid.IntRange(0, 3).Draw(t, "tokens")
		spent := 0
		c := resend.New(resend.Config{Idempotent: idempotent, MaxUpstreams: maxUpstreams, Deadline: epoch.Add(time.Second), Spend: func() bool {
			if spent == tokens {
				return false
			}
			spent++
			return true
		}})
		mayHaveRun, arrived, answers := false, 0, 0
		for {
			if mayHaveRun && !idempotent {
				t.Fatal("a call that is not idempotent was resent after it may have run")
			}
			r := replies[rapid.IntRange(0, len(replies)-1).Draw(t, "reply")]
			if r.MayHaveArrived() {
				arrived++
			}
			mayHaveRun = mayHaveRun || r.Fate != call.NotRun
			if r.Fate == call.Answered {
				answers++
			}
			if !c.Next(epoch, r) {
				break
			}
		}
		final := c.Final()
		if final.Fate == call.NotRun && mayHaveRun {
			t.Fatal("the caller is told that the call has not run, but it may have run")
		}
		if answers > 0 && final.Fate != call.Answered {
			t.Fatal("the caller did not get the answer of a backend server")
		}
		if arrived > maxUpstreams {
			t.Fatalf("%d backend servers received the call, %d are allowed", arrived, maxUpstreams)
		}
	})
}

// TestFinalRetryAfter checks that the caller of a refused call is told the time of the
// upstream that expects to have room first, whichever refused last.
func TestFinalRetryAfter(t *testing.T) {
	is := is.New(t)
	c := resend.New(resend.Config{MaxUpstreams: 2, Deadline: epoch.Add(time.Second)})
	for _, retryAfter := range []time.Duration{700 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second} {
		c.Next(epoch, call.Refuse(call.NotRun, "overload", retryAfter))
	}
	is.Equal(c.Final().RetryAfter, 300*time.Millisecond)
}
