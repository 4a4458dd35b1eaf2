package core_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute"
	"tanagerchute/core/budget"
	"tanagerchute/core/delta"
	"tanagerchute/core/event"
	"tanagerchute/core/health"
	"tanagerchute/core/member"
	"tanagerchute/core/rank"
	"tanagerchute/core/remote"
	"tanagerchute/core/spread"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("node-", i)
	}
	return out
}

// TestBudget holds the bound on resends for any mix of calls.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New(budget.Config{Ratio: 0.05, Burst: 10})
		calls, resends := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				b.Earn()
				calls++
			} else if b.Spend() {
				resends++
			}
			if float64(resends) > 10+0.05*float64(calls) {
				t.Fatalf("%d resends for %d calls", resends, calls)
			}
		}
	})
}

// TestDelta holds that any document comes back whole, and that a damaged or
// oversized one is an error and not a crash.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		content := append(bytes.Clone(base), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "change")...)
		d, err := delta.Encode(base, content)
		if err != nil {
			t.Fatal(err)
		}
		got, err := delta.Decode(base, d, 1<<20)
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("came back with %d of %d bytes: %v", len(got), len(content), err)
		}
		if len(content) > 10 {
			if _, err := delta.Decode(base, d, 10); err == nil {
				t.Fatal("the limit was not kept")
			}
		}
		if len(d) > 0 {
			d[rapid.IntRange(0, len(d)-1).Draw(t, "at")] ^= 0x55
			_, _ = delta.Decode(base, d, 1<<20) // the digest of the version finds what this does not
		}
	})
}

// TestTreeReachesAll holds that a push reaches every member that is up, though
// others are dead.
func TestTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := names(rapid.IntRange(1, 200).Draw(t, "members"))
		dead := map[string]bool{}
		for _, id := range ids[1:] {
			dead[id] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		}
		reached := map[string]int{}
		var push func(id string)
		push = func(id string) {
			reached[id]++
			tree := spread.NewTree(ids, id, spread.Fanout)
			var send func(child string)
			send = func(child string) {
				if !dead[child] {
					push(child)
					return
				}
				for _, next := range tree.ChildrenOf(child) {
					send(next)
				}
			}
			for _, child := range tree.Children() {
				send(child)
			}
		}
		push(ids[0])
		for _, id := range ids {
			if want := map[bool]int{true: 0, false: 1}[dead[id]]; reached[id] != want {
				t.Fatalf("%s was reached %d times, dead is %v", id, reached[id], dead[id])
			}
		}
	})
}

// TestLayouts holds for each layout that observers and subjects are each
// other's reverse, that nobody observes itself, and that all have k observers.
func TestLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := names(rapid.IntRange(4, 80).Draw(t, "members"))
		const k = 3
		layouts := map[string]tanagerchute.Layout{
			"ring":       rank.NewRing(ids, k),
			"rendezvous": rank.NewRendezvous(ids, k),
			"grouped":    rank.NewGrouped(ids, 7, k),
		}
		for name, l := range layouts {
			for _, id := range ids {
				os := l.Observers(id)
				if len(os) != k || slices.Contains(os, id) || len(slices.Compact(slices.Sorted(slices.Values(os)))) != k {
					t.Fatalf("%s: %s is observed by %v", name, id, os)
				}
				for _, o := range os {
					if !slices.Contains(l.Subjects(o), id) {
						t.Fatalf("%s: %s is not among the subjects of %s", name, id, o)
					}
				}
			}
		}
	})
}

// TestHealth holds that a failing server gets few trials, and comes back.
func TestHealth(t *testing.T) {
	is := is.New(t)
	w := health.New(health.DefaultConfig())
	now := epoch
	for range 5 {
		is.True(w.Allow(now))
		w.Report(now, false)
	}
	is.True(w.Failing())
	trials := 0
	for range 600 { // a minute
		now = now.Add(100 * time.Millisecond)
		if w.Allow(now) {
			trials++
			w.Report(now, false)
		}
	}
	is.True(trials <= 20) // a minute of trials at growing intervals
	now = now.Add(5 * time.Second)
	is.True(w.Allow(now))
	w.Report(now, true)
	is.True(w.Allow(now))
	is.True(w.Report(now, true))
	is.True(!w.Failing())
	is.True(w.MarkFailing(now))
}

// TestRemote holds that updates about a data centre only move forward at all
// nodes, and that a summary stays small however large the data centre is.
func TestRemote(t *testing.T) {
	is := is.New(t)
	var rs []member.Record
	for i := range 107 {
		rs = append(rs, member.Record{ID: fmt.Sprint(i), Addr: fmt.Sprint("10.0.0.", i), Service: fmt.Sprint("s", i%31), Ready: true, Slots: 12})
	}
	s := remote.Summarize("b", rs)
	is.NoErr(s.Validate())
	is.Equal(len(s.Services), 31)
	for _, x := range s.Services {
		is.True(len(x.Entries) <= 3)
	}
	relay := remote.NewTable(remote.Config{DataCentre: "a", LostAfter: 4 * time.Second})
	other := remote.NewTable(remote.Config{DataCentre: "a", LostAfter: 4 * time.Second})
	u1, news := relay.UpdateDirect(epoch, s)
	is.True(news)
	_, news = relay.UpdateDirect(epoch.Add(time.Second), s)
	is.True(!news) // nothing to pass on while nothing changes
	lost := relay.MarkLost(epoch.Add(10 * time.Second))
	is.Equal(len(lost), 1)
	is.True(other.Merge(epoch, lost[0]))
	is.True(!other.Merge(epoch, u1)) // crossed on the way
	is.Equal(len(other.View().Entries("s1")), 0)
	u3, news := relay.UpdateDirect(epoch.Add(11*time.Second), s)
	is.True(news)
	is.True(other.Merge(epoch, u3))
	is.True(len(other.View().Entries("s1")) > 0)
	_, news = relay.UpdateDirect(epoch, remote.Summary{DataCentre: "a"})
	is.True(!news) // not about another data centre
}

// TestJournal holds the bound of the journal and the order of what it finds.
func TestJournal(t *testing.T) {
	is := is.New(t)
	j := event.NewJournal(event.Config{Node: "n", Capacity: 10})
	for i := range 25 {
		j.Add(event.Event{At: epoch.Add(time.Duration(i)), Kind: event.PeerJoined, Subject: fmt.Sprint(i)})
	}
	all := j.Find("")
	is.Equal(len(all), 10)
	is.Equal(j.Dropped(), uint64(15))
	is.Equal(all[0].Subject, "15")
	is.True(slices.IsSortedFunc(all, func(a, b event.Event) int { return a.At.Compare(b.At) }))
}

// BenchmarkLayout measures the cost of a change of membership and of finding
// the subjects of a dead observer, at 640 members.
func BenchmarkLayout(b *testing.B) {
	ids := names(640)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	build := map[string]func([]string) tanagerchute.Layout{
		"ring":       func(ids []string) tanagerchute.Layout { return rank.NewRing(ids, 3) },
		"rendezvous": func(ids []string) tanagerchute.Layout { return rank.NewRendezvous(ids, 3) },
		"grouped":    func(ids []string) tanagerchute.Layout { return rank.NewGrouped(ids, 16, 3) },
	}
	for _, name := range []string{"ring", "rendezvous", "grouped"} {
		b.Run(name+"/build", func(b *testing.B) {
			for b.Loop() {
				build[name](ids)
			}
			low, high, moved := layoutFigures(build[name], ids)
			b.ReportMetric(float64(low), "fewest_subjects")
			b.ReportMetric(float64(high), "most_subjects")
			b.ReportMetric(moved, "pairs_moved/join")
		})
		b.Run(name+"/subjects", func(b *testing.B) {
			l := build[name](ids)
			for b.Loop() {
				l.Subjects("node-17")
			}
		})
	}
}

// layoutFigures returns the spread of the load, and the pairs that change when
// a member joins and when one goes, on the average.
func layoutFigures(build func([]string) tanagerchute.Layout, ids []string) (low, high int, moved float64) {
	l := build(ids)
	low = len(ids)
	for _, id := range ids {
		n := len(l.Subjects(id))
		low, high = min(low, n), max(high, n)
	}
	const trials = 20
	total := 0
	for i := range trials {
		fewer := slices.Delete(slices.Clone(ids), i*30, i*30+1)
		other := build(fewer)
		for _, id := range fewer {
			for _, o := range other.Observers(id) {
				if !slices.Contains(l.Observers(id), o) {
					total++
				}
			}
		}
	}
	return low, high, float64(total) / trials
}
