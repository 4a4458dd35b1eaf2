package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/event"
	"tanagerchute/io/timer"
)

const (
	// maxReadyWait is the time after which a node listens for callers even if it
	// is not ready.
	maxReadyWait = 5 * time.Second
	// pollInterval is the interval of checks whether the node is ready, and
	// whether another node is known.
	pollInterval = 50 * time.Millisecond
	// homeCheckInterval is the interval of checks whether the node is eligible as
	// the home of keys.
	homeCheckInterval = 200 * time.Millisecond
)

// Run runs the node until ctx ends, a planned stop is requested or a server
// fails, and returns when the planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	s, err := n.listen()
	if err != nil {
		return err
	}
	bgCtx, cancelBg := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBg()
	var wg sync.WaitGroup
	startedAt := time.Now()
	n.recordEvent(event.NodeStarted, "service "+n.cfg.Settings.Service+" in "+n.cfg.Settings.DataCentre+
		", settings "+n.settings.Load().compared.Digest()+", build "+buildVersion())
	for _, v := range s.bound {
		s.serve(v.listener, v.server, make(chan struct{}))
	}
	n.startComponents(bgCtx, &wg)
	wg.Go(func() { n.boot(bgCtx) })
	wg.Go(func() { n.serveCallersWhenReady(bgCtx, s) })
	if !n.cfg.Settings.KeysUnused {
		wg.Go(func() { n.updateHomeCandidacy(bgCtx) })
	}
	wg.Go(func() { n.rejoin(bgCtx) })

	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case err = <-s.serveErrs:
	case <-n.killed:
	}
	closeBy := n.shutDown(bgCtx, s)
	cancelBg()
	awaitGroup(&wg, closeBy)
	n.proxy.Close()
	n.client.Close()
	n.recordEvent(event.NodeStopped, "after "+time.Since(startedAt).Round(time.Second).String())
	closeCtx, cancel := context.WithDeadline(context.Background(), closeBy)
	defer cancel()
	return errors.Join(err, n.tracer.Close(closeCtx))
}

// awaitGroup waits until the goroutines of wg have ended, or until deadline. No caller
// depends on what they do at the end of the process.
func awaitGroup(wg *sync.WaitGroup, deadline time.Time) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// shutDown performs a planned stop. If the node has been killed, or is killed
// meanwhile, it stops at once. It returns the deadline of all that is left to do.
func (n *Node) shutDown(ctx context.Context, s *servers) (closeBy time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-n.killed:
		default:
			closeBy = n.drainAndStop(ctx, s)
		}
	}()
	select {
	case <-done:
	case <-n.killed:
		cancel()
	}
	_ = s.callers.Close()
	for _, v := range s.bound {
		_ = v.server.Close()
	}
	<-done
	if closeBy.IsZero() {
		closeBy = time.Now().Add(closeTimeout)
	}
	return closeBy
}

// startComponents starts the background work of the components.
func (n *Node) startComponents(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.watchMemory().Run(ctx) })
	wg.Go(func() { n.fleet.Run(ctx) })
	wg.Go(func() { n.leaves.Run(ctx) })
	wg.Go(func() { n.census.Run(ctx) })
	wg.Go(func() { n.feed.Run(ctx) })
	wg.Go(func() { n.gate.Run(ctx) })
	wg.Go(func() { n.relay.Run(ctx) })
	wg.Go(func() { n.rollouts.Run(ctx) })
	if n.quotas != nil {
		wg.Go(func() { n.quotas.Run(ctx) })
	}
	if n.seeds != nil {
		wg.Go(func() { n.seeds.Run(ctx) })
		wg.Go(func() { n.claims.Run(ctx) })
		wg.Go(func() { n.runStoreEras(ctx) })
	}
}

// serveCallersWhenReady listens for callers once the node is ready. Until then,
// connections are refused, so that a caller with a list of addresses tries the
// next one instead of getting an error response from a node that has just
// started. After maxReadyWait it listens even if the node is not ready; its
// answers then say so.
func (n *Node) serveCallersWhenReady(ctx context.Context, s *servers) {
	waitEnd := time.Now().Add(maxReadyWait)
	for !n.feed.Ready() && time.Now().Before(waitEnd) {
		if !timer.Sleep(ctx, pollInterval) {
			return
		}
	}
	if err := s.serveCallers(n.cfg.Settings.Listen.Callers, n.callerConfig()); err != nil {
		s.serveErrs <- err
		return
	}
	n.acceptingCallers.Store(true)
}

// updateHomeCandidacy makes this node eligible as the home of idempotency keys,
// see package proxy, while it is ready, has a quorum and is not stopping.
func (n *Node) updateHomeCandidacy(ctx context.Context) {
	for timer.Sleep(ctx, homeCheckInterval) {
		n.checkHomeCandidacy(ctx)
	}
}

// checkHomeCandidacy makes this node a candidate or makes it step down, if its
// eligibility has changed. It accepts no key after it has stepped down, since it tells
// the others when the latest that it accepted was issued.
func (n *Node) checkHomeCandidacy(ctx context.Context) {
	n.candidacyMu.Lock()
	defer n.candidacyMu.Unlock()
	can := n.feed.Ready() && n.fleet.HasQuorum(time.Now()) && !n.stopping.Load()
	switch {
	case can && !n.homeCandidate:
		n.proxy.AcceptNewKeys()
		n.fleet.BecomeHomeCandidate(ctx)
	case !can && n.homeCandidate:
		n.fleet.StepDownAsHome(ctx, n.proxy.RefuseNewKeys())
	}
	n.homeCandidate = can
}

// recordEvent adds an event about this node to the journal.
func (n *Node) recordEvent(kind event.Kind, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: n.id, Cause: cause})
}
