// Package relay exchanges state between data centres. The relay of a data centre is
// the node that ranks first there, see package rank. It is usually the first of the
// relays in the summary of the data centre, see package remote. The summary leaves
// out nodes that are suspect. In a deployment with regions, "data centre" stands for
// "region" in this package.
//
// The relay makes an exchange with one node of each other data centre every two
// seconds, and soon after a change. Any node can answer. Each side sends the stamp
// of the configuration version in force and digests of its own summary and of the
// other's summary as it knows it. A summary lists the services of a data centre,
// see package remote. It is sent only if the other side does not have it yet. A
// data centre with an earlier version, for example because it can't reach the
// store, receives the later one from the other side.
//
// # Usage
//
//	r := relay.New(relay.Config{Fleet: fleet, Feed: feed, Client: client, …})
//	go r.Run(ctx)
//	reply, err := r.Serve(ctx, req) // answers an exchange started by another data centre
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

// Intervals and timeouts.
const (
	tickInterval     = 100 * time.Millisecond // how often links are checked for a due exchange
	exchangeInterval = 2 * time.Second
	exchangeTimeout  = 800 * time.Millisecond
	// passiveTimeout is the time without contact after which the side that does
	// not normally start exchanges starts one, see isDue.
	passiveTimeout = 3 * time.Second
)

// Config configures a Relay.
type Config struct {
	DataCentre  string              // of this node
	DataCentres []string            // all of the deployment
	Seeds       map[string][]string // addresses from the settings, by data centre
	Fleet       *fleet.Fleet
	Feed        *feed.Feed
	Client      *peer.Client
	Journal     *event.Journal
}

// Relay makes and answers exchanges with other data centres. Its methods are safe
// for concurrent use.
type Relay struct {
	cfg   Config
	mu    sync.Mutex
	links map[string]*link    // by data centre
	seeds map[string][]string // addresses from the store, by data centre
}

// link is the state of the exchanges with one other data centre.
type link struct {
	lastContact     time.Time
	lastSent        time.Time
	ackedDigest     uint64 // digest of our summary that the other side has, 0 if none
	addrIndex       int    // index of the address to use, incremented after a failure
	inFlight        bool
	remoteStoreLost bool
	remoteStamp     vers.Stamp
	remoteCrashes   uint64 // digest of the table of crashes of the other side
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{cfg: cfg, links: map[string]*link{}, seeds: map[string][]string{}}
	for _, c := range cfg.DataCentres {
		if c != cfg.DataCentre {
			r.links[c] = &link{}
		}
	}
	return r
}

// SetSeeds sets the node addresses by data centre that were read from the store.
func (r *Relay) SetSeeds(seeds map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Run makes exchanges with the other data centres while this node is the relay,
// until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wasRelay := false
	lastLossCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			isRelay := r.cfg.Fleet.View().GroupReaderRank(1) == 0
			if isRelay {
				r.startDueExchanges(ctx, now, &wg)
			}
			if isRelay && (!wasRelay || now.Sub(lastLossCheck) >= exchangeInterval) {
				r.cfg.Fleet.MarkLostDataCentres(ctx, !wasRelay)
				lastLossCheck = now
			}
			wasRelay = isRelay
		}
	}
}

// startDueExchanges starts the exchanges that are due.
func (r *Relay) startDueExchanges(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	digest := r.cfg.Fleet.Summary().Digest()
	stamp := r.cfg.Feed.Stamp()
	crashes := r.cfg.Fleet.Crashes().Digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	for centre, l := range r.links {
		if l.inFlight || !r.isDue(centre, l, now, digest, stamp) && !crashesDue(l, now, crashes) {
			continue
		}
		l.inFlight = true
		l.lastSent = now
		wg.Go(func() { r.exchange(ctx, centre) })
	}
}

// isDue reports whether this node has to start an exchange with a data centre now:
//
//   - if that data centre does not have the current summary of this one, at every
//     tick, or every exchangeInterval/8 if it is not known to have any;
//   - if it can't read the store and has an earlier version, at every tick;
//   - otherwise at exchangeInterval if this is the data centre of the two whose
//     name sorts first. The other side does so only after passiveTimeout without
//     contact.
func (r *Relay) isDue(centre string, l *link, now time.Time, digest uint64, stamp vers.Stamp) bool {
	sinceSent := now.Sub(l.lastSent)
	switch {
	case l.ackedDigest != digest && sinceSent >= tickInterval:
		return l.ackedDigest != 0 || sinceSent >= exchangeInterval/8
	case l.remoteStoreLost && stamp.After(l.remoteStamp) && sinceSent >= tickInterval:
		return true
	case r.cfg.DataCentre < centre:
		return sinceSent >= exchangeInterval
	}
	return now.Sub(l.lastContact) >= passiveTimeout && sinceSent >= exchangeInterval
}

// crashesDue reports whether an exchange is due because the tables of crashes differ,
// this one with the given digest not being empty.
func crashesDue(l *link, now time.Time, digest uint64) bool {
	return digest != 0 && digest != l.remoteCrashes && now.Sub(l.lastSent) >= exchangeInterval/8
}

// addrs returns the addresses to try in a data centre, the most likely first: the
// relay and those next in rank from its last summary, then the seeds from the
// store, then those from the settings.
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

// exchange makes an exchange with a data centre and handles the reply. After a
// failure the next exchange uses another address.
func (r *Relay) exchange(ctx context.Context, centre string) {
	defer func() {
		r.mu.Lock()
		r.links[centre].inFlight = false
		r.mu.Unlock()
	}()
	addrs := r.addrs(centre)
	if len(addrs) == 0 {
		return
	}
	r.mu.Lock()
	addr := addrs[r.links[centre].addrIndex%len(addrs)]
	r.mu.Unlock()
	reply, err := r.sendExchange(ctx, centre, addr, nil)
	if err != nil {
		r.mu.Lock()
		r.links[centre].addrIndex++
		r.mu.Unlock()
		return
	}
	r.handleReply(ctx, centre, addr, reply)
}

// sendExchange sends an exchange request. It contains the summary of this data
// centre unless the other one has it. pushed is a version for it to apply, or nil.
func (r *Relay) sendExchange(ctx context.Context, centre, addr string, pushed *wire.Version) (*wire.ExchangeReply, error) {
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
		CrashDigest:   r.cfg.Fleet.Crashes().Digest(),
	}
	r.mu.Lock()
	ackedDigest, remoteCrashes := r.links[centre].ackedDigest, r.links[centre].remoteCrashes
	r.mu.Unlock()
	if ackedDigest != req.SummaryDigest {
		req.Summary = peer.ToSummary(summary)
	}
	if remoteCrashes != req.CrashDigest {
		req.Crashes = r.cfg.Fleet.Crashes().Encode()
	}
	return r.cfg.Client.To(addr).Exchange(ctx, req)
}

// handleReply applies the summary of a reply, and fetches or pushes the version in
// force if it differs between the data centres.
func (r *Relay) handleReply(ctx context.Context, centre, addr string, reply *wire.ExchangeReply) {
	r.recordExchange(centre, reply.GetKnownDigest(), peer.FromStamp(reply.GetVersion()), reply.GetStoreLost())
	r.mergeCrashes(centre, reply.GetCrashDigest(), reply.GetCrashes())
	if !r.applySummary(ctx, centre, reply.GetSummary()) {
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

// recordExchange updates the link after an exchange with what the other side
// reported.
func (r *Relay) recordExchange(centre string, ackedDigest uint64, remoteStamp vers.Stamp, remoteStoreLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[centre]
	l.lastContact = time.Now()
	l.ackedDigest, l.remoteStamp, l.remoteStoreLost = ackedDigest, remoteStamp, remoteStoreLost
}

// mergeCrashes adds what another data centre knows of crashes, whose table has the given
// digest.
func (r *Relay) mergeCrashes(centre string, digest uint64, crashes []*wire.Crash) {
	r.cfg.Fleet.Crashes().Merge(crashes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[centre].remoteCrashes = digest
}

// applySummary passes the summary of a data centre to the fleet. A nil w means that
// it has not changed. It returns false if the summary is not valid.
func (r *Relay) applySummary(ctx context.Context, centre string, w *wire.Summary) bool {
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

// fetch fetches the version in force in another data centre and distributes it in
// this one.
func (r *Relay) fetch(ctx context.Context, addr string) {
	applied, err := r.cfg.Feed.Fetch(ctx, addr)
	if err != nil || !applied {
		return // the next exchange fetches again
	}
	r.cfg.Feed.Distribute(ctx, r.cfg.Feed.Snapshot().Version)
}

// push sends the version in force to a data centre that has an earlier one. Usually
// that data centre is only milliseconds behind, since its readers watch the store
// as well. So the version is sent only if they can't read the store, or if they
// have had enough time to read it from there.
func (r *Relay) push(ctx context.Context, centre, addr string, theirs vers.Stamp) {
	r.mu.Lock()
	remoteStoreLost := r.links[centre].remoteStoreLost
	r.mu.Unlock()
	if !remoteStoreLost && time.Since(r.cfg.Feed.AppliedAt()) < exchangeInterval/4 {
		return
	}
	w, err := r.cfg.Feed.EncodeFor(theirs)
	if err != nil {
		return
	}
	if reply, err := r.sendExchange(ctx, centre, addr, w); err == nil {
		r.recordExchange(centre, reply.GetKnownDigest(), peer.FromStamp(reply.GetVersion()), reply.GetStoreLost())
	}
}

// Serve answers an exchange. Every node serves exchanges, whether it is the relay
// or not.
func (r *Relay) Serve(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	centre := req.GetFromCentre()
	r.mu.Lock()
	_, known := r.links[centre]
	r.mu.Unlock()
	if !known {
		r.cfg.Journal.Add(event.Event{At: time.Now(), Kind: event.FrameDropped, Subject: centre, Cause: "exchange from a data centre that is not in the settings"})
		return nil, errUnknownDataCentre
	}
	if r.summaryIsCurrent(ctx, centre, req) && !r.applySummary(ctx, centre, req.GetSummary()) {
		return nil, errInvalidSummary
	}
	if w := req.GetPushed(); w != nil {
		if applied, err := r.cfg.Feed.ApplyEncoded(centre, w); err == nil && applied {
			r.cfg.Feed.Distribute(context.WithoutCancel(ctx), r.cfg.Feed.Snapshot().Version)
		}
	}
	r.mergeCrashes(centre, req.GetCrashDigest(), req.GetCrashes())
	summary := r.cfg.Fleet.Summary()
	reply := &wire.ExchangeReply{
		CrashDigest: r.cfg.Fleet.Crashes().Digest(),
		Centre:      r.cfg.DataCentre,
		Version:     peer.ToStamp(r.cfg.Feed.Stamp()),
		KnownDigest: r.cfg.Fleet.SummaryDigest(ctx, centre),
		StoreLost:   r.cfg.Feed.StoreLost(),
	}
	if req.GetKnownDigest() != summary.Digest() {
		reply.Summary = peer.ToSummary(summary)
	}
	if req.GetCrashDigest() != reply.CrashDigest {
		reply.Crashes = r.cfg.Fleet.Crashes().Encode()
	}
	r.recordExchange(centre, req.GetKnownDigest(), peer.FromStamp(req.GetVersion()), req.GetStoreLost())
	return reply, nil
}

// summaryIsCurrent reports whether this node has the current summary of the data
// centre that sent req: req contains it, or this node has one with its digest.
func (r *Relay) summaryIsCurrent(ctx context.Context, centre string, req *wire.ExchangeRequest) bool {
	return req.GetSummary() != nil || r.cfg.Fleet.SummaryDigest(ctx, centre) == req.GetSummaryDigest()
}
