package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
	"tanagerchute/core/pick"
	"tanagerchute/io/peer"
	"tanagerchute/io/wire"
)

// inquiredPeer is the control protocol of a node that is only asked for attempts.
type inquiredPeer struct {
	wire.Peer
	p *Proxy
}

// Inquire implements wire.Peer.
func (i inquiredPeer) Inquire(ctx context.Context, r *wire.InquireRequest) (*wire.InquireReply, error) {
	return i.p.Inquire(ctx, r), nil
}

// startEntry starts a process of an entry node and returns its address.
func startEntry(t *testing.T) pick.Candidate {
	t.Helper()
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = peer.NewServer(peer.Handler(inquiredPeer{p: newSender(t)}, "test", func(string, string) {}))
	srv.Start()
	t.Cleanup(srv.Close)
	addr := strings.TrimPrefix(srv.URL, "http://")
	return pick.Candidate{ID: addr, Addr: addr, Entry: true}
}

// TestEntryNodeDoesNotCompareClocks guards against a booking that runs twice, or is told as unknown
// without need: an entry node that is asked for an attempt compared the time at which the sender
// says it was issued with the start of its own process, by two clocks.
func TestEntryNodeDoesNotCompareClocks(t *testing.T) {
	unresolved := call.Reply{Fate: call.Unknown, Cause: call.CauseBrokenAnswer}
	t.Run("process after the attempt, sender's clock ahead", func(t *testing.T) {
		is := is.New(t)
		sentAt := time.Now()
		c := testAttempt(http.MethodPost)
		c.Issued = sentAt.Add(time.Minute)
		r := newSender(t).resolveOutcome(t.Context(), startEntry(t), c, sentAt, unresolved)
		is.Equal(r.Fate, call.Unknown)
	})
	t.Run("process before the attempt, sender's clock behind", func(t *testing.T) {
		is := is.New(t)
		entry := startEntry(t)
		time.Sleep(1200 * time.Millisecond) // until its process answers for attempts that are sent now
		c := testAttempt(http.MethodPost)
		c.Issued = time.Now().Add(-time.Minute)
		r := newSender(t).resolveOutcome(t.Context(), entry, c, time.Now(), unresolved)
		is.Equal(r.Fate, call.NotRun)
		is.Equal(r.Cause, call.CauseFenced)
	})
}
