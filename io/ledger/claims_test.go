package ledger_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/ledger"
)

// startStore starts a stand-in of the store and returns a function that returns the
// claims of a new process.
func startStore(t *testing.T) (*fakekv.Server, func() *ledger.Claims) {
	t.Helper()
	s := fakekv.New(fakekv.Config{})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, func() *ledger.Claims {
		return ledger.NewClaims(ledger.Config{Store: etcd.New(etcd.Config{Endpoints: []string{srv.URL}}), Deployment: "d"})
	}
}

// TestClaimsAreWrittenAgain checks that a process writes the claims again that the
// store has lost, more than fit into one transaction, and that the earlier time is kept
// where another process has claimed an id in the meantime.
func TestClaimsAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	s, newClaims := startStore(t)
	first, second := newClaims(), newClaims()
	began := time.Now().UTC().Round(time.Millisecond)
	s.TakeCopy()
	const ids = 120
	for i := range ids {
		issued, err := first.Claim(ctx, fmt.Sprint("id-", i), began.Add(time.Duration(i)*time.Millisecond))
		is.NoErr(err)
		is.Equal(issued, began.Add(time.Duration(i)*time.Millisecond))
	}
	s.RestoreCopy(0)
	later := began.Add(time.Second)
	issued, err := second.Claim(ctx, "id-7", later)
	is.NoErr(err)
	is.Equal(issued, later) // the store has lost the first claim
	what, err := first.WriteAgain(ctx)
	is.NoErr(err)
	is.Equal(what, "120 claims")
	for i := range ids {
		issued, err := second.Claim(ctx, fmt.Sprint("id-", i), later)
		is.NoErr(err)
		is.Equal(issued, began.Add(time.Duration(i)*time.Millisecond))
	}
}

// TestClaimsAreForgotten checks that a process writes nothing again that it claimed
// long before, and that it reads the store while it remembers a claim, so that it
// learns of a restart.
func TestClaimsAreForgotten(t *testing.T) {
	is := is.New(t)
	s, newClaims := startStore(t)
	c := newClaims()
	_, err := c.Claim(t.Context(), "old", time.Now().Add(-time.Minute))
	is.NoErr(err)
	what, err := c.WriteAgain(t.Context())
	is.NoErr(err)
	is.Equal(what, "")
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	reads := s.Calls().Reads
	c.Run(ctx)
	is.Equal(s.Calls().Reads, reads) // nothing to protect
	_, err = c.Claim(t.Context(), "new", time.Now())
	is.NoErr(err)
	ctx, cancel = context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	c.Run(ctx)
	is.True(s.Calls().Reads > reads)
}
