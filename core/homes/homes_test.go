package homes_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/homes"
	_ "tanagerchute/internal/seed"
)

const margin = 5 * time.Second

var epoch = time.Unix(1_800_000_000, 0)

// TestAsksEveryFormerHome changes the home of a key by random joins and
// removals. The last home must either ask every member that was the home since
// the key was issued, or report that it is not known whether the work has run.
func TestAsksEveryFormerHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		members := []string{"a", "b", "c", "d", "e"}
		trackers := map[string]*homes.Tracker{}
		for _, id := range members {
			trackers[id] = homes.New(homes.Config{Self: id, Start: epoch, Margin: margin})
		}
		now = now.Add(time.Minute)
		key := fmt.Sprint("key", rapid.IntRange(0, 1000).Draw(t, "key"))
		issued := now
		everHome := map[string]bool{homes.Current(key, members): true}
		for i := range rapid.IntRange(0, 8).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "join") || len(members) < 2 {
				id := fmt.Sprint("n", i)
				members = append(members, id)
				trackers[id] = homes.New(homes.Config{Self: id, Start: now, Margin: margin})
			} else {
				removed := rapid.SampledFrom(members).Draw(t, "gone")
				members = slices.DeleteFunc(members, func(id string) bool { return id == removed })
				for _, id := range members {
					trackers[id].RecordRemoval(now, removed)
				}
				if rapid.Bool().Draw(t, "exits") {
					delete(trackers, removed) // otherwise it still runs and can be asked
				}
			}
			everHome[homes.Current(key, members)] = true
		}
		home := homes.Current(key, members)
		asked, ok := askAll(trackers, key, issued, members, home)
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

// askAll asks the members in the same order as a node does. It returns false if
// one of them no longer runs or has dropped removals, or if there is no anchor.
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
		if trackers[id] == nil {
			return nil, false // it no longer runs
		}
		asked[id] = true
	}
	return asked, ok && anchored
}

func TestFormerHomes(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c"}
	order := homes.RankOthers("k", members, "")
	is.Equal(order[0], homes.Current("k", members))
	tracker := homes.New(homes.Config{Self: order[1], Start: epoch, Margin: margin})

	f, ok := tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(ok)
	is.True(f.Anchor)
	is.Equal(len(f.Removed), 0) // without removals no member has to be asked

	f, _ = tracker.FormerHomes("k", epoch.Add(time.Second), "")
	is.True(!f.Anchor) // issued within the margin after the start

	tracker.RecordRemoval(epoch.Add(2*time.Minute), order[0])
	tracker.RecordRemoval(epoch.Add(2*time.Minute), order[2])
	f, _ = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.Equal(f.Removed, order[:1]) // the one of higher rank
	f, _ = tracker.FormerHomes("k", epoch.Add(2*time.Minute+margin), "")
	is.Equal(len(f.Removed), 0) // issued after the removal and the margin

	tracker.RestartTenure(epoch.Add(3 * time.Minute))
	f, _ = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!f.Anchor) // the tenure restarted after the issue

	for range 2000 {
		tracker.RecordRemoval(epoch.Add(4*time.Minute), "x")
	}
	_, ok = tracker.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!ok) // removals since the issue have been dropped
}
