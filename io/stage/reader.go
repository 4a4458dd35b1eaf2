package stage

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/event"
	"tanagerchute/io/peer"
	"tanagerchute/io/timer"
	"tanagerchute/io/wire"
)

const (
	readerCheckInterval = 200 * time.Millisecond // of checks whether the node is a reader
	rereadDelay         = time.Second            // before the orders are read again after a failure
)

// runReader watches the orders while this node is a reader, until ctx ends.
func (m *Manager) runReader(ctx context.Context) {
	for timer.Sleep(ctx, readerCheckInterval) {
		if !m.cfg.IsReader() {
			continue
		}
		readCtx, stop := context.WithCancel(ctx)
		m.spawn(func() { m.stopWhenNoReader(readCtx, stop) })
		err := m.followOrders(readCtx, ctx)
		stop()
		if errors.Is(err, tanagerchute.ErrEraChanged) {
			continue // the store can be read
		}
		timer.Sleep(ctx, rereadDelay)
	}
}

// stopWhenNoReader calls stop when this node is no longer a reader.
func (m *Manager) stopWhenNoReader(ctx context.Context, stop context.CancelFunc) {
	for timer.Sleep(ctx, readerCheckInterval) {
		if !m.cfg.IsReader() {
			stop()
			return
		}
	}
}

// followOrders reads all orders and then watches for changes until that fails. Roll-outs go
// on after that, until runCtx ends.
func (m *Manager) followOrders(ctx, runCtx context.Context) error {
	rev, err := m.readOrders(ctx, runCtx)
	if err != nil {
		return err
	}
	prefix := m.cfg.Format.OrderPrefix()
	return m.cfg.Store.Watch(ctx, prefix, rev.Next(), func() {}, func(e tanagerchute.Event) {
		if e.Deleted {
			m.withdraw(strings.TrimPrefix(e.KV.Key, prefix))
			return
		}
		if o, isNew := m.observeOrder(runCtx, rev, e.KV); isNew {
			m.holdTargetBack(runCtx, o)
		}
	})
}

// readOrders reads all orders. Those that were not there when this node read them before were
// given since. It returns the revision as of which it has read them. What it begins goes on
// until runCtx ends.
func (m *Manager) readOrders(ctx, runCtx context.Context) (tanagerchute.Revision, error) {
	m.readMu.Lock()
	defer m.readMu.Unlock()
	prefix := m.cfg.Format.OrderPrefix()
	kvs, rev, err := m.cfg.Store.List(ctx, prefix, tanagerchute.Latest)
	if err != nil {
		return rev, err
	}
	present := map[string]bool{}
	for _, kv := range kvs {
		present[strings.TrimPrefix(kv.Key, prefix)] = true
		o, isNew := m.observeOrder(runCtx, rev, kv)
		if isNew && m.hasRead {
			m.holdTargetBack(runCtx, o)
		}
	}
	m.hasRead = true // of the orders that were there at the first time, some may have ended long ago
	m.withdrawMissing(rev, present)
	return rev, nil
}

// CheckOrders makes the manager read the orders if the store has changed since it last did. It is
// called with the revision of the store as of each check for configuration versions, since a watch
// may hear nothing of an order. It does not block.
func (m *Manager) CheckOrders(r tanagerchute.Revision) {
	select {
	case m.checks <- r:
	default: // the next check comes soon
	}
}

// runOrderChecks reads the orders when a check has shown another revision of the store, until
// ctx ends.
func (m *Manager) runOrderChecks(ctx context.Context) {
	var readAt tanagerchute.Revision
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-m.checks:
			if r == readAt {
				continue
			}
			if at, err := m.readOrders(ctx, ctx); err == nil {
				readAt = at
			}
		}
	}
}

// eraNumber returns the number of the era of a revision, 0 if it is unknown.
func eraNumber(rev tanagerchute.Revision) uint64 {
	n, err := strconv.ParseUint(rev.Era.String(), 10, 64)
	if err != nil {
		return 0 // the store names no eras
	}
	return n
}

// holdTargetBack tells all nodes about an order that was given just now, so that the ordered
// version gets no calls until a holder has begun with it.
func (m *Manager) holdTargetBack(ctx context.Context, o canary.Order) {
	versions := m.versions(o.Service)
	m.mu.Lock()
	s := canary.Stage{
		Order: o.ID, Service: o.Service, Target: o.Target, Baseline: m.table.InUse(o.Service, versions),
		Phase: canary.Waiting, Reason: "no node has begun with the order",
	}
	m.mu.Unlock()
	m.learn(time.Now(), []canary.Stage{s}, false)
	m.spawn(func() {
		m.announce(ctx, m.others(), &wire.AnnounceStagesRequest{Stages: []*wire.RolloutStage{peer.ToStage(s)}})
	})
}

// observeOrder takes an order from the store, and begins to perform it unless it is known.
// It returns the order and whether it is new to this node.
func (m *Manager) observeOrder(ctx context.Context, rev tanagerchute.Revision, kv tanagerchute.KV) (o canary.Order, isNew bool) {
	now := time.Now()
	r, err := m.cfg.Format.ParseOrder(kv.Key, kv.Value)
	if err != nil {
		m.recordEvent(now, event.RolloutRefused, strings.TrimPrefix(kv.Key, m.cfg.Format.OrderPrefix()), err.Error())
		return canary.Order{}, false
	}
	o = canary.NewOrder(r, canary.OrderID{Era: eraNumber(rev), Revision: kv.ModRevision}, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.table.Stage(r.Service); ok && s.Order.Revision == o.ID.Revision && s.Target == o.Target {
		o.ID = s.Order // the same order, read from a store that was restored from a copy
	}
	if last, ok := m.orders[r.Service]; ok && (o.Repeats(last) || o.ID.Compare(last.ID) <= 0) {
		o = last
	} else {
		isNew = true
		m.orders[r.Service] = o
		m.recordEvent(now, event.RolloutOrdered, r.Service, "version "+r.Target+" within "+r.Within.String())
	}
	m.startHold(ctx, o)
	return o, isNew
}

// withdraw records that the order for a service was withdrawn.
func (m *Manager) withdraw(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holds[service]
	if h == nil {
		return
	}
	h.withdrawn = true
	m.recordEvent(time.Now(), event.RolloutWithdrawn, service, "version "+h.order.Target)
}

// withdrawMissing withdraws the orders that are not in the store any more. One that a store
// has lost since it was restored from a copy is not withdrawn.
func (m *Manager) withdrawMissing(rev tanagerchute.Revision, present map[string]bool) {
	m.mu.Lock()
	var missing []string
	for service, h := range m.holds {
		if !present[service] && h.order.ID.Era == eraNumber(rev) {
			missing = append(missing, service)
		}
	}
	m.mu.Unlock()
	for _, service := range missing {
		m.withdraw(service)
	}
}
