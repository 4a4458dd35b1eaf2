package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"tanagerchute"
	"tanagerchute/core/call"
	"tanagerchute/core/event"
	"tanagerchute/core/once"
	"tanagerchute/core/route"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/gate"
	"tanagerchute/io/keep"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

// Config configures a Proxy.
type Config struct {
	Node           string
	DataCentre     string
	DataCentres    []string // all data centres of the deployment, in any order
	Deployment     string
	Fleet          *fleet.Fleet
	Feed           *feed.Feed
	Gate           *gate.Gate
	Client         *peer.Client // for questions about attempts
	Dial           link.Dial    // for calls
	Journal        *event.Journal
	Tracer         trace.Tracer
	Dialect        tanagerchute.Dialect
	Claims         Claims // for opaque keys, nil if there is no store
	Rand           *rand.Rand
	MaxBodyBytes   int64 // bytes of a request
	MaxAnswerBytes int64 // bytes of an answer
	Hedge          bool  // send slow lookups a second time
	Retry          RetryLimits
	Untraced       bool // see gate.Config
	Policy         Policy
	OnCall         func(CallResult)                   // called at the end of each call from a caller
	OnAttempt      func(service string, r call.Reply) // called at the end of each attempt
}

// Policy is how upstreams are chosen and calls are resent. Other policies than
// Measured are baselines for measurements.
type Policy int

// Policies.
const (
	LoadAware   Policy = iota // by load, with a retry budget
	RoundRobin                // each upstream in turn, no retries
	RetryAlways               // by load, resending without a budget
)

// Effort is what was done for a call.
type AttemptSummary struct {
	Attempts int    // at gatekeepers
	Arrived  int    // of those, the ones that may have reached a backend server
	SentTo   string // id or address of the last node that was sent to
}

// Sample is the outcome of one call from a caller.
type CallResult struct {
	ID      string
	Trace   string
	Service string
	Class   string
	Version uint64 // by which it was routed
	Took    time.Duration
	Timeout time.Duration // time in which it had to be answered
	Reply   call.Reply
	AttemptSummary
}

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxAnswerBytes = 8 << 20
)

// Proxy brings calls to upstreams. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	clients *clientPool
	budgets *retryBudgets
	homes   *homeTable

	mu              sync.Mutex
	picker          *route.Picker
	roundRobinCount uint64
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
		cfg:     cfg,
		clients: newClientPool(cfg.Dial),
		budgets: newRetryBudgets(cfg.Retry, func() int { return len(cfg.Fleet.View().Running()) }),
		picker:  route.New(route.DefaultConfig(cfg.Rand)),
		homes:   &homeTable{SyncTable: keep.NewSyncTable()},
	}
	return p
}

// Close closes idle connections.
func (p *Proxy) Close() { p.clients.close() }

// Leave stops this node from being the home of keys that it does not hold.
func (p *Proxy) RefuseNewKeys() { p.homes.refuseNewKeys() }

func (p *Proxy) recordEvent(k event.Kind, c call.Call, cause string) {
	p.cfg.Journal.Add(event.Event{At: time.Now(), Kind: k, Subject: c.ID, Trace: c.Trace, Cause: cause})
}

// version returns the number of the version in force.
func (p *Proxy) configVersion() uint64 { return p.cfg.Feed.Stamp().Number }

// newID returns a fresh id and the time it carries.
func newID() (string, time.Time) { return once.NewID(), time.Now() }
