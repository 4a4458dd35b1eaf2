// Package load implements an open-loop load generator with fixed upper bounds on
// rate, duration and calls in flight.
//
// Calls are sent at their intended times whether or not earlier ones have been
// answered. Latency is measured from the intended time, so that the delays of a
// stalled system are counted (no coordinated omission). Latencies are recorded
// in an HDR histogram for each kind of call.
//
// # Usage
//
//	r := load.Run(ctx, load.Config{Targets: addrs, Rate: 500, Duration: 10 * time.Second, Kinds: kinds})
//	fmt.Println(r)
package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tanagerchute/core/dedup"
	"tanagerchute/io/native"
)

// Kind describes one kind of call.
type Kind struct {
	Name          string // name in the report
	Service       string
	Method        string
	Path          string
	BodyBytes     int           // size of the request body
	Keyed         bool          // send an idempotency key
	Weight        int           // share of the calls, relative to the other kinds
	LatencyTarget time.Duration // calls answered within it are in time; 0 for no target
}

// Config configures a run.
type Config struct {
	Targets  []string // addresses at which nodes accept calls from callers, used in turn
	Rate     float64  // calls a second
	Duration time.Duration
	Kinds    []Kind
	Seed     uint64
	Timeout  time.Duration // of one call, 10 s if 0
	// MaxInFlight bounds the calls in flight. Calls beyond it are not sent and
	// are counted as unsent.
	MaxInFlight int
}

// Upper bounds of a run.
const (
	MaxRate           = 50000 // calls a second
	MaxDuration       = 10 * time.Minute
	maxInFlight       = 20000
	maxAnswerBytes    = 16 << 20
	maxTargetsPerCall = 4 // addresses tried for one call
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros  = 1                        // microseconds
	maxLatencyMicros  = int64(time.Minute / 1e3) // microseconds
	significantDigits = 3
)

// Stats holds the numbers of calls of one kind by outcome, and the latencies of
// the good ones in milliseconds.
type Stats struct {
	Name      string  `json:"name"`
	Sent      int     `json:"sent"`
	Good      int     `json:"good"`    // answered with a status below 500
	InTime    int     `json:"in_time"` // good, and within the latency target
	NotRun    int     `json:"not_run"` // reported as not run
	Unknown   int     `json:"unknown"` // reported as possibly run
	Failed    int     `json:"failed"`  // no response, or a status of 500 or above
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Max       float64 `json:"max_ms"`
	histogram *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	Unsent  int     `json:"unsent"`
	Kinds   []Stats `json:"kinds"`
	// Answered, Refused and Unknown hold the ids of the calls that were
	// answered with a status below 500, reported as not run, or left with an
	// unknown outcome. They are for a check against the ledgers, in which the
	// backend servers record the id of each call that they run.
	Answered map[string]bool `json:"-"`
	Refused  map[string]bool `json:"-"`
	Unknown  map[string]bool `json:"-"`
}

// Total returns the sums over all kinds.
func (r Report) Total() Stats {
	t := Stats{Name: "total", histogram: newHistogram()}
	for _, c := range r.Kinds {
		t.Sent += c.Sent
		t.Good += c.Good
		t.InTime += c.InTime
		t.NotRun += c.NotRun
		t.Unknown += c.Unknown
		t.Failed += c.Failed
		t.histogram.Merge(c.histogram)
	}
	t.computeQuantiles()
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (c *Stats) computeQuantiles() {
	ms := func(us int64) float64 { return float64(us) / 1e3 }
	c.P50 = ms(c.histogram.ValueAtQuantile(50))
	c.P99 = ms(c.histogram.ValueAtQuantile(99))
	c.Max = ms(c.histogram.Max())
}

// runner holds the state of a run.
type runner struct {
	cfg      Config
	client   *http.Client
	rng      *rand.Rand
	mu       sync.Mutex
	report   Report
	inFlight chan struct{}
	wg       sync.WaitGroup
}

// Run sends the calls and returns when all of them have ended.
func Run(ctx context.Context, cfg Config) Report {
	cfg = cfg.withBounds()
	r := &runner{
		cfg: cfg,
		client: &http.Client{
			Timeout:   cfg.Timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true},
		},
		rng:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		inFlight: make(chan struct{}, cfg.MaxInFlight),
		report: Report{
			Answered: map[string]bool{}, Refused: map[string]bool{}, Unknown: map[string]bool{},
		},
	}
	for _, k := range cfg.Kinds {
		r.report.Kinds = append(r.report.Kinds, Stats{Name: k.Name, histogram: newHistogram()})
	}
	start := time.Now()
	r.sendAll(ctx, start)
	r.wg.Wait()
	r.client.CloseIdleConnections()
	r.report.Seconds = time.Since(start).Seconds()
	for i := range r.report.Kinds {
		r.report.Kinds[i].computeQuantiles()
	}
	return r.report
}

// withBounds applies the upper bounds and the defaults.
func (c Config) withBounds() Config {
	c.Rate = min(c.Rate, MaxRate)
	c.Duration = min(c.Duration, MaxDuration)
	if c.MaxInFlight <= 0 || c.MaxInFlight > maxInFlight {
		c.MaxInFlight = maxInFlight
	}
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	return c
}

// sendAll starts each call at its intended time.
func (r *runner) sendAll(ctx context.Context, start time.Time) {
	interval := time.Duration(float64(time.Second) / r.cfg.Rate)
	for n := 0; ; n++ {
		at := start.Add(time.Duration(n) * interval)
		if at.Sub(start) >= r.cfg.Duration {
			return
		}
		if d := time.Until(at); d > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d):
			}
		}
		kind := r.pickKind()
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.report.Unsent++
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.inFlight }()
			r.send(ctx, kind, n, at)
		})
	}
}

// pickKind returns the index of a random kind, chosen by weight.
func (r *runner) pickKind() int {
	total := 0
	for _, k := range r.cfg.Kinds {
		total += k.Weight
	}
	x := r.rng.IntN(total)
	for i, k := range r.cfg.Kinds {
		if x -= k.Weight; x < 0 {
			return i
		}
	}
	return 0
}

// result is the result of one call.
type result struct {
	status  int
	outcome string // outcome header of the response: not_run, unknown or empty
	err     error
}

func (r *runner) send(ctx context.Context, kind, n int, at time.Time) {
	k := r.cfg.Kinds[kind]
	callID := dedup.NewID()
	o := r.callWithFailover(ctx, k, n, callID)
	took := time.Since(at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.count(kind, k, callID, o, took)
}

// callWithFailover calls the target whose turn it is. If the connection to it
// fails, it tries the next ones, as a caller with a list of addresses does.
func (r *runner) callWithFailover(ctx context.Context, k Kind, n int, callID string) result {
	var o result
	for i := range min(len(r.cfg.Targets), maxTargetsPerCall) {
		o = r.call(ctx, k, r.cfg.Targets[(n+i)%len(r.cfg.Targets)], callID)
		var op *net.OpError
		if !errors.As(o.err, &op) || op.Op != "dial" {
			return o
		}
	}
	return o
}

func (r *runner) call(ctx context.Context, k Kind, target, callID string) result {
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+target+k.Path, bytes.NewReader(make([]byte, k.BodyBytes)))
	if err != nil {
		return result{err: err}
	}
	req.GetBody = nil
	req.Host = k.Service
	req.Header.Set("X-Work", callID)
	if k.Keyed {
		req.Header.Set("Idempotency-Key", callID)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
	return result{res.StatusCode, res.Header.Get(native.HeaderOutcome), err}
}

// count adds the result of a call to the report.
func (r *Report) count(kind int, k Kind, callID string, o result, took time.Duration) {
	c := &r.Kinds[kind]
	c.Sent++
	switch {
	case o.err != nil:
		c.Failed++
		r.Unknown[callID] = true
		return
	case o.outcome == "not_run":
		c.NotRun++
		r.Refused[callID] = true
		return
	case o.outcome == "unknown":
		c.Unknown++
		r.Unknown[callID] = true
		return
	case o.status >= http.StatusInternalServerError:
		c.Failed++
		return
	}
	c.Good++
	r.Answered[callID] = true
	if k.LatencyTarget == 0 || took <= k.LatencyTarget {
		c.InTime++
	}
	_ = c.histogram.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros)) // can't fail, since the value is clamped to the range of the histogram
}
