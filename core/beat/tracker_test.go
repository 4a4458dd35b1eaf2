package beat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/beat"
	_ "tanagerchute/internal/seed"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// TestLateHeartbeatAfterLeave guards against a stopped server becoming ready
// again. A restarted node first receives the leave request of a server, then a
// late heartbeat of it, which must be stale. The next incarnation of the server
// must be accepted.
func TestLateHeartbeatAfterLeave(t *testing.T) {
	var tr beat.Tracker
	tr.ObserveLeave(epoch, "a", 0)
	late := beat.Heartbeat{ID: "a", StartMs: epoch.UnixMilli() - 20_000, Sequence: 9}
	if v := tr.Observe(epoch.Add(2*time.Second), late); v != beat.Stale {
		t.Fatalf("late heartbeat: verdict is %v", v)
	}
	next := beat.Heartbeat{ID: "a", StartMs: epoch.UnixMilli() + 500, Sequence: 1}
	if v := tr.Observe(epoch.Add(3*time.Second), next); v != beat.Fresh {
		t.Fatalf("next incarnation: verdict is %v", v)
	}
}

func TestObserve(t *testing.T) {
	known := beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 5, State: beat.Draining}
	for _, c := range []struct {
		name string
		h    beat.Heartbeat
		want beat.Verdict
	}{
		{"next", beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 6, State: beat.Draining}, beat.Fresh},
		{"repeat", beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 5, State: beat.Draining}, beat.Duplicate},
		{"late", beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 4, State: beat.Draining}, beat.Stale},
		{"ready again", beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 9, State: beat.Ready}, beat.Stale},
		{"gone, late", beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 2, State: beat.Gone}, beat.Fresh},
		{"former process", beat.Heartbeat{ID: "a", StartMs: 99, Sequence: 50}, beat.Stale},
		{"former server", beat.Heartbeat{ID: "z", StartMs: 99, Sequence: 50}, beat.Stale},
		{"new process, same id", beat.Heartbeat{ID: "a", StartMs: 101, Sequence: 1}, beat.Fresh},
		{"new server", beat.Heartbeat{ID: "b", StartMs: 101, Sequence: 1}, beat.Fresh},
		{"another server of the same start", beat.Heartbeat{ID: "b", StartMs: 100, Sequence: 1}, beat.Stale},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr beat.Tracker
			tr.Observe(epoch, known)
			if got := tr.Observe(epoch, c.h); got != c.want {
				t.Fatalf("verdict is %v, want %v", got, c.want)
			}
		})
	}
}

func TestObserveLeave(t *testing.T) {
	for _, c := range []struct {
		name    string
		id      string
		startMs int64
		want    beat.Verdict
	}{
		{"the known one", "a", 100, beat.Fresh},
		{"the known one, no start given", "a", 0, beat.Fresh},
		{"a former process", "a", 99, beat.Stale},
		{"a former server", "z", 0, beat.Stale},
		{"a later server", "b", 101, beat.Fresh},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr beat.Tracker
			tr.Observe(epoch, beat.Heartbeat{ID: "a", StartMs: 100, Sequence: 5})
			if got := tr.ObserveLeave(epoch, c.id, c.startMs); got != c.want {
				t.Fatalf("verdict is %v, want %v", got, c.want)
			}
		})
	}
}

// trackerTrial feeds a tracker and keeps what the properties of TestTrackerNeverGoesBack are
// about.
type trackerTrial struct {
	now      time.Time
	tracker  beat.Tracker
	observed []beat.Heartbeat // all so far but those of replaced processes, oldest first
	leftAt   time.Time        // when the last accepted process said that it leaves
	replaced map[process]time.Time
}

// process is a process of a server.
type process struct {
	id      string
	startMs int64
}

func processOf(h beat.Heartbeat) process { return process{h.ID, h.StartMs} }

// rivalBeats is the number of heartbeats in a row by which a process is known to run although
// its start time is the earlier one.
const rivalBeats = 3

// outlasted reports whether the latest heartbeats, from some one on, are all of p, and
// rivalBeats of them have a higher sequence number than all before.
func (tr *trackerTrial) outlasted(p process) bool {
	for from := range tr.observed {
		rising, highest := 0, uint64(0)
		for _, h := range tr.observed[from:] {
			switch {
			case processOf(h) != p || h.State != beat.Ready:
				rising, highest = 0, 0
			case h.Sequence > highest:
				rising, highest = rising+1, h.Sequence
			}
		}
		if rising >= rivalBeats {
			return true
		}
	}
	return false
}

// isReplaced reports whether p was replaced so short ago that its heartbeats may be late.
func (tr *trackerTrial) isReplaced(p process) bool {
	at, ok := tr.replaced[p]
	return ok && tr.now.Sub(at) < beat.MaxDelay
}

// check compares the last accepted heartbeat before and after an event.
func (tr *trackerTrial) check(t *rapid.T, before, after beat.Heartbeat) {
	from, to := processOf(before), processOf(after)
	if from == to {
		if after.State < before.State {
			t.Fatalf("state went back from %v to %v", before.State, after.State)
		}
		if after.State != before.State {
			tr.leftAt = tr.now
		}
		return
	}
	if tr.isReplaced(to) && after.State == beat.Ready {
		t.Fatalf("%v is back %v after it was replaced", to, tr.now.Sub(tr.replaced[to]))
	}
	if to.startMs < from.startMs && after.State == beat.Ready {
		if !tr.outlasted(to) {
			t.Fatalf("start time went back from %d to %d after %v", from.startMs, to.startMs, tr.observed)
		}
		if before.State != beat.Ready && tr.now.Sub(tr.leftAt) < beat.MaxDelay {
			t.Fatalf("%v is in use %v after %v said that it leaves", to, tr.now.Sub(tr.leftAt), from)
		}
	}
	tr.replaced[from] = tr.now
	tr.leftAt = tr.now
}

// TestTrackerNeverGoesBack feeds random heartbeats and leave requests of several processes, out
// of order, duplicated and with gaps. The state of a process must not go back, a process that was
// replaced must not become ready while its heartbeats may be late, and the start time may only go
// back, since the clock was set back, to a process of which alone three heartbeats in a row have
// arrived, and not while the process before has just left.
func TestTrackerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := trackerTrial{now: epoch, replaced: map[process]time.Time{}}
		for range rapid.IntRange(1, 60).Draw(t, "beats") {
			tr.now = tr.now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			before, known := tr.tracker.Last()
			h := beat.Heartbeat{
				ID:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
				StartMs:  rapid.Int64Range(1, 4).Draw(t, "born"),
				Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				State:    rapid.SampledFrom([]beat.State{beat.Ready, beat.Ready, beat.Ready, beat.Draining}).Draw(t, "state"),
			}
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				tr.tracker.ObserveLeave(tr.now, h.ID, h.StartMs)
			} else {
				if !tr.isReplaced(processOf(h)) {
					tr.observed = append(tr.observed, h)
				}
				tr.tracker.Observe(tr.now, h)
			}
			if after, _ := tr.tracker.Last(); known {
				tr.check(t, before, after)
			}
		}
	})
}

// TestClockSetBackBetweenStarts guards against a server that is known no more, and whose leave is
// acknowledged and ignored, since it has started again after the clock was set back. Each order
// of heartbeats is given as data; want holds the verdicts.
func TestClockSetBackBetweenStarts(t *testing.T) {
	const first, second = 9000, 6600 // start times of two processes; the second one may be the later one
	ready := func(startMs int64, sequence uint64) beat.Heartbeat {
		return beat.Heartbeat{ID: "a", StartMs: startMs, Sequence: sequence}
	}
	leaving := func(startMs int64, sequence uint64) beat.Heartbeat {
		return beat.Heartbeat{ID: "a", StartMs: startMs, Sequence: sequence, State: beat.Draining}
	}
	const fresh, stale = beat.Fresh, beat.Stale
	for _, c := range []struct {
		name  string
		beats []beat.Heartbeat
		waits map[int]time.Duration // before a heartbeat, the usual interval if it is not given
		want  []beat.Verdict
	}{
		{
			"started again, and leaves",
			[]beat.Heartbeat{ready(first, 1), ready(second, 1), ready(second, 2), ready(second, 3), leaving(second, 4)}, nil,
			[]beat.Verdict{fresh, stale, stale, fresh, fresh},
		},
		{
			"late heartbeats of the first one change nothing",
			[]beat.Heartbeat{ready(first, 1), ready(second, 1), ready(second, 2), ready(second, 3), ready(first, 2), leaving(second, 4), ready(first, 3)}, nil,
			[]beat.Verdict{fresh, stale, stale, fresh, stale, fresh, stale},
		},
		{
			"late heartbeats of an earlier process change nothing while the later one sends",
			[]beat.Heartbeat{ready(first, 1), ready(second, 7), ready(second, 8), ready(first, 2), ready(second, 9), ready(first, 3)}, nil,
			[]beat.Verdict{fresh, stale, stale, fresh, stale, fresh},
		},
		{
			"nor do they if it was known before",
			[]beat.Heartbeat{ready(second, 1), ready(first, 1), ready(second, 2), ready(second, 3), ready(second, 4), ready(second, 5)}, nil,
			[]beat.Verdict{fresh, fresh, stale, stale, stale, stale},
		},
		{
			"nor after the later one has left",
			[]beat.Heartbeat{ready(first, 1), leaving(first, 2), ready(second, 1), ready(second, 2), ready(second, 3), ready(second, 4)}, nil,
			[]beat.Verdict{fresh, fresh, stale, stale, stale, stale},
		},
		{
			"the next process after one that has left long ago",
			[]beat.Heartbeat{ready(first, 1), leaving(first, 2), ready(second, 1), ready(second, 2), ready(second, 3)}, map[int]time.Duration{2: beat.MaxDelay},
			[]beat.Verdict{fresh, fresh, stale, stale, fresh},
		},
		{
			"a late leave of the first one, which may run after all, is heeded",
			[]beat.Heartbeat{ready(first, 1), ready(second, 1), ready(second, 2), ready(second, 3), leaving(first, 2), ready(second, 4)}, nil,
			[]beat.Verdict{fresh, stale, stale, fresh, fresh, stale},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr beat.Tracker
			now := epoch
			for i, h := range c.beats {
				wait, ok := c.waits[i]
				if !ok {
					wait = 1500 * time.Millisecond
				}
				now = now.Add(wait)
				if got := tr.Observe(now, h); got != c.want[i] {
					t.Errorf("heartbeat %d, %+v: verdict is %v, want %v", i, h, got, c.want[i])
				}
			}
		})
	}
}

// TestDrainingSaidInAnswer checks that a server that said in an answer that it leaves is
// not ready again by a heartbeat, unless that is of a later incarnation.
func TestDrainingSaidInAnswer(t *testing.T) {
	now := time.UnixMilli(10_000)
	ready := func(startMs int64, sequence uint64) beat.Heartbeat {
		return beat.Heartbeat{ID: "i", StartMs: startMs, Sequence: sequence}
	}
	for _, c := range []struct {
		name   string
		before []beat.Heartbeat
		after  beat.Heartbeat
		want   beat.Verdict
	}{
		{"same incarnation", []beat.Heartbeat{ready(5_000, 3)}, ready(5_000, 4), beat.Stale},
		{"later incarnation", []beat.Heartbeat{ready(5_000, 3)}, ready(9_000, 1), beat.Fresh},
		{"no heartbeat before", nil, ready(5_000, 4), beat.Stale},
		{"no heartbeat before, later incarnation", nil, ready(10_500, 1), beat.Fresh},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var tr beat.Tracker
			for _, h := range c.before {
				is.Equal(tr.Observe(now, h), beat.Fresh)
			}
			tr.ObserveDraining(now, "i")
			is.Equal(tr.Observe(now.Add(time.Second), c.after), c.want)
		})
	}
}
