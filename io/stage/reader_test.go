package stage

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"tanagerchute"
	"tanagerchute/core/canary"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/vers"
	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/fleet"
	"tanagerchute/io/ledger"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/setup"
)

// TestOrderBeforeFirstCheckHoldsTargetBack guards against an order that is given after a node has read
// the orders and before its first check, while its watch hears nothing, and that is taken for an old one.
func TestOrderBeforeFirstCheckHoldsTargetBack(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	server := fakekv.New(fakekv.Config{})
	go server.Run(ctx)
	gateway := httptest.NewServer(server)
	defer gateway.Close()
	store := etcd.New(etcd.Config{Endpoints: []string{gateway.URL}})
	format := ledger.RolloutFormat{Deployment: "test"}
	client := peer.NewClient(peer.Config{Deployment: "test", Dial: link.Direct})
	journal := event.NewJournal(event.Config{Node: "a", Capacity: 16})
	m := New(Config{
		Settings: setup.Rollout{CanaryShare: 0.1}, Store: store, Format: format, Prefix: format.Prefix(), Client: client, Journal: journal,
		Fleet: fleet.New(fleet.Config{
			Self: member.Record{ID: "a", Incarnation: 1}, Client: client, Journal: journal,
			Stamp: func() vers.Stamp { return vers.Stamp{} }, OnPeerStamp: func(string, vers.Stamp) {},
		}),
		IsReader: func() bool { return true }, HasService: func(string) bool { return true },
	})
	defer m.wg.Wait()
	defer cancel()
	server.SetFaults(fakekv.Faults{MuteWatches: true})
	m.spawn(func() { _ = m.followOrders(ctx, ctx) })
	m.spawn(func() { m.runOrderChecks(ctx) })
	time.Sleep(300 * time.Millisecond) // the orders are read

	key, value, err := format.FormatOrder(canary.Request{Service: "skraning", Target: "v2", Within: 9 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	m.CheckOrders(tanagerchute.Revision{Number: 1 << 20})
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		m.mu.Lock()
		_, known := m.table.Stage("skraning")
		m.mu.Unlock()
		if known {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the ordered version is not held back")
		}
	}
}
