package stop_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerchute/core/stop"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

// plan is a stop that begins at epoch.
var plan = stop.Plan{
	LastArrival: epoch.Add(2500 * time.Millisecond), LastStart: epoch.Add(3900 * time.Millisecond), End: epoch.Add(5100 * time.Millisecond),
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name               string
		at, deadline, long time.Duration // the first two since the stop began
		takes, starts      bool
	}{
		{"at the beginning", 0, 9 * time.Second, time.Second, true, true},
		{"ends before the stop", 4 * time.Second, 5 * time.Second, 3 * time.Second, true, true},
		{"too late for a caller", 2600 * time.Millisecond, 9 * time.Second, time.Second, false, true},
		{"too late for a start", 4 * time.Second, 9 * time.Second, 100 * time.Millisecond, false, false},
		{"long work, early", time.Second, 9 * time.Second, 3 * time.Second, true, true},
		{"long work, late", 2300 * time.Millisecond, 9 * time.Second, 3 * time.Second, false, false},
		{"work longer than the stop", 0, 9 * time.Second, 6 * time.Second, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			at, deadline := epoch.Add(c.at), epoch.Add(c.deadline)
			if got := plan.Takes(at, deadline, c.long); got != c.takes {
				t.Errorf("taken: %v, want %v", got, c.takes)
			}
			if got := plan.MayStart(at, deadline, c.long); got != c.starts {
				t.Errorf("started: %v, want %v", got, c.starts)
			}
			var running stop.Plan
			if !running.Takes(at, deadline, c.long) || !running.MayStart(at, deadline, c.long) {
				t.Error("a node that does not stop refuses the call")
			}
		})
	}
}

// TestNoCallOutlastsStop replays calls that come at any moment of a stop, of classes whose work
// lasts for up to 8 s. One that lasts no longer than the longest before it never is in progress
// at the end of the stop, unless its deadline comes first.
func TestNoCallOutlastsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d stop.Durations
		longest := time.Duration(rapid.IntRange(1, 8000).Draw(t, "longest, ms")) * time.Millisecond
		d.Observe(epoch.Add(-time.Duration(rapid.IntRange(0, 29).Draw(t, "age, s"))*time.Second), "a", longest)
		for range 20 {
			at := epoch.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "at, ms")) * time.Millisecond)
			deadline := at.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "time left, ms")) * time.Millisecond)
			took := time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "took"))
			end := at.Add(took)
			if plan.Takes(at, deadline, d.Longest(at, "a")) && end.After(plan.End) && deadline.After(plan.End) {
				t.Fatalf("a call that arrives at %v and ends at %v is taken", at.Sub(epoch), end.Sub(epoch))
			}
			if plan.MayStart(at, deadline, d.Longest(at, "a")) && end.After(plan.End) && deadline.After(plan.End) {
				t.Fatalf("a call is started at %v and ends at %v", at.Sub(epoch), end.Sub(epoch))
			}
		}
	})
}

// TestNoCallOfOtherNodeIsCut replays calls of other nodes whose work
// lasts for as long as their deadline permits, whatever was seen before.
func TestNoCallOfOtherNodeIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := epoch.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "at, ms")) * time.Millisecond)
		deadline := at.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "time left, ms")) * time.Millisecond)
		if plan.MayStartForOther(deadline) && deadline.After(plan.End) {
			t.Fatalf("a call that arrives at %v and may last until %v is started", at.Sub(epoch), deadline.Sub(epoch))
		}
		if !plan.MayStartForOther(deadline) && !deadline.After(plan.End) {
			t.Fatalf("a call that ends at %v is refused", deadline.Sub(epoch))
		}
	})
	var running stop.Plan
	if !running.MayStartForOther(epoch) {
		t.Error("a node that does not stop refuses the call")
	}
}

// TestLongestIsForgotten checks that one long call does not shorten all later stops.
func TestLongestIsForgotten(t *testing.T) {
	for after, want := range map[time.Duration]time.Duration{
		0: 3 * time.Second, 29 * time.Second: 3 * time.Second, 61 * time.Second: 0, time.Hour: 0,
	} {
		var d stop.Durations
		d.Observe(epoch, "a", 3*time.Second)
		d.Observe(epoch, "b", time.Second)
		if got := d.Longest(epoch.Add(after), "a"); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
}
