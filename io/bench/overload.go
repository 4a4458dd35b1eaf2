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

// OverloadConfig configures a measurement of goodput under overload.
type OverloadConfig struct {
	Duration time.Duration // of each load
	Work     time.Duration // duration of a call at its backend server
}

// OverloadRow holds the results of one load under one policy. The shares are of
// the calls sent in one class that were answered in time.
type OverloadRow struct {
	Policy          string  `json:"policy"`
	LoadFactor      float64 `json:"times_capacity"`  // offered load, as a multiple of the capacity
	Goodput         float64 `json:"goodput_s"`       // calls answered in time, per second
	AtMostOnceShare float64 `json:"once_in_time"`    // of class submit, whose calls must run at most once
	TightShare      float64 `json:"tight_in_time"`   // of class tight, which is latency-sensitive
	PatientShare    float64 `json:"patient_in_time"` // of class patient, which tolerates delay
	Attempts        float64 `json:"attempts_per_call"`
	NotRun          int     `json:"not_run"`
	Failed          int     `json:"failed"`
	P99             float64 `json:"p99_ms"`
}

// Size of the deployment that is overloaded.
const (
	overloadNodes = 3
	overloadSlots = 6 // per node
)

// overloadDocument has a class of each priority.
const overloadDocument = `{
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

var overloadKinds = []load.Kind{
	{Name: "submit", Service: "service-0", Method: "POST", Path: "/submit", BodyBytes: 100, Weight: 1, LatencyTarget: time.Second},
	{Name: "tight", Service: "service-0", Method: "GET", Path: "/tight", Weight: 1, LatencyTarget: 250 * time.Millisecond},
	{Name: "patient", Service: "service-0", Method: "GET", Path: "/lists", Weight: 8, LatencyTarget: 800 * time.Millisecond},
}

// overloadPolicies holds the policies to compare: that of nodes in production, and
// two baselines.
var overloadPolicies = []struct {
	name   string
	policy proxy.Policy
}{
	{"measured", proxy.LoadAware},
	{"round robin, no retries", proxy.RoundRobin},
	{"retry always", proxy.RetryAlways},
}

// Overload measures the goodput of each policy at loads below, at and above the
// capacity.
func Overload(ctx context.Context, cfg OverloadConfig) ([]OverloadRow, error) {
	var rows []OverloadRow
	for _, p := range overloadPolicies {
		for _, loadFactor := range []float64{0.8, 1, 2, 5} {
			row, err := measureOverload(ctx, cfg, p.policy, loadFactor)
			if err != nil {
				return rows, err
			}
			row.Policy = p.name
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func measureOverload(ctx context.Context, cfg OverloadConfig, policy proxy.Policy, loadFactor float64) (OverloadRow, error) {
	attempts := make(chan int, 1<<20)
	m, err := mesh.New(mesh.Config{
		Document: []byte(overloadDocument), Work: cfg.Work, Slots: overloadSlots, Policy: policy,
		Instances: instanceSpecs(overloadNodes, 1, 1),
		OnCall:    func(s proxy.CallResult) { attempts <- s.Attempts },
	})
	if err != nil {
		return OverloadRow{}, err
	}
	defer m.Close()
	if err := startMesh(ctx, m, []byte(overloadDocument)); err != nil {
		return OverloadRow{}, err
	}
	timer.Sleep(ctx, 5*time.Second) // until the slow start of the upstreams has ended
	capacity := overloadNodes * overloadSlots / cfg.Work.Seconds()
	r := load.Run(ctx, load.Config{
		Targets: m.CallerAddrs(), Rate: loadFactor * capacity, Duration: cfg.Duration, Seed: 1, Kinds: overloadKinds,
	})
	return newOverloadRow(r, loadFactor, attempts), nil
}

func newOverloadRow(r load.Report, loadFactor float64, attempts chan int) OverloadRow {
	total := r.Total()
	sum, n := 0, 0
	for len(attempts) > 0 {
		sum += <-attempts
		n++
	}
	return OverloadRow{
		LoadFactor: loadFactor, Goodput: float64(total.InTime) / r.Seconds, P99: total.P99,
		AtMostOnceShare: inTimeShare(r.Kinds[0]), TightShare: inTimeShare(r.Kinds[1]), PatientShare: inTimeShare(r.Kinds[2]),
		Attempts: float64(sum) / float64(max(n, 1)), NotRun: total.NotRun, Failed: total.Failed + total.Unknown,
	}
}

func inTimeShare(c load.Stats) float64 { return float64(c.InTime) / float64(max(c.Sent, 1)) }

// Header returns the header of a Markdown table of rows.
func (OverloadRow) Header() string {
	return "| policy | × capacity | goodput/s | at most once in time | tight in time | patient in time | attempts per call | not_run | failed or unknown | p99 ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

// String returns r as a row of the table.
func (r OverloadRow) String() string {
	return fmt.Sprintf("| %s | %.1f | %.0f | %.3f | %.3f | %.3f | %.3f | %d | %d | %.0f |",
		r.Policy, r.LoadFactor, r.Goodput, r.AtMostOnceShare, r.TightShare, r.PatientShare, r.Attempts, r.NotRun, r.Failed, r.P99)
}
