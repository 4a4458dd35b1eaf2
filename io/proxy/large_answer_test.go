package proxy

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/room"
	"tanagerchute/io/memory"
)

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	r.deadlines = append(r.deadlines, at)
	return nil
}

// TestLargeAnswerHasWriteDeadline guards against a caller that does not read an answer with a
// large head, or a large body, and holds the memory that it takes for as long as it stays.
func TestLargeAnswerHasWriteDeadline(t *testing.T) {
	p := &Proxy{cfg: Config{Dialect: markedDialect{}}}
	p.links.init(p.cfg)
	c := testCall(http.MethodGet, time.Second)
	for _, tc := range []struct {
		name  string
		head  int // bytes
		body  int
		large bool
	}{{"small", 100, 100, false}, {"large head", 64 << 10, 100, true}, {"large body", 100, room.SmallBytes + 1, true}} {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		h := http.Header{"X-A": {strings.Repeat("a", tc.head)}}
		p.writeReply(t.Context(), w, c, call.Reply{Fate: call.Answered, Status: http.StatusOK, Header: h, Body: make([]byte, tc.body)})
		if got := len(w.deadlines) > 0 && w.deadlines[0].After(c.Deadline); got != tc.large {
			t.Errorf("%s: write deadlines %v, call until %v", tc.name, w.deadlines, c.Deadline)
		}
	}
}

// TestLargeHeadOfOtherNodeCounts guards against heads of answers that another node passes on and
// that take memory beside the budget. One for which there is no room in time is no answer.
func TestLargeHeadOfOtherNodeCounts(t *testing.T) {
	const headBytes, budgetBytes = 200 << 10, 4 << 20
	value := strings.Repeat("a", headBytes)
	addr := slowPeer{header: http.Header{"X-A": {value}}}.start(t)
	p := newSender(t)
	p.cfg.Memory = memory.NewRoom(memory.Config{Bytes: budgetBytes})
	var held []call.Reply
	for range 10 {
		c := testCall(http.MethodGet, 500*time.Millisecond).WithAttempt("a-1", call.Upstream)
		r := p.send(t.Context(), addr, c, func(silence) {})
		if r.Fate != call.Answered {
			if r.Fate != call.Unknown {
				t.Errorf("reply %+v", r)
			}
			break
		}
		if got := r.Header.Get("X-A"); got != value {
			t.Fatalf("header of %d bytes, sent %d", len(got), headBytes)
		}
		held = append(held, r)
	}
	if used := p.cfg.Memory.State().Total(); used < int64(len(held)*headBytes) {
		t.Errorf("%d heads of %d bytes are held, %d bytes are counted", len(held), headBytes, used)
	}
	if len(held) == 0 || len(held) > budgetBytes/headBytes/2 {
		t.Errorf("%d heads of %d bytes have room in %d bytes", len(held), headBytes, budgetBytes)
	}
	runtime.KeepAlive(held)
}
