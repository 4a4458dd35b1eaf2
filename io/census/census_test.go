package census_test

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/core/member"
	"tanagerchute/io/census"
	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
)

// TestRegister checks that each address is listed once, however often its node starts, that what
// another writer has left is passed over, and that a node that stops for good is removed.
func TestRegister(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	kv := fakekv.New(fakekv.Config{})
	srv := httptest.NewServer(kv)
	t.Cleanup(srv.Close)
	store := etcd.New(etcd.Config{Endpoints: []string{srv.URL}})
	register := func(addr string) *census.Register {
		return census.New(census.Config{Store: store, Prefix: "d/nodes/", Self: member.Record{Addr: addr, DataCentre: "dc", Region: "r"}})
	}
	a, b := register("10.0.0.1:7380"), register("10.0.0.2:7380")
	for _, r := range []*census.Register{a, b, a} {
		r.Run(ctx)
	}
	_, err := store.Commit(ctx, tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: "d/nodes/x", Value: []byte("{")}}})
	is.NoErr(err)
	read := func() (addrs []string) {
		rs, err := a.Read(ctx)
		is.NoErr(err)
		for _, r := range rs {
			is.NoErr(r.Validate())
			is.Equal(r.Group(), "r")
			addrs = append(addrs, r.Addr)
		}
		return addrs
	}
	is.Equal(read(), []string{"10.0.0.1:7380", "10.0.0.2:7380"})
	b.Remove(ctx)
	is.Equal(read(), []string{"10.0.0.1:7380"})
	kv.SetFaults(fakekv.Faults{Down: true})
	_, err = a.Read(ctx)
	is.True(err != nil)
}
