package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Times of the case leave-after-clock-step.
const (
	clockAhead    = 2400 * time.Millisecond // as far as the clocks of some machines jump in the site file
	crashAfter    = time.Second             // the server crashes so long after its start
	restartAfter  = 500 * time.Millisecond  // and starts again, by the right clock
	trafficAfter  = 3 * time.Second         // the clients begin so long after the last start of the server
	settleFor     = 8 * time.Second         // until it leaves, longer than StabilityWindowMs
	drainTime     = 2 * time.Second         // DrainMs
	serveOnFor    = 3500 * time.Millisecond // the server serves on after the acknowledgement
	requestPeriod = 50 * time.Millisecond   // of each client, for each kind of request
)

// playClockStep lets a server start while the clock of its machine is ahead, crash, and start
// again under its id when the clock is right. Later it leaves, which its node acknowledges.
func playClockStep(d *deployment, s *store, r *record, trouble bool) (bool, error) {
	s.put("op/config", configuration(7, ""))
	var nodes []*node
	for _, m := range d.machines {
		n, err := d.start(m, true)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	start := func(i int, id string, ahead time.Duration) (*server, error) {
		m := d.machines[i]
		sv, err := startServer(serverConfig{
			id: id, service: m.service, addr: m.addr(portApp), zone: m.zone, control: m.addr(portControl),
			slots: 12, work: 150 * time.Millisecond, clockAhead: ahead, record: r,
		})
		if err == nil {
			go sv.beat(1500 * time.Millisecond)
		}
		return sv, err
	}
	for i, id := range []string{"", "i-b2", "i-c3"} {
		if id == "" {
			continue
		}
		if _, err := start(i, id, 0); err != nil {
			return false, err
		}
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = clockAhead
		r.add("the time of day of %s is %v ahead", d.machines[0].name, clockAhead)
	}
	if err := d.awaitReady(nodes, readyTimeout); err != nil {
		return false, err
	}
	leaving, err := start(0, "i-a1", ahead)
	if err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(crashAfter)
		leaving.crash()
		time.Sleep(restartAfter)
		r.add("the time of day of %s is right again", d.machines[0].name)
		if leaving, err = start(0, "i-a1", 0); err != nil {
			return false, err
		}
	}
	time.Sleep(trafficAfter)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var clients []*client
	for _, n := range nodes {
		c := newClient(n.m.name, n.m.addr(portOutbound), r)
		clients = append(clients, c)
		wg.Go(func() { c.sendEvery(ctx, requestPeriod, request{"GET", hostName, pathRead + "1", "", 3 * time.Second}) })
		wg.Go(func() {
			c.sendEvery(ctx, requestPeriod, request{"POST", hostName, pathBook + "1", "", 3 * time.Second})
		})
	}
	time.Sleep(settleFor)
	if len(leaving.allRuns()) == 0 {
		return false, errors.New("the server that is to leave has run nothing")
	}
	if !leaving.drain() {
		return false, errors.New("the leave was not acknowledged")
	}
	acked := time.Now()
	r.add("the leave of i-a1 is acknowledged")
	time.Sleep(serveOnFor)
	gone := leaving.leave()
	cut := leaving.working()
	leaving.crash()
	time.Sleep(4 * time.Second)
	cancel()
	wg.Wait()
	late := 0
	var last time.Duration
	for _, x := range leaving.allRuns() {
		if after := x.at.Sub(acked); after > drainTime {
			late++
			last = max(last, after)
		}
	}
	lost := 0
	for _, c := range clients {
		for _, a := range c.all() {
			if a.status == 502 && a.sentAt.After(acked) {
				lost++
			}
		}
	}
	r.say("after the acknowledgement of its leave plus %v, i-a1 got %d requests, the last %v after the acknowledgement", drainTime, late, last.Round(time.Millisecond))
	r.say("acknowledged that it is gone: %v; it worked on %d requests then; requests sent after the acknowledgement that ended with 502: %d", gone, cut, lost)
	return late > 0, nil
}
