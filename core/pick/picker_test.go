package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/pick"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

func newPicker(seed uint64) *pick.Picker {
	return pick.New(pick.DefaultConfig(rand.New(rand.NewPCG(seed, 1))))
}

func candidates(local, remote int) []pick.Candidate {
	var cs []pick.Candidate
	for i := range local {
		cs = append(cs, pick.Candidate{ID: fmt.Sprint("l", i), Slots: 12})
	}
	for i := range remote {
		cs = append(cs, pick.Candidate{ID: fmt.Sprint("f", i), Slots: 36, Remote: true})
	}
	return cs
}

// TestPick checks that Pick never returns an excluded candidate, and that it
// returns one as long as any candidate is left.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPicker(rapid.Uint64().Draw(t, "seed"))
		cs := candidates(rapid.IntRange(0, 5).Draw(t, "local"), rapid.IntRange(0, 3).Draw(t, "remote"))
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			var tried []string
			for range rapid.IntRange(1, 4).Draw(t, "attempts") {
				c, _, ok := p.Pick(now, cs, pick.Criteria{Exclude: tried})
				if ok != (len(tried) < len(cs)) {
					t.Fatalf("Pick returned ok = %v with %d of %d candidates excluded", ok, len(tried), len(cs))
				}
				if !ok {
					break
				}
				for _, id := range tried {
					if id == c.ID {
						t.Fatalf("excluded candidate %s was picked", id)
					}
				}
				tried = append(tried, c.ID)
				p.Sent(now, c.ID)
				p.Done(now, c.ID, pick.Outcome{
					Result: pick.Result(rapid.IntRange(0, 3).Draw(t, "result")), Latency: time.Millisecond,
					Load: pick.Load{InFlight: rapid.IntRange(0, 30).Draw(t, "in flight"), Limit: 12},
				})
			}
		}
	})
}

// TestEjectionPeriodDoubles checks that three failures in a row eject a
// candidate, and that a failure after its return ejects it for longer.
func TestEjectionPeriodDoubles(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	cs := candidates(3, 0)
	ejected := false
	for range 3 {
		p.Sent(epoch, "l0")
		ejected = p.Done(epoch, "l0", pick.Outcome{Result: pick.TransportError})
	}
	is.True(ejected)
	for range 100 {
		c, _, _ := p.Pick(epoch, cs, pick.Criteria{})
		is.True(c.ID != "l0")
	}
	is.True(!p.Ejected(epoch.Add(2*time.Second), "l0")) // the first ejection has ended
	p.Sent(epoch, "l0")
	is.True(p.Done(epoch.Add(2*time.Second), "l0", pick.Outcome{Result: pick.TransportError}))
	is.True(p.Ejected(epoch.Add(3500*time.Millisecond), "l0")) // the second one is twice as long
}

// TestLinkSilence checks how often silence counts towards ejection. It guards against
// ejecting a candidate for one silence of a link on which several calls were in flight.
func TestLinkSilence(t *testing.T) {
	const acknowledgement = -1 // in place of the time of the last data
	second := func(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }
	type signal struct{ at, heardAt int } // seconds after epoch
	for _, c := range []struct {
		name    string
		signals []signal
		ejected bool
	}{
		{"three acknowledgements missing", []signal{{1, acknowledgement}, {1, acknowledgement}, {1, acknowledgement}}, true},
		{"one link, many calls", []signal{{2, 0}, {2, 0}, {2, 0}, {3, 0}, {3, 0}}, false},
		{"two links at the same time", []signal{{2, 0}, {2, 0}, {3, 1}, {3, 1}}, false},
		{"acknowledgements missing on the link before", []signal{{1, acknowledgement}, {1, acknowledgement}, {2, 0}}, false},
		{"silent once more each time", []signal{{2, 0}, {5, 3}, {8, 6}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPicker(1)
			p.Sent(epoch, "l0")
			for _, s := range c.signals {
				if s.heardAt == acknowledgement {
					p.Silent(second(s.at), "l0")
				} else {
					p.LinkSilent(second(s.at), "l0", second(s.heardAt))
				}
			}
			is.Equal(p.Ejected(second(c.signals[len(c.signals)-1].at), "l0"), c.ejected)
		})
	}
}

// TestRemoteOnlyWhenLocalFull checks that calls go to another data centre only
// if the local upstreams have no free slot, or if there are none.
func TestRemoteOnlyWhenLocalFull(t *testing.T) {
	is := is.New(t)
	p := newPicker(2)
	cs := candidates(2, 1)
	report := func(id string, inFlight int) {
		p.Sent(epoch, id)
		p.Done(epoch, id, pick.Outcome{Latency: time.Millisecond, Load: pick.Load{InFlight: inFlight, Limit: 12}})
	}
	report("l0", 11)
	report("l1", 11)
	c, cause, _ := p.Pick(epoch, cs, pick.Criteria{})
	is.True(!c.Remote)
	is.Equal(cause, pick.CauseLocal)
	report("l0", 20)
	report("l1", 20)
	c, cause, _ = p.Pick(epoch, cs, pick.Criteria{})
	is.True(c.Remote)
	is.Equal(cause, pick.CauseLocalFull)
	c, cause, _ = p.Pick(epoch, candidates(0, 1), pick.Criteria{})
	is.True(c.Remote)
	is.Equal(cause, pick.CauseNoLocal)
}

// TestSlowStart checks that an upstream in slow start gets few calls while the
// others have free slots.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	p := newPicker(3)
	cs := candidates(4, 0)
	cs[0].WarmupEnd = epoch.Add(5 * time.Second)
	for i := range cs {
		p.Sent(epoch, cs[i].ID)
		p.Done(epoch, cs[i].ID, pick.Outcome{Latency: time.Millisecond, Load: pick.Load{InFlight: 3, Limit: 12}})
	}
	picked := 0
	for range 1000 {
		if c, _, _ := p.Pick(epoch.Add(100*time.Millisecond), cs, pick.Criteria{}); c.ID == "l0" {
			picked++
		}
	}
	is.True(picked < 50)
}

// TestAvoidsRefusingUpstream checks that an upstream which refuses all calls
// gets few of them while others accept calls. It reports a low load, which would
// otherwise make it the cheapest candidate.
func TestAvoidsRefusingUpstream(t *testing.T) {
	is := is.New(t)
	p := newPicker(4)
	cs := candidates(3, 0)
	refused := 0
	now := epoch
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		c, _, _ := p.Pick(now, cs, pick.Criteria{})
		p.Sent(now, c.ID)
		o := pick.Outcome{Latency: 5 * time.Millisecond, Load: pick.Load{InFlight: 2, Limit: 12}}
		if c.ID == "l0" {
			refused++
			o = pick.Outcome{Result: pick.Refused, Load: pick.Load{Limit: 1}}
		}
		p.Done(now, c.ID, o)
	}
	t.Logf("%d of 300 calls were sent to the refusing upstream", refused)
	is.True(refused <= 15) // the share of the retry budget
}

// TestLimitedUpstreamIsUsedAfterSlowCalls guards against an upstream with a rate limit that gets
// no more calls since its first ones were slow. It gets no more than it takes either.
func TestLimitedUpstreamIsUsedAfterSlowCalls(t *testing.T) {
	is := is.New(t)
	const (
		rate     = 2 // calls a second
		duration = 20 * time.Second
		interval = 30 * time.Millisecond // between calls
	)
	p := newPicker(1)
	cs := candidates(3, 0)
	serviceTime := 200 * time.Millisecond // of the limited one
	calls := 0
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(interval) {
		c, _, _ := p.Pick(now, cs, pick.Criteria{})
		p.Sent(now, c.ID)
		load := pick.Load{Limit: 12, ServiceTime: 10 * time.Millisecond}
		if c.ID == "l0" {
			calls++
			load.ServiceTime, load.RateLimit, load.QuotaWait = serviceTime, rate, time.Second/rate
		}
		p.Done(now, c.ID, pick.Outcome{Result: pick.Success, Latency: load.ServiceTime, Load: load})
	}
	is.True(calls >= 5)
	is.True(calls <= rate*int(duration.Seconds())+1)
}

// TestPrefersLocalWithinTarget checks that a call stays in its data centre while
// a local upstream is expected to answer well before the target, however much
// faster a remote one is, and is sent to the remote one otherwise.
func TestPrefersLocalWithinTarget(t *testing.T) {
	is := is.New(t)
	p := newPicker(1)
	cs := candidates(1, 1)
	report := func(id string, service time.Duration, queued int) {
		p.Sent(epoch, id)
		p.Done(epoch, id, pick.Outcome{Result: pick.Success, Load: pick.Load{InFlight: 12, Queued: queued, Limit: 12, ServiceTime: service}})
	}
	criteria := pick.Criteria{Target: epoch.Add(600 * time.Millisecond)}
	report("f0", 50*time.Millisecond, 0)
	report("l0", 250*time.Millisecond, 0)
	c, _, _ := p.Pick(epoch, cs, criteria)
	is.Equal(c.ID, "l0")
	report("l0", 250*time.Millisecond, 24) // the queue holds two calls for each slot
	c, _, _ = p.Pick(epoch, cs, criteria)
	is.Equal(c.ID, "f0")
}

// TestLeavesFailingLocalUpstream checks that a local upstream at which a tenth
// of the calls fail is not preferred, even if it would answer before the target.
func TestLeavesFailingLocalUpstream(t *testing.T) {
	is := is.New(t)
	p := newPicker(5)
	cs := candidates(1, 1)
	report := func(id string, r pick.Result, service time.Duration) {
		p.Sent(epoch, id)
		p.Done(epoch, id, pick.Outcome{Result: r, Load: pick.Load{InFlight: 2, Limit: 12, ServiceTime: service}})
	}
	criteria := pick.Criteria{Target: epoch.Add(600 * time.Millisecond)}
	report("l0", pick.Success, 250*time.Millisecond)
	report("f0", pick.Success, 50*time.Millisecond)
	c, _, _ := p.Pick(epoch, cs, criteria)
	is.Equal(c.ID, "l0")
	report("l0", pick.AmbiguousError, 250*time.Millisecond)
	report("l0", pick.AmbiguousError, 250*time.Millisecond)
	c, _, _ = p.Pick(epoch, cs, criteria)
	is.Equal(c.ID, "f0")
	for range 20 {
		report("l0", pick.Success, 250*time.Millisecond)
	}
	c, _, _ = p.Pick(epoch, cs, criteria)
	is.Equal(c.ID, "l0")
}

// TestAvoidResend checks that an upstream gets no resends after three failures in
// a row, ambiguous ones included, until enough calls have succeeded. Refusals for
// load don't count as failures.
func TestAvoidResend(t *testing.T) {
	is := is.New(t)
	p := newPicker(6)
	report := func(r pick.Result) {
		p.Sent(epoch, "l0")
		p.Done(epoch, "l0", pick.Outcome{Result: r})
	}
	is.True(!p.AvoidResend("l0")) // no statistics yet
	for range 10 {
		report(pick.Refused)
	}
	is.True(!p.AvoidResend("l0"))
	report(pick.AmbiguousError)
	report(pick.AmbiguousError)
	is.True(!p.AvoidResend("l0")) // failure rate 0.19
	report(pick.AmbiguousError)
	is.True(p.AvoidResend("l0")) // failure rate 0.27
	for range 3 {
		report(pick.Success)
	}
	is.True(!p.AvoidResend("l0"))
}
