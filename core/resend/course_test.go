package resend_test

import (
	"testing"
	"time"

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

// TestNext holds for each kind of call after which replies it is sent again.
func TestNext(t *testing.T) {
	lost := call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0)
	for _, c := range []struct {
		name         string
		reply        call.Reply
		safe, unsafe bool // whether it is sent again
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
		for _, safe := range []bool{true, false} {
			want := c.unsafe
			if safe {
				want = c.safe
			}
			course := resend.New(resend.Config{Idempotent: safe, MaxUpstreams: 2, Deadline: epoch.Add(time.Second), Spend: func() bool { return true }})
			if got := course.Next(epoch, c.reply); got != want {
				t.Errorf("%s, safe %v: sent again %v, want %v", c.name, safe, got, want)
			}
			late := resend.New(resend.Config{Idempotent: safe, MaxUpstreams: 2, Deadline: epoch.Add(time.Millisecond), Spend: func() bool { return true }})
			if late.Next(epoch, c.reply) {
				t.Errorf("%s, safe %v: sent again without time left", c.name, safe)
			}
		}
	}
}

// TestFinalIsTrue goes through any replies and holds that the caller is told
// that a call has not run only if no attempt may have run it, that an unsafe
// call is not sent on after it may have run, that no more backend servers are
// reached than allowed, and that the budget covers each resend.
func TestFinalIsTrue(t *testing.T) {
	replies := []call.Reply{
		answered(200), answered(500), answered(504), shed(),
		call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0), call.Refuse(call.Unknown, call.CauseDeadline, 0),
		call.Refuse(call.NotRun, "overload", 0), call.Refuse(call.NotRun, call.CauseDraining, 0),
		call.Refuse(call.NotRun, call.CauseUnreachable, 0), call.Refuse(call.NotRun, call.CauseMoved, 0),
	}
	rapid.Check(t, func(t *rapid.T) {
		safe := rapid.Bool().Draw(t, "safe")
		most := rapid.IntRange(1, 3).Draw(t, "most")
		tokens := rapid.IntRange(0, 3).Draw(t, "tokens")
		spent := 0
		c := resend.New(resend.Config{Idempotent: safe, MaxUpstreams: most, Deadline: epoch.Add(time.Second), Spend: func() bool {
			if spent == tokens {
				return false
			}
			spent++
			return true
		}})
		ran, arrived, answers := false, 0, 0
		for {
			if ran && !safe {
				t.Fatal("an unsafe call was sent on after it may have run")
			}
			r := replies[rapid.IntRange(0, len(replies)-1).Draw(t, "reply")]
			if r.MayHaveArrived() {
				arrived++
			}
			ran = ran || r.Fate != call.NotRun
			if r.Fate == call.Answered {
				answers++
			}
			if !c.Next(epoch, r) {
				break
			}
		}
		final := c.Final()
		if final.Fate == call.NotRun && ran {
			t.Fatal("the caller is told that a call has not run which may have run")
		}
		if answers > 0 && final.Fate != call.Answered {
			t.Fatal("the answer of a backend server was kept from the caller")
		}
		if arrived > most {
			t.Fatalf("%d backend servers were reached, %d are allowed", arrived, most)
		}
	})
}
