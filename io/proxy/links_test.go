package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/band"
	"tanagerchute/core/call"
	"tanagerchute/core/pick"
	"tanagerchute/io/gate"
	"tanagerchute/io/peer"
	"tanagerchute/io/runner"
)

// TestFullLinkKeepsRecords sends bulk calls that may run once to a node whose link is full.
// A call that has run there before gets its recorded answer, and is not told that it did not
// run. A new one is refused.
func TestFullLinkKeepsRecords(t *testing.T) {
	is := is.New(t)
	p := newSender(t)
	p.cfg.LinkRate, p.cfg.MaxBodyBytes = 1.25e6, defaultMaxBodyBytes
	p.cfg.Gate = gate.New(gate.Config{Dialect: p.cfg.Dialect})
	p.links.init(p.cfg)
	d := p.links.in.Acquire(context.Background(), band.Transfer{Bytes: 100e6})
	defer p.links.in.Done(d.ID)

	earlier, fresh := testCall(http.MethodPost, time.Second), testCall(http.MethodPost, time.Second)
	runner.Run(context.Background(), p.homeTable, earlier, func() call.Reply {
		return call.Reply{Fate: call.Answered, Status: http.StatusOK, Body: []byte("done")}
	})
	node := httptest.NewServer(http.HandlerFunc(p.servePeerCall))
	defer node.Close()
	send := func(c call.Call) call.Reply {
		id, _ := newID()
		c = c.WithAttempt(id, call.Entry)
		meta := callMeta(c, time.Now())
		meta.BodyLength = 60_000
		r, err := http.NewRequest(c.Method, node.URL+callPath, strings.NewReader(strings.Repeat("x", 60_000)))
		is.NoErr(err)
		r.Header.Set(headerCall, encodeHeader(meta))
		r.Header.Set(peer.HeaderDeployment, "test")
		res, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		reply, err := decodeReply(c, res, body)
		is.NoErr(err)
		return reply
	}
	r := send(earlier)
	is.Equal(r.Fate, call.Answered) // of a call that has run
	is.Equal(string(r.Body), "done")
	r = send(fresh)
	is.Equal(r.Fate, call.NotRun) // of a call that has not
	is.Equal(r.Cause, call.CauseLinkFull)
}

// TestBulkCallAtItsDeadline checks that a node is not blamed for a bulk call without a reply by
// the deadline, and that it is for one whose backend server was late.
func TestBulkCallAtItsDeadline(t *testing.T) {
	is := is.New(t)
	p := newSender(t)
	c := testCall(http.MethodPost, time.Second)
	c.Body = make([]byte, 60_000)
	target := pick.Candidate{ID: "node", LinkRate: 1.25e6}
	late := call.Refuse(call.Unknown, call.CauseDeadline, 0)
	is.Equal(p.attemptResult(c, target, late), pick.AmbiguousError)
	late.Replied = false
	is.Equal(p.attemptResult(c, target, late), pick.Unjudged)
}

// TestUnreadBodyWithKey checks that a call whose body is not read for a full link is told as
// not run, unless an earlier request with its key may have run it.
func TestUnreadBodyWithKey(t *testing.T) {
	is := is.New(t)
	p := newSender(t)
	p.cfg.LinkRate = 1.25e6
	p.links.init(p.cfg)
	d := p.links.in.Acquire(context.Background(), band.Transfer{Bytes: 100e6})
	defer p.links.in.Done(d.ID)
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", 60_000)))
	_, rej := p.readBody(r, testCall(http.MethodPost, time.Second), defaultMaxBodyBytes)
	is.Equal(rej.refusal.Fate, call.NotRun)
	r.Header.Set(HeaderIdempotencyKey, "a-key")
	_, rej = p.readBody(r, testCall(http.MethodPost, time.Second), defaultMaxBodyBytes)
	is.Equal(rej.refusal.Fate, call.Unknown)
}
