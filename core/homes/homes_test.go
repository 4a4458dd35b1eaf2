package homes_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/homes"
	"tanagerchute/core/member"
	_ "tanagerchute/internal/seed"
)

const margin = 5 * time.Second

var epoch = time.Unix(1_800_000_000, 0)

// candidate is a member that can be a home.
func candidate(id string) member.Record { return member.Record{ID: id, CanBeHome: true} }

// removal is what the others learn of a member that has died.
func removal(at time.Time, id string) member.Change {
	return member.Change{At: at, Old: candidate(id), New: candidate(id).WithState(member.Dead, "")}
}

// learned is what a node learns of a member that was dead before.
func learned(at time.Time, id string) member.Change {
	return member.Change{At: at, New: candidate(id).WithState(member.Dead, "")}
}

// newTracker returns a tracker of a node that becomes able to be a home at start, after
// it has learned of the members that are gone.
func newTracker(id string, start time.Time, gone []string) *homes.Tracker {
	t := homes.New(homes.Config{Self: id, Start: start, Margin: margin})
	for _, g := range gone {
		t.RecordChange(learned(start, g))
	}
	t.SetCandidate(start, true)
	return t
}

// group is a data centre whose members change.
type group struct {
	now       time.Time
	members   []string
	trackers  map[string]*homes.Tracker // of the processes that run
	removedAt map[string]time.Time
}

func newGroup(members ...string) *group {
	g := &group{now: epoch, members: members, trackers: map[string]*homes.Tracker{}, removedAt: map[string]time.Time{}}
	for _, id := range members {
		g.trackers[id] = newTracker(id, epoch, nil)
	}
	return g
}

// join adds a member, which learns who is gone.
func (g *group) join(id string) {
	gone := slices.Sorted(maps.Keys(g.removedAt))
	g.members = append(g.members, id)
	g.trackers[id] = newTracker(id, g.now, gone)
}

// remove removes a member. If it has not exited, it can still be asked.
func (g *group) remove(id string, exits bool) {
	g.members = slices.DeleteFunc(g.members, func(m string) bool { return m == id })
	g.removedAt[id] = g.now
	for _, m := range g.members {
		g.trackers[m].RecordChange(removal(g.now, id))
	}
	if exits {
		delete(g.trackers, id)
	}
}

// change makes a random change some time after the last.
func (g *group) change(t *rapid.T, joiner string) {
	g.now = g.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "join") || len(g.members) < 2 {
		g.join(joiner)
		return
	}
	g.remove(rapid.SampledFrom(g.members).Draw(t, "gone"), rapid.Bool().Draw(t, "exits"))
}

// TestAsksEveryFormerHome changes the home of a key by random joins and removals, before
// and after its issue. The last home must either ask every member that was the home since
// the key was issued, or report that it is not known whether the work has run. It must
// ask nobody who was removed long before the issue, and may have exited.
func TestAsksEveryFormerHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup("a", "b", "c", "d", "e")
		for i := range rapid.IntRange(0, 4).Draw(t, "changes before") {
			g.change(t, fmt.Sprint("m", i))
		}
		g.now = g.now.Add(time.Duration(rapid.IntRange(0, 60000).Draw(t, "ms before")) * time.Millisecond)
		key, issued := fmt.Sprint("key", rapid.IntRange(0, 1000).Draw(t, "key")), g.now
		everHome := map[string]bool{homes.Current(key, g.members): true}
		for i := range rapid.IntRange(0, 8).Draw(t, "changes") {
			g.change(t, fmt.Sprint("n", i))
			everHome[homes.Current(key, g.members)] = true
		}
		home := homes.Current(key, g.members)
		asked, ok := askAll(g.trackers, key, issued, g.members, home)
		for id := range asked {
			if at, removed := g.removedAt[id]; removed && !issued.Before(at.Add(margin)) {
				t.Fatalf("%s asks %s, which was removed %v before the issue of the key", home, id, issued.Sub(at))
			}
		}
		if !ok {
			return // reported as not known
		}
		for former := range everHome {
			if !asked[former] {
				t.Fatalf("%s would run the work under the key without having asked %s", home, former)
			}
		}
	})
}

// askAll asks the members in the same order as a node does. It returns those that it
// asks, and false if one of them no longer runs or has dropped removals, or if there is
// no anchor.
func askAll(trackers map[string]*homes.Tracker, key string, issued time.Time, members []string, home string) (map[string]bool, bool) {
	asked := map[string]bool{home: true}
	f, ok := trackers[home].FormerHomes(key, issued, "")
	removed, anchored := f.Removed, f.Anchor
	for _, id := range homes.RankOthers(key, members, home) {
		if anchored || !ok {
			break
		}
		asked[id] = true
		f, ok = trackers[id].FormerHomes(key, issued, home)
		removed, anchored = append(removed, f.Removed...), f.Anchor
	}
	for _, id := range removed {
		asked[id] = true
		ok = ok && trackers[id] != nil // it still runs
	}
	return asked, ok && anchored
}

func TestFormerHomes(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c"}
	order := homes.RankOthers("k", members, "")
	is.Equal(order[0], homes.Current("k", members))
	tracker := newTracker(order[1], epoch, nil)

	f, ok := tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(ok)
	is.True(f.Anchor)
	is.Equal(len(f.Removed), 0) // without removals no member has to be asked

	f, _ = tracker.FormerHomes("k", epoch.Add(time.Second), "")
	is.True(!f.Anchor) // issued within the margin after the start

	tracker.RecordChange(removal(epoch.Add(2*time.Minute), order[0]))
	tracker.RecordChange(removal(epoch.Add(2*time.Minute), order[2]))
	f, _ = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.Equal(f.Removed, order[:1]) // the one of higher rank
	f, _ = tracker.FormerHomes("k", epoch.Add(2*time.Minute+margin), "")
	is.Equal(len(f.Removed), 0) // issued after the removal and the margin

	tracker.RestartTenure(epoch.Add(3 * time.Minute))
	f, _ = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!f.Anchor) // the tenure restarted after the issue

	for range 2000 {
		tracker.RecordChange(removal(epoch.Add(4*time.Minute), "x"))
	}
	_, ok = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!ok) // removals since the issue have been dropped
}
