// Package load is a bounded, open-loop load generator.
//
// Calls are sent at their intended times whether or not earlier ones have been
// answered, and their latency counts from the intended time, so that a stalled
// system can't hide its stalls. Latencies go into HDR histograms by class.
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
	"tanagerchute/io/face"
)

// Kind is one kind of call.
type Kind struct {
	Name    string // in the report
	Service string
	Method  string
	Path    string
	Body    int  // bytes
	Keyed   bool // with an idempotency key
	Share   int  // of the calls, relative to the other kinds
	Within  time.Duration
}

// Config configures a run.
type Config struct {
	Targets  []string // caller addresses of nodes, used in turn
	Rate     float64  // calls a second
	Duration time.Duration
	Kinds    []Kind
	Seed     uint64
	Timeout  time.Duration // of one call, at the caller
	// MaxInFlight bounds the calls under way; calls over it are counted as
	// unsent.
	MaxInFlight int
}

// Bounds that no run exceeds.
const (
	MaxRate     = 50000
	MaxDuration = 10 * time.Minute
	maxInFlight = 20000
	maxAnswer   = 16 << 20
	maxTargets  = 4 // tried for one call
)

const (
	lowestValue  = 1                        // microseconds
	highestValue = int64(time.Minute / 1e3) // microseconds
	digits       = 3
)

// Count is what became of the calls of one kind.
type Count struct {
	Name      string  `json:"name"`
	Sent      int     `json:"sent"`
	Good      int     `json:"good"` // answered with a status under 500
	InTime    int     `json:"in_time"`
	NotRun    int     `json:"not_run"`
	Unknown   int     `json:"unknown"`
	Failed    int     `json:"failed"` // no answer, or a status of 500 and over
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	Max       float64 `json:"max_ms"`
	histogram *hdrhistogram.Histogram
}

// Report is the outcome of a run.
type Report struct {
	Seconds float64 `json:"seconds"`
	Unsent  int     `json:"unsent"`
	Kinds   []Count `json:"kinds"`
	// Keys lists the work that was reported as answered, by kind name, and
	// Refused the work that was reported as not run, for a check against the
	// ledgers of the backend servers.
	Answered map[string]bool `json:"-"`
	Refused  map[string]bool `json:"-"`
	Doubtful map[string]bool `json:"-"`
}

// Total returns the sums over all kinds.
func (r Report) Total() Count {
	t := Count{Name: "total", histogram: newHistogram()}
	for _, c := range r.Kinds {
		t.Sent += c.Sent
		t.Good += c.Good
		t.InTime += c.InTime
		t.NotRun += c.NotRun
		t.Unknown += c.Unknown
		t.Failed += c.Failed
		t.histogram.Merge(c.histogram)
	}
	t.quantiles()
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestValue, highestValue, digits)
}

func (c *Count) quantiles() {
	ms := func(us int64) float64 { return float64(us) / 1e3 }
	c.P50 = ms(c.histogram.ValueAtQuantile(50))
	c.P99 = ms(c.histogram.ValueAtQuantile(99))
	c.Max = ms(c.histogram.Max())
}

// runner is a run under way.
type runner struct {
	cfg    Config
	client *http.Client
	rng    *rand.Rand
	mu     sync.Mutex
	report Report
	sem    chan struct{}
	wg     sync.WaitGroup
}

// Run sends the load and returns when all calls have ended.
func Run(ctx context.Context, cfg Config) Report {
	cfg = cfg.bounded()
	r := &runner{
		cfg: cfg,
		client: &http.Client{
			Timeout:   cfg.Timeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxInFlight, DisableCompression: true},
		},
		rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		sem: make(chan struct{}, cfg.MaxInFlight),
		report: Report{
			Answered: map[string]bool{}, Refused: map[string]bool{}, Doubtful: map[string]bool{},
		},
	}
	for _, k := range cfg.Kinds {
		r.report.Kinds = append(r.report.Kinds, Count{Name: k.Name, histogram: newHistogram()})
	}
	began := time.Now()
	r.sendAll(ctx, began)
	r.wg.Wait()
	r.client.CloseIdleConnections()
	r.report.Seconds = time.Since(began).Seconds()
	for i := range r.report.Kinds {
		r.report.Kinds[i].quantiles()
	}
	return r.report
}

func (c Config) bounded() Config {
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
func (r *runner) sendAll(ctx context.Context, began time.Time) {
	gap := time.Duration(float64(time.Second) / r.cfg.Rate)
	for n := 0; ; n++ {
		at := began.Add(time.Duration(n) * gap)
		if at.Sub(began) >= r.cfg.Duration {
			return
		}
		if d := time.Until(at); d > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d):
			}
		}
		kind := r.pick()
		select {
		case r.sem <- struct{}{}:
		default:
			r.report.Unsent++
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.sem }()
			r.send(ctx, kind, n, at)
		})
	}
}

func (r *runner) pick() int {
	total := 0
	for _, k := range r.cfg.Kinds {
		total += k.Share
	}
	x := r.rng.IntN(total)
	for i, k := range r.cfg.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return 0
}

// outcome is what became of one call.
type outcome struct {
	status int
	fate   string
	err    error
}

func (r *runner) send(ctx context.Context, kind, n int, at time.Time) {
	k := r.cfg.Kinds[kind]
	work := dedup.NewID()
	o := r.callAny(ctx, k, n, work)
	took := time.Since(at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.count(kind, k, work, o, took)
}

// callAny calls the target whose turn it is, or the next ones if nothing
// listens there, as a caller with a list of addresses does.
func (r *runner) callAny(ctx context.Context, k Kind, n int, work string) outcome {
	var o outcome
	for i := range min(len(r.cfg.Targets), maxTargets) {
		o = r.call(ctx, k, r.cfg.Targets[(n+i)%len(r.cfg.Targets)], work)
		var op *net.OpError
		if !errors.As(o.err, &op) || op.Op != "dial" {
			return o
		}
	}
	return o
}

func (r *runner) call(ctx context.Context, k Kind, target, work string) outcome {
	req, err := http.NewRequestWithContext(ctx, k.Method, "http://"+target+k.Path, bytes.NewReader(make([]byte, k.Body)))
	if err != nil {
		return outcome{err: err}
	}
	req.GetBody = nil
	req.Host = k.Service
	req.Header.Set("X-Work", work)
	if k.Keyed {
		req.Header.Set("Idempotency-Key", work)
	}
	res, err := r.client.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswer))
	return outcome{res.StatusCode, res.Header.Get(face.HeaderOutcome), err}
}

// count adds the outcome of a call.
func (r *Report) count(kind int, k Kind, work string, o outcome, took time.Duration) {
	c := &r.Kinds[kind]
	c.Sent++
	switch {
	case o.err != nil:
		c.Failed++
		r.Doubtful[work] = true
		return
	case o.fate == "not_run":
		c.NotRun++
		r.Refused[work] = true
		return
	case o.fate == "unknown":
		c.Unknown++
		r.Doubtful[work] = true
		return
	case o.status >= http.StatusInternalServerError:
		c.Failed++
		return
	}
	c.Good++
	r.Answered[work] = true
	if k.Within == 0 || took <= k.Within {
		c.InTime++
	}
	_ = c.histogram.RecordValue(min(max(took.Microseconds(), lowestValue), highestValue)) // clamped, can't fail
}
