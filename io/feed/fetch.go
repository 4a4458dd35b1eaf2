package feed

import (
	"context"
	"fmt"

	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// ObserveStamp handles the stamp of the version in force at the node at addr. It
// queues a fetch from there if that version is later, and reports a fork if it has
// the same number and another digest. It does not block.
func (f *Feed) ObserveStamp(addr string, s vers.Stamp) {
	if s.Number == 0 {
		return
	}
	if cur := f.Stamp(); s == cur || s.Number < cur.Number {
		return
	}
	f.mu.Lock()
	shouldFetch := f.tracker.ShouldFetch(s)
	if cur := f.tracker.Current().Version; s.Digest != "" && cur.Number == s.Number && cur.Stamp() != s {
		f.reportOnce(event.VersionForked, s, fmt.Sprintf("node at %s has version %d with digest %.12s", addr, s.Number, s.Digest))
	}
	f.mu.Unlock()
	if !shouldFetch {
		return
	}
	select {
	case f.fetches <- addr:
	default: // the next stamp from a node with a later version queues it again
	}
}

// runFetchWorker fetches from the queued addresses until ctx ends.
func (f *Feed) runFetchWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-f.fetches:
			_, _ = f.Fetch(ctx, addr) // queued again by the next stamp
		}
	}
}

// Fetch fetches the version in force at the node at addr if it is later than the
// one here, and reports whether it was applied.
func (f *Feed) Fetch(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := f.cfg.Client.To(addr).Fetch(ctx, &wire.FetchRequest{Have: peer.ToStamp(f.Stamp())})
	if err != nil {
		return false, err
	}
	if reply.GetVersion() == nil {
		return false, nil
	}
	return f.ApplyEncoded(addr, reply.GetVersion())
}

// ApplyEncoded decodes a version, offers it to the tracker and reports whether it
// was applied. from is the node, address or data centre that it came from.
func (f *Feed) ApplyEncoded(from string, w *wire.Version) (bool, error) {
	v, err := peer.FromVersion(w, f.VersionByDigest)
	if err != nil {
		return false, err
	}
	return f.offerToTracker(v, origin{name: from}).Kind == vers.Applied, nil
}

// ServeFetch answers a fetch with the version in force if it is later than the one
// that the client has. The version is encoded as a delta if this node still holds
// the client's version.
func (f *Feed) ServeFetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchReply, error) {
	s := f.Snapshot()
	have := peer.FromStamp(req.GetHave())
	if s == nil || !s.Version.Stamp().After(have) {
		return &wire.FetchReply{}, nil
	}
	v, err := f.encode(s.Version, have.Digest)
	if err != nil {
		return nil, err
	}
	return &wire.FetchReply{Version: v}, nil
}

// encode encodes v as a delta to the version with the digest base, or with its full
// content if that version is not held. Results are cached, since many nodes
// request the same one.
func (f *Feed) encode(v vers.Version, base string) (*wire.Version, error) {
	baseVersion, _ := f.VersionByDigest(base)
	key := deltaKey{v.Digest, baseVersion.Digest}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.deltas[key]; ok {
		return w, nil
	}
	w, err := peer.ToVersion(v, baseVersion)
	if err != nil {
		return nil, err
	}
	if len(f.deltas) >= maxCachedDeltas {
		clear(f.deltas)
	}
	f.deltas[key] = w
	return w, nil
}

// EncodeFor encodes the version in force for a node that has the version with the
// stamp have: as a delta if this node still holds that version, and with its full
// content otherwise.
func (f *Feed) EncodeFor(have vers.Stamp) (*wire.Version, error) {
	return f.encode(f.Snapshot().Version, have.Digest)
}
