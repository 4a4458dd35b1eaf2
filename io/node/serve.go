package node

import (
	"context"

	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// peerServer implements the control protocol between nodes, wire.Peer.
type peerServer struct{ n *Node }

// Probe implements wire.Peer.
func (s peerServer) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.n.fleet.Probe(ctx, r)
}

// Relay implements wire.Peer.
func (s peerServer) Relay(ctx context.Context, r *wire.RelayRequest) (*wire.RelayReply, error) {
	return s.n.fleet.Relay(ctx, r)
}

// Gossip implements wire.Peer.
func (s peerServer) Gossip(ctx context.Context, r *wire.GossipRequest) (*wire.GossipReply, error) {
	return s.n.fleet.Gossip(ctx, r)
}

// Sync implements wire.Peer.
func (s peerServer) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return s.n.fleet.Sync(ctx, r)
}

// Offer implements wire.Peer.
func (s peerServer) Offer(ctx context.Context, r *wire.OfferRequest) (*wire.OfferReply, error) {
	return s.n.feed.ServeOffer(ctx, r)
}

// Fetch implements wire.Peer.
func (s peerServer) Fetch(ctx context.Context, r *wire.FetchRequest) (*wire.FetchReply, error) {
	return s.n.feed.ServeFetch(ctx, r)
}

// Exchange implements wire.Peer.
func (s peerServer) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.n.relay.Serve(ctx, r)
}

// Inquire implements wire.Peer.
func (s peerServer) Inquire(ctx context.Context, r *wire.InquireRequest) (*wire.InquireReply, error) {
	return s.n.proxy.Inquire(ctx, r), nil
}

// Report implements wire.Peer.
func (s peerServer) Report(ctx context.Context, r *wire.ReportRequest) (*wire.ReportReply, error) {
	if r.GetWholeCentre() {
		return s.n.reportDataCentre(ctx, r.GetWithSettings()), nil
	}
	return &wire.ReportReply{Nodes: []*wire.NodeReport{s.n.report(r.GetWithSettings())}}, nil
}

// Explain implements wire.Peer.
func (s peerServer) Explain(ctx context.Context, r *wire.ExplainRequest) (*wire.ExplainReply, error) {
	if r.GetWholeCentre() {
		return s.n.explainDataCentre(ctx, r.GetSubject()), nil
	}
	return &wire.ExplainReply{Events: peer.ToEvents(s.n.findEvents(r.GetSubject()))}, nil
}

// Drain implements wire.Peer.
func (s peerServer) Drain(context.Context, *wire.DrainRequest) (*wire.DrainReply, error) {
	s.n.StartDrain()
	return &wire.DrainReply{}, nil
}
