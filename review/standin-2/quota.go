package main

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

// The account of the case quota-after-restart, and its bounds.
const (
	quotaRate      = 40.0
	quotaBurst     = 40.0
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20.0
	// hotFactor is by how much the account sends more than its usual, and usualShare its usual share
	// of its quota.
	hotFactor  = 7.5
	usualShare = 1 / 1.6
	keyOfHot   = "42q492cqf75rjvz48wua"
)

// accountRequest is what the account sends.
var accountRequest = request{"GET", hostName, pathRead + "1", keyOfHot, 1500 * time.Millisecond}

// Times of the case quota-after-restart.
const (
	storeDownFor = 4500 * time.Millisecond
	killAfter    = 300 * time.Millisecond // the store went down
	restartDelay = 500 * time.Millisecond
	warmUp       = 6 * time.Second
	// hotFrom is when the account begins to send more, after the store went down, and hotFor for how
	// long it does.
	hotFrom         = 4 * time.Second
	hotFor          = 6500 * time.Millisecond
	watchAfterwards = 16 * time.Second
)

// playQuota kills all nodes while the store answers 503 and its leases run out. An account begins to
// send more than its quota shortly before the store is back.
func playQuota(d *deployment, s *store, r *record, trouble bool) (bool, error) {
	s.put("op/config", configuration(7, fmt.Sprintf(`"Tenants":[{"Name":"hule930","ApiKeys":[%q],"Priority":1,"RatePerS":%v,"Burst":%v}],`, keyOfHot, quotaRate, quotaBurst)))
	var servers []*server
	var nodes []*node
	for _, m := range d.machines {
		n, err := d.start(m, true)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
		sv, err := startServer(serverConfig{
			id: "i-" + m.name, service: m.service, addr: m.addr(portApp), zone: m.zone, control: m.addr(portControl),
			slots: 12, work: 30 * time.Millisecond, record: r,
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, sv)
		go sv.beat(1500 * time.Millisecond)
	}
	if err := d.awaitReady(nodes, readyTimeout); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the platform starts traffic 8 s after the machines
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	usualInterval := time.Duration(float64(len(nodes)) / (quotaRate * usualShare) * float64(time.Second))
	var clients []*client
	for _, n := range nodes {
		c := newClient(n.m.name, n.m.addr(portOutbound), r)
		clients = append(clients, c)
		wg.Go(func() { c.sendEvery(ctx, usualInterval, accountRequest) })
	}
	time.Sleep(warmUp)
	downAt := time.Now()
	wg.Go(func() {
		time.Sleep(time.Until(downAt.Add(hotFrom)))
		r.add("the account sends %v times its usual", hotFactor)
		hotCtx, end := context.WithTimeout(ctx, hotFor)
		defer end()
		var hot sync.WaitGroup
		for _, c := range clients {
			hot.Go(func() { c.sendEvery(hotCtx, time.Duration(float64(usualInterval)/(hotFactor-1)), accountRequest) })
		}
		hot.Wait()
		r.add("the account sends its usual again")
	})
	if trouble {
		r.add("the store is down, and its leases run out")
		s.goDown(time.Now().Add(storeDownFor))
		time.Sleep(killAfter)
		for _, n := range nodes {
			d.signal(n, syscall.SIGKILL)
		}
		for _, n := range nodes {
			<-n.done
		}
		time.Sleep(restartDelay)
		for i, m := range d.machines {
			n, err := d.start(m, false)
			if err != nil {
				return false, err
			}
			nodes[i] = n
		}
	}
	time.Sleep(watchAfterwards)
	cancel()
	wg.Wait()
	var runs []run
	for _, sv := range servers {
		runs = append(runs, sv.allRuns()...)
	}
	if len(runs) == 0 {
		return false, errors.New("no request has run")
	}
	most, at := busiestWindow(runs)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	r.say("the busiest %v began at %.3f s: %d requests of the account ran, %.0f are allowed", quotaWindow, at.Sub(r.start).Seconds(), most, bound)
	r.add("keys in the store: %s", s.keys())
	return float64(most) > bound, nil
}

// busiestWindow returns the most requests that ran within quotaWindow, and when that began.
func busiestWindow(runs []run) (most int, at time.Time) {
	sort.Slice(runs, func(a, b int) bool { return runs[a].at.Before(runs[b].at) })
	first := 0
	for i, x := range runs {
		for x.at.Sub(runs[first].at) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, runs[first].at
		}
	}
	return most, at
}
