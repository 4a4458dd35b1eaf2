package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// TestHomeAcceptsNoKeyAfterStepDown guards against a home that has stepped down and runs
// the work of a new key for a sender that does not know it yet: the next home does not ask
// about keys that were issued after those that the former one names as accepted.
func TestHomeAcceptsNoKeyAfterStepDown(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newHomeTable()
	begin := func(id string, issued time.Time) dedup.Verdict {
		v, _ := table.Begin(call.Call{ID: id, Issued: issued, Attempt: id + "/1"})
		return v
	}
	is.Equal(begin("early", now), dedup.Fenced) // no candidate yet
	table.acceptNewKeys()
	is.Equal(begin("late clock", now.Add(-time.Second)), dedup.Run)
	is.True(!table.refuseNewKeys().Before(now)) // at least the start of the process
	table.acceptNewKeys()
	is.Equal(begin("early clock", now.Add(time.Second)), dedup.Run)
	is.True(table.refuseNewKeys().Equal(now.Add(time.Second)))
	is.Equal(begin("new", now.Add(2*time.Second)), dedup.Fenced)
	is.Equal(begin("early clock", now.Add(time.Second)), dedup.Join) // what has started goes on
	is.True(table.refuseNewKeys().Equal(now.Add(time.Second)))
}

// TestSilentHomeBehindRelayIsTriedAgain guards against a caller that is told unknown at once
// because the home of its key, in another data centre, is silent for a moment. The relay
// there gives up its attempt, and the sender must send the call again.
func TestSilentHomeBehindRelayIsTriedAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	home := slowPeer{ackAfter: 3 * time.Second}.start(t)
	relay := newSender(t)
	go relay.cfg.Fleet.Run(ctx)
	record := &wire.Member{Id: "home", Addr: home, Incarnation: 1, Keeper: true}
	_, err := relay.cfg.Fleet.Gossip(ctx, &wire.GossipRequest{From: "home", Members: []*wire.Member{record}})
	is.NoErr(err)
	for len(relay.cfg.Fleet.View().HomeCandidates()) == 0 {
		time.Sleep(time.Millisecond)
	}
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(relay.Peer(http.NotFoundHandler()))
	ts.Start()
	t.Cleanup(ts.Close)

	sender := newSender(t)
	c := testCall(http.MethodPost, 5*time.Second).WithAttempt("attempt", call.Home)
	c.Key, c.From = c.ID, "node-of-another-data-centre"
	r := sender.send(ctx, strings.TrimPrefix(ts.URL, "http://"), c, func(silence) {})
	is.Equal(r.Fate, call.Unknown)
	is.True(time.Now().Before(c.Deadline)) // there is time to send it again
	is.True(!settledByHome(r))
}
