package node

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/core/beat"
	"tanagerchute/core/event"
	"tanagerchute/core/owner"
	"tanagerchute/io/gate"
)

// learnStoredOwner records what an earlier process has heard, as the store holds it, and looks
// for that server if the node had to wait for the store.
func (n *Node) learnStoredOwner(c owner.Claim) {
	n.gate.LearnOwner(c, owner.FromStore)
	if n.booted.Load() {
		n.discoverBackend(context.Background())
	}
}

// discoverBackend looks for a backend server that has kept running while its node was
// restarted. If no other node knows who that is, it is called again when the store has
// answered.
func (n *Node) discoverBackend(ctx context.Context) {
	path := n.healthPath()
	if s := n.cfg.Settings; s.Backend == "" || s.FirstStart || path == "" || n.gate.InUse() {
		return
	}
	n.gate.LearnOwner(n.fleet.FormerOwner(ctx), owner.FromMembers)
	if !n.gate.KnowsOwner() && n.census.Pending() {
		return
	}
	n.gate.DiscoverBackend(ctx, path, n.previousBackend(ctx))
}

// previousBackend returns the backend server as the previous node process at this address
// published it.
func (n *Node) previousBackend(ctx context.Context) gate.Backend {
	b := gate.Backend{Address: n.cfg.Settings.Backend, Slots: defaultBackendSlots}
	if m, ok := n.fleet.Predecessor(ctx); ok && m.Slots > 0 {
		b.Slots, b.Version = m.Slots, m.ServerVersion
	}
	return b
}

// healthPath returns the path of the health checks of the backend server, empty if the version
// in force sets none.
func (n *Node) healthPath() string {
	snapshot := n.feed.Snapshot()
	if snapshot == nil {
		return ""
	}
	service, _ := snapshot.Table.Service(n.cfg.Settings.Service)
	return service.HealthPath
}

// askServer asks the server at the address of the backend server who it is. The answer is zero
// if the version in force has no health check.
func (n *Node) askServer(ctx context.Context) owner.Answer {
	path := n.healthPath()
	if path == "" {
		return owner.Answer{}
	}
	return n.gate.AskServer(ctx, n.cfg.Settings.Backend, path)
}

// observeForeignHeartbeat handles a heartbeat of another service, which names the address of
// the backend server. It may be that of a server that has got the address, late, or false.
func (n *Node) observeForeignHeartbeat(ctx context.Context, h beat.Heartbeat) {
	if !n.hasService(h.Service) {
		n.ObserveMalformedHeartbeat(h.ID, fmt.Errorf("service %q is not in the version in force", h.Service))
		return
	}
	n.journal.Add(event.Event{At: time.Now(), Kind: event.HeartbeatForeign, Subject: h.ID, Cause: fmt.Sprintf(
		"sequence %d with start time %d is of service %s at %s", h.Sequence, h.StartMs, h.Service, h.Address)})
	var answer owner.Answer
	if n.gate.Contradicts(h) {
		answer = n.askServer(ctx)
	}
	n.gate.ObserveForeign(h, answer)
}

// ObserveMalformedHeartbeat records a heartbeat, or a report that a server has stopped, which
// can't be read. id is the one that it came under.
func (n *Node) ObserveMalformedHeartbeat(id string, err error) {
	n.journal.Add(event.Event{At: time.Now(), Kind: event.HeartbeatMalformed, Subject: id, Cause: err.Error()})
}
