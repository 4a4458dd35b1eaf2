// Package demo runs a small deployment under a light load and prints what
// happens: nodes join, a configuration version comes into force (nodes apply it to
// calls), a backend server is killed, and a node is drained. It then checks that no
// at-most-once call ran twice and that the reported outcomes match what ran.
//
// # Usage
//
//	summary, err := demo.Run(ctx, demo.Config{Deployment: "nordurljos", Duration: 20 * time.Second, Out: os.Stdout})
//	if len(summary.Violations) > 0 { … }
package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	sample "tanagerchute/examples"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
	"tanagerchute/io/timer"
)

// Config configures a demonstration.
type Config struct {
	Deployment string        // nordurljos or association
	Duration   time.Duration // of the load
	Seed       uint64
	Out        io.Writer // receives the printed events and results
}

// Summary holds the results of a demonstration.
type Summary struct {
	Deployment     string        `json:"deployment"`
	Seed           uint64        `json:"seed"`
	Nodes          int           `json:"nodes"`
	InForceMS      []float64     `json:"in_force_ms"`     // for each version, from its acceptance until it is in force on all nodes
	Calls          []load.Stats  `json:"calls"`           // for each kind of call, and their total
	RanTwice       int           `json:"doubled"`         // at-most-once calls that ran more than once
	NotRunButRan   int           `json:"not_run_but_ran"` // calls that were reported as not run but ran
	AnsweredNotRun int           `json:"answered_but_not_run"`
	Violations     []string      `json:"broken_promises"`
	Took           time.Duration `json:"-"`
}

// deployment is an example deployment: its configuration, topology and load.
type deployment struct {
	document             []byte
	centres              []string
	services             map[string]int
	oneWayDelay          time.Duration
	kinds                []load.Kind
	oldTarget, newTarget string // latency target in document before and after the configuration change
}

const (
	callsPerSecond = 120 // rate of the load
	workDuration   = 4 * time.Millisecond
	drainLinger    = 6 * time.Second  // a drained node keeps running at least this long
	readyTimeout   = 20 * time.Second // for all nodes to be ready, and for a version to be in force
	// loadStartDelay is the time from the start of the nodes to the start of the
	// load. Nodes that start together can't tell whether the work of an
	// idempotency key has already run if the key was issued in the first 5 s
	// after their start, the margin of package homes.
	loadStartDelay = 5500 * time.Millisecond
	minDuration    = 2 * time.Second
)

var deployments = map[string]deployment{
	"nordurljos": {
		document:    sample.Nordurljos,
		centres:     []string{"hafnar", "selfoss", "keflavik"},
		services:    map[string]int{"skraning": 6, "budir": 3},
		oneWayDelay: 3500 * time.Microsecond,
		kinds: []load.Kind{
			{Name: "booking", Service: "skraning", Method: "POST", Path: "/bookings", BodyBytes: 300, Keyed: true, Weight: 2, LatencyTarget: 2 * time.Second},
			{Name: "payment", Service: "budir", Method: "POST", Path: "/payments", BodyBytes: 200, Weight: 1, LatencyTarget: 2 * time.Second},
			{Name: "lookup", Service: "skraning", Method: "GET", Path: "/places", Weight: 5, LatencyTarget: 800 * time.Millisecond},
			{Name: "roster", Service: "skraning", Method: "GET", Path: "/lists?call=budir/rosters", Weight: 2, LatencyTarget: 800 * time.Millisecond},
		},
		oldTarget: `"answer_within": "800ms"`, newTarget: `"answer_within": "700ms"`,
	},
	"association": {
		document:    sample.Association,
		centres:     []string{"hcm-a", "hcm-b", "binhduong"},
		services:    map[string]int{"checklist": 7, "docvault": 3},
		oneWayDelay: 3 * time.Millisecond,
		kinds: []load.Kind{
			{Name: "sign-off", Service: "checklist", Method: "POST", Path: "/sign-offs", BodyBytes: 300, Keyed: true, Weight: 2, LatencyTarget: 2 * time.Second},
			{Name: "lock", Service: "docvault", Method: "POST", Path: "/locks", BodyBytes: 200, Weight: 1, LatencyTarget: 2 * time.Second},
			{Name: "template", Service: "checklist", Method: "GET", Path: "/templates/close", Weight: 5, LatencyTarget: 250 * time.Millisecond},
			{Name: "workbook", Service: "checklist", Method: "GET", Path: "/status?call=docvault/workbooks", Weight: 2, LatencyTarget: time.Second},
		},
		oldTarget: `"answer_within": "250ms"`, newTarget: `"answer_within": "240ms"`,
	},
}

// session holds the state of a running demonstration.
type session struct {
	cfg        Config
	deployment deployment
	mesh       *mesh.Mesh
	start      time.Time
	mu         sync.Mutex
	summary    Summary
}

// Run runs a demonstration and returns its results.
func Run(ctx context.Context, cfg Config) (Summary, error) {
	d, ok := deployments[cfg.Deployment]
	if !ok {
		return Summary{}, errors.Errorf("deployment %q is not nordurljos or association", cfg.Deployment)
	}
	if cfg.Duration < minDuration {
		return Summary{}, errors.Errorf("duration %v is under %v", cfg.Duration, minDuration)
	}
	s := &session{cfg: cfg, deployment: d, start: time.Now()}
	m, err := mesh.New(mesh.Config{
		Document: d.document, Instances: mesh.InstanceSpecs(d.centres, d.services), OneWay: d.oneWayDelay,
		Work: workDuration, Linger: drainLinger, Platform: fakekv.Config{ReadRate: 2000, WriteRate: 300}, OnEvent: s.onEvent,
	})
	if err != nil {
		return Summary{}, err
	}
	s.mesh = m
	defer m.Close()
	if err := s.run(ctx); err != nil {
		return s.summary, err
	}
	return s.summary, nil
}

func (s *session) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.cfg.Out, "%7.3fs  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

func (s *session) run(ctx context.Context) error {
	s.summary = Summary{Deployment: s.cfg.Deployment, Seed: s.cfg.Seed, Violations: []string{}}
	s.logf("starting %d nodes in %d data centres, one-way delay %v", s.instanceCount(), len(s.deployment.centres), s.deployment.oneWayDelay)
	if err := s.mesh.Start(); err != nil {
		return err
	}
	s.summary.Nodes = len(s.mesh.Instances)
	if err := s.apply(ctx, s.deployment.document); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.mesh.WaitReady(ready); err != nil {
		return errors.Wrap(err, "nodes did not become ready")
	}
	s.logf("all %d nodes are ready and see each other", len(s.mesh.Instances))
	if !timer.Sleep(ctx, time.Until(s.start.Add(loadStartDelay))) {
		return ctx.Err()
	}
	return s.runUnderLoad(ctx)
}

func (s *session) instanceCount() int {
	n := 0
	for _, k := range s.deployment.services {
		n += k
	}
	return n
}

// runUnderLoad runs the script of the demonstration while the load is sent.
func (s *session) runUnderLoad(ctx context.Context) error {
	s.logf("sending %d calls a second for %v", callsPerSecond, s.cfg.Duration)
	done := make(chan load.Report, 1)
	go func() {
		done <- load.Run(ctx, load.Config{
			Targets: s.mesh.CallerAddrs(), Rate: callsPerSecond, Duration: s.cfg.Duration, Kinds: s.deployment.kinds, Seed: s.cfg.Seed,
		})
	}()
	err := s.runScript(ctx)
	report := <-done
	if err != nil {
		return err
	}
	s.checkLedgers(report)
	s.print()
	return ctx.Err()
}

// runScript changes the configuration, kills a backend server and drains a node. The
// steps are spread over the duration of the load.
func (s *session) runScript(ctx context.Context) error {
	step := s.cfg.Duration / 5
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	changed := bytes.Replace(s.deployment.document, []byte(s.deployment.oldTarget), []byte(s.deployment.newTarget), 1)
	if err := s.apply(ctx, changed); err != nil {
		return err
	}
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	victim := len(s.mesh.Instances) - 1
	s.logf("killing the backend server of %s", s.mesh.Instances[victim].Spec.Name)
	s.mesh.KillBackend(victim)
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	stopping := len(s.mesh.Instances) - 2
	s.logf("draining %s", s.mesh.Instances[stopping].Spec.Name)
	s.mesh.Stop(stopping)
	s.logf("%s has stopped", s.mesh.Instances[stopping].Spec.Name)
	return nil
}

// apply publishes a document and waits until it is in force on all nodes.
func (s *session) apply(ctx context.Context, doc []byte) error {
	number, err := s.mesh.Apply(ctx, fmt.Sprintf("demo-%d", len(s.summary.InForceMS)+1), doc)
	if err != nil {
		return err
	}
	accepted := time.Now()
	s.logf("version %d accepted by the store", number)
	wait, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.mesh.WaitVersion(wait, number); err != nil {
		return errors.Wrapf(err, "version %d did not come into force", number)
	}
	ms := float64(time.Since(accepted).Microseconds()) / 1e3
	s.summary.InForceMS = append(s.summary.InForceMS, ms)
	s.logf("version %d is in force on all nodes after %.1f ms", number, ms)
	return nil
}
