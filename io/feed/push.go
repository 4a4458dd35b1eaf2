package feed

import (
	"context"
	"sync"
	"time"

	"tanagerchute/core/fanout"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// enqueuePush queues a version to be pushed along the tree of root. A version is
// queued only once for each root.
func (f *Feed) enqueuePush(root string, v vers.Version, withContent bool) {
	key := forwardKey{root, v.Stamp()}
	f.mu.Lock()
	seen := f.forwarded[key]
	if len(f.forwarded) > 4*maxReported {
		clear(f.forwarded) // bounds the memory; at worst a version is queued again
	}
	f.forwarded[key] = true
	f.mu.Unlock()
	if seen {
		return
	}
	select {
	case f.pushes <- push{root, v, withContent}:
	default: // nodes that miss the push learn of the version from the stamps on probes
	}
}

// Distribute pushes a version that this node got from another data centre, or from
// another region if there are regions, to the members of its own.
func (f *Feed) Distribute(ctx context.Context, v vers.Version) {
	f.distribute(ctx, v, f.cfg.Fleet.View().ReaderRank(ReadersPerDataCentre))
}

// distribute pushes a version along the tree whose root is this node. The reader of
// rank 0, or a node that is not a reader, pushes it with its content at once. The
// other readers offer only its stamp, after a delay, see package fanout.
func (f *Feed) distribute(ctx context.Context, v vers.Version, rank int) {
	if rank <= 0 {
		f.enqueuePush(f.cfg.Self, v, true)
		return
	}
	at := fanout.OfferAt(time.Now(), rank)
	go func() {
		select {
		case <-time.After(time.Until(at)):
			f.enqueuePush(f.cfg.Self, v, false)
		case <-ctx.Done():
		}
	}()
}

// runPushes pushes the queued versions until ctx ends.
func (f *Feed) runPushes(ctx context.Context) {
	sends := make(chan struct{}, maxConcurrentOffers)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-f.pushes:
			f.push(ctx, p, sends, &wg)
		}
	}
}

// push sends an offer to each child of this node in the tree. If a child can't be
// reached, it sends the offer to the child's children instead. sends limits the
// concurrent offers.
func (f *Feed) push(ctx context.Context, p push, sends chan struct{}, wg *sync.WaitGroup) {
	tree, req, ok := f.buildOffer(p)
	if !ok {
		return
	}
	var send func(id string)
	send = func(id string) {
		defer func() { <-sends }()
		if f.sendOffer(ctx, id, req) {
			return
		}
		for _, next := range tree.ChildrenOf(id) {
			wg.Go(func() {
				sends <- struct{}{}
				send(next)
			})
		}
	}
	for _, id := range tree.Children() {
		sends <- struct{}{}
		wg.Go(func() { send(id) })
	}
}

// buildOffer returns the tree and the request for a push. ok is false if this node
// has no children in the tree or the version can't be encoded.
func (f *Feed) buildOffer(p push) (fanout.Tree, *wire.OfferRequest, bool) {
	view := f.cfg.Fleet.View()
	order := view.Ring.OrderFrom(p.root)
	degree := fanout.Degree
	if f.cfg.Mode == FullFlood {
		degree = len(order)
	}
	tree := fanout.NewTree(order, f.cfg.Self, degree)
	if len(tree.Children()) == 0 {
		return tree, nil, false
	}
	req := &wire.OfferRequest{From: f.cfg.Self, Root: p.root, Stamp: peer.ToStamp(p.version.Stamp())}
	if p.withContent {
		w, err := f.encode(p.version, f.deltaBase(p.version))
		if err != nil {
			return fanout.Tree{}, nil, false
		}
		req.Version = w
	}
	return tree, req, true
}

// sendOffer sends an offer to a member and reports whether it answered.
func (f *Feed) sendOffer(ctx context.Context, id string, req *wire.OfferRequest) bool {
	m, ok := f.cfg.Fleet.View().Get(id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, err := f.cfg.Client.To(m.Addr).Offer(ctx, req)
	return err == nil
}

// ServeOffer applies the version of an offer, or queues a fetch of it from the
// sender if the offer holds only its stamp. It forwards the offer along the tree
// of its root.
func (f *Feed) ServeOffer(ctx context.Context, req *wire.OfferRequest) (*wire.OfferReply, error) {
	from, known := f.cfg.Fleet.View().Get(req.GetFrom())
	stamp := peer.FromStamp(req.GetStamp())
	if req.GetVersion() != nil {
		if _, err := f.ApplyEncoded(req.GetFrom(), req.GetVersion()); err != nil && known {
			// The version has to be fetched, for example because this node does
			// not hold the base of the delta.
			f.ObserveStamp(from.Addr, stamp)
		}
	} else if known {
		f.ObserveStamp(from.Addr, stamp)
	}
	if v := f.Snapshot(); v != nil && v.Version.Stamp() == stamp {
		f.enqueuePush(req.GetRoot(), v.Version, req.GetVersion() != nil)
	} else if known {
		f.pushWhenApplied(context.WithoutCancel(ctx), req)
	}
	return &wire.OfferReply{Version: peer.ToStamp(f.Stamp())}, nil
}

// pushWhenApplied forwards an offer once its version has been fetched and applied.
func (f *Feed) pushWhenApplied(ctx context.Context, req *wire.OfferRequest) {
	stamp := peer.FromStamp(req.GetStamp())
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 2*fetchTimeout)
		defer cancel()
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for {
			if v := f.Snapshot(); v != nil && v.Version.Stamp() == stamp {
				f.enqueuePush(req.GetRoot(), v.Version, req.GetVersion() != nil)
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	}()
}

// readerAddrs returns the addresses of the members that rank first as readers,
// without this node. In a deployment with regions, other data centres of the region
// can have further readers.
func (f *Feed) readerAddrs() []string {
	view := f.cfg.Fleet.View()
	var out []string
	for _, id := range view.GroupReaders(ReadersPerDataCentre) {
		if m, ok := view.Get(id); ok && id != f.cfg.Self {
			out = append(out, m.Addr)
		}
	}
	return out
}

// deltaBase returns the digest of the version that v is encoded as a delta to when
// it is pushed: its parent, or the newest earlier version held here if versions are
// not chained. A node that does not hold the base fetches v instead. The digest is
// empty for the full content.
func (f *Feed) deltaBase(v vers.Version) string {
	if f.cfg.Mode == FullFlood {
		return ""
	}
	if f.cfg.TrackerConfig.Chained {
		return v.Parent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.NewestBefore(v).Digest
}
