package node

import (
	"context"
	"expvar"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"tanagerchute"
	"tanagerchute/core/beat"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/vers"
	"tanagerchute/io/admin"
	"tanagerchute/io/face"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/gate"
	"tanagerchute/io/gauge"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/logs"
	"tanagerchute/io/peer"
	"tanagerchute/io/proxy"
	"tanagerchute/io/relay"
	"tanagerchute/io/seeds"
	"tanagerchute/io/setup"
	"tanagerchute/io/trace"
	"tanagerchute/io/wire"
)

// Config configures a Node.
type Config struct {
	Settings setup.Node
	Store    tanagerchute.Store // nil for none
	// Source is where versions come from, nil for the product's own history in
	// Store. Track says which of them are taken, and is set with Source.
	Source tanagerchute.Source
	Track  vers.Config
	// Dialect is how callers and the backend server speak, nil for the
	// product's own.
	Dialect tanagerchute.Dialect
	Log     *zap.Logger
	Dial    link.Dial            // nil for direct connections
	LogSink tanagerchute.LogSink // of Log, nil for one that is never crowded
	// Observe is called at the end of each call from a caller, if set.
	OnCall func(proxy.CallResult)
	// OnEvent is called with each journal event, if set.
	OnEvent func(event.Event)
	Policy  proxy.Policy
	Mode    feed.Mode
}

// Node is one node process.
type Node struct {
	cfg      Config
	id       string
	journal  *event.Journal
	tracer   *trace.Provider
	client   *peer.Client
	fleet    *fleet.Fleet
	feed     *feed.Feed
	gate     *gate.Gate
	proxy    *proxy.Proxy
	relay    *relay.Relay
	seeds    *seeds.Registry
	meters   meters
	vars     *expvar.Map
	edges    []edge
	settings atomic.Pointer[setup.Node] // those of the last reload
	requests *logs.RequestLogger
	metrics  *gauge.Metrics
	drain    chan struct{} // closed when a planned stop is asked for
	once     sync.Once
	killed   chan struct{} // closed by Kill
	killOnce sync.Once
	stopped  atomic.Bool
	serving  atomic.Bool                     // callers are let in
	across   atomic.Pointer[map[string]bool] // addresses of other data centres
}

// meters count the bytes of a node's connections.
type meters struct {
	control link.Meter
	calls   link.Meter
}

// idSuffix tells the processes apart that run under one name, one after the
// other: two characters of base 36 a byte are enough for the days that a dead
// process is remembered.
func idSuffix(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), 36)
}

// roomy is an output that is never crowded.
type roomy struct{}

func (roomy) Congested() bool { return false }
func (roomy) Dropped() uint64 { return 0 }

// New returns a node that has opened nothing yet.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	now := time.Now()
	n := &Node{cfg: cfg, id: s.Name + "." + idSuffix(now), metrics: gauge.New(), drain: make(chan struct{}), killed: make(chan struct{})}
	if cfg.Dial == nil {
		n.cfg.Dial = link.Direct
	}
	if cfg.Dialect == nil {
		n.cfg.Dialect = face.Native{}
	}
	if cfg.LogSink == nil {
		n.cfg.LogSink = roomy{}
	}
	n.settings.Store(&s)
	n.requests = logs.NewRequestLogger(n.cfg.Log, n.cfg.LogSink.Congested)
	n.journal = event.NewJournal(event.Config{Node: n.id, Capacity: s.Limits.Events, Observe: n.observeEvent()})
	tp, err := trace.New(context.Background(), trace.Config{
		Node: s.Name, OTLP: s.Trace.OTLP, File: s.Trace.File, SlowThreshold: s.Trace.Slow.Std(), SampleRatio: s.Trace.Sample,
	})
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	n.tracer = tp
	n.build(now)
	n.vars = n.newVars()
	n.exportValues()
	return n, nil
}

func (n *Node) observeEvent() func(event.Event) {
	log := logs.NewEventLogger(n.cfg.Log)
	return func(e event.Event) {
		log(e)
		n.metrics.CountEvent(string(e.Kind))
		if n.cfg.OnEvent != nil {
			n.cfg.OnEvent(e)
		}
	}
}

// observe logs and counts the end of a call at this ingress.
func (n *Node) observe(s proxy.CallResult) {
	r := s.Reply
	n.metrics.ObserveRequest(s.Service, r.Fate.String(), r.Cause, s.Took)
	n.requests.Log(logs.RequestEnd{
		ID: s.ID, Trace: s.Trace, Route: s.Class, Service: s.Service, Version: s.Version, SentTo: s.SentTo, RepliedBy: r.Node,
		Fate: r.Fate.String(), Status: r.Status, Cause: r.Cause, Attempts: s.Attempts, Arrived: s.Arrived,
		Took: s.Took, TimeLeft: s.Timeout - s.Took, Succeeded: r.Succeeded(),
	})
	if n.cfg.OnCall != nil {
		n.cfg.OnCall(s)
	}
}

// attempted counts the end of an attempt.
func (n *Node) attempted(service string, r call.Reply) {
	n.metrics.CountAttempt(service, r.Fate.String(), r.Cause)
}

// deployment is the name that nodes of one deployment have in common. It
// includes the data centres, since nodes that differ in them would differ in
// the home of a key.
func (n *Node) deployment() string {
	centres := slices.Sorted(slices.Values(n.cfg.Settings.Groups()))
	return n.cfg.Settings.Deployment + "/" + strings.Join(centres, ",")
}

func (n *Node) rand(salt string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(n.id + salt))
	return rand.New(rand.NewPCG(h.Sum64(), uint64(time.Now().UnixNano())))
}

func (n *Node) build(now time.Time) {
	s := n.cfg.Settings
	self := member.Record{
		ID: n.id, Addr: s.Listen.PeerAddr(), DataCentre: s.DataCentre, Region: s.Region, Service: s.Service,
		Incarnation: 1, StartMs: now.UnixMilli(),
	}
	n.client = peer.NewClient(peer.Config{
		Deployment: n.deployment(),
		Dial:       n.meters.control.Dial(n.cfg.Dial, n.isAcross),
	})
	n.fleet = fleet.New(fleet.Config{
		Self: self, QuorumAddrs: s.Seeds[s.Group()], Client: n.client, Journal: n.journal, Rand: n.rand("fleet"),
		Stamp:       func() vers.Stamp { return n.feed.Stamp() },
		OnPeerStamp: func(addr string, s vers.Stamp) { n.feed.ObserveStamp(addr, s) },
	})
	n.buildStore()
	n.gate = gate.New(gate.Config{
		Node: n.id, Journal: n.journal, MaxAnswerBytes: s.Limits.AnswerBytes, MaxConns: n.maxConns,
		SpendRetry: func() bool { return n.proxy.SpendRetry(s.Service) },
		Service:    s.Service, Dialect: n.cfg.Dialect, NoProbe: s.TrustHeartbeats, NestedCallsUntraced: s.LocalCallers,
		OnUpstreamChange: func(u member.Upstream) { n.fleet.SetUpstream(context.Background(), u) },
	})
	n.relay = relay.New(relay.Config{
		DataCentre: s.Group(), DataCentres: s.Groups(), Seeds: s.Seeds,
		Fleet: n.fleet, Feed: n.feed, Client: n.client, Journal: n.journal,
	})
	n.proxy = proxy.New(proxy.Config{
		Node: n.id, DataCentre: s.Group(), DataCentres: s.Groups(), Deployment: n.deployment(), Dialect: n.cfg.Dialect,
		Fleet: n.fleet, Feed: n.feed, Gate: n.gate, Client: n.client, Journal: n.journal,
		Dial:   n.meters.calls.Dial(n.cfg.Dial, n.isAcross),
		Tracer: n.tracer.Tracer(), Claims: n.claims(), Rand: n.rand("proxy"),
		MaxBodyBytes: s.Limits.RequestBytes, MaxAnswerBytes: s.Limits.AnswerBytes,
		Untraced: s.LocalCallers, Retry: retryOf(s),
		Hedge: s.Hedge != nil && *s.Hedge, Policy: n.cfg.Policy, OnCall: n.observe, OnAttempt: n.attempted,
	})
}

// maxConns returns how many connections the own backend server takes: what the
// version in force says of its service, or the settings, or 0.
func (n *Node) maxConns() int {
	s := n.cfg.Settings
	if v := n.feed.Snapshot(); v != nil {
		if of, _ := v.Table.Service(s.Service); of.MaxConns > 0 {
			return of.MaxConns
		}
	}
	return s.Limits.Connections
}

func (n *Node) buildStore() {
	s := n.cfg.Settings
	src, track := n.cfg.Source, n.cfg.Track
	if src == nil {
		track = vers.DocumentConfig(s.Deployment)
	}
	if n.cfg.Store != nil {
		lc := ledger.Config{Store: n.cfg.Store, Deployment: s.Deployment}
		if src == nil {
			src = ledger.New(lc)
		}
		n.seeds = seeds.New(seeds.Config{
			Store: n.cfg.Store, Deployment: s.Deployment, Fleet: n.fleet, Claims: ledger.NewClaims(lc),
			OnSeeds: n.foundSeeds,
		})
	}
	n.feed = feed.New(feed.Config{
		Self: n.id, TrackerConfig: track, Source: src, Fleet: n.fleet, Client: n.client,
		Journal: n.journal, Rand: n.rand("feed"), Mode: n.cfg.Mode,
	})
}

// claims returns the claims of opaque keys, or a nil interface without a store.
func (n *Node) claims() proxy.Claims {
	if n.cfg.Store == nil {
		return nil
	}
	return ledger.NewClaims(ledger.Config{Store: n.cfg.Store, Deployment: n.cfg.Settings.Deployment})
}

func (n *Node) foundSeeds(found map[string][]string) {
	n.relay.SetSeeds(found)
	across := map[string]bool{}
	for centre, addrs := range found {
		for _, a := range addrs {
			across[a] = centre != n.cfg.Settings.Group()
		}
	}
	n.across.Store(&across)
}

// isAcross reports whether an address is in another data centre, as far as is
// known. An address that is not known as one of this data centre counts as
// across.
func (n *Node) isAcross(addr string) bool {
	for _, m := range n.fleet.View().Members {
		if m.Addr == addr {
			return m.DataCentre != n.cfg.Settings.DataCentre
		}
	}
	if m := n.across.Load(); m != nil {
		if across, ok := (*m)[addr]; ok {
			return across
		}
	}
	return !slices.Contains(n.cfg.Settings.Seeds[n.cfg.Settings.Group()], addr)
}

// ID returns the id of this process in the fleet.
func (n *Node) ID() string { return n.id }

// Ready reports whether the node serves calls by a version in force.
func (n *Node) Ready() bool { return n.feed.Ready() }

// Serving reports whether the node is ready, callers are let in, and no stop is
// planned.
func (n *Node) Serving() bool { return n.Ready() && n.serving.Load() && !n.stopped.Load() }

// Stamp returns the stamp of the version in force.
func (n *Node) Stamp() vers.Stamp { return n.feed.Stamp() }

// Vars returns the counters of the node.
func (n *Node) Vars() *expvar.Map { return n.vars }

// View returns what the node knows of the fleet.
func (n *Node) View() *fleet.View { return n.fleet.View() }

// ObserveHeartbeat takes a heartbeat of the backend server, see gate.Gate.ObserveHeartbeat.
func (n *Node) ObserveHeartbeat(h beat.Heartbeat) beat.Verdict { return n.gate.ObserveHeartbeat(h) }

// ObserveLeave takes the word of a backend server that it is gone.
func (n *Node) ObserveLeave(id string, born int64) beat.Verdict { return n.gate.ObserveLeave(id, born) }

// Metrics serves the counters and histograms of the node as text.
func (n *Node) Metrics() http.Handler { return n.metrics.Handler() }

// Announce takes an announcement of the backend server.
func (n *Node) Announce(b gate.Backend) { n.gate.Announce(b) }

// MarkBackendLeaving notes that the backend server takes no new work.
func (n *Node) MarkBackendLeaving() { n.gate.MarkLeaving() }

// StartDrain asks for a planned stop. It returns at once.
func (n *Node) StartDrain() { n.once.Do(func() { close(n.drain) }) }

// servers are the listeners of a node with what they serve.
type servers struct {
	callers, egress, peers, admin *http.Server
	served                        []served // all but that for callers
	failed                        chan error
	callerConns                   *conns
	giveUp                        context.CancelFunc           // ends the calls of callers
	callersOpen                   atomic.Pointer[openListener] // nil until callers are let in
}

// served is a server with its listener.
type served struct {
	addr     string
	server   *http.Server
	listener net.Listener
}

// openListener is a listener that is being served.
type openListener struct {
	listener net.Listener
	ended    chan struct{} // closed when it hands out no connection any more
}

// listen opens the listeners, or none, but for the one for callers, which is
// opened when they can be served.
func (n *Node) listen() (*servers, error) {
	control := peer.Handler(peerServer{n}, n.deployment(), n.dropped)
	s := &servers{
		callers:     peer.NewServer(n.parting(n.proxy.Ingress(n.callersOrigin()))),
		egress:      peer.NewServer(n.proxy.Ingress(proxy.Origin{Service: n.cfg.Settings.Service, Backend: true})),
		peers:       peer.NewServer(n.proxy.Peer(control)),
		admin:       peer.NewServer(admin.Handler(admin.Config{Node: adminNode{n}, Vars: n.vars})),
		callerConns: newConns(),
	}
	s.callers.ConnState = s.callerConns.track
	s.callers.ReadHeaderTimeout, s.callers.IdleTimeout = 0, spareIdle // see patience
	base, giveUp := context.WithCancel(context.Background())
	s.callers.BaseContext = func(net.Listener) context.Context { return base }
	s.giveUp = giveUp
	l := n.cfg.Settings.Listen
	s.plan(l.Egress, s.egress)
	s.plan(l.Peers, s.peers)
	s.plan(l.Admin, s.admin)
	for _, e := range n.edges {
		s.plan(e.addr, peer.NewServer(e.handler))
	}
	s.failed = make(chan error, len(s.served)+1)
	for i := range s.served {
		ln, err := net.Listen("tcp", s.served[i].addr)
		if err != nil {
			s.closeListeners()
			return nil, errors.Wrap(err, "listen")
		}
		s.served[i].listener = ln
	}
	return s, nil
}

// plan notes that srv is to be served at addr. An empty address is none.
func (s *servers) plan(addr string, srv *http.Server) {
	if addr != "" {
		s.served = append(s.served, served{addr: addr, server: srv})
	}
}

func (s *servers) closeListeners() {
	for _, v := range s.served {
		if v.listener != nil {
			_ = v.listener.Close() // nothing is served on it
		}
	}
}

// callersOrigin returns where the requests of callers begin.
func (n *Node) callersOrigin() proxy.Origin {
	if n.cfg.Settings.LocalCallers {
		return proxy.Origin{Service: n.cfg.Settings.Service}
	}
	return proxy.Origin{}
}

// edge is a handler that is served beside the node's own.
type edge struct {
	addr    string
	handler http.Handler
}

// Attach serves h at addr from the start of Run to its end. It is called
// before Run.
func (n *Node) Attach(addr string, h http.Handler) {
	n.edges = append(n.edges, edge{addr, h})
}

// parting tells callers of a node that is stopping not to use their connection
// again.
func (n *Node) parting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopped.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// patience returns how long callers may take by the version in force.
func (n *Node) patience() link.ReadTimeouts {
	l := n.proxy.Limits()
	return link.ReadTimeouts{Idle: l.IdleTimeout, Header: l.HeaderTimeout}
}

// openCallers listens for callers and serves them.
func (s *servers) openCallers(addr string, patience func() link.ReadTimeouts) error {
	ln, err := link.Listen(addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	open := &openListener{listener: ln, ended: make(chan struct{})}
	s.callersOpen.Store(open)
	s.serve(link.WithReadTimeouts(ln, patience), s.callers, open.ended)
	return nil
}

// serve serves a listener and closes ended when it takes no connection any
// more.
func (s *servers) serve(ln net.Listener, srv *http.Server, ended chan struct{}) {
	go func() {
		defer close(ended)
		err := srv.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.failed <- err
		}
	}()
}

func (n *Node) dropped(from, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: from, Cause: cause})
}

var _ wire.Peer = peerServer{}

// Kill ends the node at once, as if its process had died: nothing is drained
// and nobody is told. It is for demonstrations and measurements.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }
