package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/quota"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestTakesStayWithinLimit checks, over random answers in any order, that the requests
// of any 4 s stay below one and a half times the highest limit in force in that time.
func TestTakesStayWithinLimit(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var l quota.Limiter
		now := epoch
		highest := rapid.Float64Range(0.01, 40).Draw(t, "highest")
		l.Observe(quota.Answer{SentAt: now, ReceivedAt: now, Limited: true, Rate: highest})
		var taken []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				age := time.Duration(rapid.IntRange(0, 800).Draw(t, "age")) * time.Millisecond
				l.Observe(quota.Answer{SentAt: now.Add(-age), ReceivedAt: now, Limited: true, Rate: highest * rapid.Float64Range(0, 1).Draw(t, "share")})
			case 1:
				// An answer to a request from before the limit was named.
				l.Observe(quota.Answer{SentAt: epoch.Add(-time.Second), ReceivedAt: now})
			default:
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					if l.Take(now) {
						taken = append(taken, now)
					}
				}
			}
		}
		for i, start := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(start) < window {
					n++
				}
			}
			if allowed := 1.5*highest*window.Seconds() + 5; float64(n) > allowed {
				t.Fatalf("%d requests in %v under a limit of %v a second", n, window, highest)
			}
		}
	})
}

// TestObserve checks which answers change the limit.
func TestObserve(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	named := func(sent, received int, rate float64) quota.Answer {
		return quota.Answer{SentAt: at(sent), ReceivedAt: at(received), Limited: true, Rate: rate}
	}
	none := func(sent, received int) quota.Answer { return quota.Answer{SentAt: at(sent), ReceivedAt: at(received)} }
	for _, c := range []struct {
		name    string
		answers []quota.Answer
		rate    float64 // 0 for no limit
	}{
		{"never named", []quota.Answer{none(0, 10)}, 0},
		{"named", []quota.Answer{none(0, 10), named(0, 20, 5)}, 5},
		{"lowered by an earlier request", []quota.Answer{named(10, 20, 5), named(0, 30, 2)}, 2},
		{"raised by an earlier request", []quota.Answer{named(10, 20, 5), named(0, 30, 9)}, 5},
		{"raised by a later request", []quota.Answer{named(10, 20, 5), named(25, 30, 9)}, 9},
		{"ended by an earlier request", []quota.Answer{named(10, 20, 5), none(15, 30)}, 5},
		{"ended by a later request", []quota.Answer{named(10, 20, 5), none(25, 30)}, 0},
		{"named again in between", []quota.Answer{named(10, 20, 5), named(10, 40, 5), none(25, 50)}, 5},
		{"named again after its end", []quota.Answer{named(10, 20, 5), none(25, 30), named(25, 40, 3)}, 3},
		{"zero", []quota.Answer{named(0, 10, 0)}, 0.2},
		{"huge", []quota.Answer{named(0, 10, 1e300)}, 1e300},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l quota.Limiter
			for _, a := range c.answers {
				l.Observe(a)
			}
			rate, limited := l.Rate()
			is.Equal(limited, c.rate > 0)
			is.Equal(rate, c.rate)
			is.Equal(l.Wait(at(1e6), 0), time.Duration(0)) // a turn comes in each case
		})
	}
}

// TestAdopt checks that a limit that other nodes remember applies only until the
// server itself has answered.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	var l quota.Limiter
	is.True(l.Adopt(epoch, 5, epoch.Add(-time.Second)))
	is.True(!l.Take(epoch)) // what was sent before the restart is not known
	is.True(!l.Adopt(epoch, 9, epoch.Add(-2*time.Second)))
	is.True(l.Adopt(epoch, 9, epoch.Add(-time.Millisecond)))
	l.Observe(quota.Answer{SentAt: epoch, ReceivedAt: epoch.Add(time.Second)})
	is.True(!l.Adopt(epoch.Add(2*time.Second), 5, epoch.Add(1500*time.Millisecond)))
	_, limited := l.Rate()
	is.True(!limited)
}
