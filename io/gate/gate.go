package gate

import (
	"sync"
	"time"

	"tanagerchute"
	"tanagerchute/core/admit"
	"tanagerchute/core/beat"
	"tanagerchute/core/call"
	"tanagerchute/core/crash"
	"tanagerchute/core/event"
	"tanagerchute/core/health"
	"tanagerchute/core/member"
	"tanagerchute/core/nested"
	"tanagerchute/core/owner"
	"tanagerchute/core/stop"
	"tanagerchute/io/memory"
	"tanagerchute/io/runner"
)

// Intervals and timeouts.
const (
	queuedTickInterval = 10 * time.Millisecond  // while calls are queued
	idleTickInterval   = 100 * time.Millisecond // otherwise
	probeInterval      = 500 * time.Millisecond
	probeTimeout       = 300 * time.Millisecond
	announcementTTL    = 10 * time.Second // time after which an announcement has to be repeated
)

// Config configures a Gate.
type Config struct {
	Node    string // id of this node
	Journal *event.Journal
	Service string // service of the backend server
	Dialect tanagerchute.Dialect
	// OnUpstreamChange, if not nil, is called on the goroutine of Run when the
	// state of the backend server that other nodes need has changed.
	OnUpstreamChange func(member.Upstream)
	MaxAnswerBytes   int64        // maximum size of an answer, 0 for the default
	Memory           *memory.Room // for answers, nil for no limit
	// MaxConns returns the maximum number of connections to the backend server.
	// The default applies if it is nil or returns 0.
	MaxConns func() int
	// SpendRetry charges one resend to the retry budget of Service. It reports
	// false if the budget is exhausted. If it is nil, no call is resent.
	SpendRetry func() bool
	// NestedCallsUntraced is set if the nested calls of the backend server can't
	// be distinguished from calls of other callers. Then a failed answer may be
	// due to a nested call, and does not count against the server's health.
	NestedCallsUntraced bool
	// NoProbe disables the connection probes of an idle backend server, for
	// servers whose heartbeats are sufficient.
	NoProbe bool
	// Crashes is what the nodes know together of the calls under which backend servers
	// ended. If it is nil, no call is held back.
	Crashes CrashRegistry
	// Rollouts counts calls for the roll-outs of versions. If it is nil, there are none.
	Rollouts Rollouts
}

// Gate controls access to the backend server of a node. Its methods are safe for
// concurrent use.
type Gate struct {
	cfg     Config
	client  *client
	records *runner.SyncTable

	mu             sync.Mutex
	backend        Backend
	heartbeats     beat.Tracker
	owner          owner.Tracker // of the address of the backend server
	announcedAt    time.Time     // time of the last announcement
	lastSuccess    time.Time     // time of the last successful call
	refusedDials   int           // in a row
	backendLeaving bool          // the server accepts no new calls
	statements     *event.Pacer  // events about what the server says of itself
	leavingHeardAt time.Time     // when the server said in an answer that it leaves, zero if it did not
	draining       bool          // the gate accepts no new calls
	stopPlan       stop.Plan     // of a planned stop of the node, zero before
	durations      stop.Durations
	inFlight       int                    // calls in flight, including those at a previous backend server
	running        map[string]runningCall // calls that the backend server works on, by attempt id
	admission      *admit.Controller
	health         *health.Monitor
	waiters        map[string]chan admissionResult // by attempt id
	callTracker    *nested.Tracker                 // calls in flight and their nested calls
	watch          *crash.Watch                    // finds the ends of the backend server
	drained        chan struct{}                   // closed when the gate drains and no call is in flight
	tickRequested  chan struct{}                   // requests an immediate tick
	published      member.Upstream                 // last state passed to OnUpstreamChange
}

// New returns a gate without a backend server.
func New(cfg Config) *Gate {
	g := &Gate{
		cfg:           cfg,
		client:        newClient(cfg),
		admission:     admit.New(admit.Config{Slots: 1}),
		health:        newHealthMonitor(cfg),
		records:       runner.NewSyncTable(),
		waiters:       map[string]chan admissionResult{},
		running:       map[string]runningCall{},
		statements:    event.NewPacer(statementInterval),
		callTracker:   nested.New(),
		watch:         crash.NewWatch(),
		drained:       make(chan struct{}),
		tickRequested: make(chan struct{}, 1),
	}
	g.client.onRefusedConn = g.observeRefusedConn
	g.client.onDiscarded = func(c call.Call, err error) { g.recordCallEvent(event.AnswerDiscarded, c, err.Error()) }
	return g
}

// newHealthMonitor returns the health monitor of a new backend server. With
// NestedCallsUntraced, failures may be due to nested calls or a few lost answers.
// Then the server is marked as failing only if nearly all calls fail. Load
// balancing avoids it before that.
func newHealthMonitor(cfg Config) *health.Monitor {
	hc := health.DefaultConfig()
	if cfg.NestedCallsUntraced {
		hc.FailureThreshold = untracedFailureThreshold
		hc.ConsecutiveFailures = untracedConsecutiveFailures
	}
	return health.New(hc)
}

// Limits of the health monitor if NestedCallsUntraced is set.
const (
	untracedFailureThreshold    = 0.9 // share of recent calls that fail
	untracedConsecutiveFailures = 10
)

func (g *Gate) recordEvent(k event.Kind, subject, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: subject, Cause: cause})
}

func (g *Gate) recordCallEvent(k event.Kind, c call.Call, cause string) {
	g.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: c.ID, Trace: c.Trace, Cause: cause})
}
