package crash_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/crash"
)

// after returns the time that long after the start of the test.
func after(d time.Duration) time.Time { return start.Add(d) }

// endAt records that a server ended under works after d, and returns the changed records.
func endAt(t *crash.Table, d time.Duration, works ...crash.Work) []crash.Record {
	return t.AddEnd(after(d), crash.NewEndID(after(d), uint64(d)), crash.End{At: after(d), Works: works})
}

// TestWorkIsHeldAfterThreeEnds checks when a work is resent, held back and tried again.
func TestWorkIsHeldAfterThreeEnds(t *testing.T) {
	is := is.New(t)
	tab := crash.NewTable()
	is.Equal(tab.Judge(after(0), 1), crash.Judgement{})
	endAt(tab, 0, 1, 2)
	j := tab.Judge(after(0), 1)
	is.True(j.Suspect && !j.Held)
	endAt(tab, time.Second, 1)
	j = tab.Judge(after(time.Second), 1)
	is.True(j.Suspect && !j.Held)
	endAt(tab, 2*time.Second, 1)
	is.True(!tab.Judge(after(2*time.Second), 1).Held) // a node may have completed it
	j = tab.Judge(after(3*time.Second), 1)
	is.True(j.Held && !j.TrialDue)
	is.Equal(j.RetryAfter, 59*time.Second)
	is.True(!tab.BeginTrial(after(61*time.Second), 1))
	is.True(!tab.Judge(after(3*time.Second), 2).Held) // other work that was in flight
	is.Equal(tab.Judge(after(3*time.Second), 3), crash.Judgement{})
}

// TestOneTrialAtATime checks that one call of a held work runs when its hold has ended, and
// that its outcome extends the hold or ends it.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	held := func() *crash.Table {
		tab := crash.NewTable()
		for i := range 3 {
			endAt(tab, time.Duration(i)*time.Second, 1)
		}
		is.True(tab.Judge(after(62*time.Second), 1).TrialDue)
		is.True(tab.BeginTrial(after(62*time.Second), 1))
		is.True(!tab.BeginTrial(after(62*time.Second), 1))
		is.True(tab.Judge(after(63*time.Second), 1).Held)
		return tab
	}
	tab := held()
	endAt(tab, 64*time.Second, 1)
	is.True(tab.Judge(after(64*time.Second+239*time.Second), 1).Held)
	is.True(tab.Judge(after(64*time.Second+241*time.Second), 1).TrialDue)

	tab = held()
	is.Equal(len(tab.Complete(after(63*time.Second), 1)), 1)
	j := tab.Judge(after(63*time.Second), 1)
	is.True(!j.Held && !j.Suspect)

	tab = held() // the outcome of the trial is never known
	is.True(tab.Judge(after(90*time.Second), 1).TrialDue)
}

// TestAtMostThreeTrialsWhileRemembered replays a caller that repeats its request each
// second for as long as the work is remembered. Each run ends a server.
func TestAtMostThreeTrialsWhileRemembered(t *testing.T) {
	is := is.New(t)
	tab := crash.NewTable()
	runs := 0
	for s := range 2 * 3600 {
		d := time.Duration(s) * time.Second
		tab.Expire(after(d))
		if runs > 0 && tab.Len() == 0 {
			break
		}
		j := tab.Judge(after(d), 1)
		if j.Held || j.TrialDue && !tab.BeginTrial(after(d), 1) {
			continue
		}
		runs++
		endAt(tab, d, 1)
	}
	is.Equal(runs, 3+3)
	is.Equal(tab.Len(), 0) // there is an end to it
}

// TestLateArrivalsAreNoTrials checks that the servers which end before all nodes know that
// a work is held back do not extend its hold.
func TestLateArrivalsAreNoTrials(t *testing.T) {
	is := is.New(t)
	tab := crash.NewTable()
	for i := range 6 {
		endAt(tab, time.Duration(i)*time.Second, 1)
	}
	is.True(tab.Judge(after(64*time.Second), 1).Held)
	is.True(tab.Judge(after(65*time.Second), 1).TrialDue)
}

// TestCompletedWorkStaysCleared checks that the ends under a completed work do not come
// back with the records of a node that does not know of it, and that later ends count.
func TestCompletedWorkStaysCleared(t *testing.T) {
	is := is.New(t)
	a, b := crash.NewTable(), crash.NewTable()
	for i := range 2 {
		b.Merge(after(0), endAt(a, time.Duration(i)*time.Second, 1))
	}
	a.Complete(after(2*time.Second), 1)
	is.Equal(len(a.Merge(after(0), b.Records())), 0)
	endAt(a, 3*time.Second, 1)
	is.Equal(a.Judge(after(3*time.Second), 1).Ends, 1)
	b.Merge(after(3*time.Second), a.Records())
	is.Equal(b.Judge(after(3*time.Second), 1).Ends, 1)
	is.Equal(a.Digest(), b.Digest())
}

// TestTablesConverge exchanges the changes at several nodes in random order, with losses
// and repeats, and then whole tables, as after a cut. All nodes come to the same table.
func TestTablesConverge(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tables := []*crash.Table{crash.NewTable(), crash.NewTable(), crash.NewTable(), crash.NewTable()}
		now := 0 * time.Second
		for range 60 {
			now += time.Duration(rng.IntN(500)) * time.Millisecond
			tab, w := tables[rng.IntN(len(tables))], crash.Work(1+rng.IntN(4))
			var changed []crash.Record
			switch rng.IntN(4) {
			case 0:
				changed = tab.Complete(after(now), w)
			default:
				end := crash.End{At: after(now), Works: []crash.Work{w}}
				changed = tab.AddEnd(after(now), crash.NewEndID(after(now), rng.Uint64()), end)
			}
			for _, other := range tables {
				for range rng.IntN(3) {
					other.Merge(after(now), changed)
				}
			}
		}
		for range 2 {
			for _, i := range rng.Perm(len(tables)) {
				for _, j := range rng.Perm(len(tables)) {
					tables[i].Merge(after(now), tables[j].Records())
				}
			}
		}
		for _, tab := range tables {
			is.Equal(tab.Digest(), tables[0].Digest())
			for w := range crash.Work(5) {
				later := after(now + time.Second)
				is.Equal(tab.Judge(later, w).Held, tables[0].Judge(later, w).Held)
			}
			is.Equal(len(tab.Merge(after(now), tables[0].Records())), 0) // nothing is sent again
		}
	}
}

// TestTableIsBounded checks that a flood of works does not displace one that is held back.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	tab := crash.NewTable()
	for i := range 3 {
		endAt(tab, time.Duration(i)*time.Second, 1)
	}
	for i := range 5000 {
		endAt(tab, 3*time.Second+time.Duration(i)*time.Millisecond, crash.Work(10+2*i), crash.Work(11+2*i))
	}
	is.Equal(tab.Len(), 256)
	is.True(tab.Judge(after(10*time.Second), 1).Held) // it is not displaced
	for i := range 100 {
		endAt(tab, 10*time.Second+time.Duration(i)*time.Millisecond, 1)
	}
	r, _ := tab.Known(1)
	is.Equal(len(r.Ends), 16)
}

// TestTrialsRunAtOneNode checks that the choice does not depend on the order of the nodes.
func TestTrialsRunAtOneNode(t *testing.T) {
	is := is.New(t)
	is.Equal(crash.TrialNode(7, []string{"a", "b", "c"}), crash.TrialNode(7, []string{"c", "a", "b"}))
	is.Equal(crash.TrialNode(7, nil), "")
	is.Equal(crash.TrialGroup(7, []string{"x", "y"}), crash.TrialGroup(7, []string{"y", "x"}))
}

// TestEndsBeforeCompletionDoNotCount checks that an end that is found late does not count
// against a work that was completed in the meantime.
func TestEndsBeforeCompletionDoNotCount(t *testing.T) {
	is := is.New(t)
	recent, tab := crash.NewRecent(after(0)), crash.NewTable()
	recent.Add(after(2*time.Second), 1)
	at, ok := recent.CompletedAt(1)
	is.True(ok)
	_, ok = recent.CompletedAt(1 + 4096) // the same slot
	is.True(!ok)
	tab.AddEnd(after(5*time.Second), 9, crash.End{At: after(time.Second), Works: []crash.Work{1}})
	tab.Complete(at, 1)
	is.Equal(tab.Judge(after(5*time.Second), 1).Ends, 0)
	endAt(tab, 6*time.Second, 1)
	is.Equal(len(tab.Complete(at, 1)), 0)
	is.Equal(tab.Judge(after(6*time.Second), 1).Ends, 1)
}

// TestEndsAtOnceHoldNothingBack guards against holding back what was running at all servers
// when they lost their power. A later end counts, with all of them.
func TestEndsAtOnceHoldNothingBack(t *testing.T) {
	is := is.New(t)
	tab := crash.NewTable()
	for i := range 5 {
		endAt(tab, time.Duration(i)*50*time.Millisecond, 1)
	}
	is.True(!tab.Judge(after(time.Second), 1).Held)
	endAt(tab, 2*time.Second, 1)
	is.True(tab.Judge(after(3*time.Second), 1).Held)
}

// TestRestartedNodeHoldsAtOnce guards against a node that lets a held request run in the
// first moments after it has learned of it from a node that has known it for longer.
func TestRestartedNodeHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	old, restarted := crash.NewTable(), crash.NewTable()
	for i := range 3 {
		endAt(old, time.Duration(i)*time.Second, 1)
	}
	restarted.Merge(after(10*time.Second), old.Records())
	is.True(restarted.Judge(after(10*time.Second), 1).Held)
}
