package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/stop"
	"tanagerchute/io/setup"
	"tanagerchute/io/timer"
)

const (
	// backendDrainReserve is the part of the drain timeout that is reserved for
	// the calls in flight at the node's backend server.
	backendDrainReserve = 1500 * time.Millisecond
	// startReserve is the last part of the drain timeout, in which no call that may
	// last beyond it is started at a backend server.
	startReserve = 1200 * time.Millisecond
	// pendingAcceptTimeout bounds the wait at a stop until the listener for callers
	// has returned the connections that were pending when it was closed.
	pendingAcceptTimeout = 2 * time.Second
	// closeTimeout bounds all the last steps of a planned stop together, when no call
	// is in flight.
	closeTimeout = 400 * time.Millisecond
	// lastBytesTimeout bounds the wait until another node has what the kernel holds of an answer,
	// at the end of a stop.
	lastBytesTimeout = 200 * time.Millisecond
	// finalAnswerTimeout bounds the wait for the answers to calls that a planned
	// stop has canceled.
	finalAnswerTimeout = 200 * time.Millisecond
)

// drainAndStop performs the planned stop. The order of its steps matters:
//
//  1. It tells all peers that this node accepts no new work. Calls that still
//     arrive are refused as not run.
//  2. It waits for the calls in flight, those included that it passes on for other
//     nodes.
//  3. It keeps answering inquiries about the keys that this node was the home of,
//     until the linger time has passed.
//  4. It tells the peers that this node has stopped.
//
// If the backend server keeps running (Drain.ServeOn), the node first serves it
// for the linger time, so that callers can move to other nodes, and waits for the
// requests in progress.
//
// It returns the deadline of what is left to do.
func (n *Node) drainAndStop(ctx context.Context, s *servers) time.Time {
	startedAt := time.Now()
	n.recordEvent(event.NodeDraining, "planned stop")
	n.stopping.Store(true)
	n.checkHomeCandidacy(ctx)
	go n.rollouts.Close(ctx)
	drain := n.drainSettings()
	ctx, cancel := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()+drain.Linger.Std()))
	defer cancel()
	lingerEnd := startedAt.Add(drain.Linger.Std())
	plan := callsDuringStop(startedAt, drain)
	n.proxy.PrepareStop(plan)
	n.gate.PrepareStop(plan)
	if drain.ServeOn {
		timer.Sleep(ctx, time.Until(lingerEnd))
		requestsCtx, cancel := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()-backendDrainReserve))
		s.callerConns.waitForCurrentRequests(requestsCtx)
		cancel()
	}
	n.proxy.RefuseNewRecords()
	n.gate.StartDrain()
	n.fleet.Leave(ctx)
	seedRemoved := n.removeSeedRecord(ctx)

	drainCtx, cancelDrain := context.WithDeadline(ctx, startedAt.Add(drain.Timeout.Std()))
	defer cancelDrain()
	if err := n.gate.Drain(drainCtx); err != nil {
		n.recordEvent(event.NodeDraining, "calls are still in flight after "+drain.Timeout.Std().String())
	}
	timer.Sleep(ctx, time.Until(lingerEnd))
	// Since the stop began, answers have carried "Connection: close" unless a further request
	// had been read, so that few callers still send requests.
	s.closeCallers(drainCtx)
	n.proxy.WaitIdle(drainCtx) // calls that pass through this node, answers on their way
	answersDelivered := n.awaitAnswers(ctx, startedAt.Add(drain.Timeout.Std()+closeTimeout))
	select {
	case <-answersDelivered:
	case <-drainCtx.Done():
	}
	closeBy := time.Now().Add(closeTimeout)
	closeCtx, cancelClose := context.WithDeadline(ctx, closeBy)
	defer cancelClose()
	n.fleet.Stop(closeCtx)
	answersBy := startedAt.Add(drain.Timeout.Std() + closeTimeout)
	s.closeOtherServers(closeCtx, func() bool { return time.Now().Before(answersBy) && n.otherCloser.Sending() })
	n.gate.RecordUnfinished()
	endBy := time.Now().Add(lastBytesTimeout)
	if endBy.Before(answersBy) {
		endBy = answersBy
	}
	endCtx, cancelEnd := context.WithDeadline(ctx, endBy)
	defer cancelEnd()
	n.otherCloser.End(endCtx)
	<-seedRemoved
	<-answersDelivered
	return closeBy
}

// awaitAnswers returns a channel that is closed when the last answers to callers have arrived,
// or at deadline.
func (n *Node) awaitAnswers(ctx context.Context, deadline time.Time) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		n.callerCloser.End(ctx)
	}()
	return done
}

// callsDuringStop returns the course of a planned stop that began at startedAt. However long it
// lingers, half of the time is left for the work of the last call that it takes, since how long
// calls have lasted of late promises nothing.
func callsDuringStop(startedAt time.Time, drain setup.Drain) stop.Plan {
	timeout := drain.Timeout.Std()
	return stop.Plan{
		LastArrival: startedAt.Add(min(drain.Linger.Std(), timeout/2)),
		LastStart:   startedAt.Add(max(timeout-startReserve, timeout/2)),
		End:         startedAt.Add(timeout),
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

// closeOtherServers gracefully stops all servers except the one for callers, by force once ctx has
// ended and sending returns false: an answer may still be on its way to another node.
func (s *servers) closeOtherServers(ctx context.Context, sending func() bool) {
	var wg sync.WaitGroup
	for _, v := range s.bound {
		wg.Go(func() {
			if v.server.Shutdown(ctx) == nil {
				return
			}
			for sending() {
				time.Sleep(statePollInterval)
			}
			_ = v.server.Close()
		})
	}
	wg.Wait()
}

// closeServer stops a server gracefully, and by force if ctx ends first.
func closeServer(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}

// closeCallers stops the server for callers. It accepts no new connections, ends each
// connection after its answers, and waits for that until ctx ends. Then it cancels the calls
// that are still in progress, and closes all connections.
func (s *servers) closeCallers(ctx context.Context) {
	if active := s.callersListener.Load(); active != nil {
		_ = active.listener.Close() // the end of accepting is awaited below
		select {
		case <-active.done:
		case <-time.After(pendingAcceptTimeout):
		}
		s.callerConns.retireAll(ctx)
	}
	err := s.callers.Shutdown(ctx)
	s.cancelCalls()
	if err == nil {
		return
	}
	// The calls that are still in progress get their final answer now.
	answerCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalAnswerTimeout)
	defer cancel()
	s.callerConns.waitIdle(answerCtx)
	closeServer(answerCtx, s.callers)
}
