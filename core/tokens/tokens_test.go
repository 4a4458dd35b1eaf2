package tokens_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/acct"
	_ "tanagerchute/internal/seed"
)

// instances returns the numbers from first to last-1.
func instances(first, last int) []int {
	var out []int
	for i := first; i < last; i++ {
		out = append(out, i)
	}
	return out
}

// TestQuotaHoldsThroughFailures checks, over random cuts, kills, planned stops, freezes,
// lost messages and changes of the quota, that no window holds more requests than the
// quota of an account allows, however many its callers send.
func TestQuotaHoldsThroughFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 24).Draw(t, "nodes")
		quotas := map[string]acct.Quota{"large": {Rate: 100, Burst: 100}, "small": {Rate: 3, Burst: 3}}
		f := newFleet(n, rapid.Uint64().Draw(t, "seed"), quotas)
		f.loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.2}).Draw(t, "loss")
		f.run(2 * time.Second)
		at := rapid.IntRange(0, 3000).Draw(t, "idle ms")
		f.run(time.Duration(at) * time.Millisecond)
		f.load("large", 400, instances(0, n), 0, 12*time.Second)
		f.load("small", 21, instances(0, n), 0, 12*time.Second)
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "gap ms")) * time.Millisecond)
			d := time.Duration(rapid.IntRange(200, 5000).Draw(t, "length ms")) * time.Millisecond
			count := rapid.IntRange(1, n-1).Draw(t, "count")
			switch rapid.SampledFrom([]string{"kill", "kill all", "stop", "cut", "freeze", "lower"}).Draw(t, "fault") {
			case "kill":
				for i := range count {
					f.kill(i, d)
				}
			case "kill all":
				for i := range n {
					f.kill(i, d)
				}
			case "stop":
				f.stop(count, d)
			case "cut":
				f.partition(instances(0, count), d)
			case "freeze":
				f.freeze(count, d)
			case "lower":
				quotas["large"] = acct.Quota{Rate: 60, Burst: 60}
			}
		}
		f.run(12 * time.Second)
		for account, q := range map[string]acct.Quota{"large": {Rate: 100, Burst: 100}, "small": {Rate: 3, Burst: 3}} {
			if err := f.check(account, q); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestNothingBelowQuotaIsRefused checks that accounts below their quota are served in
// whole, also while processes are stopped and started in turn.
func TestNothingBelowQuotaIsRefused(t *testing.T) {
	is := is.New(t)
	quotas := map[string]acct.Quota{}
	f := newFleet(20, 1, quotas)
	rates := map[string]float64{"a": 250, "b": 20, "c": 2}
	accounts := slices.Sorted(maps.Keys(rates))
	for account, perSecond := range rates {
		quotas[account] = acct.Quota{Rate: 1.6 * perSecond, Burst: 1.6 * perSecond}
	}
	f.run(5 * time.Second)
	for _, account := range accounts {
		f.load(account, rates[account], instances(0, 20), 0, 20*time.Second)
	}
	f.run(20 * time.Second)
	for _, account := range accounts {
		granted, refused := f.served(account)
		t.Log(account, granted, refused)
		is.Equal(refused, 0)
	}
	for _, account := range accounts {
		f.load(account, rates[account], instances(0, 20), 0, 40*time.Second)
	}
	for i := range 20 {
		f.stop(i, time.Second)
		f.run(2 * time.Second)
	}
	granted, refused := 0, 0
	for _, account := range accounts {
		g, r := f.served(account)
		t.Log(account, g, r)
		granted, refused = granted+g, refused+r
	}
	is.True(refused*200 < granted)
}

// TestAccountAboveQuota replays an account that sends seven times its usual rate at a
// few nodes: it gets its quota and no less.
func TestAccountAboveQuota(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1, map[string]acct.Quota{"a": {Rate: 160, Burst: 160}})
	f.run(5 * time.Second)
	f.load("a", 700, instances(0, 60), 0, 10*time.Second)
	f.run(10 * time.Second)
	is.NoErr(f.check("a", acct.Quota{Rate: 160, Burst: 160}))
	granted, refused := f.served("a")
	t.Log(granted, refused, f.sent)
	is.True(granted > 160*10)
	for _, r := range f.requests {
		is.True(r.granted || r.wait > 0)
	}
}

// TestExhaustedAccount replays an account at six times its quota, whose keeper is slow.
// Requests that can't pass are refused at once, and the messages do not grow with the
// demand.
func TestExhaustedAccount(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1, map[string]acct.Quota{"a": {Rate: 600, Burst: 600}})
	f.run(5 * time.Second)
	for i, p := range f.nodes {
		if p.keeper.Keeps("a") {
			f.slow = map[int]bool{i: true}
		}
	}
	f.load("a", 3600, instances(0, 60), 0, 6*time.Second)
	f.run(2 * time.Second)
	f.requests, f.sent = nil, 0
	f.run(4 * time.Second)
	is.NoErr(f.check("a", acct.Quota{Rate: 600, Burst: 600}))
	granted, refused, waited := 0, 0, 0
	for _, r := range f.requests {
		switch {
		case r.granted:
			granted++
		case r.waited > 0:
			waited++
			fallthrough
		default:
			refused++
			is.True(r.wait > 0)
		}
	}
	perNode := float64(f.sent) / 60 / 4
	t.Logf("%d granted, %d refused, %d of them after a wait, %.1f messages a node a second", granted, refused, waited, perNode)
	is.True(waited*50 <= refused)
	is.True(perNode <= 10)
	is.True(granted >= 600*4*95/100)
}

// TestReturnsPass replays a burst at four times the quota of an account. The requests
// refused in it come back when they were told to, and pass then.
func TestReturnsPass(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 1, map[string]acct.Quota{"a": {Rate: 160, Burst: 160}})
	f.run(5 * time.Second)
	f.load("a", 640, instances(0, 60), 0, 2*time.Second)
	f.run(2 * time.Second)
	end, returns := f.now, 0
	for _, r := range f.requests {
		if at := r.at.Add(r.wait); !r.granted && at.After(end) {
			returns++
			f.after(at.Sub(end), func() { f.request(f.rng.IntN(60), "a") })
		}
	}
	f.requests = nil
	f.run(10 * time.Second)
	granted, _ := f.served("a")
	t.Logf("%d of %d returns passed", granted, returns)
	is.True(returns > 300)
	is.True(granted*10 >= returns*9)
}

// TestMessages counts the messages of a node a second, for the capacity page. They
// depend on its requests, and not on the number of nodes.
func TestMessages(t *testing.T) {
	for _, nodes := range []int{10, 30, 60, 300} {
		for _, accounts := range []int{72, 10_000} {
			quotas := map[string]acct.Quota{}
			f := newFleet(nodes, 1, quotas)
			f.run(3 * time.Second)
			perNode := 22.0
			weights, sum := make([]float64, accounts), 0.0
			for i := range weights {
				weights[i] = 1 / float64(i+1)
				sum += weights[i]
			}
			f.sent = 0
			for i, w := range weights {
				account := fmt.Sprint("a", i)
				perSecond := w / sum * perNode * float64(nodes)
				quotas[account] = acct.Quota{Rate: 1.6 * perSecond, Burst: 1.6 * perSecond}
				f.load(account, perSecond, instances(0, nodes), 0, 3*time.Second)
			}
			f.run(3 * time.Second)
			granted, refused := 0, 0
			for _, r := range f.requests {
				if r.granted {
					granted++
				} else {
					refused++
				}
			}
			if f.sent > (granted+refused)*11/10 {
				t.Errorf("%d messages for %d requests", f.sent, granted+refused)
			}
			t.Logf("%d nodes, %d accounts: %.1f requests and %.1f messages a node a second, %d of %d refused",
				nodes, accounts, float64(granted+refused)/3/float64(nodes), float64(f.sent)/3/float64(nodes), refused, granted+refused)
		}
	}
}
