// Command born shows a leave that is acknowledged and not heeded: the upstream has started again under
// its id after the clock of its machine was set back.
//
// # Usage
//
//	born BINARY RECORD
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"tanagerchute/review/standin-3/rig"
)

const (
	clockStep = 2 * time.Second        // by which the clock of the machine is ahead, and set back
	uptime    = 800 * time.Millisecond // of the first incarnation of the upstream
	downtime  = 300 * time.Millisecond // until it starts again
	calm      = 8 * time.Second        // between the restart and the leave
	drain     = 2 * time.Second        // DrainMs
	serves    = 8 * time.Second        // for which the upstream goes on after the acknowledgement
	pause     = 50 * time.Millisecond  // between two requests
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

func run(rec *rig.Record) (int, error) {
	ctx := context.Background()
	r, err := rig.New(rig.Config{Binary: os.Args[1], Record: rec, Zones: []string{"zone-a", "zone-b"}})
	if err != nil {
		return 2, err
	}
	defer r.Close()
	step := clockStep
	if os.Getenv("TROUBLE") == "0" {
		step = 0
	}
	r.WriteConfig(rig.Document{
		Version: "r7", Limits: rig.Limits(),
		Listeners: []map[string]any{{"Host": "orders.example", "Rules": []map[string]any{
			rig.Rule("book", "non_idempotent", "/book/", "orders", 1500, 2),
		}}},
		Clusters: []map[string]any{rig.Cluster("orders"), rig.Cluster("front")},
	})
	server, err := r.AddMachine("zone-a", "orders")
	if err != nil {
		return 2, err
	}
	entry, err := r.AddMachine("zone-b", "front")
	if err != nil {
		return 2, err
	}
	for _, m := range []*rig.Machine{server, entry} {
		if err := m.StartNode(); err != nil {
			return 2, err
		}
	}
	if _, err := entry.StartUpstream(rig.UpstreamConfig{ID: "i-front"}); err != nil {
		return 2, err
	}
	if !rig.Await(20*time.Second, func() bool { return server.IsReady() && entry.IsReady() }) {
		return 2, fmt.Errorf("the nodes are not ready")
	}
	rec.Say("the clock of %s is %v ahead", server.Name, step)
	first, err := server.StartUpstream(rig.UpstreamConfig{ID: "i-orders", Born: time.Now().Add(step), Work: 20 * time.Millisecond})
	if err != nil {
		return 2, err
	}
	send := func() rig.Answer {
		return entry.Send(rig.Request{Method: "POST", Host: "orders.example", Path: "/book/1", Body: []byte("x")})
	}
	time.Sleep(uptime)
	first.Crash()
	rec.Say("the clock of %s is set back by %v", server.Name, step)
	time.Sleep(downtime)
	second, err := server.StartUpstream(rig.UpstreamConfig{ID: "i-orders", Work: 20 * time.Millisecond})
	if err != nil {
		return 2, err
	}
	if !rig.Await(10*time.Second, func() bool { return send().Status == 200 }) {
		return 2, fmt.Errorf("the upstream gets no request after its restart")
	}
	for end := time.Now().Add(calm); time.Now().Before(end); time.Sleep(pause) {
		send()
	}
	before := len(second.Runs())
	second.Drain(ctx)
	acked := second.AckedAt("draining")
	rec.Say("draining is acknowledged, %d requests have run since the restart", before)
	for end := time.Now().Add(serves); time.Now().Before(end); time.Sleep(pause) {
		send()
	}
	late := 0
	for _, x := range second.Runs() {
		if x.At.After(acked.Add(drain)) {
			late++
		}
	}
	second.Leave(ctx)
	second.Exit()
	rec.Say("%d requests reached the upstream later than DrainMs after the acknowledgement", late)
	if late > 0 {
		rec.Say("DRAIN is broken")
		return 1, nil
	}
	rec.Say("DRAIN holds")
	return 0, nil
}
