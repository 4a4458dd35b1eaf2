package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/canary"
	_ "tanagerchute/internal/seed"
)

// Bounds of the tests.
const (
	share          = 0.1
	slack          = 50
	rollbackWithin = 5 * time.Second
	tick           = 10 * time.Millisecond
	holderTick     = 100 * time.Millisecond
	spread         = 50 * time.Millisecond // until a node has a stage or a report arrives
	reportEvery    = 250 * time.Millisecond
	numNodes       = 12 // each with an old server
)

// version is how the servers of the ordered version behave.
type version struct {
	badShare  float64       // of the answers
	slower    float64       // factor on the time of the bad ones, 0 if they fail
	badFrom   time.Duration // after the order
	route     string        // on which it is bad, empty for all
	underLoad float64       // calls a second and server from which it is bad, 0 for any
}

// load is a load of calls with a roll-out.
type load struct {
	rate    float64 // calls a second
	within  time.Duration
	version version
	servers int           // of the ordered version
	speeds  []float64     // of the servers of both versions, which are drawn from them, 1 if empty
	cut     time.Duration // time at which a fourth of the nodes lose contact to the holder, 0 for none
	kill    time.Duration // time at which the holder is killed, 0 for none
}

// result is what became of the roll-out.
type result struct {
	final        canary.Phase
	committedAt  time.Duration
	endedAt      time.Duration
	calls        int
	exposed      int
	bad          int
	lastAfterBad time.Duration // from the 50th bad answer to the last call
	reason       string
}

// answer is a call in progress.
type answer struct {
	server int
	done   time.Duration
	out    canary.Outcome
}

// sim replays a load in virtual time.
type sim struct {
	load
	rng      *rand.Rand
	start    time.Time
	tables   []*canary.Table
	acc      []float64
	tallies  []*canary.Tally // old servers, then new ones
	holder   *canary.Rollout
	stage    canary.Stage
	inFlight []answer
	perRate  map[int][]time.Duration // recent starts at new servers
	oldBusy  []int
	speeds   []float64 // of the old servers, then of the new ones
	res      result
}

func (s *sim) at(d time.Duration) time.Time { return s.start.Add(d) }

// run replays the load until its deadline and two seconds more.
func (s *sim) run() result {
	for range numNodes {
		s.tables = append(s.tables, canary.NewTable())
		s.acc = append(s.acc, s.rng.Float64())
		s.tallies = append(s.tallies, canary.NewTally("v1"))
	}
	for range s.servers {
		s.tallies = append(s.tallies, canary.NewTally("v2"))
	}
	for range numNodes + s.servers {
		s.speeds = append(s.speeds, s.drawSpeed())
	}
	s.oldBusy = make([]int, numNodes)
	order := canary.NewOrder(canary.Request{Service: "a", Target: "v2", Within: s.within}, canary.OrderID{Revision: 1}, s.start)
	cfg := canary.Config{Share: share, Slack: slack}
	s.holder = canary.New(cfg, s.start, order, "v1", canary.Stage{})
	var fiftieth time.Duration
	var due float64
	var successorAt time.Duration
	for d := time.Duration(0); d < s.within+2*time.Second; d += tick {
		if s.kill > 0 && d == s.kill {
			successorAt = d + 4*time.Second
			s.holder = nil
		}
		if s.holder == nil && d >= successorAt {
			s.holder = canary.New(cfg, s.at(d), order, "v1", s.stage)
			s.holder.Enter(s.at(d), s.holder.Stage().WithHolder("b"))
			s.announce(d)
		}
		s.finish(d)
		if d%reportEvery == 0 && s.holder != nil {
			s.report(d)
		}
		if d%holderTick == 0 && s.holder != nil {
			s.decide(d)
		}
		for due += s.rate * tick.Seconds(); due >= 1; due-- {
			s.call(d)
		}
		if fiftieth == 0 && s.res.bad >= 50 {
			fiftieth = d
		}
		if fiftieth > 0 && s.res.exposed > 0 {
			s.res.lastAfterBad = max(s.lastExposed()-fiftieth, 0)
		}
	}
	return s.res
}

// drawSpeed returns the speed of a server.
func (s *sim) drawSpeed() float64 {
	if len(s.load.speeds) == 0 {
		return 1
	}
	return s.load.speeds[s.rng.IntN(len(s.load.speeds))]
}

// lastExposed returns when the last call went to the ordered version.
func (s *sim) lastExposed() time.Duration {
	var last time.Duration
	for _, starts := range s.perRate {
		last = max(last, starts[len(starts)-1])
	}
	return last
}

// isCut reports whether a node has no contact to the holder.
func (s *sim) isCut(node int, d time.Duration) bool {
	return s.cut > 0 && d >= s.cut && node%4 == 0
}

func (s *sim) announce(d time.Duration) {
	s.stage = s.holder.Stage()
	for i, t := range s.tables {
		if !s.isCut(i, d) {
			t.Merge(s.stage, s.at(d+s.stage.Phase.ConfirmedFor(reportEvery)))
		}
	}
}

func (s *sim) report(d time.Duration) {
	for i, t := range s.tables {
		if s.isCut(i, d) {
			continue
		}
		stage, _ := t.Stage("a")
		rep := canary.Report{Node: fmt.Sprint(i), Phase: stage.Phase, Tallies: []*canary.Tally{s.tallies[i].Clone()}}
		rep.Quiet = stage.Phase >= canary.Committed && s.oldBusy[i] == 0
		s.holder.Report(s.at(d), rep)
		t.Confirm(s.stage, s.at(d+s.stage.Phase.ConfirmedFor(reportEvery)))
	}
	for i := range s.servers {
		s.holder.Report(s.at(d), canary.Report{Node: fmt.Sprint("new", i), Phase: s.stage.Phase, Quiet: true, Tallies: []*canary.Tally{s.tallies[numNodes+i].Clone()}})
	}
}

func (s *sim) decide(d time.Duration) {
	var up []string
	for i := range numNodes {
		if !s.isCut(i, d-3*time.Second) {
			up = append(up, fmt.Sprint(i))
		}
	}
	next, ok := s.holder.Next(s.at(d), canary.Servers{
		TargetServers: s.servers, TargetSlots: 12 * s.servers, OldServers: numNodes, OldSlots: 12 * numNodes,
		Nodes: up, ReportInterval: reportEvery, ServiceExists: true,
	})
	if !ok {
		return
	}
	s.holder.Enter(s.at(d), next)
	s.announce(d)
	if next.Phase == canary.Committed {
		s.res.committedAt = d
	}
	if next.Phase.Ended() {
		s.res.final, s.res.endedAt, s.res.reason = next.Phase, d, next.Reason
	}
}

// call starts a call at a random node.
func (s *sim) call(d time.Duration) {
	s.res.calls++
	node := s.rng.IntN(numNodes)
	split := s.tables[node].Split(s.at(d-spread), "a", canary.Versions{"v1": 1, "v2": 1})
	route := [...]string{"read", "read", "read", "write"}[s.rng.IntN(4)]
	s.acc[node] += split.Share
	o := canary.Outcome{Route: route, Failed: s.rng.Float64() < 0.01, Took: time.Duration((0.5 + s.rng.ExpFloat64()/2) * float64(120*time.Millisecond))}
	server := s.rng.IntN(numNodes)
	if s.acc[node] < 1 && !s.refuses(server) {
		s.oldBusy[server]++
		o.Took = time.Duration(float64(o.Took) / s.speeds[server])
		s.inFlight = append(s.inFlight, answer{server, d + o.Took, o})
		return
	}
	s.acc[node] = max(s.acc[node]-1, 0)
	n := s.servers
	if split.Servers > 0 {
		n = min(n, split.Servers)
	}
	server = s.rng.IntN(n)
	o.Took = time.Duration(float64(o.Took) / s.speeds[numNodes+server])
	s.res.exposed++
	s.perRate[server] = append(s.perRate[server], d)
	if s.isBad(server, d, o) {
		s.res.bad++
		o.Failed = s.version.slower == 0
		o.Took = time.Duration(max(s.version.slower, 1) * float64(o.Took))
	}
	s.inFlight = append(s.inFlight, answer{numNodes + server, d + o.Took, o})
}

// refuses reports whether an old server gets no calls any more.
func (s *sim) refuses(server int) bool {
	stage, _ := s.tables[server].Stage("a")
	return stage.Phase >= canary.Committed
}

// isBad reports whether the ordered version treats a call badly.
func (s *sim) isBad(server int, d time.Duration, o canary.Outcome) bool {
	v := s.version
	if v.badShare == 0 || d < v.badFrom || v.route != "" && v.route != o.Route {
		return false
	}
	recent, starts := 0, s.perRate[server]
	for i := len(starts) - 1; i >= 0 && d-starts[i] < time.Second/2; i-- {
		recent++
	}
	return float64(2*recent) >= v.underLoad && s.rng.Float64() < v.badShare
}

// finish counts the calls that have ended by d.
func (s *sim) finish(d time.Duration) {
	left := s.inFlight[:0]
	for _, a := range s.inFlight {
		if a.done > d {
			left = append(left, a)
			continue
		}
		if a.server < numNodes {
			s.oldBusy[a.server]--
		}
		s.tallies[a.server].Add(a.out)
	}
	s.inFlight = left
}

func replay(l load, seed uint64) result {
	s := &sim{load: l, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0), perRate: map[int][]time.Duration{}}
	return s.run()
}

// checkBounds checks that a version got no more calls than it may.
func checkBounds(t interface{ Fatalf(string, ...any) }, r result) {
	if bound := share*float64(r.calls) + slack; float64(r.exposed) > bound {
		t.Fatalf("%d calls exposed, %.0f allowed of %d: %+v", r.exposed, bound, r.calls, r)
	}
	if r.lastAfterBad > rollbackWithin {
		t.Fatalf("a call was sent %v after the 50th bad answer", r.lastAfterBad)
	}
}

// TestGoodVersionCompletes replays roll-outs of good versions at several rates.
func TestGoodVersionCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := load{
			rate:    rapid.SampledFrom([]float64{20, 200, 800}).Draw(t, "rate"),
			within:  rapid.SampledFrom([]time.Duration{12 * time.Second, 16 * time.Second, 30 * time.Second}).Draw(t, "within"),
			servers: rapid.IntRange(10, 14).Draw(t, "servers"),
		}
		r := replay(l, rapid.Uint64().Draw(t, "seed"))
		if r.final != canary.Complete || r.endedAt > l.within {
			t.Fatalf("%+v ended as %+v", l, r)
		}
	})
}

// unevenSpeeds are the speeds of servers of one service that differ.
var unevenSpeeds = []float64{0.5, 0.7, 0.7, 1, 1, 1, 1.5, 1.6}

// TestGoodVersionOnUnevenServersCompletes replays roll-outs of good versions whose servers, like
// those of the old version, differ in speed, with few calls and with many. Chance may roll one
// of 1000 back.
func TestGoodVersionOnUnevenServersCompletes(t *testing.T) {
	const maxRolledBack = 1e-3
	for _, tc := range []struct {
		rate    float64
		replays uint64
	}{{20, 1000}, {200, 1000}, {1600, 60}} {
		var back []string
		for seed := range tc.replays {
			r := replay(load{rate: tc.rate, within: 16 * time.Second, servers: 12, speeds: unevenSpeeds}, seed)
			if r.final != canary.Complete {
				back = append(back, fmt.Sprintf("seed %d: %+v", seed, r))
			}
		}
		t.Logf("%v calls a second: %d of %d rolled back", tc.rate, len(back), tc.replays)
		if float64(len(back)) > maxRolledBack*float64(tc.replays) {
			t.Errorf("%v calls a second: %d of %d good versions rolled back: %v", tc.rate, len(back), tc.replays, back)
		}
	}
}

// TestBadVersionOnUnevenServersGoesBack replays versions that are bad at once or later, by
// failures and by time, on servers that differ in speed.
func TestBadVersionOnUnevenServersGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := version{badShare: rapid.Float64Range(0.25, 1).Draw(t, "bad"), slower: rapid.SampledFrom([]float64{0, 4}).Draw(t, "slower")}
		const within = 16 * time.Second
		v.badFrom = time.Duration(rapid.SampledFrom([]float64{0, 0.2, 0.4}).Draw(t, "from") * float64(within))
		l := load{rate: rapid.SampledFrom([]float64{200, 1600}).Draw(t, "rate"), within: within, version: v, servers: 12, speeds: unevenSpeeds}
		r := replay(l, rapid.Uint64().Draw(t, "seed"))
		checkBounds(t, r)
		if r.final != canary.RolledBack {
			t.Fatalf("%+v ended as %+v", l, r)
		}
	})
}

// TestBadVersionGoesBack replays versions that are bad at once, later, under load, on one
// route, by failures and by time.
func TestBadVersionGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		within := rapid.SampledFrom([]time.Duration{12 * time.Second, 16 * time.Second}).Draw(t, "within")
		v := version{badShare: rapid.Float64Range(0.25, 1).Draw(t, "bad"), slower: rapid.SampledFrom([]float64{0, 4}).Draw(t, "slower")}
		switch rapid.SampledFrom([]string{"at once", "later", "route", "load"}).Draw(t, "when") {
		case "later":
			v.badFrom = time.Duration(rapid.Float64Range(0, 0.6).Draw(t, "from") * float64(within))
		case "route":
			v.route = rapid.SampledFrom([]string{"read", "write"}).Draw(t, "route")
			v.badShare = max(v.badShare, 0.5) // of a fourth of the calls, in the case of write
		case "load":
			v.underLoad = 0.6 * 800 / numNodes
		}
		rates := []float64{200, 800}
		if v.underLoad > 0 {
			rates = []float64{800}
		}
		l := load{rate: rapid.SampledFrom(rates).Draw(t, "rate"), within: within, version: v, servers: 12}
		r := replay(l, rapid.Uint64().Draw(t, "seed"))
		checkBounds(t, r)
		if r.final != canary.RolledBack {
			t.Fatalf("%+v ended as %+v", l, r)
		}
	})
}

// TestExposureIsBoundedWheneverVersionTurnsBad replays versions that turn bad at any moment
// before the verdict, also while nodes are cut off from the holder or it is killed.
func TestExposureIsBoundedWheneverVersionTurnsBad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := load{rate: 400, within: 14 * time.Second, servers: 12, version: version{badShare: 0.5}}
		l.version.slower = rapid.SampledFrom([]float64{0, 4}).Draw(t, "slower")
		l.version.badFrom = time.Duration(rapid.IntRange(0, 140).Draw(t, "from")) * 100 * time.Millisecond
		l.cut = time.Duration(rapid.IntRange(0, 13).Draw(t, "cut")) * time.Second
		l.kill = time.Duration(rapid.IntRange(0, 13).Draw(t, "kill")) * time.Second
		r := replay(l, rapid.Uint64().Draw(t, "seed"))
		if r.committedAt > 0 && l.version.badFrom >= r.committedAt-time.Second {
			return // it turned bad when it was in use, or too late to be seen
		}
		checkBounds(t, r)
		if r.final != canary.RolledBack && r.final != canary.Complete {
			t.Fatalf("%+v did not end: %+v", l, r)
		}
	})
}

// TestHolderKilledMidway checks that a successor completes the roll-out of a good version.
func TestHolderKilledMidway(t *testing.T) {
	is := is.New(t)
	r := replay(load{rate: 400, within: 16 * time.Second, servers: 12, kill: 3 * time.Second}, 1)
	is.Equal(r.final, canary.Complete)
}

// TestNodesWithoutNewsUseOldVersion checks that a node falls back without the holder, but not
// after a verdict.
func TestNodesWithoutNewsUseOldVersion(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	vs := canary.Versions{"v1": 10, "v2": 10}
	s := canary.Stage{Service: "a", Target: "v2", Baseline: "v1", Order: canary.OrderID{Revision: 1}}.With(canary.Full, "")
	tab := canary.NewTable()
	is.True(tab.Merge(s, start.Add(time.Second)))
	is.Equal(tab.Split(start, "a", vs).Share, 1.0)
	is.Equal(tab.Split(start.Add(2*time.Second), "a", vs).Share, 0.0)
	tab.Confirm(s, start.Add(4*time.Second))
	is.Equal(tab.Split(start.Add(3*time.Second), "a", vs).Share, 1.0)
	tab.Merge(s.With(canary.Committed, ""), start)
	is.Equal(tab.Split(start.Add(time.Hour), "a", vs).Share, 1.0)
	is.True(!tab.Merge(s.With(canary.Canary, "").WithHolder("b").WithHolder("c"), start.Add(time.Hour))) // no way back
}

// TestUnorderedVersion checks that calls are not divided without an order, and that the
// version in use changes once its servers have been replaced.
func TestUnorderedVersion(t *testing.T) {
	is := is.New(t)
	tab := canary.NewTable()
	is.Equal(tab.InUse("a", canary.Versions{"v9": 10}), "v9")
	is.Equal(tab.Split(time.Time{}, "a", canary.Versions{"v9": 10, "v10": 10}), canary.Split{})
	is.Equal(tab.InUse("a", canary.Versions{"v9": 4, "v10": 10}), "v10")
	fresh := canary.NewTable() // of a node that has restarted
	is.Equal(fresh.InUse("a", canary.Versions{"v9": 8, "v10": 10}), "v9")
	is.Equal(fresh.InUse("a", canary.Versions{"v9": 7, "v10": 10}), "v9") // its node restarts
}

// TestReplacedAfterRollout checks that a version that has replaced the one of an earlier
// roll-out without an order is in use, and that one which a roll-out has left is not.
func TestReplacedAfterRollout(t *testing.T) {
	s := canary.Stage{Service: "a", Target: "v2", Baseline: "v1", Order: canary.OrderID{Revision: 1}}
	for _, tc := range []struct {
		phase canary.Phase
		vs    canary.Versions
		known string
		split canary.Split
	}{
		{canary.Complete, canary.Versions{"v1": 12, "v2": 10}, "v2", canary.Split{Abandoned: "v1"}},
		{canary.Complete, canary.Versions{"v2": 3, "v3": 8}, "v3", canary.Split{Abandoned: "v1"}},
		{canary.RolledBack, canary.Versions{"v1": 4, "v2": 12}, "v1", canary.Split{Abandoned: "v2"}},
		{canary.RolledBack, canary.Versions{"v1": 3, "v2": 12, "v3": 8}, "v3", canary.Split{Abandoned: "v2"}},
		{canary.RolledBack, canary.Versions{"v2": 12}, "v2", canary.Split{Abandoned: "v2"}},
		{canary.Full, canary.Versions{"v1": 4, "v2": 12}, "v1", canary.Split{Baseline: "v1", Target: "v2"}},
	} {
		is := is.New(t)
		tab := canary.NewTable()
		tab.Merge(s.With(tc.phase, ""), time.Time{})
		is.Equal(tab.InUse("a", tc.vs), tc.known)
		is.Equal(tab.Split(time.Time{}, "a", tc.vs), tc.split)
	}
}

// TestOrdersThatCannotBeDone checks that each ends at once or at its deadline, with its reason.
func TestOrdersThatCannotBeDone(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		target   string
		within   time.Duration
		servers  canary.Servers
		withdraw bool
		final    canary.Phase
		by       time.Duration
	}{
		{"deadline passed", "v2", 0, canary.Servers{ServiceExists: true}, false, canary.RolledBack, 0},
		{"no server", "v2", 10 * time.Second, canary.Servers{ServiceExists: true, OldServers: 3}, false, canary.RolledBack, 9 * time.Second},
		{"unknown service", "v2", 10 * time.Second, canary.Servers{}, false, canary.RolledBack, time.Second},
		{"too few servers", "v2", 10 * time.Second, canary.Servers{ServiceExists: true, OldServers: 30, OldSlots: 300, TargetServers: 1, TargetSlots: 1}, false, canary.RolledBack, 9 * time.Second},
		{"withdrawn", "v2", 10 * time.Second, canary.Servers{ServiceExists: true, OldServers: 3, TargetServers: 3, TargetSlots: 30}, true, canary.RolledBack, 2 * time.Second},
		{"in use already", "v1", 10 * time.Second, canary.Servers{ServiceExists: true, OldServers: 3}, false, canary.Complete, time.Second},
		{"no calls", "v2", 10 * time.Second, canary.Servers{ServiceExists: true, OldServers: 3, TargetServers: 3, TargetSlots: 30}, false, canary.Complete, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			o := canary.NewOrder(canary.Request{Service: "a", Target: tc.target, Within: tc.within}, canary.OrderID{Revision: 1}, start)
			r := canary.New(canary.Config{Share: share, Slack: slack}, start, o, "v1", canary.Stage{})
			for d := time.Duration(0); d <= tc.within; d += holderTick {
				now := start.Add(d)
				if tc.withdraw && d == time.Second {
					r.Withdraw()
				}
				if tc.name == "too few servers" {
					tally := canary.NewTally("v1")
					for range int(1000 * d.Seconds()) {
						tally.Add(canary.Outcome{Route: "read", Took: 100 * time.Millisecond})
					}
					fresh := canary.NewTally("v2")
					for range int(20 * d.Seconds()) {
						fresh.Add(canary.Outcome{Route: "read", Took: 100 * time.Millisecond})
					}
					r.Report(now, canary.Report{Node: "n", Tallies: []*canary.Tally{tally, fresh}})
				}
				r.Report(now, canary.Report{Node: "m", Phase: r.Stage().Phase, Quiet: true})
				if next, ok := r.Next(now, tc.servers); ok {
					r.Enter(now, next)
				}
				if r.Stage().Phase.Ended() {
					is.True(d <= tc.by)
					break
				}
			}
			t.Log(r.Stage().Reason)
			is.Equal(r.Stage().Phase, tc.final)
			is.True(r.Stage().Reason != "")
		})
	}
}

// TestOneFaultyServerIsNoBadVersion checks that the failures of one server of several don't
// condemn the version.
func TestOneFaultyServerIsNoBadVersion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	j := canary.NewJudge(now)
	good := canary.RouteCounts{Calls: 100}
	for range 100 {
		good.Times.Add(100 * time.Millisecond)
	}
	j.AddOld(now, "old", "read", good)
	j.AddTarget("b", "read", good)
	for range 20 {
		j.AddTarget("a", "read", canary.RouteCounts{Calls: 1, Failures: 1})
	}
	_, bad := j.Alarm()
	is.True(!bad)
	for range 4 {
		j.AddTarget("b", "read", canary.RouteCounts{Calls: 1, Failures: 1})
	}
	_, bad = j.Alarm()
	is.True(bad)
}

// readTally returns a tally of n good answers on one route.
func readTally(version string, n int) *canary.Tally {
	t := canary.NewTally(version)
	for range n {
		t.Add(canary.Outcome{Route: "read", Took: 100 * time.Millisecond})
	}
	return t
}

// TestRestartedNodeIsCounted checks that the answers of a node count whose process has
// restarted, and so begins to count again, and that a late report of the former one does not.
func TestRestartedNodeIsCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	o := canary.NewOrder(canary.Request{Service: "a", Target: "v2", Within: 10 * time.Second}, canary.OrderID{Revision: 1}, now)
	r := canary.New(canary.Config{Share: share, Slack: slack}, now, o, "v1", canary.Stage{})
	r.Report(now, canary.Report{Node: "old", Since: now, Tallies: []*canary.Tally{readTally("v1", 100)}})
	r.Report(now, canary.Report{Node: "new", Since: now, Tallies: []*canary.Tally{readTally("v2", 50)}})
	is.Equal(r.Judge().Answers(), 50)
	restarted := now.Add(time.Second)
	r.Report(now, canary.Report{Node: "new", Since: restarted, Tallies: []*canary.Tally{readTally("v2", 30)}})
	is.Equal(r.Judge().Answers(), 80)
	r.Report(now, canary.Report{Node: "new", Since: now, Tallies: []*canary.Tally{readTally("v2", 50)}})
	r.Report(now, canary.Report{Node: "new", Since: restarted, Tallies: []*canary.Tally{readTally("v2", 31)}})
	is.Equal(r.Judge().Answers(), 81)
}

// TestSuccessorMovesAllCalls checks that a holder that takes over late does not take the calls
// counted before for a high rate, for which there would be no room.
func TestSuccessorMovesAllCalls(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	o := canary.NewOrder(canary.Request{Service: "a", Target: "v2", Within: 16 * time.Second}, canary.OrderID{Revision: 1}, start)
	last := canary.Stage{Order: o.ID, Service: "a", Target: "v2", Baseline: "v1"}.With(canary.Canary, "").WithHolder("a")
	last.Share, last.Servers = 0.025, 2
	took := 11 * time.Second
	r := canary.New(canary.Config{Share: share, Slack: slack}, start.Add(took), o, "v1", last)
	servers := canary.Servers{ServiceExists: true, OldServers: 12, OldSlots: 144, TargetServers: 12, TargetSlots: 144, ReportInterval: reportEvery, Nodes: []string{"n"}}
	for d := took; d < o.Within && !r.Stage().Phase.Ended(); d += holderTick {
		calls := int(500 * d.Seconds())
		tallies := []*canary.Tally{readTally("v1", calls), readTally("v2", calls/40)}
		r.Report(start.Add(d), canary.Report{Node: "n", Phase: r.Stage().Phase, Quiet: r.Stage().Phase == canary.Committed, Tallies: tallies})
		if next, ok := r.Next(start.Add(d), servers); ok {
			r.Enter(start.Add(d), next)
		}
	}
	t.Log(r.Stage().Reason)
	is.Equal(r.Stage().Phase, canary.Complete)
}

// TestShortPauseIsNotSlow checks that pauses of a few milliseconds of a host don't condemn a
// version whose answers take less than that, and that several times the usual time does.
func TestShortPauseIsNotSlow(t *testing.T) {
	for _, tc := range []struct {
		usual, taken time.Duration
		bad          bool
	}{
		{2 * time.Millisecond, 15 * time.Millisecond, false},
		{2 * time.Millisecond, 40 * time.Millisecond, true},
		{30 * time.Millisecond, 90 * time.Millisecond, true},
	} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		j := canary.NewJudge(now)
		for range 50 {
			j.AddOld(now, "old", "read", oneAnswer(tc.usual))
			j.AddTarget("a", "read", oneAnswer(tc.taken))
		}
		_, bad := j.Alarm()
		is.Equal(bad, tc.bad)
	}
}

// oneAnswer returns the counts of one answer.
func oneAnswer(took time.Duration) canary.RouteCounts {
	c := canary.RouteCounts{Calls: 1}
	c.Times.Add(took)
	return c
}

// TestCallsInProgressHoldUpCompletion checks that a roll-out is not complete while a node has a
// call in progress at a server of the old version, which would end with it, also when its
// deadline has passed.
func TestCallsInProgressHoldUpCompletion(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	o := canary.NewOrder(canary.Request{Service: "a", Target: "v2", Within: 10 * time.Second}, canary.OrderID{Revision: 1}, start)
	last := canary.Stage{Order: o.ID, Service: "a", Target: "v2", Baseline: "v1"}.With(canary.Committed, "").WithHolder("a")
	r := canary.New(canary.Config{Share: share, Slack: slack}, start.Add(9*time.Second), o, "v1", last)
	servers := canary.Servers{ServiceExists: true, OldServers: 1, OldSlots: 12, TargetServers: 1, TargetSlots: 12, ReportInterval: reportEvery, Nodes: []string{"busy", "unheard"}}
	const callEnds = 12 * time.Second
	for d := 9 * time.Second; d < 13*time.Second && !r.Stage().Phase.Ended(); d += holderTick {
		r.Report(start.Add(d), canary.Report{Node: "busy", Phase: canary.Committed, Quiet: d >= callEnds})
		if next, ok := r.Next(start.Add(d), servers); ok {
			is.True(d >= callEnds)
			r.Enter(start.Add(d), next)
		}
	}
	is.Equal(r.Stage().Phase, canary.Complete)
}
