package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the cases of an upstream that leaves.
const (
	beatDelay    = 4 * time.Second  // of the late heartbeat
	serveAfter   = 10 * time.Second // the upstream serves on for so long after its leave was acknowledged
	leaveWork    = 250 * time.Millisecond
	leaveClients = 3 // at each machine
)

// readyTimeout bounds the wait until all nodes are ready.
const readyTimeout = 30 * time.Second

// smallServices are the services of the machines of a small deployment.
var smallServices = []string{"huvo11a", "huvo11a", "huvo11a", "huvo11a", "huvo11a", "huvo11a", "wuno96b", "wuno96b", "wuno96b"}

// startSmall starts a small deployment and waits until all its machines are in touch.
func startSmall(rec *recorder, cfg upstreamConfig) (*deployment, error) {
	d, err := newDeployment(rec, smallServices, documentWith(1500), cfg)
	if err != nil {
		return nil, err
	}
	if !d.awaitReady(readyTimeout) {
		d.close()
		return nil, errors.New("the nodes are not ready in time")
	}
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	return d, nil
}

// lateRuns collects the runs of an upstream later than the drain time after its leave was
// acknowledged, at machines in touch.
type lateRuns struct {
	d      *deployment
	leaver *machine

	mu    sync.Mutex
	ackAt time.Time // zero before the acknowledgement
	ids   []string
}

// watch begins to collect.
func (l *lateRuns) watch() {
	l.leaver.up.setOnRun(l.observe)
}

func (l *lateRuns) acknowledged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ackAt = time.Now()
	l.d.rec.add("%s: the node has acknowledged that %s leaves", l.leaver.name, l.leaver.up.id)
}

func (l *lateRuns) observe(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.d.machineOf(id)
	if l.ackAt.IsZero() || time.Since(l.ackAt) <= drainTime || from == nil || !from.inTouch() || !l.leaver.inTouch() {
		return
	}
	l.ids = append(l.ids, id)
	l.d.rec.add("LATE: %s from %s reaches %s %.1f s after its leave was acknowledged, both machines are in touch", id, from.name, l.leaver.up.id, time.Since(l.ackAt).Seconds())
}

// result returns the exit code, given the answers of all clients.
func (l *lateRuns) result(answers map[string]answer) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := 0
	for _, id := range l.ids {
		if !answers[id].isFinal() {
			lost++
		}
	}
	s := fmt.Sprintf("requests that reached the upstream later than %v after the acknowledgement, from and at machines in touch: %d; of these, bookings that ran and got 502, 504 or no answer: %d", drainTime, len(l.ids), lost)
	l.d.rec.add("%s", s)
	fmt.Println(s)
	if len(l.ids) > 0 {
		return exitBroken
	}
	return exitHeld
}

// playLeave is the case of an upstream that has left and gets new work after kill.
func playLeave(rec *recorder, trouble bool, kill func(d *deployment, leaver *machine) error) (int, error) {
	d, err := startSmall(rec, upstreamConfig{slots: 12, queue: 48, work: leaveWork})
	if err != nil {
		return 0, err
	}
	defer d.close()
	leaver := d.machines[1]
	late := &lateRuns{d: d, leaver: leaver}
	late.watch()
	clients := startLoad(d, leaveClients, 0)
	time.Sleep(2 * time.Second)
	leaver.up.holdNextBeat(beatDelay)
	time.Sleep(300 * time.Millisecond)
	if status := leaver.up.leave(); status != 200 {
		return 0, fmt.Errorf("the leave was answered %d", status)
	}
	late.acknowledged()
	if trouble {
		if err := kill(d, leaver); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(late.ackAt.Add(serveAfter)))
	rec.add("%s: %s ends", leaver.name, leaver.up.id)
	leaver.up.end()
	time.Sleep(500 * time.Millisecond)
	return late.result(clients.end()), nil
}

// killAll kills the nodes of all machines right after the acknowledgement.
func killAll(d *deployment, _ *machine) error { return killAndRestart(d.machines) }

// killAgain kills the node of the leaving upstream a second after the acknowledgement, and
// again and again while it starts.
func killAgain(_ *deployment, leaver *machine) error {
	time.Sleep(time.Second)
	if err := killAndRestart([]*machine{leaver}); err != nil {
		return err
	}
	for _, after := range []time.Duration{80, 130, 180} {
		time.Sleep(after * time.Millisecond)
		if err := killAndRestart([]*machine{leaver}); err != nil {
			return err
		}
	}
	return nil
}

// killAndRestart kills the nodes of machines at the same moment and starts them again after
// the usual delay.
func killAndRestart(machines []*machine) error {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		<-m.exited
	}
	time.Sleep(restartDelay)
	for _, m := range machines {
		if err := m.restart(); err != nil {
			return err
		}
	}
	return nil
}
