package tokens_test

import (
	"fmt"
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
			switch rapid.SampledFrom([]string{"kill", "stop", "cut", "freeze", "lower"}).Draw(t, "fault") {
			case "kill":
				for i := range count {
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
	for account, perSecond := range rates {
		quotas[account] = acct.Quota{Rate: 1.6 * perSecond, Burst: 1.6 * perSecond}
	}
	f.run(5 * time.Second)
	for account, perSecond := range rates {
		f.load(account, perSecond, instances(0, 20), 0, 20*time.Second)
	}
	f.run(20 * time.Second)
	for account := range rates {
		granted, refused := f.served(account)
		t.Log(account, granted, refused)
		is.Equal(refused, 0)
	}
	for account, perSecond := range rates {
		f.load(account, perSecond, instances(0, 20), 0, 40*time.Second)
	}
	for i := range 20 {
		f.stop(i, time.Second)
		f.run(2 * time.Second)
	}
	for account := range rates {
		granted, refused := f.served(account)
		t.Log(account, granted, refused)
	}
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

// TestMessages counts the messages of a node a second, for the capacity page.
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
			t.Logf("%d nodes, %d accounts: %.1f requests and %.1f messages a node a second, %d of %d refused",
				nodes, accounts, float64(granted+refused)/3/float64(nodes), float64(f.sent)/3/float64(nodes), refused, granted+refused)
		}
	}
}
