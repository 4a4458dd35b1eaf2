package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/call"
)

// deafClaims never answers.
type deafClaims struct{ end chan struct{} }

// Claim implements Claims.
func (c deafClaims) Claim(context.Context, string, time.Time) (time.Time, error) {
	<-c.end
	return time.Time{}, nil
}

// TestWaitWithoutBoundEndsInTime guards against a request that is held beyond its deadline by a wait
// that has no bound of its own, such as for a lock.
func TestWaitWithoutBoundEndsInTime(t *testing.T) {
	is := is.New(t)
	p := newSender(t)
	claims := deafClaims{make(chan struct{})}
	defer close(claims.end)
	p.cfg.Claims = claims
	c := testCall(http.MethodPost, 300*time.Millisecond)
	c.Header.Set(HeaderIdempotencyKey, "opaque")
	o := p.handleInTime(t.Context(), c, time.Now())
	if late := time.Since(c.Deadline); late > heldWithin {
		t.Errorf("reply comes %v after the deadline, want %v at most", late, heldWithin)
	}
	is.Equal(o.reply.Fate, call.Unknown)
	is.Equal(o.reply.Cause, call.CauseDeadline)
}

// TestPanicOfWorkReachesTheServer checks that a panic in the work on a request ends its connection
// and not the process.
func TestPanicOfWorkReachesTheServer(t *testing.T) {
	p := newSender(t)
	c := testCall(http.MethodPost, time.Second)
	c.Header.Set(HeaderIdempotencyKey, "opaque")
	p.cfg.Claims = panickingClaims{}
	defer func() {
		if recover() == nil {
			t.Error("the panic did not reach the caller of handleInTime")
		}
	}()
	p.handleInTime(t.Context(), c, time.Now())
}

// panickingClaims panics.
type panickingClaims struct{}

// Claim implements Claims.
func (panickingClaims) Claim(context.Context, string, time.Time) (time.Time, error) {
	panic("no claims")
}
