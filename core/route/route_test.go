package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/route"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

func picker(seed uint64) *route.Picker {
	return route.New(route.DefaultConfig(rand.New(rand.NewPCG(seed, 1))))
}

func candidates(local, far int) []route.Candidate {
	var cs []route.Candidate
	for i := range local {
		cs = append(cs, route.Candidate{ID: fmt.Sprint("l", i), Slots: 12})
	}
	for i := range far {
		cs = append(cs, route.Candidate{ID: fmt.Sprint("f", i), Slots: 36, Remote: true})
	}
	return cs
}

// TestPick holds that a choice is always one of the candidates that were not
// tried, and that there is one as long as there is such a candidate.
func TestPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := picker(rapid.Uint64().Draw(t, "seed"))
		cs := candidates(rapid.IntRange(0, 5).Draw(t, "local"), rapid.IntRange(0, 3).Draw(t, "far"))
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			var tried []string
			for range rapid.IntRange(1, 4).Draw(t, "attempts") {
				c, _, ok := p.Pick(now, cs, route.Criteria{Exclude: tried})
				if ok != (len(tried) < len(cs)) {
					t.Fatalf("picked %v with %d of %d tried", ok, len(tried), len(cs))
				}
				if !ok {
					break
				}
				for _, id := range tried {
					if id == c.ID {
						t.Fatalf("%s was picked again", id)
					}
				}
				tried = append(tried, c.ID)
				p.Sent(now, c.ID)
				p.Done(now, c.ID, route.Outcome{
					Result: route.Result(rapid.IntRange(0, 3).Draw(t, "result")), Latency: time.Millisecond,
					Load: route.Load{InFlight: rapid.IntRange(0, 30).Draw(t, "in flight"), Limit: 12},
				})
			}
		}
	})
}

func TestEjectionAndReturn(t *testing.T) {
	is := is.New(t)
	p := picker(1)
	cs := candidates(3, 0)
	ejected := false
	for range 3 {
		p.Sent(epoch, "l0")
		ejected = p.Done(epoch, "l0", route.Outcome{Result: route.TransportError})
	}
	is.True(ejected)
	for range 100 {
		c, _, _ := p.Pick(epoch, cs, route.Criteria{})
		is.True(c.ID != "l0")
	}
	is.True(!p.Ejected(epoch.Add(2*time.Second), "l0")) // it gets another chance
	p.Sent(epoch, "l0")
	is.True(p.Done(epoch.Add(2*time.Second), "l0", route.Outcome{Result: route.TransportError}))
	is.True(p.Ejected(epoch.Add(3500*time.Millisecond), "l0")) // and is out for longer
}

func TestSpillsOnlyWhenFull(t *testing.T) {
	is := is.New(t)
	p := picker(2)
	cs := candidates(2, 1)
	report := func(id string, inFlight int) {
		p.Sent(epoch, id)
		p.Done(epoch, id, route.Outcome{Latency: time.Millisecond, Load: route.Load{InFlight: inFlight, Limit: 12}})
	}
	report("l0", 11)
	report("l1", 11)
	c, cause, _ := p.Pick(epoch, cs, route.Criteria{})
	is.True(!c.Remote)
	is.Equal(cause, route.CauseLocal)
	report("l0", 20)
	report("l1", 20)
	c, cause, _ = p.Pick(epoch, cs, route.Criteria{})
	is.True(c.Remote)
	is.Equal(cause, route.CauseLocalFull)
	c, cause, _ = p.Pick(epoch, candidates(0, 1), route.Criteria{})
	is.True(c.Remote)
	is.Equal(cause, route.CauseNoLocal)
}

// TestSlowStart gives a cold upstream a small share.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	p := picker(3)
	cs := candidates(4, 0)
	cs[0].WarmUntil = epoch.Add(5 * time.Second)
	for i := range cs {
		p.Sent(epoch, cs[i].ID)
		p.Done(epoch, cs[i].ID, route.Outcome{Latency: time.Millisecond, Load: route.Load{InFlight: 3, Limit: 12}})
	}
	cold := 0
	for range 1000 {
		if c, _, _ := p.Pick(epoch.Add(100*time.Millisecond), cs, route.Criteria{}); c.ID == "l0" {
			cold++
		}
	}
	is.True(cold < 50)
}

// TestRefusingUpstreamDrawsNoCalls holds that an upstream which refuses all it
// is sent, and so looks idle, is avoided while others take calls.
func TestRefusingUpstreamDrawsNoCalls(t *testing.T) {
	is := is.New(t)
	p := picker(4)
	cs := candidates(3, 0)
	refused := 0
	now := epoch
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		c, _, _ := p.Pick(now, cs, route.Criteria{})
		p.Sent(now, c.ID)
		o := route.Outcome{Latency: 5 * time.Millisecond, Load: route.Load{InFlight: 2, Limit: 12}}
		if c.ID == "l0" {
			refused++
			o = route.Outcome{Result: route.Refused, Load: route.Load{Limit: 1}}
		}
		p.Done(now, c.ID, o)
	}
	t.Logf("%d of 300 calls went to it", refused)
	is.True(refused <= 15) // the share of the retry budget
}

// TestStaysWhereItIsInTime holds that a call stays in its data centre while it
// is expected back in good time from there, however much faster another one is,
// and leaves when it is not.
func TestStaysWhereItIsInTime(t *testing.T) {
	is := is.New(t)
	p := picker(1)
	cs := candidates(1, 1)
	tell := func(id string, service time.Duration, queued int) {
		p.Sent(epoch, id)
		p.Done(epoch, id, route.Outcome{Result: route.Success, Load: route.Load{InFlight: 12, Queued: queued, Limit: 12, ServiceTime: service}})
	}
	ask := route.Criteria{Target: epoch.Add(600 * time.Millisecond)}
	tell("f0", 50*time.Millisecond, 0)
	tell("l0", 250*time.Millisecond, 0)
	c, _, _ := p.Pick(epoch, cs, ask)
	is.Equal(c.ID, "l0")
	tell("l0", 250*time.Millisecond, 24) // two rounds of calls wait
	c, _, _ = p.Pick(epoch, cs, ask)
	is.Equal(c.ID, "f0")
}

// TestFailingNearIsLeft holds that a call which would be in time in its own data
// centre does not stay at an upstream of which a tenth of the calls fail.
func TestFailingNearIsLeft(t *testing.T) {
	is := is.New(t)
	p := picker(5)
	cs := candidates(1, 1)
	tell := func(id string, r route.Result, service time.Duration) {
		p.Sent(epoch, id)
		p.Done(epoch, id, route.Outcome{Result: r, Load: route.Load{InFlight: 2, Limit: 12, ServiceTime: service}})
	}
	ask := route.Criteria{Target: epoch.Add(600 * time.Millisecond)}
	tell("l0", route.Success, 250*time.Millisecond)
	tell("f0", route.Success, 50*time.Millisecond)
	c, _, _ := p.Pick(epoch, cs, ask)
	is.Equal(c.ID, "l0")
	tell("l0", route.AmbiguousError, 250*time.Millisecond)
	tell("l0", route.AmbiguousError, 250*time.Millisecond)
	c, _, _ = p.Pick(epoch, cs, ask)
	is.Equal(c.ID, "f0")
	for range 20 {
		tell("l0", route.Success, 250*time.Millisecond)
	}
	c, _, _ = p.Pick(epoch, cs, ask)
	is.Equal(c.ID, "l0")
}

// TestHopeless holds that an upstream is hopeless from the third failure in a
// row on, of ones that it may not be to blame for as well, and until enough calls
// have gone well; refusals for load don't count.
func TestHopeless(t *testing.T) {
	is := is.New(t)
	p := picker(6)
	tell := func(r route.Result) {
		p.Sent(epoch, "l0")
		p.Done(epoch, "l0", route.Outcome{Result: r})
	}
	is.True(!p.AvoidResend("l0")) // nothing is known of it
	for range 10 {
		tell(route.Refused)
	}
	is.True(!p.AvoidResend("l0"))
	tell(route.AmbiguousError)
	tell(route.AmbiguousError)
	is.True(!p.AvoidResend("l0")) // 19 of 100
	tell(route.AmbiguousError)
	is.True(p.AvoidResend("l0")) // 27 of 100
	for range 3 {
		tell(route.Success)
	}
	is.True(!p.AvoidResend("l0"))
}
