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
		tenures := map[string]*tenure.Tenure{}
		for _, id := range up {
			tenures[id] = tenure.New(tenure.Config{Self: id, Start: epoch, Guard: guard})
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
				tenures[id] = tenure.New(tenure.Config{Self: id, Start: now, Guard: guard})
			} else {
				gone := rapid.SampledFrom(up).Draw(t, "gone")
				up = slices.DeleteFunc(up, func(id string) bool { return id == gone })
				for _, id := range up {
					tenures[id].Removed(now, gone)
				}
				delete(tenures, gone)
			}
			homes[tenure.Home(key, up)] = true
		}
		home := tenure.Home(key, up)
		if !vouched(tenures, key, issued, up, home, "", homes, 0) {
			return // said that it can't tell
		}
		delete(homes, home)
		if len(homes) > 0 {
			t.Fatalf("%s vouches for the key without having asked %v", home, homes)
		}
	})
}

// vouched asks as the nodes do: each one asked has to be able to speak for the
// key itself. Those that were asked are taken out of homes.
func vouched(ts map[string]*tenure.Tenure, key string, issued time.Time, up []string, id, asker string, homes map[string]bool, depth int) bool {
	ids, ok := ts[id].Ask(key, issued, up, asker)
	if !ok || depth > 0 && len(ids) > 0 {
		return false
	}
	for _, other := range ids {
		if ts[other] == nil || !vouched(ts, key, issued, up, other, id, homes, depth+1) {
			return false
		}
		delete(homes, other)
	}
	return true
}

func TestAsk(t *testing.T) {
	is := is.New(t)
	up := []string{"a", "b", "c"}
	home := tenure.Home("k", up)
	tn := tenure.New(tenure.Config{Self: home, Start: epoch, Guard: guard})

	ids, ok := tn.Ask("k", epoch.Add(time.Minute), up, "")
	is.True(ok)
	is.Equal(len(ids), 0) // in quiet times nobody is asked

	ids, ok = tn.Ask("k", epoch.Add(time.Second), up, "")
	is.True(ok)
	is.Equal(len(ids), 1) // issued around the start: the one that was home before

	tn.Restart(epoch.Add(2 * time.Minute))
	ids, _ = tn.Ask("k", epoch.Add(time.Minute), up, "")
	is.Equal(len(ids), 1) // cut off in between

	_, ok = tn.Ask("k", epoch.Add(time.Minute), []string{home}, "")
	is.True(!ok) // nobody left to ask
}
