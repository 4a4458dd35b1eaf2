// Package demo shows a small deployment at work: nodes join, a version comes
// into force, a backend server dies, a node is drained, under a light load.
//
// # Usage
//
//	summary, err := demo.Run(ctx, demo.Config{Deployment: "nordurljos", Duration: 20 * time.Second, Out: os.Stdout})
//	if len(summary.Broken) > 0 { … }
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
	"tanagerchute/io/load"
	"tanagerchute/io/mesh"
	"tanagerchute/io/plat"
	"tanagerchute/io/timer"
)

// Config configures a demonstration.
type Config struct {
	Deployment string        // nordurljos or association
	Duration   time.Duration // of the load
	Seed       uint64
	Out        io.Writer // what happens, as it happens
}

// Summary is the outcome.
type Summary struct {
	Deployment string        `json:"deployment"`
	Seed       uint64        `json:"seed"`
	Nodes      int           `json:"nodes"`
	InForceMS  []float64     `json:"in_force_ms"` // of each version, from accepted to everywhere
	Calls      []load.Stats  `json:"calls"`
	Doubled    int           `json:"doubled"`         // work that may not run twice and did
	FalseNo    int           `json:"not_run_but_ran"` // refusals that were wrong
	Lost       int           `json:"answered_but_not_run"`
	Broken     []string      `json:"broken_promises"`
	Took       time.Duration `json:"-"`
}

// deployment is what differs between the two examples.
type deployment struct {
	document []byte
	centres  []string
	services map[string]int
	oneWay   time.Duration
	kinds    []load.Kind
	old, new string // a change of a target
}

const (
	rate       = 120 // calls a second
	work       = 4 * time.Millisecond
	linger     = 6 * time.Second
	readyLimit = 20 * time.Second
	// settle is how long the load waits for the nodes to vouch for keys after
	// the common start.
	settle      = 5500 * time.Millisecond
	minDuration = 2 * time.Second
)

var deployments = map[string]deployment{
	"nordurljos": {
		document: sample.Nordurljos,
		centres:  []string{"hafnar", "selfoss", "keflavik"},
		services: map[string]int{"skraning": 6, "budir": 3},
		oneWay:   3500 * time.Microsecond,
		kinds: []load.Kind{
			{Name: "booking", Service: "skraning", Method: "POST", Path: "/bookings", BodyBytes: 300, Keyed: true, Weight: 2, LatencyTarget: 2 * time.Second},
			{Name: "payment", Service: "budir", Method: "POST", Path: "/payments", BodyBytes: 200, Weight: 1, LatencyTarget: 2 * time.Second},
			{Name: "lookup", Service: "skraning", Method: "GET", Path: "/places", Weight: 5, LatencyTarget: 800 * time.Millisecond},
			{Name: "roster", Service: "skraning", Method: "GET", Path: "/lists?call=budir/rosters", Weight: 2, LatencyTarget: 800 * time.Millisecond},
		},
		old: `"answer_within": "800ms"`, new: `"answer_within": "700ms"`,
	},
	"association": {
		document: sample.Association,
		centres:  []string{"hcm-a", "hcm-b", "binhduong"},
		services: map[string]int{"checklist": 7, "docvault": 3},
		oneWay:   3 * time.Millisecond,
		kinds: []load.Kind{
			{Name: "sign-off", Service: "checklist", Method: "POST", Path: "/sign-offs", BodyBytes: 300, Keyed: true, Weight: 2, LatencyTarget: 2 * time.Second},
			{Name: "lock", Service: "docvault", Method: "POST", Path: "/locks", BodyBytes: 200, Weight: 1, LatencyTarget: 2 * time.Second},
			{Name: "template", Service: "checklist", Method: "GET", Path: "/templates/close", Weight: 5, LatencyTarget: 250 * time.Millisecond},
			{Name: "workbook", Service: "checklist", Method: "GET", Path: "/status?call=docvault/workbooks", Weight: 2, LatencyTarget: time.Second},
		},
		old: `"answer_within": "250ms"`, new: `"answer_within": "240ms"`,
	},
}

// show is a demonstration under way.
type show struct {
	cfg     Config
	dep     deployment
	mesh    *mesh.Mesh
	began   time.Time
	mu      sync.Mutex
	summary Summary
}

// Run runs a demonstration.
func Run(ctx context.Context, cfg Config) (Summary, error) {
	dep, ok := deployments[cfg.Deployment]
	if !ok {
		return Summary{}, errors.Errorf("deployment %q is not nordurljos or association", cfg.Deployment)
	}
	if cfg.Duration < minDuration {
		return Summary{}, errors.Errorf("duration %v is under %v", cfg.Duration, minDuration)
	}
	s := &show{cfg: cfg, dep: dep, began: time.Now()}
	m, err := mesh.New(mesh.Config{
		Document: dep.document, Instances: mesh.InstanceSpecs(dep.centres, dep.services), OneWay: dep.oneWay,
		Work: work, Linger: linger, Platform: plat.Config{ReadRate: 2000, WriteRate: 300}, OnEvent: s.onEvent,
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

func (s *show) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.cfg.Out, "%7.3fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *show) run(ctx context.Context) error {
	s.summary = Summary{Deployment: s.cfg.Deployment, Seed: s.cfg.Seed, Broken: []string{}}
	s.say("starting %d nodes in %d data centres, %v apart", s.sites(), len(s.dep.centres), s.dep.oneWay)
	if err := s.mesh.Start(); err != nil {
		return err
	}
	s.summary.Nodes = len(s.mesh.Instances)
	if err := s.apply(ctx, s.dep.document); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := s.mesh.WaitReady(ready); err != nil {
		return errors.Wrap(err, "nodes did not get ready")
	}
	s.say("all %d nodes are ready and see each other", len(s.mesh.Instances))
	if !timer.Sleep(ctx, time.Until(s.began.Add(settle))) {
		return ctx.Err()
	}
	return s.underLoad(ctx)
}

func (s *show) sites() int {
	n := 0
	for _, k := range s.dep.services {
		n += k
	}
	return n
}

// underLoad runs the load, and beside it the events of the demonstration.
func (s *show) underLoad(ctx context.Context) error {
	s.say("load of %d calls a second for %v", rate, s.cfg.Duration)
	done := make(chan load.Report, 1)
	go func() {
		done <- load.Run(ctx, load.Config{
			Targets: s.mesh.CallerAddrs(), Rate: rate, Duration: s.cfg.Duration, Kinds: s.dep.kinds, Seed: s.cfg.Seed,
		})
	}()
	err := s.events(ctx)
	report := <-done
	if err != nil {
		return err
	}
	s.check(report)
	s.print()
	return ctx.Err()
}

// events shows a change, a death and a planned stop, spread over the load.
func (s *show) events(ctx context.Context) error {
	step := s.cfg.Duration / 5
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	changed := bytes.Replace(s.dep.document, []byte(s.dep.old), []byte(s.dep.new), 1)
	if err := s.apply(ctx, changed); err != nil {
		return err
	}
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	victim := len(s.mesh.Instances) - 1
	s.say("killing the backend server of %s", s.mesh.Instances[victim].Spec.Name)
	s.mesh.KillBackend(victim)
	if !timer.Sleep(ctx, step) {
		return ctx.Err()
	}
	stopping := len(s.mesh.Instances) - 2
	s.say("draining %s", s.mesh.Instances[stopping].Spec.Name)
	s.mesh.Stop(stopping)
	s.say("%s has stopped", s.mesh.Instances[stopping].Spec.Name)
	return nil
}

// apply publishes a document and waits until it is in force everywhere.
func (s *show) apply(ctx context.Context, doc []byte) error {
	number, err := s.mesh.Apply(ctx, fmt.Sprintf("demo-%d", len(s.summary.InForceMS)+1), doc)
	if err != nil {
		return err
	}
	accepted := time.Now()
	s.say("version %d accepted by the store", number)
	wait, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := s.mesh.WaitVersion(wait, number); err != nil {
		return errors.Wrapf(err, "version %d did not come into force", number)
	}
	ms := float64(time.Since(accepted).Microseconds()) / 1e3
	s.summary.InForceMS = append(s.summary.InForceMS, ms)
	s.say("version %d is in force everywhere after %.1f ms", number, ms)
	return nil
}
