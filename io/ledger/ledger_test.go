package ledger_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/core/vers"
	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
	"tanagerchute/io/ledger"
)

// noVersion is a VersionLookup that finds no version.
func noVersion(string) (vers.Version, bool) { return vers.Version{}, false }

// TestPublishAcrossRestore lets an operator publish after a version that the store has
// lost, while another one has published in its place at the same revision. The operator
// must not be told that all is well, whether or not its client knows of the restart.
func TestPublishAcrossRestore(t *testing.T) {
	for _, aware := range []bool{false, true} {
		is := is.New(t)
		s := fakekv.New(fakekv.Config{})
		srv := httptest.NewServer(s)
		defer srv.Close()
		newLedger := func() (*ledger.Ledger, tanagerchute.Store) {
			c := etcd.New(etcd.Config{Endpoints: []string{srv.URL}})
			return ledger.New(ledger.Config{Store: c, Deployment: "d"}), c
		}
		publish := func(l *ledger.Ledger, parent tanagerchute.Head, op string) (vers.Version, error) {
			return l.Publish(t.Context(), ledger.Draft{Parent: parent, Op: op, At: time.Now(), Content: []byte(op)})
		}
		first, store := newLedger()
		head, err := first.Head(t.Context(), noVersion)
		is.NoErr(err)
		_, err = publish(first, head, "one")
		is.NoErr(err)
		s.TakeCopy()
		head, err = first.Head(t.Context(), noVersion)
		is.NoErr(err)
		_, err = publish(first, head, "lost")
		is.NoErr(err)
		lost, err := first.Head(t.Context(), noVersion)
		is.NoErr(err)

		s.RestoreCopy(0)
		second, _ := newLedger()
		head, err = second.Head(t.Context(), noVersion)
		is.NoErr(err)
		is.Equal(head.Version.Number, uint64(1))
		_, err = publish(second, head, "instead")
		is.NoErr(err)
		if aware {
			_, _, err := store.Get(t.Context(), "k") // any answer shows the era
			is.NoErr(err)
		}
		_, err = publish(first, lost, "after lost")
		var conflict *ledger.Conflict
		if aware {
			is.True(errors.As(err, &conflict))
			is.Equal(string(conflict.Head.Version.Content), "instead")
			continue
		}
		is.True(errors.Is(err, ledger.ErrParentLost))
	}
}
