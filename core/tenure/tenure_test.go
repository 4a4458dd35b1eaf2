package tenure_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/tenure"
	_ "tanagerchute/internal/seed"
)

const guard = 5 * time.Second

var epoch = time.Unix(1_800_000_000, 0)

// TestEveryFormerHomeIsAsked moves a key from home to home and holds that the
// present home either asks every member that was its home since the key was
// issued, or says that it can't tell.
func TestEveryFormerHomeIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		up := []string{"a", "b", "c", "d", "e"}
		tenures := map[string]*tenure.Tracker{}
		for _, id := range up {
			tenures[id] = tenure.New(tenure.Config{Self: id, Start: epoch, Margin: guard})
		}
		now = now.Add(time.Minute)
		key := fmt.Sprint("key", rapid.IntRange(0, 1000).Draw(t, "key"))
		issued := now
		homes := map[string]bool{tenure.Home(key, up): true}
		for i := range rapid.IntRange(0, 8).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "join") || len(up) < 2 {
				id := fmt.Sprint("n", i)
				up = append(up, id)
				tenures[id] = tenure.New(tenure.Config{Self: id, Start: now, Margin: guard})
			} else {
				gone := rapid.SampledFrom(up).Draw(t, "gone")
				up = slices.DeleteFunc(up, func(id string) bool { return id == gone })
				for _, id := range up {
					tenures[id].RecordRemoval(now, gone)
				}
				if rapid.Bool().Draw(t, "exits") {
					delete(tenures, gone) // otherwise it lingers and can be asked
				}
			}
			homes[tenure.Home(key, up)] = true
		}
		home := tenure.Home(key, up)
		asked, ok := askAll(tenures, key, issued, up, home)
		if !ok {
			return // said that it can't tell
		}
		for former := range homes {
			if !asked[former] {
				t.Fatalf("%s vouches for the key without having asked %s", home, former)
			}
		}
	})
}

// askAll asks as the nodes do. It reports false if one of those asked has gone
// or can't tell, or if there is no anchor.
func askAll(ts map[string]*tenure.Tracker, key string, issued time.Time, up []string, home string) (map[string]bool, bool) {
	asked := map[string]bool{home: true}
	f, ok := ts[home].FormerHomes(key, issued, "")
	removed, anchored := f.Removed, f.Anchor
	for _, id := range tenure.RankOthers(key, up, home) {
		if anchored || !ok {
			break
		}
		asked[id] = true
		f, ok = ts[id].FormerHomes(key, issued, home)
		removed, anchored = append(removed, f.Removed...), f.Anchor
	}
	for _, id := range removed {
		if ts[id] == nil {
			return nil, false // it has gone
		}
		asked[id] = true
	}
	return asked, ok && anchored
}

func TestFormer(t *testing.T) {
	is := is.New(t)
	up := []string{"a", "b", "c"}
	order := tenure.RankOthers("k", up, "")
	is.Equal(order[0], tenure.Home("k", up))
	tn := tenure.New(tenure.Config{Self: order[1], Start: epoch, Margin: guard})

	f, ok := tn.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(ok)
	is.True(f.Anchor)
	is.Equal(len(f.Removed), 0) // in quiet times nobody is asked

	f, _ = tn.FormerHomes("k", epoch.Add(time.Second), "")
	is.True(!f.Anchor) // issued around the start

	tn.RecordRemoval(epoch.Add(2*time.Minute), order[0])
	tn.RecordRemoval(epoch.Add(2*time.Minute), order[2])
	f, _ = tn.FormerHomes("k", epoch.Add(time.Minute), "")
	is.Equal(f.Removed, order[:1]) // the one that ranked above
	f, _ = tn.FormerHomes("k", epoch.Add(2*time.Minute+guard), "")
	is.Equal(len(f.Removed), 0) // issued well after it had gone

	tn.RestartTenure(epoch.Add(3 * time.Minute))
	f, _ = tn.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!f.Anchor) // cut off in between

	for range 2000 {
		tn.RecordRemoval(epoch.Add(4*time.Minute), "x")
	}
	_, ok = tn.FormerHomes("k", epoch.Add(time.Minute), "")
	is.True(!ok) // too many removals to remember them all
}
