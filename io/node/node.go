package node

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/census"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/gate"
	"tanagerchute/io/leaves"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/logs"
	"tanagerchute/io/memory"
	"tanagerchute/io/metric"
	"tanagerchute/io/native"
	"tanagerchute/io/peer"
	"tanagerchute/io/proxy"
	"tanagerchute/io/quotas"
	"tanagerchute/io/relay"
	"tanagerchute/io/seeds"
	"tanagerchute/io/setup"
	"tanagerchute/io/stage"
	"tanagerchute/io/trace"
	"tanagerchute/io/wire"
)

// Config configures a Node.
type Config struct {
	Settings setup.Node
	Store    tanagerchute.Store // nil for none
	// Source provides the versions of the configuration, nil for the history in
	// Store. TrackerConfig determines which of them are accepted. It is used only
	// if Source is set.
	Source        tanagerchute.Source
	TrackerConfig vers.Config
	// Dialect translates the headers and error responses for callers and the
	// backend server, nil for native.Dialect.
	Dialect tanagerchute.Dialect
	// RolloutFormat is where orders of roll-outs are read, nil for ledger.RolloutFormat.
	RolloutFormat tanagerchute.RolloutFormat
	Log           *zap.Logger
	// WrapDial is put around the opening of connections to other nodes, nil for none.
	WrapDial func(link.Dial) link.Dial
	LogSink  tanagerchute.LogSink // receives the lines of Log, nil for a sink that is never congested
	// OnCall is called at the end of each call from a caller, if set.
	OnCall func(proxy.CallResult)
	// OnEvent is called with each journal event, if set.
	OnEvent func(event.Event)
	Policy  proxy.Policy
	Mode    feed.Mode
}

// Node is one node process.
type Node struct {
	cfg              Config
	id               string
	journal          *event.Journal
	tracer           *trace.Provider
	client           *peer.Client
	fleet            *fleet.Fleet
	feed             *feed.Feed
	gate             *gate.Gate
	proxy            *proxy.Proxy
	relay            *relay.Relay
	quotas           *quotas.Quotas  // nil if the settings have no bounds of quotas
	seeds            *seeds.Registry // nil without a store
	claims           *ledger.Claims  // nil without a store
	rollouts         *stage.Manager
	eras             *storeEras
	byteMeters       byteMeters
	memory           *memory.Room
	taken            takenMemory
	leaves           *leaves.Keeper
	census           *census.Keeper
	booted           atomic.Bool // what the other nodes knew at the start is known, and a version is in force
	vars             *expvar.Map
	attached         []attachedHandler
	settings         atomic.Pointer[settingsState]
	reloadMu         sync.Mutex // serializes changes of settings
	requests         *logs.RequestLogger
	metrics          *metric.Set
	drainRequested   chan struct{} // closed when a planned stop is requested
	drainOnce        sync.Once
	killed           chan struct{} // closed by Kill
	killOnce         sync.Once
	stopping         atomic.Bool                     // a planned stop has begun
	callerCloser     *link.Closer                    // of the connections of callers
	otherCloser      *link.Closer                    // of all other connections to this node
	candidacyMu      sync.Mutex                      // guards homeCandidate, and its changes
	homeCandidate    bool                            // this node can be the home of keys
	acceptingCallers atomic.Bool                     // the listener for callers is open
	remoteBySeedAddr atomic.Pointer[map[string]bool] // whether the address of a seed is in another data centre
}

// byteMeters count the bytes of a node's connections.
type byteMeters struct {
	control link.Meter
	calls   link.Meter
}

// idSuffix returns the part of a process id that distinguishes the successive
// processes of one instance. It is the start time in milliseconds, so that it
// does not repeat in the days for which dead processes are remembered.
func idSuffix(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), 36)
}

// uncongestedSink is a log sink that is never congested and drops nothing.
type uncongestedSink struct{}

func (uncongestedSink) Congested() bool { return false }

func (uncongestedSink) Dropped() uint64 { return 0 }

// New returns a node. It opens no listeners: Run does.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	now := time.Now()
	n := &Node{cfg: cfg, id: s.Name + "." + idSuffix(now), metrics: metric.New(), eras: newStoreEras(), drainRequested: make(chan struct{}), killed: make(chan struct{})}
	n.callerCloser, n.otherCloser = n.newCloser(false), n.newCloser(true)
	if cfg.WrapDial == nil {
		n.cfg.WrapDial = func(d link.Dial) link.Dial { return d }
	}
	if cfg.Dialect == nil {
		n.cfg.Dialect = native.Dialect{}
	}
	if cfg.LogSink == nil {
		n.cfg.LogSink = uncongestedSink{}
	}
	n.settings.Store(newSettingsState(s, now))
	n.requests = logs.NewRequestLogger(n.cfg.Log, n.cfg.LogSink.Congested)
	n.journal = event.NewJournal(event.Config{Node: n.id, Capacity: s.Limits.Events, Observe: n.eventObserver()})
	tp, err := trace.New(context.Background(), trace.Config{
		Node: s.Name, OTLP: s.Trace.OTLP, File: s.Trace.File, SlowThreshold: s.Trace.Slow.Std(), SampleRatio: s.Trace.Sample,
	})
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	n.tracer = tp
	n.buildComponents(now)
	n.vars = n.newVars()
	n.registerMetrics()
	return n, nil
}

// eventObserver returns a function that logs and counts a journal event.
func (n *Node) eventObserver() func(event.Event) {
	log := logs.NewEventLogger(n.cfg.Log)
	return func(e event.Event) {
		log(e)
		n.metrics.CountEvent(string(e.Kind))
		if n.cfg.OnEvent != nil {
			n.cfg.OnEvent(e)
		}
	}
}

// recordCall logs and counts the end of a call at this ingress.
func (n *Node) recordCall(res proxy.CallResult) {
	r := res.Reply
	n.metrics.ObserveRequest(res.Service, r.Fate.String(), r.Cause, res.Took)
	n.requests.Log(logs.RequestEnd{
		ID: res.ID, Trace: res.Trace, Route: res.Class, Service: res.Service, Version: res.Version, SentTo: res.SentTo, RepliedBy: r.Node,
		Fate: r.Fate.String(), Status: r.Status, Cause: r.Cause, Attempts: res.Attempts, Arrived: res.Arrived,
		Took: res.Took, TimeLeft: res.Timeout - res.Took, Timeout: res.Timeout, DeadlineBy: string(res.DeadlineBy), Succeeded: r.Succeeded(),
	})
	if n.cfg.OnCall != nil {
		n.cfg.OnCall(res)
	}
}

// recordAttempt counts the end of an attempt.
func (n *Node) recordAttempt(service string, r call.Reply) {
	n.metrics.CountAttempt(service, r.Fate.String(), r.Cause)
}

// ID returns the id of this node process in the fleet.
func (n *Node) ID() string { return n.id }

// Ready reports whether the node has a version in force and can serve calls.
func (n *Node) Ready() bool { return n.feed.Ready() }

// Serving reports whether the node is ready, listens for callers and has not
// begun to stop.
func (n *Node) Serving() bool { return n.Ready() && n.acceptingCallers.Load() && !n.stopping.Load() }

// Stamp returns the stamp of the version in force.
func (n *Node) Stamp() vers.Stamp { return n.feed.Stamp() }

// Vars returns the counters of the node.
func (n *Node) Vars() *expvar.Map { return n.vars }

// View returns the current view of the fleet.
func (n *Node) View() *fleet.View { return n.fleet.View() }

// Metrics returns a handler for the metrics of the node in the Prometheus text
// format.
func (n *Node) Metrics() http.Handler { return n.metrics.Handler() }

// Announce handles an announcement of the backend server.
func (n *Node) Announce(b gate.Backend) { n.gate.Announce(b) }

// MarkBackendLeaving records that the backend server accepts no new calls.
func (n *Node) MarkBackendLeaving() { n.gate.MarkLeaving() }

// StartDrain requests a planned stop. It does not wait for it.
func (n *Node) StartDrain() { n.drainOnce.Do(func() { close(n.drainRequested) }) }

// recordDroppedFrame adds an event about a refused control request to the journal.
func (n *Node) recordDroppedFrame(from, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: from, Cause: cause})
}

var _ wire.Peer = peerServer{}

// Kill stops the node at once, without draining calls or notifying other nodes.
// It simulates a crash of the process in demos and benchmarks.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }
