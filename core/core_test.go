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
	"tanagerchute/core/fanout"
	"tanagerchute/core/health"
	"tanagerchute/core/member"
	"tanagerchute/core/rank"
	"tanagerchute/core/remote"
	_ "tanagerchute/internal/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

func nodeIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("node-", i)
	}
	return out
}

// TestRetryBudget checks the bound on resends for random sequences of calls
// and resends.
func TestRetryBudget(t *testing.T) {
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

// TestDeltaRoundTrip checks that every document is restored from its delta,
// that an oversized document is an error, and that a damaged delta does not
// cause a panic.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		content := append(bytes.Clone(base), rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "change")...)
		d, err := delta.Encode(base, content)
		if err != nil {
			t.Fatal(err)
		}
		got, err := delta.Decode(base, d, 1<<20)
		if err != nil || !bytes.Equal(got, content) {
			t.Fatalf("decoded %d of %d bytes: %v", len(got), len(content), err)
		}
		if len(content) > 10 {
			if _, err := delta.Decode(base, d, 10); err == nil {
				t.Fatal("a document beyond the size limit was decoded")
			}
		}
		if len(d) > 0 {
			d[rapid.IntRange(0, len(d)-1).Draw(t, "at")] ^= 0x55
			_, _ = delta.Decode(base, d, 1<<20) // a wrong result is detected by the digest of the version
		}
	})
}

// TestTreeReachesAllLiveMembers checks that a push reaches every live member
// exactly once while other members are dead.
func TestTreeReachesAllLiveMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := nodeIDs(rapid.IntRange(1, 200).Draw(t, "members"))
		dead := map[string]bool{}
		for _, id := range ids[1:] {
			dead[id] = rapid.IntRange(0, 3).Draw(t, "dead") == 0
		}
		reached := map[string]int{}
		var push func(id string)
		push = func(id string) {
			reached[id]++
			tree := fanout.NewTree(ids, id, fanout.Degree)
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
				t.Fatalf("%s was reached %d times, dead: %v", id, reached[id], dead[id])
			}
		}
	})
}

// TestLayouts checks for each layout that every member has k distinct
// observers, that no member observes itself, and that each member is among the
// subjects of its observers.
func TestLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := nodeIDs(rapid.IntRange(4, 80).Draw(t, "members"))
		const k = 3
		layouts := map[string]tanagerchute.Layout{
			"ring":       rank.NewRing(ids, k),
			"rendezvous": rank.NewRendezvous(ids, k),
			"grouped":    rank.NewGrouped(ids, 7, k),
		}
		for name, l := range layouts {
			for _, id := range ids {
				observers := l.Observers(id)
				if len(observers) != k || slices.Contains(observers, id) || len(slices.Compact(slices.Sorted(slices.Values(observers)))) != k {
					t.Fatalf("%s: %s is observed by %v", name, id, observers)
				}
				for _, observer := range observers {
					if !slices.Contains(l.Subjects(observer), id) {
						t.Fatalf("%s: %s is not among the subjects of %s", name, id, observer)
					}
				}
			}
		}
	})
}

// TestHealthTrials checks that a failing server gets few trial calls, and that
// it recovers once they succeed.
func TestHealthTrials(t *testing.T) {
	is := is.New(t)
	m := health.New(health.DefaultConfig())
	now := epoch
	for range 5 {
		is.True(m.Allow(now))
		m.Report(now, false)
	}
	is.True(m.Failing())
	trials := 0
	for range 600 { // a minute
		now = now.Add(100 * time.Millisecond)
		if m.Allow(now) {
			trials++
			m.Report(now, false)
		}
	}
	is.True(trials <= 20) // the intervals between trials grow
	now = now.Add(5 * time.Second)
	is.True(m.Allow(now))
	m.Report(now, true)
	is.True(m.Allow(now))
	is.True(m.Report(now, true))
	is.True(!m.Failing())
	is.True(m.MarkFailing(now))
}

// TestRemoteUpdates checks that no node goes back to an older update about a
// data centre, and that a summary lists at most three entries for each service.
func TestRemoteUpdates(t *testing.T) {
	is := is.New(t)
	var records []member.Record
	for i := range 107 {
		records = append(records, member.Record{ID: fmt.Sprint(i), Addr: fmt.Sprint("10.0.0.", i), Service: fmt.Sprint("s", i%31), Ready: true, Slots: 12})
	}
	s := remote.Summarize("b", records)
	is.NoErr(s.Validate())
	is.Equal(len(s.Services), 31)
	for _, x := range s.Services {
		is.True(len(x.Entries) <= 3)
	}
	relay := remote.NewTable(remote.Config{DataCentre: "a", LostAfter: 4 * time.Second})
	peer := remote.NewTable(remote.Config{DataCentre: "a", LostAfter: 4 * time.Second})
	firstUpdate, changed := relay.UpdateDirect(epoch, s)
	is.True(changed)
	_, changed = relay.UpdateDirect(epoch.Add(time.Second), s)
	is.True(!changed) // an unchanged summary is not passed on
	lost := relay.MarkLost(epoch.Add(10 * time.Second))
	is.Equal(len(lost), 1)
	is.True(peer.Merge(epoch, lost[0]))
	is.True(!peer.Merge(epoch, firstUpdate)) // arrives after a newer update
	is.Equal(len(peer.View().Entries("s1")), 0)
	laterUpdate, changed := relay.UpdateDirect(epoch.Add(11*time.Second), s)
	is.True(changed)
	is.True(peer.Merge(epoch, laterUpdate))
	is.True(len(peer.View().Entries("s1")) > 0)
	_, changed = relay.UpdateDirect(epoch, remote.Summary{DataCentre: "a"})
	is.True(!changed) // its own data centre is ignored
}

// TestJournalCapacity checks that a full journal drops its oldest events, and
// that Find returns the events in order of time.
func TestJournalCapacity(t *testing.T) {
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

// BenchmarkLayout measures, at 640 members, the cost of building a layout after
// a change of membership and of looking up the subjects of an observer.
func BenchmarkLayout(b *testing.B) {
	ids := nodeIDs(640)
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
			fewest, most, moved := layoutStats(build[name], ids)
			b.ReportMetric(float64(fewest), "fewest_subjects")
			b.ReportMetric(float64(most), "most_subjects")
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

// layoutStats returns the least and the largest number of subjects of a member,
// and the mean number of observer pairs that change when a member joins or
// leaves.
func layoutStats(build func([]string) tanagerchute.Layout, ids []string) (fewest, most int, moved float64) {
	l := build(ids)
	fewest = len(ids)
	for _, id := range ids {
		n := len(l.Subjects(id))
		fewest, most = min(fewest, n), max(most, n)
	}
	const trials = 20
	total := 0
	for i := range trials {
		fewer := slices.Delete(slices.Clone(ids), i*30, i*30+1)
		other := build(fewer)
		for _, id := range fewer {
			for _, observer := range other.Observers(id) {
				if !slices.Contains(l.Observers(id), observer) {
					total++
				}
			}
		}
	}
	return fewest, most, float64(total) / trials
}
