package feed

import (
	"context"
	"sync"
	"time"

	"tanagerchute/core/rank"
	"tanagerchute/core/spread"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// passOn queues a version for the tree of root. Each node passes a version on
// once for each root.
func (f *Feed) passOn(root string, v vers.Version, whole bool) {
	key := offerKey{root, v.Stamp()}
	f.mu.Lock()
	done := f.offered[key]
	if len(f.offered) > 4*maxAlarms {
		clear(f.offered)
	}
	f.offered[key] = true
	f.mu.Unlock()
	if done {
		return
	}
	select {
	case f.pushes <- push{root, v, whole}:
	default: // probes repair what is not pushed
	}
}

// Announce passes on a version that this node, as a reader or relay, brought
// into the data centre.
func (f *Feed) Distribute(ctx context.Context, v vers.Version) {
	f.distribute(ctx, v, f.cfg.Fleet.View().RankInDataCentre("reader", ReadersPerDataCentre))
}

func (f *Feed) distribute(ctx context.Context, v vers.Version, rank int) {
	if rank <= 0 {
		f.passOn(f.cfg.Self, v, true)
		return
	}
	at := spread.OfferAt(time.Now(), rank)
	go func() {
		select {
		case <-time.After(time.Until(at)):
			f.passOn(f.cfg.Self, v, false)
		case <-ctx.Done():
		}
	}()
}

func (f *Feed) runPushes(ctx context.Context) {
	sends := make(chan struct{}, pushSends)
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

// push sends an offer to each child, and takes over the children of those that
// can't be reached.
func (f *Feed) push(ctx context.Context, p push, sends chan struct{}, wg *sync.WaitGroup) {
	tree, req, ok := f.offer(p)
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

func (f *Feed) offer(p push) (spread.Tree, *wire.OfferRequest, bool) {
	view := f.cfg.Fleet.View()
	order := view.Ring.OrderFrom(p.root)
	fanout := spread.Fanout
	if f.cfg.Mode == FullFlood {
		fanout = len(order)
	}
	tree := spread.NewTree(order, f.cfg.Self, fanout)
	if len(tree.Children()) == 0 {
		return tree, nil, false
	}
	req := &wire.OfferRequest{From: f.cfg.Self, Root: p.root, Stamp: peer.ToStamp(p.version.Stamp())}
	if p.whole {
		w, err := f.encoded(p.version, f.base(p.version))
		if err != nil {
			return spread.Tree{}, nil, false
		}
		req.Version = w
	}
	return tree, req, true
}

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

// ServeOffer takes an offer and passes it on down the tree of its root.
func (f *Feed) ServeOffer(ctx context.Context, req *wire.OfferRequest) (*wire.OfferReply, error) {
	from, known := f.cfg.Fleet.View().Get(req.GetFrom())
	stamp := peer.FromStamp(req.GetStamp())
	if req.GetVersion() != nil {
		if _, err := f.ApplyEncoded(req.GetFrom(), req.GetVersion()); err != nil && known {
			f.ObserveStamp(from.Addr, stamp) // fetch it whole
		}
	} else if known {
		f.ObserveStamp(from.Addr, stamp)
	}
	if v := f.Snapshot(); v != nil && v.Version.Stamp() == stamp {
		f.passOn(req.GetRoot(), v.Version, req.GetVersion() != nil)
	} else if known {
		f.relayLater(context.WithoutCancel(ctx), req)
	}
	return &wire.OfferReply{Version: peer.ToStamp(f.Stamp())}, nil
}

// relayLater passes an offer on once the version has been fetched.
func (f *Feed) relayLater(ctx context.Context, req *wire.OfferRequest) {
	stamp := peer.FromStamp(req.GetStamp())
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 2*fetchTimeout)
		defer cancel()
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for {
			if v := f.Snapshot(); v != nil && v.Version.Stamp() == stamp {
				f.passOn(req.GetRoot(), v.Version, req.GetVersion() != nil)
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

// readers returns the addresses of the readers of the data centre.
func (f *Feed) readers() []string {
	view := f.cfg.Fleet.View()
	var out []string
	for _, id := range rank.Top("reader", view.RunningIDs(), ReadersPerDataCentre) {
		if m, ok := view.Get(id); ok && id != f.cfg.Self {
			out = append(out, m.Addr)
		}
	}
	return out
}

// base returns the digest of the version that a pushed one is encoded against:
// its parent, or the one that was in force here before if it names none. A node
// that does not hold it asks for the version whole.
func (f *Feed) base(v vers.Version) string {
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
