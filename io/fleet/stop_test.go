package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/vers"
	"tanagerchute/io/fleet"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// neighbour is a node that only takes messages.
type neighbour struct {
	wire.Peer
	busy  atomic.Bool // it answers nothing until its caller gives up
	stops atomic.Int32
}

func (n *neighbour) await(ctx context.Context) {
	if n.busy.Load() {
		<-ctx.Done()
	}
}

func (n *neighbour) Probe(ctx context.Context, _ *wire.ProbeRequest) (*wire.ProbeReply, error) {
	n.await(ctx)
	return &wire.ProbeReply{}, nil
}

func (n *neighbour) Relay(ctx context.Context, _ *wire.RelayRequest) (*wire.RelayReply, error) {
	n.await(ctx)
	return &wire.RelayReply{}, nil
}

func (n *neighbour) Sync(ctx context.Context, _ *wire.SyncRequest) (*wire.SyncReply, error) {
	n.await(ctx)
	return &wire.SyncReply{}, nil
}

func (n *neighbour) Gossip(ctx context.Context, r *wire.GossipRequest) (*wire.GossipReply, error) {
	for _, m := range r.GetMembers() {
		if m.GetLeft() {
			n.stops.Add(1)
		}
	}
	n.await(ctx)
	return &wire.GossipReply{}, nil
}

func (n *neighbour) start(t *testing.T) string {
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(peer.Handler(n, "test", func(string, string) {}))
	ts.Start()
	t.Cleanup(ts.CloseClientConnections)
	return strings.TrimPrefix(ts.URL, "http://")
}

// TestStopAwaitsNoBusyNeighbour guards against a stop that lasts until its timeout
// because some neighbours are busy: then a node outlasts its grace time, and is killed.
func TestStopAwaitsNoBusyNeighbour(t *testing.T) {
	is := is.New(t)
	client := peer.NewClient(peer.Config{Deployment: "test", Dial: link.Direct})
	f := fleet.New(fleet.Config{
		Self: member.Record{ID: "self", Incarnation: 1}, Client: client, Journal: event.NewJournal(event.Config{}), Rand: rand.New(rand.NewPCG(1, 2)),
		Stamp: func() vers.Stamp { return vers.Stamp{} }, OnPeerStamp: func(string, vers.Stamp) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	var neighbours [5]neighbour
	var records []*wire.Member
	for i := range neighbours {
		records = append(records, &wire.Member{Id: fmt.Sprint("node-", i), Addr: neighbours[i].start(t), Incarnation: 1})
	}
	_, err := f.Gossip(ctx, &wire.GossipRequest{From: "node-0", Members: records})
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	neighbours[0].busy.Store(true)
	neighbours[1].busy.Store(true)
	time.Sleep(300 * time.Millisecond) // messages to them are in flight
	stopCtx, cancelStop := context.WithTimeout(ctx, 2*time.Second)
	defer cancelStop()
	began := time.Now()
	f.Stop(stopCtx)
	is.True(time.Since(began) < 400*time.Millisecond)
	told := 0
	for i := range neighbours[2:] {
		told += min(int(neighbours[2+i].stops.Load()), 1)
	}
	is.True(told >= 2) // they flood it to the others
}
