package proxy

import (
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
)

// TestRefusalHasNoStatus guards against a log that names a status for a call that no
// backend server has answered: that of the message between nodes.
func TestRefusalHasNoStatus(t *testing.T) {
	is := is.New(t)
	c := testCall(http.MethodGet, time.Second).WithAttempt("a-1", call.Upstream)
	for _, sent := range []call.Reply{
		call.Refuse(call.Unknown, call.CauseBrokenAnswer, 0),
		call.Refuse(call.NotRun, call.CauseDraining, time.Second),
	} {
		h := http.Header{}
		h.Set(headerAnswer, encodeHeader(answerMeta(c, sent)))
		got, err := decodeReply(c, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h}, nil)
		is.NoErr(err)
		is.Equal(got.Fate, sent.Fate)
		is.Equal(got.Cause, sent.Cause)
		is.Equal(got.Status, 0)
	}
}

// TestReportedAcceptance checks that the acceptance that a node reports is taken over, and that
// a value that is no share counts as unknown.
func TestReportedAcceptance(t *testing.T) {
	c := testCall(http.MethodGet, time.Second).WithAttempt("a-1", call.Upstream)
	for _, tc := range []struct{ sent, want float64 }{{0, 0}, {0.4, 0.4}, {1, 1}, {-1, 0}, {1.5, 0}, {math.NaN(), 0}, {math.Inf(1), 0}} {
		is := is.New(t)
		sent := call.Refuse(call.NotRun, "overload", time.Second)
		sent.Load.Acceptance = tc.sent
		h := http.Header{}
		h.Set(headerAnswer, encodeHeader(answerMeta(c, sent)))
		got, err := decodeReply(c, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: h}, nil)
		is.NoErr(err)
		is.Equal(got.Load.Acceptance, tc.want)
	}
}
