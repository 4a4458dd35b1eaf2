package main

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case stop-in-turn.
const (
	stopGap     = time.Second             // between the stops of two machines
	fetchEvery  = 500 * time.Millisecond  // of each client
	fetchWork   = 750 * time.Millisecond  // of most requests of pathFetch
	fetchLong   = 3300 * time.Millisecond // of a few
	graceTime   = 6 * time.Second         // GraceS
	lossSlack   = 200 * time.Millisecond  // LossSlackMs
	ownLongAt   = 1400 * time.Millisecond // after the first SIGTERM, at the first machine
	otherLongAt = 2600 * time.Millisecond // after the first SIGTERM, at the second machine
	otherLongs  = 6                       // requests at the second machine, each longEvery
	// checkPhase is when the platform's next readiness check comes after the first SIGTERM. It
	// checks once a second.
	checkPhase    = 950 * time.Millisecond
	checkInterval = time.Second
	longEvery     = 50 * time.Millisecond
)

// playStops stops two machines one after the other. Shortly before, a client of the second one
// sends some requests that take longer than most.
func playStops(d *deployment, s *store, r *record, trouble bool) (bool, error) {
	s.put("op/config", configuration(7, ""))
	first, second, third := 0, 2, 4 // one in each zone
	d.machines[first].service, d.machines[third].service = fetchService, fetchService
	var nodes []*node
	var servers []*server
	var clients []*client
	for _, m := range d.machines {
		n, err := d.start(m, true)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		sv, err := startServer(serverConfig{
			id: "i-" + m.name, service: m.service, addr: m.addr(portApp), zone: m.zone, control: m.addr(portControl),
			slots: 12, work: fetchWork, longWork: fetchLong, record: r,
		})
		if err != nil {
			return false, err
		}
		go sv.beat(1500 * time.Millisecond)
		servers = append(servers, sv)
		clients = append(clients, newClient(m.name, m.addr(portOutbound), r))
	}
	if err := d.awaitReady(nodes, readyTimeout); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	defer wg.Wait()
	stopTraffic := make([]context.CancelFunc, len(clients))
	for i, c := range clients {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stopTraffic[i] = cancel
		wg.Go(func() {
			c.sendEvery(ctx, fetchEvery, request{"GET", hostName, pathFetch + "1", "", 10 * time.Second})
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		d.signal(nodes[first], syscall.SIGTERM)
	}
	stoppedAt := time.Now()
	wg.Go(func() { untilOut(nodes[first], stoppedAt.Add(checkPhase), stopTraffic[first], r) })
	wg.Go(func() {
		time.Sleep(time.Until(stoppedAt.Add(ownLongAt)))
		clients[first].send(request{"GET", hostName, pathFetch + "2" + longSuffix, "", 10 * time.Second})
	})
	time.Sleep(time.Until(stoppedAt.Add(stopGap)))
	if trouble {
		d.signal(nodes[second], syscall.SIGTERM)
	}
	secondAt := time.Now()
	out := make(chan struct{}) // closed when the second client gets no new work
	wg.Go(func() {
		untilOut(nodes[second], stoppedAt.Add(checkPhase+checkInterval), func() {
			stopTraffic[second]()
			close(out)
		}, r)
	})
	time.Sleep(time.Until(stoppedAt.Add(otherLongAt)))
	var longs sync.WaitGroup
	for range otherLongs {
		select {
		case <-out:
			return false, errors.New("the client was out before it had sent its requests")
		default:
		}
		longs.Go(func() {
			clients[second].send(request{"GET", hostName, pathFetch + "3" + longSuffix, "", 10 * time.Second})
		})
		time.Sleep(longEvery)
	}
	longs.Wait()
	time.Sleep(time.Until(secondAt.Add(graceTime + time.Second)))
	for _, cancel := range stopTraffic {
		cancel()
	}
	wg.Wait()
	return judgeStop(r, clients[second], servers, secondAt)
}

// untilOut ends the traffic of a client when its node has missed two readiness checks, of which the
// next is at the given time.
func untilOut(n *node, next time.Time, stop context.CancelFunc, r *record) {
	misses := 0
	for range 6 {
		time.Sleep(time.Until(next))
		next = next.Add(checkInterval)
		if n.ready() {
			misses = 0
			continue
		}
		misses++
		r.add("node %s misses a readiness check", n.m.name)
		if misses == 2 {
			r.add("the client of %s gets no new work", n.m.name)
			stop()
			return
		}
	}
}

// judgeStop counts the requests at the stopping machine that got no complete answer of the server
// although it had begun to work on them, but for those that the rule excuses.
func judgeStop(r *record, c *client, servers []*server, secondAt time.Time) (bool, error) {
	runs := map[string][]run{}
	for _, sv := range servers {
		for _, x := range sv.allRuns() {
			runs[x.id] = append(runs[x.id], x)
		}
	}
	lost, sent := 0, 0
	excusedFrom := secondAt.Add(graceTime * 5 / 6)
	for _, a := range c.all() {
		if a.sentAt.After(secondAt) && strings.TrimSpace(a.seal) != "" && a.err == nil {
			sent++
		}
		if a.sentAt.Before(secondAt.Add(-graceTime)) || a.status != 0 && a.seal != "" && a.err == nil {
			continue
		}
		if len(runs[a.id]) == 0 {
			continue
		}
		lastWork := time.Time{}
		for _, x := range runs[a.id] {
			if x.ended.After(lastWork) {
				lastWork = x.ended
			}
		}
		if lastWork.After(excusedFrom) {
			r.add("%s is excused: its server was at work in the last sixth of GraceS", a.id)
			continue
		}
		lost++
		r.say("%s was sent %.2f s after the SIGTERM, ran on %d servers until %.2f s after it, and got status %d %v",
			a.id, a.sentAt.Sub(secondAt).Seconds(), len(runs[a.id]), lastWork.Sub(secondAt).Seconds(), a.status, a.err)
	}
	if sent == 0 {
		return false, errors.New("no request was answered after the SIGTERM")
	}
	r.say("requests that their server worked on and that got another answer or none: %d", lost)
	return lost > 0, nil
}
