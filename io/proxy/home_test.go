package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/homes"
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
	mode := call.Home
	begin := func(id string, issued time.Time) dedup.Verdict {
		v, _ := table.Begin(call.Call{ID: id, Issued: issued, Attempt: id + "/1", Mode: mode})
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

	mode = call.Entry                                         // calls of other data centres, without a key
	is.Equal(begin("entry", now.Add(time.Second)), dedup.Run) // no home is needed
	table.leave()
	is.Equal(begin("late entry", now.Add(time.Second)), dedup.Fenced)
	is.Equal(begin("entry", now.Add(time.Second)), dedup.Join)
}

// newSenderWithHome returns a proxy whose fleet has one home of keys, at addr.
func newSenderWithHome(t *testing.T, addr string) *Proxy {
	p := newSender(t)
	p.cfg.DataCentres = []string{""} // that of its fleet
	go p.cfg.Fleet.Run(t.Context())
	record := &wire.Member{Id: "home", Addr: addr, Incarnation: 1, Keeper: true}
	_, err := p.cfg.Fleet.Gossip(t.Context(), &wire.GossipRequest{From: "home", Members: []*wire.Member{record}})
	is.New(t).NoErr(err)
	for len(p.cfg.Fleet.View().HomeCandidates()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return p
}

// TestSilentHomeBehindRelayIsTriedAgain guards against a caller that is told unknown at once
// because the home of its key, in another data centre, is silent for a moment. The relay
// there gives up its attempt, and the sender must send the call again.
func TestSilentHomeBehindRelayIsTriedAgain(t *testing.T) {
	is := is.New(t)
	relay := newSenderWithHome(t, slowPeer{ackAfter: 3 * time.Second}.start(t))
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(relay.Peer(http.NotFoundHandler()))
	ts.Start()
	t.Cleanup(ts.Close)

	sender := newSender(t)
	c := testCall(http.MethodPost, 5*time.Second).WithAttempt("attempt", call.Home)
	c.Key, c.From = c.ID, "node-of-another-data-centre"
	r := sender.send(t.Context(), strings.TrimPrefix(ts.URL, "http://"), c, func(silence) {})
	is.Equal(r.Fate, call.Unknown)
	is.True(time.Now().Before(c.Deadline)) // there is time to send it again
	is.True(!settledByHome(r))
}

// refusingHome is a home of keys that is silent at first, and refuses later calls as not run.
func refusingHome(t *testing.T) string {
	var calls atomic.Int32
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCall) == "" {
			http.Error(w, "no inquiries here", http.StatusServiceUnavailable)
			return
		}
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		var m wire.CallMeta
		_ = decodeHeader(r.Header.Get(headerCall), &m)
		c := call.Call{ID: m.GetId(), Attempt: m.GetAttempt()}
		(&Proxy{}).writePeerReply(r.Context(), w, c, call.Refuse(call.NotRun, call.CauseNoUpstream, time.Second))
	}))
	ts.Start()
	t.Cleanup(ts.Close)
	return strings.TrimPrefix(ts.URL, "http://")
}

// TestRefusalAfterSilentHomeIsUnknown guards against a false not_run: the home of a key did
// not acknowledge a call and refuses its repeat, but may still take up the first one.
func TestRefusalAfterSilentHomeIsUnknown(t *testing.T) {
	is := is.New(t)
	p := newSenderWithHome(t, refusingHome(t))
	r := p.dispatchKeyed(t.Context(), testCall(http.MethodPost, 5*time.Second), dedup.Key{ID: "k", Issued: time.Now()})
	is.Equal(r.Fate, call.Unknown)
	is.Equal(r.Cause, call.CauseNoUpstream)
}

// TestHomeAsksMemberThatOutranksIt guards against work under a key that runs twice: a node
// that believes the home of the key to be dead sends the call to the next member, which knows
// that the home lives, and has seen no change since long before the key was issued.
func TestHomeAsksMemberThatOutranksIt(t *testing.T) {
	is := is.New(t)
	p := newSenderWithHome(t, refusingHome(t)) // inquiries are not answered
	c := testCall(http.MethodPost, 500*time.Millisecond)
	c.Issued = time.Now().Add(time.Minute) // this node is an anchor for it
	for !homes.Outranks(c.ID, "home", p.cfg.Node) {
		c.ID, _ = newID()
	}
	r, ok := p.checkEarlierHomes(t.Context(), c)
	is.True(!ok) // the home may have run it
	is.Equal(r.Fate, call.Unknown)
	for homes.Outranks(c.ID, "home", p.cfg.Node) {
		c.ID, _ = newID()
	}
	_, ok = p.checkEarlierHomes(t.Context(), c)
	is.True(ok) // this node is the home
}

// TestDroppedRecordIsNoProofOfNotRun guards against a false not_run about an attempt whose
// answer, or whose record, has been dropped to bound the size of the table.
func TestDroppedRecordIsNoProofOfNotRun(t *testing.T) {
	for _, c := range []struct {
		name        string
		answerBytes int
		later       int // attempts after the first one
		recorded    bool
		want        dedup.Verdict
	}{
		{"large answers", 1 << 20, 16, true, dedup.Lost},
		{"many records", 10, 40_000, false, dedup.TooOld},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newSender(t)
			first := testCall(http.MethodPost, time.Minute).WithAttempt("first", call.Entry)
			for x, n := first, 0; n <= c.later; n++ {
				v, _ := p.homeTable.Begin(x)
				is.Equal(v, dedup.Run)
				p.homeTable.End(x, call.Reply{Fate: call.Answered, Body: make([]byte, c.answerBytes)})
				x = testCall(http.MethodPost, time.Minute).WithAttempt("later", call.Entry)
			}
			is.Equal(p.homeTable.Contains(first.ID), c.recorded)
			time.Sleep(600 * time.Millisecond) // until attempts are not taken for those of an earlier process
			reply := p.Inquire(t.Context(), &wire.InquireRequest{
				Key: first.ID, Issued: first.Issued.UnixNano(), Attempt: "first", Mode: wire.Mode(call.Entry), From: "other", To: p.cfg.Node,
			})
			is.Equal(dedup.Verdict(reply.GetVerdict()), c.want)
		})
	}
}
