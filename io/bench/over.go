package bench

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
	"tanagerchute/io/proxy"
	"tanagerchute/io/timer"
)

// OverConfig configures a measurement of goodput under overload.
type OverConfig struct {
	Duration time.Duration // of each load
	Work     time.Duration // of a call
}

// OverRow is the outcome of one load under one policy.
type OverRow struct {
	Policy     string  `json:"policy"`
	Times      float64 `json:"times_capacity"`
	Goodput    float64 `json:"goodput_s"` // answered in time
	OnceShare  float64 `json:"once_in_time"`
	TightShare float64 `json:"tight_in_time"`
	LazyShare  float64 `json:"patient_in_time"`
	Attempts   float64 `json:"attempts_per_call"`
	Refused    int     `json:"not_run"`
	Failed     int     `json:"failed"`
	P99        float64 `json:"p99_ms"`
}

// Sizes of the overloaded deployment.
const (
	overNodes = 3
	overSlots = 6
)

// overDocument has a class of each priority.
const overDocument = `{
  "deployment": "bench",
  "services": [{
    "name": "service-0",
    "classes": [
      {"name": "submit", "match": [{"method": "POST", "path": "/submit"}], "answer_within": "1s", "may_wait": "200ms", "at_most_once": true},
      {"name": "tight", "match": [{"method": "GET", "path": "/tight"}], "answer_within": "250ms", "may_wait": "40ms"},
      {"name": "patient", "match": [{"method": "GET", "path": "/"}], "answer_within": "800ms", "may_wait": "300ms"},
    ],
  }],
}`

var overKinds = []load.Kind{
	{Name: "submit", Service: "service-0", Method: "POST", Path: "/submit", BodyBytes: 100, Weight: 1, LatencyTarget: time.Second},
	{Name: "tight", Service: "service-0", Method: "GET", Path: "/tight", Weight: 1, LatencyTarget: 250 * time.Millisecond},
	{Name: "patient", Service: "service-0", Method: "GET", Path: "/lists", Weight: 8, LatencyTarget: 800 * time.Millisecond},
}

var policies = []struct {
	name   string
	policy proxy.Policy
}{
	{"measured", proxy.LoadAware},
	{"round robin, no retries", proxy.RoundRobin},
	{"retry always", proxy.RetryAlways},
}

// Overload measures goodput at loads below and above capacity.
func Overload(ctx context.Context, cfg OverConfig) ([]OverRow, error) {
	var rows []OverRow
	for _, p := range policies {
		for _, times := range []float64{0.8, 1, 2, 5} {
			row, err := overload(ctx, cfg, p.policy, times)
			if err != nil {
				return rows, err
			}
			row.Policy = p.name
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func overload(ctx context.Context, cfg OverConfig, policy proxy.Policy, times float64) (OverRow, error) {
	attempts := make(chan int, 1<<20)
	m, err := mesh.New(mesh.Config{
		Document: []byte(overDocument), Work: cfg.Work, Slots: overSlots, Policy: policy,
		Instances: sites(overNodes, 1, 1),
		OnCall:    func(s proxy.CallResult) { attempts <- s.Attempts },
	})
	if err != nil {
		return OverRow{}, err
	}
	defer m.Close()
	if err := startMesh(ctx, m, []byte(overDocument)); err != nil {
		return OverRow{}, err
	}
	timer.Sleep(ctx, 5*time.Second) // the upstreams are not cold any more
	capacity := overNodes * overSlots / cfg.Work.Seconds()
	r := load.Run(ctx, load.Config{
		Targets: m.CallerAddrs(), Rate: times * capacity, Duration: cfg.Duration, Seed: 1, Kinds: overKinds,
	})
	return overRow(r, times, attempts), nil
}

func overRow(r load.Report, times float64, attempts chan int) OverRow {
	total := r.Total()
	sum, n := 0, 0
	for len(attempts) > 0 {
		sum += <-attempts
		n++
	}
	return OverRow{
		Times: times, Goodput: float64(total.InTime) / r.Seconds, P99: total.P99,
		OnceShare: share(r.Kinds[0]), TightShare: share(r.Kinds[1]), LazyShare: share(r.Kinds[2]),
		Attempts: float64(sum) / float64(max(n, 1)), Refused: total.NotRun, Failed: total.Failed + total.Unknown,
	}
}

func share(c load.Stats) float64 { return float64(c.InTime) / float64(max(c.Sent, 1)) }

// Header returns the head of a table of rows.
func (OverRow) Header() string {
	return "| policy | × capacity | goodput/s | at most once in time | tight in time | patient in time | attempts a call | not_run | failed or unknown | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns a row of the table.
func (r OverRow) String() string {
	return fmt.Sprintf("| %s | %.1f | %.0f | %.3f | %.3f | %.3f | %.3f | %d | %d | %.0f |",
		r.Policy, r.Times, r.Goodput, r.OnceShare, r.TightShare, r.LazyShare, r.Attempts, r.Refused, r.Failed, r.P99)
}
