package stage

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/fleet"
	"tanagerchute/io/peer"
	"tanagerchute/io/setup"
	"tanagerchute/io/timer"
)

// Intervals and timeouts.
const (
	tickInterval   = 50 * time.Millisecond
	messageTimeout = 300 * time.Millisecond
	bootTimeout    = 300 * time.Millisecond
)

// The interval between two reports of a node, see reportInterval.
const (
	minReportInterval  = 250 * time.Millisecond  // in phase Full
	intervalPerNode    = 2500 * time.Microsecond // for each node that is up
	reportsPerRollback = 16                      // within the bound on the time of going back, unless minReportInterval is longer
	// relaxedFactor lengthens the interval outside of phase Full, in which a bad version
	// gets all calls.
	relaxedFactor = 2
)

const (
	maxMessages = 64 // in flight at once
	bootPeers   = 3  // nodes that a node asks for their stages when it starts
)

// Config configures a Manager.
type Config struct {
	Settings setup.Rollout
	Service  string             // of the node's backend server
	Store    tanagerchute.Store // nil for none
	Format   tanagerchute.RolloutFormat
	Prefix   string // of the manager's own keys in the store, ends with a slash
	Fleet    *fleet.Fleet
	Client   *peer.Client
	Journal  *event.Journal
	// IsReader reports whether this node reads the store.
	IsReader func() bool
	// CallsInProgress returns the number of calls in progress at the node's backend
	// server, with those that wait for it.
	CallsInProgress func() int
	// HasService reports whether a service is in the configuration in force.
	HasService func(name string) bool
}

// Manager performs the roll-outs at one node. Its methods are safe for concurrent use.
type Manager struct {
	cfg         Config
	active      atomic.Bool                // there is a stage that is not the last of its order
	wake        chan struct{}              // receives a value when active may have changed
	checks      chan tanagerchute.Revision // of the store, from CheckOrders
	slots       chan struct{}              // limits the messages in flight
	wg          sync.WaitGroup
	refused     atomic.Pointer[string] // version that the gatekeeper refuses, nil for none
	targetCalls atomic.Int64           // that TakeTarget has given to target versions

	readMu  sync.Mutex // held while the orders are read
	hasRead bool       // the orders have been read before, guarded by readMu

	mu         sync.Mutex // guards the fields below
	table      *canary.Table
	counters   map[string]float64       // part of a call that is due to the target version, by service
	tallies    map[string]*canary.Tally // of the node's own backend server, by its version
	tallyOrder canary.OrderID           // that the tallies are about
	tallySince time.Time                // when they began
	reportedAt map[string]time.Time     // by service
	fallenBack map[string]bool          // services whose stage is not confirmed
	holds      map[string]*hold         // by service
	orders     map[string]canary.Order  // the last one that was read, by service
}

// New returns a manager without roll-outs.
func New(cfg Config) *Manager {
	return &Manager{
		cfg: cfg, wake: make(chan struct{}, 1), checks: make(chan tanagerchute.Revision, 1), slots: make(chan struct{}, maxMessages),
		table:    canary.NewTable(),
		counters: map[string]float64{}, tallies: map[string]*canary.Tally{}, reportedAt: map[string]time.Time{},
		tallySince: time.Now(),
		fallenBack: map[string]bool{}, holds: map[string]*hold{}, orders: map[string]canary.Order{},
	}
}

// Enabled reports whether roll-outs are performed.
func (m *Manager) Enabled() bool { return m.cfg.Settings.CanaryShare > 0 }

// Run performs roll-outs until ctx ends. It returns when its messages have ended as well.
func (m *Manager) Run(ctx context.Context) {
	if !m.Enabled() {
		return
	}
	defer m.wg.Wait()
	if m.cfg.Store != nil {
		m.spawn(func() { m.runReader(ctx) })
		m.spawn(func() { m.runOrderChecks(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		for m.active.Load() && timer.Sleep(ctx, tickInterval) {
			m.tick(ctx, time.Now())
		}
	}
}

// spawn runs f in a goroutine that Run waits for.
func (m *Manager) spawn(f func()) {
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		f()
	}()
}

// Boot asks some other nodes for the stages that they know.
func (m *Manager) Boot(ctx context.Context) {
	if !m.Enabled() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	asked := 0
	for _, r := range m.others() {
		if asked == bootPeers {
			return
		}
		reply, err := m.cfg.Client.RolloutsOf(r.Addr).ListStages(ctx, listRequest)
		if err != nil {
			continue // the holder announces the stages as well
		}
		asked++
		m.learn(time.Now(), peer.FromStages(reply.GetStages()), false)
	}
}

// others returns the records of the other nodes that are up.
func (m *Manager) others() []member.Record {
	view := m.cfg.Fleet.View()
	var out []member.Record
	for _, r := range view.Members {
		if r.IsUp() && r.ID != view.Self.ID {
			out = append(out, r)
		}
	}
	return out
}

// versions returns the slots of a service's servers by version.
func (m *Manager) versions(service string) canary.Versions {
	vs := canary.Versions{}
	for _, r := range m.cfg.Fleet.View().Upstreams(service) {
		vs[r.ServerVersion] += r.Slots
	}
	return vs
}

// Split returns how the calls to a service are divided, given its servers' versions.
func (m *Manager) Split(service string, vs canary.Versions) canary.Split {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Split(time.Now(), service, vs)
}

// TakeTarget reports whether the next call to a service goes to the version that gets the
// given share. It counts, so that the shares of all nodes add up to the share of all calls.
func (m *Manager) TakeTarget(service string, share float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[service] += share
	if m.counters[service] < 1 {
		return false
	}
	m.counters[service]--
	m.targetCalls.Add(1)
	return true
}

// TargetCalls returns the number of calls that TakeTarget has given to a version.
func (m *Manager) TargetCalls() int64 { return m.targetCalls.Load() }

// Running returns the number of roll-outs that have not ended.
func (m *Manager) Running() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int64(len(m.table.Running()))
}

// CountCall implements gate.Rollouts.
func (m *Manager) CountCall(version string, o canary.Outcome) {
	if !m.active.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tallies[version]
	if t == nil {
		t = canary.NewTally(version)
		m.tallies[version] = t
	}
	t.Add(o)
}

// Refuses implements gate.Rollouts.
func (m *Manager) Refuses(version string) bool {
	v := m.refused.Load()
	return v != nil && *v == version && m.hasOtherVersion(version)
}

// hasOtherVersion reports whether servers of the node's service accept calls that have
// another version than the given one.
func (m *Manager) hasOtherVersion(version string) bool {
	for _, r := range m.cfg.Fleet.View().Upstreams(m.cfg.Service) {
		if r.ServerVersion != version {
			return true
		}
	}
	return false
}

// learn adds stages from another node. confirmed tells whether they come from their holder,
// who confirms them.
func (m *Manager) learn(now time.Time, stages []canary.Stage, confirmed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range stages {
		var until time.Time
		if confirmed {
			until = now.Add(m.confirmedFor(s.Phase))
		}
		if m.table.Merge(s, until) {
			m.entered(now, s)
			continue
		}
		if confirmed {
			m.table.Confirm(s, until)
		}
	}
	m.refresh()
}

// entered records that s is the newest stage of its service. The caller holds mu.
func (m *Manager) entered(now time.Time, s canary.Stage) {
	if s.Service == m.cfg.Service && s.Order != m.tallyOrder {
		m.tallyOrder, m.tallySince = s.Order, now
		clear(m.tallies)
	}
	m.counters[s.Service] = m.counterStart()
	delete(m.reportedAt, s.Service)
	cause := fmt.Sprintf("%s, step %d of version %s: %s", s.Phase, s.Step, s.Target, s.Reason)
	if s.Phase == canary.Canary {
		cause = fmt.Sprintf("%s, step %d of version %s, share %.3f at %d servers: %s", s.Phase, s.Step, s.Target, s.Share, s.Servers, s.Reason)
	}
	m.recordEvent(now, event.RolloutStage, s.Service, cause)
}

// counterStart returns the part of a call with which a counter starts. It differs between
// nodes, so that they don't all send their first call to the target version.
func (m *Manager) counterStart() float64 {
	ids := m.cfg.Fleet.View().UpIDs()
	self := m.cfg.Fleet.View().Self.ID
	for i, id := range ids {
		if id == self {
			return float64(i) / float64(len(ids))
		}
	}
	return 0
}

// reportInterval returns the time between two reports of a node. It grows with the number of
// nodes, so that the holder gets no more of them, as far as the bound on the time of going
// back allows it.
func (m *Manager) reportInterval(p canary.Phase) time.Duration {
	every := time.Duration(len(m.cfg.Fleet.View().UpIDs())) * intervalPerNode
	if within := m.cfg.Settings.RollbackWithin.Std(); within > 0 {
		every = min(every, within/reportsPerRollback)
	}
	every = max(every, minReportInterval)
	if p == canary.Full {
		return every
	}
	return relaxedFactor * every
}

// confirmedFor returns how long a stage in phase p may be used after a confirmation.
func (m *Manager) confirmedFor(p canary.Phase) time.Duration {
	return p.ConfirmedFor(m.reportInterval(p))
}

// refresh updates what depends on the stages. The caller holds mu.
func (m *Manager) refresh() {
	if s, ok := m.table.Stage(m.cfg.Service); ok {
		m.refused.Store(m.refusedVersion(s))
	}
	m.active.Store(len(m.table.Running()) > 0)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// refusedVersion returns the version of this node's service whose servers get no calls any
// more after stage s, nil if there is none.
func (m *Manager) refusedVersion(s canary.Stage) *string {
	var left string
	switch s.Phase {
	case canary.Committed, canary.Complete:
		left = s.Baseline
	case canary.RolledBack:
		left = s.Target
	default:
		return nil
	}
	if left == "" || s.Target == s.Baseline {
		return nil
	}
	return &left
}

// tick sends the reports that are due.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.table.Running() {
		m.recordFallback(now, s)
		if now.Sub(m.reportedAt[s.Service]) < m.reportInterval(s.Phase) || s.Holder == "" {
			continue
		}
		m.reportedAt[s.Service] = now
		req := m.buildReport(s)
		if s.Holder == m.cfg.Fleet.View().Self.Addr {
			m.takeReport(now, req)
			continue
		}
		m.spawn(func() { m.sendReport(ctx, s.Holder, req) })
	}
	m.refresh()
}

// recordFallback journals that calls go to the old version for want of a confirmation, or
// no longer. The caller holds mu.
func (m *Manager) recordFallback(now time.Time, s canary.Stage) {
	fallen := !s.Phase.IsVerdict() && s.Phase != canary.Waiting && !now.Before(m.table.ConfirmedBy(s.Service))
	if fallen == m.fallenBack[s.Service] {
		return
	}
	m.fallenBack[s.Service] = fallen
	if fallen {
		m.recordEvent(now, event.RolloutUnconfirmed, s.Service, fmt.Sprintf("no word from the holder %s, all calls go to version %s", s.Holder, s.Baseline))
		return
	}
	m.recordEvent(now, event.RolloutConfirmed, s.Service, fmt.Sprintf("the holder %s confirms %s", s.Holder, s.Phase))
}

func (m *Manager) recordEvent(at time.Time, k event.Kind, subject, cause string) {
	m.cfg.Journal.Add(event.Event{At: at, Kind: k, Subject: subject, Cause: cause})
}
