// Command reuse shows a service that is handed the requests of another one: its upstream has the address
// of one that is gone, and the node beside that address was stopped and started again.
//
// # Usage
//
//	reuse BINARY RECORD
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"tanagerchute/review/standin-3/rig"
)

const (
	reuseAfter = 2500 * time.Millisecond // ReuseAfterS is 2
	settled    = 5 * time.Second         // longer than StabilityWindowMs
	sends      = 8 * time.Second         // for which clients send after the restart
	pause      = 50 * time.Millisecond   // between two requests
	grace      = 6 * time.Second         // GraceS
	work       = 20 * time.Millisecond   // of a request
)

// Services of the deployment.
const (
	orders  = "orders"
	billing = "billing"
)

func main() {
	rec, err := rig.OpenRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code, err := run(rec)
	if err != nil {
		rec.Say("could not run: %v", err)
		code = 2
	}
	rec.Close()
	os.Exit(code)
}

// config returns a configuration in which only orders may run bookings.
func config() rig.Document {
	return rig.Document{
		Version: "r7", Limits: rig.Limits(),
		Listeners: []map[string]any{
			{"Host": "orders.example", "Rules": []map[string]any{rig.Rule("book", "non_idempotent", "/book/", orders, 1500, 2)}},
			{"Host": "billing.example", "Rules": []map[string]any{rig.Rule("pay", "non_idempotent", "/pay/", billing, 1500, 2)}},
		},
		Clusters: []map[string]any{rig.Cluster(orders), rig.Cluster(billing)},
	}
}

// start starts the machines, those of orders first, and returns the upstream of the first one.
func start(r *rig.Rig) (machines []*rig.Machine, first *rig.Upstream, err error) {
	for i, service := range []string{orders, orders, orders, billing, billing} {
		m, err := r.AddMachine([]string{"zone-a", "zone-b"}[i%2], service)
		if err != nil {
			return nil, nil, err
		}
		if err := m.StartNode(); err != nil {
			return nil, nil, err
		}
		u, err := m.StartUpstream(rig.UpstreamConfig{ID: fmt.Sprintf("i-%s-%d", service, i), Work: work})
		if err != nil {
			return nil, nil, err
		}
		if i == 0 {
			first = u
		}
		machines = append(machines, m)
	}
	return machines, first, nil
}

// allReady reports whether all nodes say that they are ready.
func allReady(machines []*rig.Machine) bool {
	for _, m := range machines {
		if !m.IsReady() {
			return false
		}
	}
	return true
}

func run(rec *rig.Record) (int, error) {
	r, err := rig.New(rig.Config{Binary: os.Args[1], Record: rec, Zones: []string{"zone-a", "zone-b"}})
	if err != nil {
		return 2, err
	}
	defer r.Close()
	r.WriteConfig(config())
	machines, first, err := start(r)
	if err != nil {
		return 2, err
	}
	server, entry := machines[0], machines[len(machines)-1]
	if !rig.Await(20*time.Second, func() bool { return allReady(machines) }) {
		return 2, fmt.Errorf("the nodes are not ready")
	}
	book := func() rig.Answer {
		return entry.Send(rig.Request{Method: "POST", Host: "orders.example", Path: "/book/1", Body: []byte("x")})
	}
	if !rig.Await(10*time.Second, func() bool { return book().Status == 200 }) {
		return 2, fmt.Errorf("bookings are not served")
	}
	first.Crash()
	time.Sleep(reuseAfter)
	if os.Getenv("TROUBLE") != "0" {
		second, err := server.StartUpstream(rig.UpstreamConfig{ID: "i-billing-new", Service: billing, Work: work})
		if err != nil {
			return 2, err
		}
		defer second.Crash()
		return judge(rec, server, second, book)
	}
	return judge(rec, server, first, book)
}

// judge restarts the node of the machine as planned, sends bookings, and counts those that the upstream
// has run from then on.
func judge(rec *rig.Record, m *rig.Machine, u *rig.Upstream, book func() rig.Answer) (int, error) {
	time.Sleep(settled)
	before := len(u.Runs())
	if err := m.SetSetting("Self.Bootstrap", "false"); err != nil {
		return 2, err
	}
	m.Signal(syscall.SIGTERM)
	if !m.WaitNode(grace) {
		return 2, fmt.Errorf("the node does not stop within its grace period")
	}
	if err := m.StartNode(); err != nil {
		return 2, err
	}
	if !rig.Await(20*time.Second, m.IsReady) {
		return 2, fmt.Errorf("the node is not ready again")
	}
	answered := 0
	for end := time.Now().Add(sends); time.Now().Before(end); time.Sleep(pause) {
		if book().Status == 200 {
			answered++
		}
	}
	foreign := len(u.Runs()) - before
	rec.Say("%d bookings were run by the upstream that has the address now, %d were answered with 200", foreign, answered)
	if foreign > 0 {
		rec.Say("ROUTE is broken")
		return 1, nil
	}
	rec.Say("ROUTE holds")
	return 0, nil
}
