package mesh_test

import (
	"bytes"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/jsonc"
	sample "tanagerchute/examples"
	"tanagerchute/io/setup"
)

// TestQuotaHoldsOverDataCentres sends the calls of an account to all nodes, at four times
// its quota. Together they pass its quota, and no more than the bound allows; the others
// are told that the quota is exceeded. An account without a quota is not bounded.
func TestQuotaHoldsOverDataCentres(t *testing.T) {
	is := is.New(t)
	const rate, length = 20, 5 * time.Second
	cfg := smallConfig()
	cfg.Quota = setup.Quota{Window: jsonc.Duration(length), Overshoot: 0.1, Slack: 5}
	m, ctx := start(t, cfg)
	document := bytes.Replace(sample.Nordurljos, []byte(`"services": [`),
		[]byte(`"accounts": [{"name": "stofa", "keys": ["one"], "rate": 20, "burst": 20}, {"name": "dalur", "keys": ["two"]}], "services": [`), 1)
	number, err := m.Apply(ctx, "op-2", document)
	is.NoErr(err)
	is.NoErr(m.WaitVersion(ctx, number))
	time.Sleep(2 * time.Second) // the buckets fill
	var passed, refused, others atomic.Int64
	var wg sync.WaitGroup
	addrs := m.CallerAddrs()
	end := time.Now().Add(length - 200*time.Millisecond)
	for i := 0; time.Now().Before(end); i++ {
		addr := addrs[i%len(addrs)]
		wg.Go(func() {
			switch status, cause := callWithKey(t, ctx, addr, "one"); {
			case status == 200:
				passed.Add(1)
			case status == 429 && cause == "quota_exceeded":
				refused.Add(1)
			default:
				t.Log(status, cause)
				others.Add(1)
			}
		})
		time.Sleep(time.Second / (4 * rate))
	}
	wg.Wait()
	t.Log("passed", passed.Load(), "refused", refused.Load())
	is.Equal(others.Load(), int64(0))
	is.True(refused.Load() > 0)
	allowed := (rate*length.Seconds()+rate)*1.1 + 5
	is.True(float64(passed.Load()) <= allowed)
	is.True(float64(passed.Load()) >= rate*length.Seconds())
	for i := range 30 {
		status, _ := callWithKey(t, ctx, addrs[i%len(addrs)], "two")
		is.Equal(status, 200)
	}
}
