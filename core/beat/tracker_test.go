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

// TestTrackerIsMonotonic feeds random heartbeats and leave requests of several
// incarnations, out of order, duplicated and with gaps. Neither the incarnation
// nor the state within an incarnation may decrease.
func TestTrackerIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr beat.Tracker
		for range rapid.IntRange(1, 60).Draw(t, "beats") {
			before, _ := tr.Last()
			h := beat.Heartbeat{
				ID:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"),
				StartMs:  rapid.Int64Range(1, 4).Draw(t, "born"),
				Sequence: rapid.Uint64Range(1, 6).Draw(t, "sequence"),
				State:    rapid.SampledFrom([]beat.State{beat.Ready, beat.Draining}).Draw(t, "state"),
			}
			if rapid.IntRange(0, 4).Draw(t, "leave") == 0 {
				tr.ObserveLeave(epoch, h.ID, h.StartMs)
			} else {
				tr.Observe(epoch, h)
			}
			after, _ := tr.Last()
			if after.StartMs < before.StartMs {
				t.Fatalf("incarnation went back from %d to %d", before.StartMs, after.StartMs)
			}
			if after.StartMs == before.StartMs && after.ID == before.ID && after.State < before.State {
				t.Fatalf("state went back from %v to %v", before.State, after.State)
			}
		}
	})
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
