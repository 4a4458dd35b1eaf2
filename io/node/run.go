package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/timer"
)

const (
	// joinRound is the pause between tries to find other nodes at the start.
	joinRound = 200 * time.Millisecond
	// joinTries is the number of rounds after which a node takes itself to be
	// the first of its data centre.
	joinTries = 8
	// rejoinEvery is how often seeds that are not up are looked for.
	rejoinEvery = 5 * time.Second
	// seedTimeout bounds the reading of seeds from the store at the start.
	seedTimeout = 2 * time.Second
	// openAfter is how long a node that is not ready keeps callers away.
	openAfter = 5 * time.Second
	// readyCheck is how often a node looks whether it is ready.
	readyCheck = 50 * time.Millisecond
	// lastCalls is the part of a planned stop that is left to the calls at the own
	// backend server.
	lastCalls = 1500 * time.Millisecond
	// acceptTimeout bounds the wait for connections that are still handed out.
	acceptTimeout = 2 * time.Second
	// keeperCheck is how often a node looks whether it can be the home of keys.
	keeperCheck = 200 * time.Millisecond
	// closeTimeout bounds the end of a planned stop, when nothing is in flight
	// any more.
	closeTimeout = 400 * time.Millisecond
	// answerTime is left to the calls that a planned stop gives up on, for their
	// answers.
	answerTime = 200 * time.Millisecond
)

// Run runs the node until ctx ends or a planned stop is asked for, and returns
// when the planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	s, err := n.listen()
	if err != nil {
		return err
	}
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	began := time.Now()
	n.event(event.NodeStarted, "service "+n.cfg.Settings.Service+" in "+n.cfg.Settings.DataCentre)
	for _, v := range s.served {
		s.serve(v.listener, v.server, make(chan struct{}))
	}
	n.start(duties, &wg)
	wg.Go(func() { n.boot(duties) })
	wg.Go(func() { n.openToCallers(duties, s) })
	wg.Go(func() { n.keepKeys(duties) })
	wg.Go(func() { n.rejoin(duties) })

	select {
	case <-ctx.Done():
	case <-n.drain:
	case err = <-s.failed:
	case <-n.killed:
	}
	n.end(duties, s)
	stop()
	wg.Wait()
	n.proxy.Close()
	n.client.Close()
	n.event(event.NodeStopped, "after "+time.Since(began).Round(time.Second).String())
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return errors.Join(err, n.tracer.Close(closing))
}

// end stops as planned, or at once if the node was killed before or is killed
// meanwhile.
func (n *Node) end(ctx context.Context, s *servers) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-n.killed:
		default:
			n.stop(ctx, s)
		}
	}()
	select {
	case <-done:
	case <-n.killed:
		cancel()
	}
	_ = s.callers.Close()
	for _, v := range s.served {
		_ = v.server.Close()
	}
	<-done
}

// start starts the duties.
func (n *Node) start(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { n.fleet.Run(ctx) })
	wg.Go(func() { n.feed.Run(ctx) })
	wg.Go(func() { n.gate.Run(ctx) })
	wg.Go(func() { n.relay.Run(ctx) })
	if n.seeds != nil {
		wg.Go(func() { n.seeds.Run(ctx) })
	}
}

// boot finds the other nodes and takes the version in force from them or from
// the store.
func (n *Node) boot(ctx context.Context) {
	addrs := n.join(ctx)
	if ctx.Err() != nil {
		return
	}
	n.feed.SetJoined()
	if err := n.feed.Boot(ctx, addrs); err != nil {
		return // the node stops
	}
	n.event(event.NodeReady, "version in force")
	n.adopt(ctx)
}

// adoptSlots is what a backend server is taken to run at once until it says so
// itself.
const adoptSlots = 8

// adopt looks for the backend server of a node that was restarted beside it.
func (n *Node) adopt(ctx context.Context) {
	s := n.cfg.Settings
	snapshot := n.feed.Snapshot()
	if s.Backend == "" || s.FirstStart || snapshot == nil {
		return
	}
	service, ok := snapshot.Table.Service(s.Service)
	if !ok || service.HealthPath == "" {
		return
	}
	n.gate.DiscoverBackend(ctx, s.Backend, service.HealthPath, n.formerSlots())
}

// formerSlots returns the slots that the former process at this address told of
// its backend server.
func (n *Node) formerSlots() int {
	view := n.fleet.View()
	slots, since := adoptSlots, int64(0)
	for _, m := range view.Members {
		if m.Addr == view.Self.Addr && m.ID != view.Self.ID && m.Slots > 0 && m.StartMs > since {
			slots, since = m.Slots, m.StartMs
		}
	}
	return slots
}

// openToCallers listens for callers once the node can serve them, so that a
// caller with a list of addresses is not refused by a node that has only just
// started. A node that does not get ready listens all the same after a while,
// and says so in its answers.
func (n *Node) openToCallers(ctx context.Context, s *servers) {
	limit := time.Now().Add(openAfter)
	for !n.feed.Ready() && time.Now().Before(limit) {
		if !timer.Sleep(ctx, readyCheck) {
			return
		}
	}
	if err := s.openCallers(n.cfg.Settings.Listen.Callers, n.patience); err != nil {
		s.failed <- err
		return
	}
	n.serving.Store(true)
}

// keepKeys lets this node be the home of keys while it is ready and in
// standing.
func (n *Node) keepKeys(ctx context.Context) {
	was := false
	for timer.Sleep(ctx, keeperCheck) {
		is := n.feed.Ready() && n.fleet.HasQuorum(time.Now()) && !n.stopped.Load()
		if is != was {
			n.fleet.SetCanBeHome(ctx, is)
			was = is
		}
	}
}

// join exchanges tables with the seeds from the settings, and with those from
// the store if that brings nobody. It ends at once when another node has found
// this one. It returns the addresses of seeds of all data centres.
func (n *Node) join(ctx context.Context) []string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.cancelWhenMet(ctx, cancel)
	s := n.cfg.Settings
	own := slices.Clone(s.Seeds[s.Group()])
	var all []string
	for _, addrs := range s.Seeds {
		all = append(all, addrs...)
	}
	for range joinTries {
		if n.fleet.Join(ctx, own) {
			break
		}
		found := n.seedsFromStore(ctx)
		known := len(own)
		for centre, addrs := range found {
			all = append(all, addrs...)
			if centre == s.Group() {
				own = addMissing(own, addrs)
			}
		}
		if len(own) > known && n.fleet.Join(ctx, own) {
			break
		}
		if n.seeds != nil && len(found[s.Group()]) == 0 && ctx.Err() == nil {
			n.seeds.Register(ctx)
		}
		if !timer.Sleep(ctx, joinRound) {
			break
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == s.Listen.PeerAddr() })
}

// addMissing returns list with those of addrs that are not in it.
func addMissing(list, addrs []string) []string {
	for _, a := range addrs {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return list
}

// cancelWhenMet calls cancel once another node is known, if ctx has not ended
// before.
func (n *Node) cancelWhenMet(ctx context.Context, cancel context.CancelFunc) {
	for timer.Sleep(ctx, readyCheck) {
		if len(n.fleet.View().ActiveIDs()) > 1 {
			cancel()
			return
		}
	}
}

// rejoin looks for the seeds of the own data centre that are in the settings
// and not known to be up. A node that started cut off finds the others by it
// also while the store is down.
func (n *Node) rejoin(ctx context.Context) {
	for timer.Sleep(ctx, rejoinEvery) {
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

func (n *Node) seedsFromStore(ctx context.Context) map[string][]string {
	if n.seeds == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	found, err := n.seeds.List(ctx)
	if err != nil {
		return nil
	}
	n.foundSeeds(found)
	return found
}

// stop is the planned stop. The order matters: first every peer learns that
// this node takes no new work, and what still arrives is refused as not run;
// then the calls in flight end; then the node stays to answer for the keys that
// it was the home of; last it tells that it has gone. A node whose backend
// server goes on serves it until its callers have turned away and got their
// answers.
func (n *Node) stop(ctx context.Context, s *servers) {
	began := time.Now()
	n.event(event.NodeDraining, "planned stop")
	n.stopped.Store(true)
	drain := n.drainSettings()
	ctx, cancel := context.WithDeadline(ctx, began.Add(drain.Timeout.Std()+drain.Linger.Std()))
	defer cancel()
	lingered := began.Add(drain.Linger.Std())
	if drain.ServeOn {
		timer.Sleep(ctx, time.Until(lingered))
		settling, cancel := context.WithDeadline(ctx, began.Add(drain.Timeout.Std()-lastCalls))
		s.callerConns.settle(settling)
		cancel()
	}
	n.proxy.RefuseNewKeys()
	n.gate.StartDrain()
	n.fleet.Leave(ctx)
	unlisted := n.unlist(ctx)

	flight, cancelFlight := context.WithDeadline(ctx, began.Add(drain.Timeout.Std()))
	defer cancelFlight()
	if err := n.gate.Drain(flight); err != nil {
		n.event(event.NodeDraining, "calls are still in flight after "+drain.Timeout.Std().String())
	}
	timer.Sleep(ctx, time.Until(lingered))
	// Until here callers got their answers with the word that their connection
	// ends, so that none of them sends into a connection that is being closed.
	s.closeCallers(flight)
	closing, cancelClosing := context.WithTimeout(ctx, closeTimeout)
	defer cancelClosing()
	n.fleet.Stop(closing)
	s.closeOthers(closing)
	<-unlisted
}

// unlist removes the node's record from the store, if that can be done soon, and
// closes the channel that it returns. The record is for those who start, who
// need not find a node that stops.
func (n *Node) unlist(ctx context.Context) <-chan struct{} {
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

// closeOthers stops the servers other than that for callers gracefully.
func (s *servers) closeOthers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range s.served {
		wg.Go(func() { closeServer(ctx, v.server) })
	}
	wg.Wait()
}

// closeServer stops a server gracefully, and not so if that takes too long.
func closeServer(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// closeCallers stops the server for callers: no new connection is taken, the
// requests on their way are answered, and then what is left is closed.
func (s *servers) closeCallers(ctx context.Context) {
	if open := s.callersOpen.Load(); open != nil {
		_ = open.listener.Close() // its end is waited for
		select {
		case <-open.ended:
		case <-time.After(acceptTimeout):
		}
		s.callerConns.wait(ctx)
	}
	// What is still on its way gets its final answer now.
	s.giveUp()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	s.callerConns.wait(last)
	closeServer(last, s.callers)
}

func (n *Node) event(k event.Kind, cause string) {
	n.journal.Add(event.Event{At: time.Now(), Kind: k, Subject: n.id, Cause: cause})
}
