package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/pick"
	"tanagerchute/core/waits"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/gate"
	"tanagerchute/io/link"
	"tanagerchute/io/memory"
	"tanagerchute/io/peer"
	"tanagerchute/io/quotas"
	"tanagerchute/io/timer"
)

// Config configures a Proxy.
type Config struct {
	Node                string   // id of this node
	DataCentre          string   // of this node, or its region if there are regions
	DataCentres         []string // all data centres or regions of the deployment, in any order
	Deployment          string
	Fleet               *fleet.Fleet
	Feed                *feed.Feed
	Gate                *gate.Gate
	Client              *peer.Client              // for inquiries about attempts
	WrapDial            func(link.Dial) link.Dial // around the opening of connections for calls to other nodes, nil for none
	Journal             *event.Journal
	Tracer              trace.Tracer
	Dialect             tanagerchute.Dialect
	Claims              Claims         // for opaque idempotency keys, nil if there is no store
	Quotas              *quotas.Quotas // of client accounts, nil if there are none
	KeysUnused          bool           // ignore idempotency keys
	Rand                *rand.Rand
	MaxBodyBytes        int64        // of a request
	MaxAnswerBytes      int64        // of an answer
	LinkRate            float64      // of the instance's link in each direction, bytes a second, 0 for no bound
	Memory              *memory.Room // for bodies and answers, nil for no limit
	LocalCallers        bool         // callers are on the node's own instance, so that their requests take no link
	Hedge               bool         // send slow idempotent calls to a second upstream
	Retry               RetryLimits
	NestedCallsUntraced bool // see gate.Config
	Policy              Policy
	Rollouts            Rollouts                           // nil if versions of backend servers don't matter
	OnCall              func(CallResult)                   // called at the end of each call from a caller
	OnAttempt           func(service string, r call.Reply) // called at the end of each attempt
}

// Policy determines how upstreams are chosen and when calls are resent. Nodes use
// LoadAware. The other policies are baselines for benchmarks.
type Policy int

// Policies.
const (
	LoadAware   Policy = iota // by load and failures, with a retry budget
	RoundRobin                // each local upstream in turn, no resends after a failure
	RetryAlways               // as LoadAware, but without a retry budget
)

// AttemptSummary summarizes the attempts at one call.
type AttemptSummary struct {
	Attempts int    // number of attempts
	Arrived  int    // attempts that may have reached a backend server
	SentTo   string // id or address of the node of the last attempt
}

// CallResult is the result of one call from a caller.
type CallResult struct {
	ID      string
	Trace   string // W3C trace id
	Service string
	Class   string
	Version uint64        // configuration version that it was routed by
	Took    time.Duration // from its arrival to its reply
	Timeout time.Duration // from its arrival to its deadline
	// DeadlineBy is what set its deadline.
	DeadlineBy call.DeadlineSource
	Reply      call.Reply
	AttemptSummary
}

// Defaults of Config.
const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxAnswerBytes = 8 << 20
)

// Proxy forwards calls to upstreams. It is safe for concurrent use.
type Proxy struct {
	cfg        Config
	clients    *clientPool
	candidates *candidateCache
	budgets    *retryBudgets
	homeTable  *homeTable
	notices    *notices
	links      links

	inProgress atomic.Int64 // requests whose answers are not written yet
	stopping   stopping

	mu              sync.Mutex // protects the fields below and Config.Rand
	picker          *pick.Picker
	waits           *waits.Estimator
	roundRobinCount uint64 // picks made under the RoundRobin policy
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	p := &Proxy{
		cfg:        cfg,
		candidates: newCandidateCache(cfg.Node),
		budgets:    newRetryBudgets(cfg.Retry, func() int { return len(cfg.Fleet.View().ActiveIDs()) }),
		picker:     pick.New(pick.DefaultConfig(cfg.Rand)),
		waits:      waits.New(),
		homeTable:  newHomeTable(),
		notices:    newNotices(),
	}
	p.links.init(cfg)
	p.clients = newClientPool(cfg.WrapDial, p.recordLinkSilent, answerWindow(cfg.LinkRate))
	p.stopping.init()
	return p
}

// Close closes idle connections.
func (p *Proxy) Close() { p.clients.close() }

// AcceptNewKeys makes this node accept keys of which it is the home.
func (p *Proxy) AcceptNewKeys() { p.homeTable.acceptNewKeys() }

// RefuseNewRecords makes this node refuse the calls with keys and of other data centres
// that it has no record of. It is called when the node leaves.
func (p *Proxy) RefuseNewRecords() { p.homeTable.leave() }

// RefuseNewKeys makes this node refuse to be the home of a key that it has no
// record of. It returns the issue time of the latest key that it has accepted.
func (p *Proxy) RefuseNewKeys() (latest time.Time) { return p.homeTable.refuseNewKeys() }

// idleCheckInterval is how often WaitIdle checks for requests in progress.
const idleCheckInterval = 5 * time.Millisecond

// WaitIdle waits until no request of a caller or of another node is in progress, or ctx
// ends. Those of other nodes include the calls that this node passes on for them.
func (p *Proxy) WaitIdle(ctx context.Context) {
	for p.inProgress.Load() > 0 && timer.Sleep(ctx, idleCheckInterval) {
	}
}

// recordEvent adds an event about a call to the journal.
func (p *Proxy) recordEvent(k event.Kind, c call.Call, cause string) {
	p.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: c.ID, Trace: c.Trace, Cause: cause})
}

// configVersion returns the number of the configuration version in force.
func (p *Proxy) configVersion() uint64 { return p.cfg.Feed.Stamp().Number }

// newID returns a new call id and its issue time.
func newID() (string, time.Time) { return dedup.NewID(), time.Now() }
