package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/io/link"
	"tanagerchute/io/peer"
)

// heldWithin is how long after its deadline a request may have no reply.
const heldWithin = 500 * time.Millisecond

// TestAnswerOfPeerThatStopsReadingEndsInTime guards against a call that is held beyond its deadline
// by another node, which has sent a part of the answer and neither sends nor reads any more.
func TestAnswerOfPeerThatStopsReadingEndsInTime(t *testing.T) {
	l := link.NewStuck()
	ts := httptest.NewUnstartedServer(nil)
	ended := make(chan struct{})
	ts.Config = peer.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		acknowledge(w)
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("the begin"))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond) // the caller reads it
		l.Stick()
		<-ended
	}))
	ts.Start()
	t.Cleanup(ts.Close)
	t.Cleanup(func() { close(ended) })
	p := newSenderWithDial(t, l.Dial)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			c := testCall(method, 400*time.Millisecond).WithAttempt("a-"+method, call.Entry)
			r := p.send(t.Context(), strings.TrimPrefix(ts.URL, "http://"), c, func(silence) {})
			if late := time.Since(c.Deadline); late > heldWithin {
				t.Errorf("reply %v %s comes %v after the deadline, want %v at most", r.Fate, r.Cause, late, heldWithin)
			}
		})
	}
}
