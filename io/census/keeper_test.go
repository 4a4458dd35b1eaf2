package census_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/core/owner"
	"tanagerchute/io/census"
	"tanagerchute/io/etcd"
	"tanagerchute/io/fakekv"
)

const (
	prefix = "d/census/"
	stored = `{"data_centre":"dc","region":"r","nodes":[{"addr":"10.0.0.1:7380","service":"a","owner":{"id":"i-1","start_ms":5,"heard_ms":7}}]}`
)

// self is the node of the tests.
var self = member.Record{ID: "n.1", Addr: "10.0.0.1:7380", DataCentre: "dc", Region: "r", Service: "a"}

// trial is a keeper beside a store.
type trial struct {
	t       *testing.T
	kv      *fakekv.Server
	store   tanagerchute.Store
	members atomic.Pointer[[]member.Record]
	writer  atomic.Bool
	learned chan owner.Claim
}

func newTrial(t *testing.T) *trial {
	tr := &trial{t: t, kv: fakekv.New(fakekv.Config{}), learned: make(chan owner.Claim, 2)}
	srv := httptest.NewServer(tr.kv)
	t.Cleanup(srv.Close)
	tr.store = etcd.New(etcd.Config{Endpoints: []string{srv.URL}})
	tr.members.Store(&[]member.Record{self})
	return tr
}

// put writes a record as another node or another writer does.
func (tr *trial) put(key, value string) {
	tr.t.Helper()
	if _, err := tr.store.Commit(tr.t.Context(), tanagerchute.Txn{Puts: []tanagerchute.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		tr.t.Fatal(err)
	}
}

// value returns the record of the data centre, and its revision.
func (tr *trial) value() (string, int64) {
	tr.t.Helper()
	kv, _, err := tr.store.Get(tr.t.Context(), prefix+"dc")
	if err != nil {
		tr.t.Fatal(err)
	}
	return string(kv.Value), kv.ModRevision
}

// run starts a keeper of a node.
func (tr *trial) run(self member.Record) *census.Keeper {
	k := census.New(census.Config{
		Store: tr.store, Prefix: prefix, Self: self, Journal: event.NewJournal(event.Config{Capacity: 16}),
		Members:   func() []member.Record { return *tr.members.Load() },
		IsWriter:  tr.writer.Load,
		OnLearned: func(c owner.Claim) { tr.learned <- c }, Wanted: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	tr.t.Cleanup(func() { cancel(); <-done })
	return k
}

// TestLearn checks what a started node takes from the store: what was heard beside a node of its
// service at its address, also if the store does not answer at first.
func TestLearn(t *testing.T) {
	own := owner.Claim{ID: "i-1", StartMs: 5, HeardMs: 7}
	for _, c := range []struct {
		name    string
		service string
		value   string
		down    time.Duration
		want    owner.Claim
	}{
		{"own record", "a", stored, 0, own},
		{"the store is away at first", "a", stored, 500 * time.Millisecond, own},
		{"of another service", "b", stored, 0, owner.Claim{}},
		{"of another address", "a", strings.Replace(stored, "10.0.0.1", "10.0.0.2", 1), 0, owner.Claim{}},
		{"of another data centre", "a", strings.Replace(stored, `"dc"`, `"dc2"`, 1), 0, owner.Claim{}},
		{"unreadable", "a", "{", 0, owner.Claim{}},
		{"none", "a", "", 0, owner.Claim{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tr := newTrial(t)
			if c.value != "" {
				tr.put(prefix+"dc", c.value)
			}
			tr.kv.SetFaults(fakekv.Faults{Down: c.down > 0})
			node := self
			node.Service = c.service
			k := tr.run(node)
			time.Sleep(c.down)
			tr.kv.SetFaults(fakekv.Faults{})
			is.Equal(<-tr.learned, c.want)
			is.True(!k.Pending())
		})
	}
}

// TestWrite checks that the writer alone writes, that it keeps nodes that nobody has met, that
// changes which come together cost one write, and that a write which fails is made again.
func TestWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tr := newTrial(t)
	tr.put(prefix+"dc", strings.Replace(stored, "10.0.0.1", "10.0.0.9", 1))
	k := tr.run(self)
	<-tr.learned
	_, before := tr.value()
	time.Sleep(time.Second)
	_, after := tr.value()
	is.Equal(after, before)
	tr.writer.Store(true)
	await := func(text string) string {
		t.Helper()
		for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if value, _ := tr.value(); strings.Contains(value, text) {
				return value
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s is not written", text)
			}
		}
	}
	value := await("10.0.0.1")
	is.True(strings.Contains(value, "10.0.0.9") && strings.Contains(value, "i-1"))
	_, first := tr.value()
	heard := self
	heard.Owner = owner.Claim{ID: "i-2", StartMs: 8, HeardMs: 9}
	elsewhere := heard
	elsewhere.Addr, elsewhere.DataCentre = "10.0.1.1:7380", "dc2"
	tr.members.Store(&[]member.Record{heard, elsewhere})
	time.Sleep(300 * time.Millisecond)
	other := heard
	other.ID, other.Addr = "m.1", "10.0.0.2:7380"
	tr.members.Store(&[]member.Record{heard, elsewhere, other})
	tr.kv.SetFaults(fakekv.Faults{Down: true})
	time.Sleep(time.Second)
	tr.kv.SetFaults(fakekv.Faults{})
	value = await("10.0.0.2")
	is.True(strings.Contains(value, "i-2") && !strings.Contains(value, "10.0.1.1"))
	_, second := tr.value()
	is.Equal(second, first+1)
	rs, err := k.Read(t.Context())
	is.NoErr(err)
	is.Equal(len(rs), 3)
	for _, r := range rs {
		is.NoErr(r.Validate())
		is.Equal(r.Group(), "r")
	}
}
