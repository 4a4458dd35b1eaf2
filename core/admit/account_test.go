package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/admit"
	"tanagerchute/core/routes"
)

// accountLoad is what one client account sends to a server.
type accountLoad struct {
	name     string
	priority routes.Priority
	rate     float64 // calls a second
}

// served is the share of the calls of each account that were answered in time.
type served map[string]float64

// replayAccounts offers the calls of accounts to a controller of 9 slots, each of which
// takes 200 ms and is due within 600 ms, for 20 s. If anonymous is set, the controller is
// not told the accounts.
func replayAccounts(loads []accountLoad, anonymous bool) served {
	const slots, work, target = 9, 200 * time.Millisecond, 600 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	now := start
	c := admit.New(admit.Config{Slots: slots})
	asked, inTime := map[string]int{}, map[string]int{}
	loadOf := map[string]accountLoad{}
	due := map[string]time.Time{}
	ends := map[string]time.Time{}
	begin := func(id string) { ends[id] = now.Add(work) }
	next := map[string]time.Duration{}
	for _, l := range loads {
		next[l.name] = time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
	}
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for id, end := range ends {
			if now.Before(end) {
				continue
			}
			delete(ends, id)
			if !now.After(due[id]) {
				inTime[loadOf[id].name]++
			}
			for _, it := range c.Done(now, admit.Completion{Priority: loadOf[id].priority, Duration: work}).Started {
				begin(it.ID)
			}
		}
		for _, it := range c.Tick(now).Started {
			begin(it.ID)
		}
		for _, l := range loads {
			for start.Add(next[l.name]).Before(now) {
				next[l.name] += time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second))
				asked[l.name]++
				id := fmt.Sprint(l.name, asked[l.name])
				loadOf[id], due[id] = l, now.Add(target)
				it := admit.Item{ID: id, Priority: l.priority, Account: l.name, Target: due[id], Deadline: now.Add(2 * target), WaitUntil: now.Add(time.Hour)}
				if anonymous {
					it.Account = ""
				}
				if v, _, _ := c.Offer(now, it); v == admit.Start {
					begin(id)
				}
			}
		}
	}
	out := served{}
	for name, n := range asked {
		out[name] = float64(inTime[name]) / float64(n)
	}
	return out
}

// TestAccountsShareRoom replays one account of nine that sends seven times its usual, at a
// server that the usual load of all fills to eight tenths. It takes room from itself only.
func TestAccountsShareRoom(t *testing.T) {
	is := is.New(t)
	var loads []accountLoad
	for i := range 8 {
		loads = append(loads, accountLoad{fmt.Sprint("usual-", i), 1, 4})
	}
	loads = append(loads, accountLoad{"hot", 1, 28})
	with, without := replayAccounts(loads, false), replayAccounts(loads, true)
	worst := func(s served) float64 {
		w := 1.0
		for i := range 8 {
			w = min(w, s[fmt.Sprint("usual-", i)])
		}
		return w
	}
	t.Logf("served in time: the least of the usual accounts %.2f, the hot one %.2f; without accounts %.2f, %.2f", worst(with), with["hot"], worst(without), without["hot"])
	is.True(worst(with) > 0.9)                // the others have room
	is.True(with["hot"]*28 > 4)               // the hot one has what is left
	is.True(worst(with) > worst(without)+0.1) // the load does make accounts compete
}

// TestLowPriorityAccountIsNotStarved replays accounts of a high priority that want more
// than all room for 20 s. Those of a lower priority still get a quarter of what the
// others get.
func TestLowPriorityAccountIsNotStarved(t *testing.T) {
	is := is.New(t)
	loads := []accountLoad{{"high-1", 0, 30}, {"high-2", 0, 30}, {"low", 2, 20}}
	with, without := replayAccounts(loads, false), replayAccounts(loads, true)
	all := (with["high-1"]*30 + with["high-2"]*30 + with["low"]*20) / 80
	t.Logf("served in time: high %.2f %.2f, low %.2f, all %.2f; without accounts high %.2f %.2f, low %.2f",
		with["high-1"], with["high-2"], with["low"], all, without["high-1"], without["high-2"], without["low"])
	is.True(with["low"] >= all/4)
	is.True(with["high-1"] > with["low"]) // the priority still counts
}

// TestLowPriorityDoesNotDisplaceHigh replays accounts of low priorities that offer many
// times what the server can do, as those that repeat their requests at once do. They must
// not take the slots that a high priority needs.
func TestLowPriorityDoesNotDisplaceHigh(t *testing.T) {
	for _, numLow := range []int{1, 7} {
		t.Run(fmt.Sprint(numLow), func(t *testing.T) {
			is := is.New(t)
			loads := []accountLoad{{"high", 0, 20}}
			for i := range numLow {
				loads = append(loads, accountLoad{fmt.Sprint("low-", i), routes.Priority(1 + i), 800 / float64(numLow)})
			}
			s := replayAccounts(loads, false)
			t.Logf("served in time: %v", s)
			is.True(s["high"] > 0.9)
			for _, l := range loads[1:] {
				is.True(s[l.name] > 0) // each gets some of the rest
			}
		})
	}
}
