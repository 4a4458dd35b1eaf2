// Package relay is the duty of the one node of a data centre that keeps
// contact with the others.
//
// Every two seconds, and at once after a change, it exchanges with one node of each
// other data centre: the stamp of the version in force and the digest of what
// each knows of the other. Only what differs is sent. A data centre that is
// behind, since it is cut off from the store, gets the version from here.
//
// # Usage
//
//	r := relay.New(relay.Config{Fleet: fleet, Feed: feed, Client: client, …})
//	go r.Run(ctx)
//	reply, err := r.Serve(ctx, req) // for exchanges from others
package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/vers"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// Times of the duty.
const (
	lookEvery       = 100 * time.Millisecond // for changes that have to be told
	exchangeEvery   = 2 * time.Second
	exchangeTimeout = 800 * time.Millisecond
	overdue         = 3 * time.Second // silence after which this side asks as well
)

// Config configures a Relay.
type Config struct {
	DataCentre  string
	DataCentres []string
	Seeds       map[string][]string // addresses by data centre
	Fleet       *fleet.Fleet
	Feed        *feed.Feed
	Client      *peer.Client
	Journal     *event.Journal
}

// Relay is the duty. Its methods are safe for concurrent use.
type Relay struct {
	cfg   Config
	mu    sync.Mutex
	links map[string]*state
	seeds map[string][]string // from the store
}

// state is what is known of the exchange with one data centre.
type state struct {
	heard     time.Time
	sent      time.Time
	told      uint64 // digest of our summary that it is known to have
	try       int    // rotates through its addresses
	busy      bool
	storeLost bool
	stamp     vers.Stamp
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, links: map[string]*state{}, seeds: map[string][]string{}}
	for _, c := range cfg.DataCentres {
		if c != cfg.DataCentre {
			r.links[c] = &state{}
		}
	}
	return r
}

// SetSeeds takes addresses by data centre, as found in the store.
func (r *Relay) SetSeeds(seeds map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Run exchanges with the other data centres while this node is the relay.
func (r *Relay) Run(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	was := false
	judged := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			is := r.cfg.Fleet.View().Rank("reader", 1) == 0
			if is {
				r.exchangeDue(ctx, now, &wg)
			}
			if is && (!was || now.Sub(judged) >= exchangeEvery) {
				r.cfg.Fleet.MarkLostDataCentres(ctx, !was)
				judged = now
			}
			was = is
		}
	}
}

// exchangeDue starts the exchanges whose time has come.
func (r *Relay) exchangeDue(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	digest := r.cfg.Fleet.Summary().Digest()
	stamp := r.cfg.Feed.Stamp()
	r.mu.Lock()
	defer r.mu.Unlock()
	for centre, s := range r.links {
		if s.busy || !r.due(centre, s, now, digest, stamp) {
			continue
		}
		s.busy = true
		s.sent = now
		wg.Go(func() { r.exchange(ctx, centre) })
	}
}

// due reports whether an exchange with a data centre has to be made. Of two
// relays the one whose data centre comes first by name keeps the pace.
func (r *Relay) due(centre string, s *state, now time.Time, digest uint64, stamp vers.Stamp) bool {
	age := now.Sub(s.sent)
	switch {
	case s.told != digest && age >= lookEvery:
		return s.told != 0 || age >= exchangeEvery/8
	case s.storeLost && stamp.After(s.stamp) && age >= lookEvery:
		return true
	case r.cfg.DataCentre < centre:
		return age >= exchangeEvery
	}
	return now.Sub(s.heard) >= overdue && age >= exchangeEvery
}

// addrs returns the addresses to try in a data centre, the likeliest first.
func (r *Relay) addrs(centre string) []string {
	out := slices.Clone(r.cfg.Fleet.View().Remote.Relays[centre])
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range slices.Concat(r.seeds[centre], r.cfg.Seeds[centre]) {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func (r *Relay) exchange(ctx context.Context, centre string) {
	defer func() {
		r.mu.Lock()
		r.links[centre].busy = false
		r.mu.Unlock()
	}()
	addrs := r.addrs(centre)
	if len(addrs) == 0 {
		return
	}
	r.mu.Lock()
	addr := addrs[r.links[centre].try%len(addrs)]
	r.mu.Unlock()
	reply, err := r.ask(ctx, centre, addr, nil)
	if err != nil {
		r.mu.Lock()
		r.links[centre].try++
		r.mu.Unlock()
		return
	}
	r.settle(ctx, centre, addr, reply)
}

// ask makes one exchange, carrying our summary unless it is known there.
func (r *Relay) ask(ctx context.Context, centre, addr string, pushed *wire.Version) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	summary := r.cfg.Fleet.Summary()
	req := &wire.ExchangeRequest{
		FromCentre:    r.cfg.DataCentre,
		Version:       peer.ToStamp(r.cfg.Feed.Stamp()),
		SummaryDigest: summary.Digest(),
		KnownDigest:   r.cfg.Fleet.SummaryDigest(ctx, centre),
		Pushed:        pushed,
		StoreLost:     r.cfg.Feed.StoreLost(),
	}
	r.mu.Lock()
	told := r.links[centre].told
	r.mu.Unlock()
	if told != req.SummaryDigest {
		req.Summary = peer.ToSummary(summary)
	}
	return r.cfg.Client.To(addr).Exchange(ctx, req)
}

// settle takes what the other side replied.
func (r *Relay) settle(ctx context.Context, centre, addr string, reply *wire.ExchangeReply) {
	r.note(centre, reply.GetKnownDigest(), peer.FromStamp(reply.GetVersion()), reply.GetStoreLost())
	if !r.takeSummary(ctx, centre, reply.GetSummary()) {
		return
	}
	theirs, ours := peer.FromStamp(reply.GetVersion()), r.cfg.Feed.Stamp()
	switch {
	case theirs.After(ours):
		r.fetch(ctx, addr)
	case ours.After(theirs):
		r.push(ctx, centre, addr, theirs)
	}
}

// note records the state of an exchange.
func (r *Relay) note(centre string, told uint64, stamp vers.Stamp, storeLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.links[centre]
	s.heard = time.Now()
	s.told, s.stamp, s.storeLost = told, stamp, storeLost
}

// takeSummary passes a summary, or the news that nothing changed, to the
// fleet. It reports false if the summary is not valid.
func (r *Relay) takeSummary(ctx context.Context, centre string, w *wire.Summary) bool {
	if w == nil {
		r.cfg.Fleet.RecordExchange(ctx, centre, nil)
		return true
	}
	s, err := peer.FromSummary(w)
	if err != nil || s.DataCentre != centre {
		r.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: centre, Cause: "summary is not valid"})
		return false
	}
	r.cfg.Fleet.RecordExchange(ctx, centre, &s)
	return true
}

// fetch takes the version of another data centre and announces it in this one.
func (r *Relay) fetch(ctx context.Context, addr string) {
	applied, err := r.cfg.Feed.Fetch(ctx, addr)
	if err != nil || !applied {
		return // the next exchange tries again
	}
	r.cfg.Feed.Distribute(ctx, r.cfg.Feed.Snapshot().Version)
}

// push gives the version in force to a data centre that is behind. Usually
// that one has its own watch on the store and is behind for milliseconds, so
// it gets the version from here only if it can't read the store, or has had
// the time to get the version from there.
func (r *Relay) push(ctx context.Context, centre, addr string, theirs vers.Stamp) {
	r.mu.Lock()
	lost := r.links[centre].storeLost
	r.mu.Unlock()
	if !lost && time.Since(r.cfg.Feed.AppliedAt()) < exchangeEvery/4 {
		return
	}
	w, err := r.cfg.Feed.EncodeFor(theirs)
	if err != nil {
		return
	}
	if reply, err := r.ask(ctx, centre, addr, w); err == nil {
		r.note(centre, reply.GetKnownDigest(), peer.FromStamp(reply.GetVersion()), reply.GetStoreLost())
	}
}

// Serve answers an exchange. Any node of a data centre can.
func (r *Relay) Serve(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	centre := req.GetFromCentre()
	r.mu.Lock()
	_, known := r.links[centre]
	r.mu.Unlock()
	if !known {
		r.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: centre, Cause: "exchange from a data centre that is not in the settings"})
		return nil, errUnknownCentre
	}
	if r.knows(ctx, centre, req) && !r.takeSummary(ctx, centre, req.GetSummary()) {
		return nil, errSummary
	}
	if w := req.GetPushed(); w != nil {
		if applied, err := r.cfg.Feed.ApplyEncoded(centre, w); err == nil && applied {
			r.cfg.Feed.Distribute(context.WithoutCancel(ctx), r.cfg.Feed.Snapshot().Version)
		}
	}
	summary := r.cfg.Fleet.Summary()
	reply := &wire.ExchangeReply{
		Centre:      r.cfg.DataCentre,
		Version:     peer.ToStamp(r.cfg.Feed.Stamp()),
		KnownDigest: r.cfg.Fleet.SummaryDigest(ctx, centre),
		StoreLost:   r.cfg.Feed.StoreLost(),
	}
	if req.GetKnownDigest() != summary.Digest() {
		reply.Summary = peer.ToSummary(summary)
	}
	r.note(centre, req.GetKnownDigest(), peer.FromStamp(req.GetVersion()), req.GetStoreLost())
	return reply, nil
}

// knows reports whether what is known of the asker's data centre after this
// exchange is what the asker says: it has sent its summary, or we have it.
func (r *Relay) knows(ctx context.Context, centre string, req *wire.ExchangeRequest) bool {
	return req.GetSummary() != nil || r.cfg.Fleet.SummaryDigest(ctx, centre) == req.GetSummaryDigest()
}
