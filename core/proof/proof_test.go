package proof_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerchute/core/proof"
	"tanagerchute/core/vers"
	_ "tanagerchute/internal/seed"
)

const bound = 5 * time.Second

// stampOf returns the stamp of version n.
func stampOf(n int) vers.Stamp {
	return vers.Stamp{Number: uint64(n), Digest: fmt.Sprint("digest-", n)}
}

// node is a node with a clock of its own.
type node struct {
	*proof.Keeper
	offset time.Duration // of its clock
}

// message is a message on its way, in one of its steps.
type message struct {
	from, to *node // a nil from is the store
	sentAt   time.Time
	// answered is set once the other side has answered. stamp and age are its answer.
	answered bool
	stamp    vers.Stamp
	age      time.Duration
	proved   bool
}

// model is a store with nodes.
type model struct {
	now      time.Time
	accepted []time.Time // when version i+1 was accepted
	nodes    []*node
	messages []*message
}

func (m *model) clockOf(n *node) time.Time { return m.now.Add(n.offset) }

// deliver does the next step of a message.
func (m *model) deliver(x *message) {
	switch {
	case x.answered && x.from == nil:
		x.to.Add(proof.Proof{Stamp: x.stamp, At: x.sentAt})
	case x.answered && x.proved:
		x.to.Add(proof.Passed(x.stamp, x.age, x.sentAt))
	case x.answered:
	case x.from == nil:
		x.stamp = stampOf(len(m.accepted))
	default:
		x.stamp = x.from.Current()
		x.age, x.proved = x.from.Age(m.clockOf(x.from))
	}
	if x.answered {
		return
	}
	x.answered = true
	m.messages = append(m.messages, x)
}

// check fails if a node relies on a version although a later one was accepted longer ago
// than the bound.
func (m *model) check(t *rapid.T) {
	for i, n := range m.nodes {
		if !m.clockOf(n).Before(n.Until()) {
			continue
		}
		if next := int(n.Current().Number); next < len(m.accepted) && m.now.Sub(m.accepted[next]) > bound {
			t.Fatalf("node %d relies on version %d, but version %d was accepted %v ago", i, next, next+1, m.now.Sub(m.accepted[next]))
		}
	}
}

// TestWithdrawnKeyEnds checks that no node relies on a version for longer than the bound
// after a later one was accepted, whatever messages are lost, delayed or overtake each
// other, and however long nodes are frozen or cut off.
func TestWithdrawnKeyEnds(t *testing.T) {
	served := 0 // steps after which a node relied on a version that was not the newest
	defer func() {
		if served == 0 {
			t.Error("no node relied on an earlier version than the newest")
		}
	}()
	const rounds = 20 // of as many checks as rapid makes
	for range rounds {
		rapid.Check(t, func(t *rapid.T) { served += runModel(t) })
	}
}

// runModel runs a random series of steps. It returns after how many of them a node
// relied on another version than the newest.
func runModel(t *rapid.T) (served int) {
	m := &model{now: time.Unix(1e6, 0), accepted: []time.Time{time.Unix(1e6, 0)}}
	for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
		n := &node{proof.NewKeeper(proof.Config{Bound: bound}), time.Duration(i*i) * time.Hour}
		n.Apply(stampOf(1))
		m.nodes = append(m.nodes, n)
	}
	pick := rapid.SampledFrom(m.nodes)
	for range rapid.IntRange(10, 120).Draw(t, "steps") {
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0:
			m.accepted = append(m.accepted, m.now)
		case 1: // a node hears of a version, which may be an old one
			n := pick.Draw(t, "node")
			if v := stampOf(rapid.IntRange(1, len(m.accepted)).Draw(t, "version")); v.After(n.Current()) {
				n.Apply(v)
			}
		case 2:
			n := pick.Draw(t, "reader")
			m.messages = append(m.messages, &message{to: n, sentAt: m.clockOf(n)})
		case 3:
			n := pick.Draw(t, "asking")
			m.messages = append(m.messages, &message{from: pick.Draw(t, "asked"), to: n, sentAt: m.clockOf(n)})
		case 4, 5:
			if len(m.messages) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
			x := m.messages[i]
			m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
			m.deliver(x)
		case 6:
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
		case 7: // everything is frozen for a while
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
		}
		m.check(t)
		for _, n := range m.nodes {
			if m.clockOf(n).Before(n.Until()) && int(n.Current().Number) < len(m.accepted) {
				served++
			}
		}
	}
	return served
}

// TestKeeper checks which proofs count.
func TestKeeper(t *testing.T) {
	at := time.Unix(1000, 0)
	until := at.Add(4500 * time.Millisecond)
	other := vers.Stamp{Number: 3, Digest: "other"}
	for _, c := range []struct {
		name string
		do   func(k *proof.Keeper)
		want time.Time
	}{
		{"none", func(*proof.Keeper) {}, time.Time{}},
		{"of the version in force", func(k *proof.Keeper) { k.Add(proof.Proof{Stamp: stampOf(3), At: at}) }, until},
		{"older one after it", func(k *proof.Keeper) {
			k.Add(proof.Proof{Stamp: stampOf(3), At: at})
			k.Add(proof.Proof{Stamp: stampOf(3), At: at.Add(-time.Second)})
		}, until},
		{"of an earlier version", func(k *proof.Keeper) { k.Add(proof.Proof{Stamp: stampOf(2), At: at}) }, time.Time{}},
		{"of another version of the number", func(k *proof.Keeper) { k.Add(proof.Proof{Stamp: other, At: at}) }, time.Time{}},
		{"of a later version", func(k *proof.Keeper) { k.Add(proof.Proof{Stamp: stampOf(4), At: at}) }, time.Time{}},
		{"of a later version that comes into force", func(k *proof.Keeper) {
			k.Add(proof.Proof{Stamp: stampOf(4), At: at})
			k.Apply(stampOf(4))
		}, until},
		{"of a later version that is passed over", func(k *proof.Keeper) {
			k.Add(proof.Proof{Stamp: stampOf(4), At: at})
			k.Apply(stampOf(5))
		}, time.Time{}},
		{"of the version before", func(k *proof.Keeper) {
			k.Add(proof.Proof{Stamp: stampOf(3), At: at})
			k.Apply(stampOf(4))
		}, until},
		{"age is counted from the request", func(k *proof.Keeper) { k.Add(proof.Passed(stampOf(3), time.Second, at.Add(time.Second))) }, until},
		{"negative age", func(k *proof.Keeper) { k.Add(proof.Passed(stampOf(3), -time.Second, at)) }, until},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := proof.NewKeeper(proof.Config{Bound: bound})
			k.Apply(stampOf(3))
			c.do(k)
			if got := k.Until(); !got.Equal(c.want) {
				t.Fatalf("until %v, want %v", got, c.want)
			}
		})
	}
}

// fleet is a deployment of data centres, in which nodes pass proofs on with their probes.
type fleet struct {
	nodes      []*fleetNode
	perZone    int
	reads      int
	firstReads int // in the first second
	startReads int // in the first two bounds
	asks       int
	oldest     time.Duration // age of the oldest proof after the start
	stalest    time.Duration // age of the newest proof of all nodes when it was oldest, after the start
	canRead    func(i int) bool
	schedule   proof.Schedule // KeySchedule if it is zero
	checkers   int            // nodes of each data centre that look for proofs, 0 for all
}

type fleetNode struct {
	*proof.Keeper
	*proof.Planner
}

// run runs the fleet for d, in steps of 100 ms.
func (f *fleet) run(size int, d time.Duration) {
	r := rand.New(rand.NewPCG(1, uint64(size)))
	if f.schedule == (proof.Schedule{}) {
		f.schedule = proof.KeySchedule()
	}
	for range size {
		cfg := proof.Config{Bound: bound, Spread: r.Float64()}
		n := &fleetNode{proof.NewKeeper(cfg), proof.NewPlanner(cfg, f.schedule)}
		n.Apply(stampOf(1))
		f.nodes = append(f.nodes, n)
	}
	start := time.Unix(1e6, 0)
	for now := start; now.Before(start.Add(d)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(start) == time.Second {
			f.firstReads = f.reads
		}
		if now.Sub(start) == 2*bound {
			f.startReads = f.reads
		}
		newest := time.Duration(math.MaxInt64)
		for i, n := range f.nodes {
			f.step(now, i, n, r)
			if age, ok := n.Age(now); ok && now.Sub(start) > 2*bound {
				f.oldest = max(f.oldest, age)
				newest = min(newest, age)
			}
		}
		if now.Sub(start) > 2*bound {
			f.stalest = max(f.stalest, newest)
		}
	}
}

// step lets a node probe its predecessors, ask the readers and read the store, if it is
// time. The first two nodes of each data centre are its readers.
func (f *fleet) step(now time.Time, i int, n *fleetNode, r *rand.Rand) {
	if (now.UnixMilli()/100+int64(i))%4 == 0 {
		for _, d := range []int{1, 2, 3} {
			f.pass(now, (i+7*d)%len(f.nodes), n)
		}
	}
	rank := i % f.perZone
	if f.checkers > 0 && rank >= f.checkers {
		return
	}
	if f.checkers == 0 && rank > 1 {
		rank = -1
	}
	step := n.Next(now, n.At(), rank, r.Float64())
	if step.Ask {
		f.asks++
		first := i - i%f.perZone
		if second := first + 1; second != i && f.asks%2 == 0 {
			first = second
		}
		f.pass(now, first, n)
	}
	if step.Read {
		f.reads++
		ok := f.canRead(i)
		n.ReadEnded(ok)
		if ok {
			n.Add(proof.Proof{Stamp: stampOf(1), At: now})
		}
	}
}

// pass passes the proof of a node on to n.
func (f *fleet) pass(now time.Time, from int, n *fleetNode) {
	if age, ok := f.nodes[from].Age(now); ok {
		n.Add(proof.Passed(stampOf(1), age, now))
	}
}

// TestReadsOfTheStore counts the reads of the store and looks at the age of the proofs,
// in a minute in which all nodes reach the store, only one does, and none does.
func TestReadsOfTheStore(t *testing.T) {
	for _, c := range []struct {
		name      string
		size      int
		perZone   int
		canRead   func(i int) bool
		mostReads float64       // a second
		mostAge   time.Duration // 0 for no limit
	}{
		{"10 nodes", 10, 5, func(int) bool { return true }, 3, bound * 35 / 100},
		{"60 nodes", 60, 15, func(int) bool { return true }, 6, bound * 35 / 100},
		{"60 nodes, one reaches the store", 60, 15, func(i int) bool { return i == 37 }, 20, bound * 7 / 10},
		{"60 nodes, none reaches the store", 60, 15, func(int) bool { return false }, 30, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fleet{perZone: c.perZone, canRead: c.canRead}
			f.run(c.size, time.Minute)
			reads := float64(f.reads) / 60
			t.Logf("%d reads in the first second, then %.1f reads and %.1f asks a second, oldest proof %v", f.firstReads, reads, float64(f.asks)/60, f.oldest)
			if reads > c.mostReads || c.mostAge > 0 && f.oldest > c.mostAge {
				t.Errorf("want at most %v reads a second and proofs of at most %v", c.mostReads, c.mostAge)
			}
		})
	}
}

// TestChecksFindVersionInTime counts the checks of the store for versions of which no watch tells,
// and looks at how old the knowledge of the whole fleet gets: a version that is accepted when it
// is oldest is found by the next check. The checks must not become more with the nodes, and what
// is left of the bound must do for a version to reach all nodes.
func TestChecksFindVersionInTime(t *testing.T) {
	const (
		zones    = 3
		checkers = 5
		mostAge  = bound * 7 / 10
		// mostWhile is about a hundredth of the reads that the platform allows in a bound of 2 s.
		mostWhile = 50
		mostUsual = zones / 0.22 // the first readers read
	)
	rank := func(i, size int) int { return i % (size / zones) }
	for _, size := range []int{15, 90, 639} {
		for _, c := range []struct {
			name      string
			canRead   func(i int) bool
			mostReads float64 // of the whole fleet in a bound
			found     bool    // a node reaches the store
		}{
			{"all reach the store", func(int) bool { return true }, mostUsual, true},
			{"no first reader does", func(i int) bool { return rank(i, size) > 0 }, mostWhile, true},
			{"no reader does", func(i int) bool { return rank(i, size) > 1 }, mostWhile, true},
			{"one checker does", func(i int) bool { return i == size/zones+4 }, mostWhile, true},
			{"none does", func(int) bool { return false }, mostWhile, false},
		} {
			t.Run(fmt.Sprint(size, " nodes, ", c.name), func(t *testing.T) {
				f := &fleet{perZone: size / zones, canRead: c.canRead, schedule: proof.VersionSchedule(), checkers: checkers}
				f.run(size, time.Minute)
				const perBound = float64(bound) / float64(time.Minute-2*bound)
				reads := float64(f.reads-f.startReads) * perBound
				t.Logf("%.1f reads in a bound, %d at the start, knowledge %v old at most", reads, f.startReads, f.stalest)
				if reads > c.mostReads || c.found && f.stalest > mostAge {
					t.Errorf("want at most %.1f reads in a bound and knowledge of at most %v", c.mostReads, mostAge)
				}
			})
		}
	}
}
