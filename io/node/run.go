package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/proxy"
	"tanagerchute/io/timer"
)

const (
	// joinInterval is the pause between attempts to join other nodes at the start.
	joinInterval = 200 * time.Millisecond
	// maxJoinRounds is the number of failed attempts to join after which a node
	// assumes that it is the first of its data centre.
	maxJoinRounds = 8
	// rejoinInterval is the pause between attempts to join seeds that are not up.
	rejoinInterval = 5 * time.Second
	// seedReadTimeout bounds a read of the seeds from the store at the start.
	seedReadTimeout = 2 * time.Second
	// maxReadyWait is the time after which a node listens for callers even if it
	// is not ready.
	maxReadyWait = 5 * time.Second
	// pollInterval is the interval of checks whether the node is ready, and
	// whether another node is known.
	pollInterval = 50 * time.Millisecond
	// backendDrainReserve is the part of the drain timeout that is reserved for
	// the calls in flight at the node's backend server.
	backendDrainReserve = 1500 * time.Millisecond
	// startReserve is the last part of the drain timeout, in which no call that may
	// last beyond it is started at a backend server.
	startReserve = 1200 * time.Millisecond
	// pendingAcceptTimeout bounds the wait at a stop until the listener for callers
	// has returned the connections that were pending when it was closed.
	pendingAcceptTimeout = 2 * time.Second
	// homeCheckInterval is the interval of checks whether the node is eligible as
	// the home of keys.
	homeCheckInterval = 200 * time.Millisecond
	// closeTimeout bounds the last steps of a planned stop, when no call is in
	// flight.
	closeTimeout = 400 * time.Millisecond
	// finalAnswerTimeout bounds the wait for the answers to calls that a planned
	// stop has canceled.
	finalAnswerTimeout = 200 * time.Millisecond
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
		wg.Go(func() { n.updateHomeEligibility(bgCtx) })
	}
	wg.Go(func() { n.rejoin(bgCtx) })

	select {
	case <-ctx.Done():
	case <-n.drainRequested:
	case err = <-s.serveErrs:
	case <-n.killed:
	}
	n.shutDown(bgCtx, s)
	cancelBg()
	wg.Wait()
	n.proxy.Close()
	n.client.Close()
	n.recordEvent(event.NodeStopped, "after "+time.Since(startedAt).Round(time.Second).String())
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(err, n.tracer.Close(closeCtx))
}

// shutDown performs a planned stop. If the node has been killed, or is killed
// meanwhile, it stops at once.
func (n *Node) shutDown(ctx context.Context, s *servers) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-n.killed:
		default:
			n.drainAndStop(ctx, s)
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
}

// startComponents starts the background work of the components.
func (n *Node) startComponents(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.fleet.Run(ctx) })
	wg.Go(func() { n.feed.Run(ctx) })
	wg.Go(func() { n.gate.Run(ctx) })
	wg.Go(func() { n.relay.Run(ctx) })
	if n.seeds != nil {
		wg.Go(func() { n.seeds.Run(ctx) })
	}
}

// boot joins the other nodes, gets the version in force from them or from the
// store, and then looks for a running backend server.
func (n *Node) boot(ctx context.Context) {
	addrs := n.join(ctx)
	if ctx.Err() != nil {
		return
	}
	n.feed.SetJoined()
	n.observeFormerLeave(ctx)
	if err := n.feed.Boot(ctx, addrs); err != nil {
		return // the node is stopping
	}
	n.recordEvent(event.NodeReady, "version in force")
	n.discoverBackend(ctx)
}

// observeFormerLeave tells the gate if the backend server announced its stop to the
// process before, as the other nodes remember it. A late heartbeat could say otherwise.
func (n *Node) observeFormerLeave(ctx context.Context) {
	if m, ok := n.fleet.Predecessor(ctx); ok && m.LeftServer.ID != "" {
		n.gate.ObserveFormerLeave(m.LeftServer)
	}
}

// defaultBackendSlots is the assumed number of slots of a backend server that was
// found by a health check, until it announces its own.
const defaultBackendSlots = 8

// discoverBackend looks for a backend server that has kept running while its node
// was restarted.
func (n *Node) discoverBackend(ctx context.Context) {
	s := n.cfg.Settings
	snapshot := n.feed.Snapshot()
	if s.Backend == "" || s.FirstStart || snapshot == nil {
		return
	}
	service, ok := snapshot.Table.Service(s.Service)
	if !ok || service.HealthPath == "" {
		return
	}
	n.gate.DiscoverBackend(ctx, s.Backend, service.HealthPath, n.previousSlots(ctx))
}

// previousSlots returns the slots of the backend server that the previous node
// process at this address published, or defaultBackendSlots.
func (n *Node) previousSlots(ctx context.Context) int {
	if m, ok := n.fleet.Predecessor(ctx); ok && m.Slots > 0 {
		return m.Slots
	}
	return defaultBackendSlots
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
	if err := s.serveCallers(n.cfg.Settings.Listen.Callers, n.callerTimeouts); err != nil {
		s.serveErrs <- err
		return
	}
	n.acceptingCallers.Store(true)
}

// updateHomeEligibility makes this node eligible as the home of idempotency keys,
// see package proxy, while it is ready, has a quorum and is not stopping.
func (n *Node) updateHomeEligibility(ctx context.Context) {
	wasEligible := false
	for timer.Sleep(ctx, homeCheckInterval) {
		eligible := n.feed.Ready() && n.fleet.HasQuorum(time.Now()) && !n.stopping.Load()
		if eligible != wasEligible {
			n.fleet.SetCanBeHome(ctx, eligible)
			wasEligible = eligible
		}
	}
}

// join exchanges member tables with the seeds from the settings, and with those
// from the store if none of them answers. If the store has none either, it
// registers this node there. It stops searching when another node is known, which
// may be because that node has found this one, and exchanges tables with it. It
// returns the addresses of the seeds of all data centres.
func (n *Node) join(ctx context.Context) []string {
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenPeerKnown(searchCtx, cancel)
	seeds, joined := n.joinSeeds(searchCtx)
	if !joined {
		n.fleet.Join(ctx, slices.Collect(maps.Values(n.peerAddrs())))
	}
	return slices.DeleteFunc(seeds, func(a string) bool { return a == n.cfg.Settings.Listen.PeerAddr() })
}

// joinSeeds searches for seeds and exchanges tables with them, until that has
// succeeded, ctx has ended, or maxJoinRounds have failed. It returns the addresses
// of all seeds that it has found, and whether it has succeeded.
func (n *Node) joinSeeds(ctx context.Context) (all []string, joined bool) {
	s := n.cfg.Settings
	own := slices.Clone(s.Seeds[s.Group()])
	for _, addrs := range s.Seeds {
		all = append(all, addrs...)
	}
	for range maxJoinRounds {
		if n.fleet.Join(ctx, own) {
			return all, true
		}
		found := n.seedsFromStore(ctx)
		known := len(own)
		for centre, addrs := range found {
			all = appendMissing(all, addrs)
			if centre == s.Group() {
				own = appendMissing(own, addrs)
			}
		}
		if len(own) > known && n.fleet.Join(ctx, own) {
			return all, true
		}
		if n.seeds != nil && len(found[s.Group()]) == 0 && ctx.Err() == nil {
			n.registerIfFirst(ctx)
		}
		if !timer.Sleep(ctx, joinInterval) {
			break
		}
	}
	return all, false
}

// maxRegisterDelay bounds the random delay before a node that has found no seeds
// registers itself. Of many nodes that start together, only a few then do.
const maxRegisterDelay = 300 * time.Millisecond

// registerIfFirst registers this node as a seed after a random delay, unless
// another node has registered by then.
func (n *Node) registerIfFirst(ctx context.Context) {
	if !timer.Sleep(ctx, rand.N(maxRegisterDelay)) {
		return
	}
	if found := n.seedsFromStore(ctx); len(found[n.cfg.Settings.Group()]) == 0 && ctx.Err() == nil {
		n.seeds.Register(ctx)
	}
}

// appendMissing appends those of addrs to list that it does not contain.
func appendMissing(list, addrs []string) []string {
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// cancelWhenPeerKnown calls cancel once another running node is known. It returns
// without calling it if ctx ends first.
func (n *Node) cancelWhenPeerKnown(ctx context.Context, cancel context.CancelFunc) {
	for timer.Sleep(ctx, pollInterval) {
		if len(n.fleet.View().ActiveIDs()) > 1 {
			cancel()
			return
		}
	}
}

// rejoin periodically joins those seeds in the settings that are in the node's own
// data centre or region and not known to be up. A node that was partitioned from
// the others when it started finds them this way even while the store is down.
func (n *Node) rejoin(ctx context.Context) {
	for timer.Sleep(ctx, rejoinInterval) {
		var missing []string
		view := n.fleet.View()
		for _, addr := range n.cfg.Settings.Seeds[n.cfg.Settings.Group()] {
			up := slices.ContainsFunc(view.Members, func(m member.Record) bool { return m.Addr == addr && m.IsUp() })
			if !up {
				missing = append(missing, addr)
			}
		}
		n.fleet.Join(ctx, missing)
	}
}

// seedsFromStore reads the seeds from the store. It returns nil if there is no
// store or the read fails.
func (n *Node) seedsFromStore(ctx context.Context) map[string][]string {
	if n.seeds == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seedReadTimeout)
	defer cancel()
	found, err := n.seeds.List(ctx)
	if err != nil {
		return nil
	}
	n.setSeeds(found)
	return found
}

// drainAndStop performs the planned stop. The order of its steps matters:
//
//  1. It tells all peers that this node accepts no new work. Calls that still
//     arrive are refused as not run.
//  2. It waits for the calls in flight.
//  3. It keeps answering inquiries about the keys that this node was the home of,
//     until the linger time has passed.
//  4. It tells the peers that this node has stopped.
//
// If the backend server keeps running (Drain.ServeOn), the node first serves it
// for the linger time, so that callers can move to other nodes, and waits for the
// requests in progress.
func (n *Node) drainAndStop(ctx context.Context, s *servers) {
	startedAt := time.Now()
	n.recordEvent(event.NodeDraining, "planned stop")
	n.stopping.Store(true)
	drain := n.drainSettings()
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()+drain.Linger.Std()))
	defer cancel()
	lingerEnd := startedAt.Add(drain.Linger.Std())
	n.proxy.PrepareStop(callsDuringStop(startedAt, drain.Timeout.Std()))
	if drain.ServeOn {
		timer.Sleep(ctx, time.Until(lingerEnd))
		requestsCtx, cancel := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()-backendDrainReserve))
		s.callerConns.waitForCurrentRequests(requestsCtx)
		cancel()
	}
	n.proxy.RefuseNewKeys()
	n.gate.StartDrain()
	n.fleet.Leave(ctx)
	seedRemoved := n.removeSeedRecord(ctx)

	drainCtx, cancelDrain := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()))
	defer cancelDrain()
	if err := n.gate.Drain(drainCtx); err != nil {
		n.recordEvent(event.NodeDraining, "calls are still in flight after "+drain.Timeout.Std().String())
	}
	timer.Sleep(ctx, time.Until(lingerEnd))
	// Since the stop began, answers have carried "Connection: close", so that no
	// caller sends a request on a connection that is about to be closed.
	s.closeCallers(drainCtx)
	closeCtx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	n.fleet.Stop(closeCtx)
	s.closeOtherServers(closeCtx)
	<-seedRemoved
}

// callsDuringStop returns the course of a planned stop that began at startedAt.
func callsDuringStop(startedAt time.Time, drainTimeout time.Duration) proxy.Stop {
	return proxy.Stop{
		LastStart: startedAt.Add(max(drainTimeout-startReserve, drainTimeout/2)),
		End:       startedAt.Add(drainTimeout),
	}
}

// removeSeedRecord starts to remove the node's seed record from the store, so that
// starting nodes do not try to join a node that is stopping. The returned channel
// is closed when the record has been removed or closeTimeout has passed.
func (n *Node) removeSeedRecord(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if n.seeds == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, closeTimeout)
		defer cancel()
		n.seeds.Close(ctx)
	}()
	return done
}

// closeOtherServers gracefully stops all servers except the one for callers.
func (s *servers) closeOtherServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range s.bound {
		wg.Go(func() { closeServer(ctx, v.server) })
	}
	wg.Wait()
}

// closeServer stops a server gracefully, and by force if ctx ends first.
func closeServer(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// closeCallers stops the server for callers. It accepts no new connections, waits
// for the requests in progress until ctx ends, then cancels the remaining calls
// and closes all connections.
func (s *servers) closeCallers(ctx context.Context) {
	if active := s.callersListener.Load(); active != nil {
		_ = active.listener.Close() // the end of accepting is awaited below
		select {
		case <-active.done:
		case <-time.After(pendingAcceptTimeout):
		}
		s.callerConns.waitIdle(ctx)
	}
	// The calls that are still in progress get their final answer now.
	s.cancelCalls()
	answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTimeout)
	defer cancel()
	s.callerConns.waitIdle(answerCtx)
	closeServer(answerCtx, s.callers)
}

// recordEvent adds an event about this node to the journal.
func (n *Node) recordEvent(kind event.Kind, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: kind, Subject: n.id, Cause: cause})
}
