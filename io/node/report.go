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

// askTimeout bounds a question to one node, and centreTimeout one to a whole
// data centre.
const (
	askTimeout    = time.Second
	centreTimeout = 2 * time.Second
)

// report returns the state of this node.
func (n *Node) report() *wire.NodeReport {
	load := n.gate.Load()
	self := n.fleet.View().Self
	return &wire.NodeReport{
		Id: n.id, Addr: self.Addr, DataCentre: self.DataCentre, Service: self.Service,
		Version: peer.ToStamp(n.feed.Stamp()), Refused: n.feed.RefusalReason(), Ready: n.Serving() && self.Ready,
		Draining: n.stopped.Load(), InFlight: int32(load.InFlight), Queued: int32(load.Queued), Limit: int32(load.Limit),
		Reader: n.feed.IsReader(), StoreLost: n.feed.StoreLost(), Admin: n.cfg.Settings.Listen.Admin,
	}
}

// answer is what one of many nodes answered.
type answer[T any] struct {
	from  string
	reply T
	err   error
}

// askAll asks all targets, given as address by name, at once.
func askAll[T any](ctx context.Context, timeout time.Duration, targets map[string]string, ask func(ctx context.Context, addr string) (T, error)) []answer[T] {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ch := make(chan answer[T], len(targets))
	for name, addr := range targets {
		go func() {
			reply, err := ask(ctx, addr)
			ch <- answer[T]{name, reply, err}
		}()
	}
	out := make([]answer[T], 0, len(targets))
	for range targets {
		out = append(out, <-ch)
	}
	slices.SortFunc(out, func(a, b answer[T]) int { return strings.Compare(a.from, b.from) })
	return out
}

// members returns the addresses of the other members that are up.
func (n *Node) members() map[string]string {
	view := n.fleet.View()
	out := map[string]string{}
	for _, id := range view.UpIDs() {
		if m, ok := view.Get(id); ok && id != n.id {
			out[id] = m.Addr
		}
	}
	return out
}

// centres returns the address of a relay of each other data centre.
func (n *Node) centres() map[string]string {
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

func (n *Node) reportCentre(ctx context.Context) *wire.ReportReply {
	out := &wire.ReportReply{Nodes: []*wire.NodeReport{n.report()}}
	answers := askAll(ctx, askTimeout, n.members(), func(ctx context.Context, addr string) (*wire.ReportReply, error) {
		return n.client.To(addr).Report(ctx, &wire.ReportRequest{})
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

func (n *Node) reportFleet(ctx context.Context) *wire.ReportReply {
	out := n.reportCentre(ctx)
	answers := askAll(ctx, centreTimeout, n.centres(), func(ctx context.Context, addr string) (*wire.ReportReply, error) {
		return n.client.To(addr).Report(ctx, &wire.ReportRequest{WholeCentre: true})
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

func (n *Node) explainCentre(ctx context.Context, subject string) *wire.ExplainReply {
	out := &wire.ExplainReply{Events: peer.ToEvents(n.journal.Find(subject))}
	answers := askAll(ctx, askTimeout, n.members(), func(ctx context.Context, addr string) (*wire.ExplainReply, error) {
		return n.client.To(addr).Explain(ctx, &wire.ExplainRequest{Subject: subject})
	})
	return mergeEvents(out, answers, "")
}

func (n *Node) explainFleet(ctx context.Context, subject string) *wire.ExplainReply {
	out := n.explainCentre(ctx, subject)
	answers := askAll(ctx, centreTimeout, n.centres(), func(ctx context.Context, addr string) (*wire.ExplainReply, error) {
		return n.client.To(addr).Explain(ctx, &wire.ExplainRequest{Subject: subject, WholeCentre: true})
	})
	return mergeEvents(out, answers, "data centre ")
}

func mergeEvents(out *wire.ExplainReply, answers []answer[*wire.ExplainReply], kind string) *wire.ExplainReply {
	for _, a := range answers {
		if a.err != nil {
			out.Silent = append(out.Silent, kind+a.from)
			continue
		}
		out.Events = append(out.Events, a.reply.GetEvents()...)
		out.Silent = append(out.Silent, a.reply.GetSilent()...)
	}
	return out
}

// adminNode is what the admin interface sees of a node.
type adminNode struct{ n *Node }

// Status implements admin.Node.
func (a adminNode) Status(ctx context.Context, scope admin.Scope) admin.Status {
	var r *wire.ReportReply
	switch scope {
	case admin.ScopeFleet:
		r = a.n.reportFleet(ctx)
	case admin.ScopeDataCentre:
		r = a.n.reportCentre(ctx)
	default:
		r = &wire.ReportReply{Nodes: []*wire.NodeReport{a.n.report()}}
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

func nodeStatus(x *wire.NodeReport) admin.NodeStatus {
	return admin.NodeStatus{
		ID: x.GetId(), Name: nameOf(x.GetId()), Addr: x.GetAddr(), DataCentre: x.GetDataCentre(), Service: x.GetService(),
		Version: x.GetVersion().GetNumber(), Digest: x.GetVersion().GetDigest(), Refused: x.GetRefused(),
		Ready: x.GetReady(), Draining: x.GetDraining(), Reader: x.GetReader(), StoreLost: x.GetStoreLost(),
		InFlight: int(x.GetInFlight()), Queued: int(x.GetQueued()), Limit: int(x.GetLimit()),
	}
}

// nameOf returns the name of the instance from the id of its process.
func nameOf(id string) string {
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
		r = a.n.explainCentre(ctx, subject)
	default:
		r = &wire.ExplainReply{Events: peer.ToEvents(a.n.journal.Find(subject))}
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
	for _, x := range a.n.reportFleet(ctx).GetNodes() {
		if x.GetId() != name && nameOf(x.GetId()) != name {
			continue
		}
		if _, err := a.n.client.To(x.GetAddr()).Drain(ctx, &wire.DrainRequest{}); err != nil {
			return errors.Wrapf(err, "drain %s", name)
		}
		return nil
	}
	return errors.Errorf("no node that answers is called %q", name)
}

// Announce implements admin.Node.
func (a adminNode) Announce(b gate.Backend) { a.n.Announce(b) }

// MarkBackendLeaving implements admin.Node.
func (a adminNode) MarkBackendLeaving() { a.n.MarkBackendLeaving() }
