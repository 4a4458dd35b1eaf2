package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/trace/noop"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/pick"
	"tanagerchute/core/resend"
	"tanagerchute/core/vers"
	"tanagerchute/io/feed"
	"tanagerchute/io/fleet"
	"tanagerchute/io/link"
	"tanagerchute/io/native"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// slowPeer is a node that acknowledges calls and answers them after the given
// times. It answers no inquiries.
type slowPeer struct {
	ackAfter    time.Duration
	answerAfter time.Duration // counted from the acknowledgement
	header      http.Header   // of the answer
}

func (s slowPeer) start(t *testing.T) string {
	ts := s.newServer()
	ts.Start()
	t.Cleanup(ts.Close)
	return strings.TrimPrefix(ts.URL, "http://")
}

// newServer returns the server of the node, which is not started.
func (s slowPeer) newServer() *httptest.Server {
	srv := peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerCall) == "" {
			http.Error(w, "no inquiries here", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(s.ackAfter)
		w.WriteHeader(http.StatusProcessing)
		time.Sleep(s.answerAfter)
		var p Proxy
		p.cfg.Deployment = r.Header.Get(peer.HeaderDeployment)
		p.cfg.MaxBodyBytes = defaultMaxBodyBytes
		p.cfg.Feed = feed.New(feed.Config{})
		c, _, err := p.readPeerHead(r)
		if err == nil {
			c.Body, err = p.readPeerBody(r, call.Call{})
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.writePeerReply(r.Context(), w, c, call.Reply{Fate: call.Answered, Status: http.StatusOK, Header: s.header, Body: []byte("done"), Replied: true})
	}))
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = srv
	return ts
}

// newSender returns a proxy whose fleet has only its own node.
func newSender(t *testing.T) *Proxy { return newSenderWithDial(t, nil) }

// newSenderWithDial is like newSender, with wrapDial around the opening of connections
// for calls.
func newSenderWithDial(t *testing.T, wrapDial func(link.Dial) link.Dial) *Proxy {
	client := peer.NewClient(peer.Config{Deployment: "test", Dial: link.Direct})
	journal := event.NewJournal(event.Config{Node: "sender", Capacity: 16})
	fl := fleet.New(fleet.Config{
		Self: member.Record{ID: "sender", Incarnation: 1}, Client: client, Journal: journal,
		Stamp: func() vers.Stamp { return vers.Stamp{} }, OnPeerStamp: func(string, vers.Stamp) {},
	})
	p := New(Config{
		Node: "sender", Deployment: "test", Dialect: native.Dialect{}, Fleet: fl, Feed: feed.New(feed.Config{Fleet: fl}), Client: client, WrapDial: wrapDial,
		Journal: journal, Tracer: noop.NewTracerProvider().Tracer(""), Rand: rand.New(rand.NewPCG(1, 2)),
	})
	t.Cleanup(p.Close)
	return p
}

func testCall(method string, deadline time.Duration) call.Call {
	id, issued := newID()
	now := time.Now()
	return call.Call{
		ID: id, Issued: issued, Service: "budir", Method: method, Path: "/", AtMostOnce: method == http.MethodPost,
		Header: http.Header{}, Deadline: now.Add(deadline), WaitUntil: now.Add(deadline),
	}
}

// TestLateAcknowledgementIsAwaited guards against giving up a call that its node
// received and acknowledges late, as a busy machine does. The answer that arrives
// before the deadline must reach the caller.
func TestLateAcknowledgementIsAwaited(t *testing.T) {
	is := is.New(t)
	addr := slowPeer{ackAfter: 600 * time.Millisecond, answerAfter: 300 * time.Millisecond}.start(t)
	p := newSender(t)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		c := testCall(method, 3*time.Second)
		d := &dispatchState{p: p, call: c}
		d.tracker = resend.New(resend.Config{Idempotent: c.Idempotent(), MaxUpstreams: 3, Deadline: c.Deadline, Spend: d.spendRetryBudget})
		r := d.attempt(context.Background(), pick.Candidate{ID: addr, Addr: addr, Entry: true})
		is.Equal(r.Fate, call.Answered) // fate of a call that is acknowledged late
		is.Equal(string(r.Body), "done")
	}
}

// TestHedgesAfterSilence guards against waiting for a node that does not
// acknowledge a call while another upstream could answer it.
func TestHedgesAfterSilence(t *testing.T) {
	is := is.New(t)
	silent := slowPeer{ackAfter: 3 * time.Second}.start(t)
	healthy := slowPeer{}.start(t)
	p := newSender(t)
	c := testCall(http.MethodGet, 2500*time.Millisecond)
	d := &dispatchState{p: p, call: c}
	d.tracker = resend.New(resend.Config{Idempotent: true, MaxUpstreams: 3, Deadline: c.Deadline, Spend: func() bool {
		d.paidResend = &choice{target: pick.Candidate{ID: healthy, Addr: healthy, Entry: true}}
		return true
	}})
	began := time.Now()
	r := d.attempt(context.Background(), pick.Candidate{ID: silent, Addr: silent, Entry: true})
	is.Equal(r.Fate, call.Answered)
	is.True(time.Since(began) < time.Second) // answered by the second upstream
	all, arrived := d.tracker.Attempts()
	is.Equal([]int{all, arrived}, []int{1, 1}) // the hedge; the attempt in progress is counted with its reply
}

// busyHome is a node that does not answer the first inquiries.
type busyHome struct {
	wire.Peer
	unanswered atomic.Int32
}

func (h *busyHome) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{}, nil
}

func (h *busyHome) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return &wire.SyncReply{}, nil
}

func (h *busyHome) Gossip(context.Context, *wire.GossipRequest) (*wire.GossipReply, error) {
	return &wire.GossipReply{}, nil
}

func (h *busyHome) Inquire(context.Context, *wire.InquireRequest) (*wire.InquireReply, error) {
	if h.unanswered.Add(-1) >= 0 {
		return nil, twirp.NewError(twirp.Unavailable, "busy")
	}
	return &wire.InquireReply{Verdict: int32(dedup.Fenced), Anchor: true}, nil
}

// TestBusyEarlierHomeIsAskedAgain guards against refusing a key as too old because
// one inquiry to an earlier home failed, although that node is up.
func TestBusyEarlierHomeIsAskedAgain(t *testing.T) {
	is := is.New(t)
	home := &busyHome{}
	home.unanswered.Store(2)
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(peer.Handler(home, "test", func(string, string) {}))
	ts.Start()
	t.Cleanup(ts.Close)
	p := newSender(t)
	ctx, cancel := context.WithCancel(context.Background())
	go p.cfg.Fleet.Run(ctx)
	t.Cleanup(cancel)
	record := &wire.Member{Id: "home", Addr: strings.TrimPrefix(ts.URL, "http://"), Incarnation: 1}
	_, err := p.cfg.Fleet.Gossip(ctx, &wire.GossipRequest{From: "home", Members: []*wire.Member{record}})
	is.NoErr(err)
	for {
		if _, known := p.cfg.Fleet.View().Get("home"); known {
			break
		}
		time.Sleep(time.Millisecond)
	}
	former, r, ok := p.askEarlierHome(ctx, testCall(http.MethodPost, 5*time.Second), "home")
	is.True(ok) // the key is fenced at the earlier home
	is.Equal(r.Cause, "")
	is.True(former.Anchor)
}

// TestSlowDialDeliversNothing guards against a false not_run: a call whose connection takes
// too long to open counts as not run, and must not be sent when it is open after all.
func TestSlowDialDeliversNothing(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	ts := httptest.NewUnstartedServer(nil)
	ts.Config = peer.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	ts.Start()
	t.Cleanup(ts.Close)
	dialed := make(chan error, 1)
	p := newSenderWithDial(t, func(next link.Dial) link.Dial {
		return func(_ context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(1500 * time.Millisecond)
			c, err := next(context.Background(), network, addr)
			dialed <- err
			return c, err
		}
	})
	addr := strings.TrimPrefix(ts.URL, "http://")
	r := p.send(t.Context(), addr, testCall(http.MethodPost, 4*time.Second), func(silence) {})
	is.Equal(r.Fate, call.NotRun)
	is.Equal(r.Cause, call.CauseUnreachable)
	is.NoErr(<-dialed) // open after the call was given up
	time.Sleep(200 * time.Millisecond)
	is.Equal(arrived.Load(), int32(0))
}
