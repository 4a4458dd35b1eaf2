package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/event"
	"tanagerchute/io/admin"
	"tanagerchute/io/gate"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// nodeQueryTimeout bounds queries to single nodes, and dataCentreQueryTimeout
// queries to a relay, which queries the nodes of its data centre.
const (
	nodeQueryTimeout       = time.Second
	dataCentreQueryTimeout = 2 * time.Second
)

// report returns the status of this node, with the values of its settings if
// withSettings is set.
func (n *Node) report(withSettings bool) *wire.NodeReport {
	load := n.gate.Load()
	self := n.fleet.View().Self
	return &wire.NodeReport{
		Id: n.id, Addr: self.Addr, DataCentre: self.DataCentre, Service: self.Service,
		Version: peer.ToStamp(n.feed.Stamp()), Refused: n.feed.RefusalReason(), Ready: n.Serving() && self.Ready,
		Draining: n.stopping.Load(), InFlight: int32(load.InFlight), Queued: int32(load.Queued), Limit: int32(load.Limit),
		Reader: n.feed.IsReader(), StoreLost: n.feed.StoreLost(), Admin: n.cfg.Settings.Listen.Admin,
		Settings: n.reportSettings(withSettings),
	}
}

// queryResult is the result of a query to one of several targets.
type queryResult[T any] struct {
	from  string // name of the target
	reply T
	err   error
}

// queryAll queries all targets in parallel and returns the results sorted by the
// name of the target. targets maps names to addresses.
func queryAll[T any](ctx context.Context, timeout time.Duration, targets map[string]string, query func(ctx context.Context, addr string) (T, error)) []queryResult[T] {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan queryResult[T], len(targets))
	for name, addr := range targets {
		go func() {
			reply, err := query(ctx, addr)
			results <- queryResult[T]{name, reply, err}
		}()
	}
	out := make([]queryResult[T], 0, len(targets))
	for range targets {
		out = append(out, <-results)
	}
	slices.SortFunc(out, func(a, b queryResult[T]) int { return strings.Compare(a.from, b.from) })
	return out
}

// peerAddrs returns the addresses of the other members that are up, by id.
func (n *Node) peerAddrs() map[string]string {
	view := n.fleet.View()
	out := map[string]string{}
	for _, id := range view.UpIDs() {
		if m, ok := view.Get(id); ok && id != n.id {
			out[id] = m.Addr
		}
	}
	return out
}

// dataCentreAddrs returns the address of a node of each other data centre: of a
// relay if one is known, otherwise of a seed, or "" if neither is known.
func (n *Node) dataCentreAddrs() map[string]string {
	view := n.fleet.View()
	out := map[string]string{}
	for _, c := range n.cfg.Settings.Groups() {
		if c == n.cfg.Settings.Group() {
			continue
		}
		out[c] = ""
		if relays := view.Remote.Relays[c]; len(relays) > 0 {
			out[c] = relays[0]
		} else if seeds := n.cfg.Settings.Seeds[c]; len(seeds) > 0 {
			out[c] = seeds[0]
		}
	}
	return out
}

// reportDataCentre returns the status of all nodes of this data centre.
func (n *Node) reportDataCentre(ctx context.Context, withSettings bool) *wire.ReportReply {
	out := &wire.ReportReply{Nodes: []*wire.NodeReport{n.report(withSettings)}}
	answers := queryAll(ctx, nodeQueryTimeout, n.peerAddrs(), func(ctx context.Context, addr string) (*wire.ReportReply, error) {
		return n.client.To(addr).Report(ctx, &wire.ReportRequest{WithSettings: withSettings})
	})
	for _, a := range answers {
		if a.err != nil {
			out.Silent = append(out.Silent, a.from)
			continue
		}
		out.Nodes = append(out.Nodes, a.reply.GetNodes()...)
	}
	return out
}

// reportFleet returns the status of all nodes of all data centres.
func (n *Node) reportFleet(ctx context.Context, withSettings bool) *wire.ReportReply {
	out := n.reportDataCentre(ctx, withSettings)
	answers := queryAll(ctx, dataCentreQueryTimeout, n.dataCentreAddrs(), func(ctx context.Context, addr string) (*wire.ReportReply, error) {
		return n.client.To(addr).Report(ctx, &wire.ReportRequest{WholeCentre: true, WithSettings: withSettings})
	})
	for _, a := range answers {
		if a.err != nil {
			out.Silent = append(out.Silent, "data centre "+a.from)
			continue
		}
		out.Nodes = append(out.Nodes, a.reply.GetNodes()...)
		out.Silent = append(out.Silent, a.reply.GetSilent()...)
	}
	return out
}

// findEvents returns the events about subject in the journal. If it is a client account
// whose quota this node keeps, the last one is about the present state.
func (n *Node) findEvents(subject string) []event.Event {
	events := n.journal.Find(subject)
	if n.quotas == nil {
		return events
	}
	if e, ok := n.quotas.Describe(subject); ok {
		events = append(events, e)
	}
	return events
}

// explainDataCentre returns the events about subject that the nodes of this data
// centre have in their journals.
func (n *Node) explainDataCentre(ctx context.Context, subject string) *wire.ExplainReply {
	out := &wire.ExplainReply{Events: peer.ToEvents(n.findEvents(subject))}
	answers := queryAll(ctx, nodeQueryTimeout, n.peerAddrs(), func(ctx context.Context, addr string) (*wire.ExplainReply, error) {
		return n.client.To(addr).Explain(ctx, &wire.ExplainRequest{Subject: subject})
	})
	return mergeEvents(out, answers, "")
}

// explainFleet returns the events about subject of all nodes of all data centres.
func (n *Node) explainFleet(ctx context.Context, subject string) *wire.ExplainReply {
	out := n.explainDataCentre(ctx, subject)
	answers := queryAll(ctx, dataCentreQueryTimeout, n.dataCentreAddrs(), func(ctx context.Context, addr string) (*wire.ExplainReply, error) {
		return n.client.To(addr).Explain(ctx, &wire.ExplainRequest{Subject: subject, WholeCentre: true})
	})
	return mergeEvents(out, answers, "data centre ")
}

// mergeEvents appends the events of all answers to out, and the names of targets
// that did not answer, with prefix, to its silent ones.
func mergeEvents(out *wire.ExplainReply, answers []queryResult[*wire.ExplainReply], prefix string) *wire.ExplainReply {
	for _, a := range answers {
		if a.err != nil {
			out.Silent = append(out.Silent, prefix+a.from)
			continue
		}
		out.Events = append(out.Events, a.reply.GetEvents()...)
		out.Silent = append(out.Silent, a.reply.GetSilent()...)
	}
	return out
}

// adminNode implements admin.Node.
type adminNode struct{ n *Node }

// Status implements admin.Node.
func (a adminNode) Status(ctx context.Context, q admin.StatusQuery) admin.Status {
	var r *wire.ReportReply
	switch q.Scope {
	case admin.ScopeFleet:
		r = a.n.reportFleet(ctx, q.WithSettings)
	case admin.ScopeDataCentre:
		r = a.n.reportDataCentre(ctx, q.WithSettings)
	default:
		r = &wire.ReportReply{Nodes: []*wire.NodeReport{a.n.report(q.WithSettings)}}
	}
	s := admin.Status{Silent: r.GetSilent()}
	for _, x := range r.GetNodes() {
		s.Nodes = append(s.Nodes, nodeStatus(x))
	}
	slices.SortFunc(s.Nodes, func(x, y admin.NodeStatus) int {
		return strings.Compare(x.DataCentre+"/"+x.ID, y.DataCentre+"/"+y.ID)
	})
	return s
}

// nodeStatus converts a report to the form of the admin interface.
func nodeStatus(report *wire.NodeReport) admin.NodeStatus {
	return admin.NodeStatus{
		ID: report.GetId(), Name: instanceName(report.GetId()), Addr: report.GetAddr(), DataCentre: report.GetDataCentre(), Service: report.GetService(),
		Version: report.GetVersion().GetNumber(), Digest: report.GetVersion().GetDigest(), Refused: report.GetRefused(),
		Ready: report.GetReady(), Draining: report.GetDraining(), Reader: report.GetReader(), StoreLost: report.GetStoreLost(),
		InFlight: int(report.GetInFlight()), Queued: int(report.GetQueued()), Limit: int(report.GetLimit()),
		Settings: settingsStatus(report.GetSettings()),
	}
}

// settingsStatus converts a report on settings to the form of the admin interface.
// It is empty for a node whose build does not report its settings.
func settingsStatus(r *wire.SettingsReport) admin.SettingsStatus {
	if r == nil {
		return admin.SettingsStatus{}
	}
	return admin.SettingsStatus{
		Digest: r.GetDigest(), LoadedAt: time.Unix(0, r.GetLoadedAt()), Pending: r.GetPending(), Build: r.GetBuild(), Values: r.GetValues(),
	}
}

// instanceName returns the name of the instance that the process with the given
// id belongs to.
func instanceName(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}

// Explain implements admin.Node.
func (a adminNode) Explain(ctx context.Context, subject string, scope admin.Scope) admin.Explanation {
	var r *wire.ExplainReply
	switch scope {
	case admin.ScopeFleet:
		r = a.n.explainFleet(ctx, subject)
	case admin.ScopeDataCentre:
		r = a.n.explainDataCentre(ctx, subject)
	default:
		r = &wire.ExplainReply{Events: peer.ToEvents(a.n.findEvents(subject))}
	}
	events := peer.FromEvents(r.GetEvents())
	slices.SortStableFunc(events, func(x, y event.Event) int { return x.At.Compare(y.At) })
	return admin.Explanation{Events: events, Silent: r.GetSilent()}
}

// Drain implements admin.Node.
func (a adminNode) Drain(ctx context.Context, name string) error {
	if name == "" || name == a.n.cfg.Settings.Name || name == a.n.id {
		a.n.StartDrain()
		return nil
	}
	for _, x := range a.n.reportFleet(ctx, false).GetNodes() {
		if x.GetId() != name && instanceName(x.GetId()) != name {
			continue
		}
		if _, err := a.n.client.To(x.GetAddr()).Drain(ctx, &wire.DrainRequest{}); err != nil {
			return errors.Wrapf(err, "drain %s", name)
		}
		return nil
	}
	return errors.Errorf("no node that answered has the name or id %q", name)
}

// Announce implements admin.Node.
func (a adminNode) Announce(b gate.Backend) { a.n.Announce(b) }

// MarkBackendLeaving implements admin.Node.
func (a adminNode) MarkBackendLeaving() { a.n.MarkBackendLeaving() }
