package owners_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute"
	"tanagerchute/core/event"
	"tanagerchute/core/owner"
	"tanagerchute/io/owners"
)

const key = "p/owners/n/server"

// fakeStore is a store with one value at each key, whose first calls fail.
type fakeStore struct {
	tanagerchute.Store // no other method is called

	mu     sync.Mutex
	values map[string]string
	failing,
	writes int
}

// List implements tanagerchute.Store.
func (s *fakeStore) List(_ context.Context, prefix string, _ tanagerchute.Consistency) ([]tanagerchute.KV, tanagerchute.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing > 0 {
		s.failing--
		return nil, tanagerchute.Revision{}, tanagerchute.ErrUnavailable
	}
	var kvs []tanagerchute.KV
	for k, v := range s.values {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, tanagerchute.KV{Key: k, Value: []byte(v)})
		}
	}
	return kvs, tanagerchute.Revision{}, nil
}

// Commit implements tanagerchute.Store.
func (s *fakeStore) Commit(_ context.Context, t tanagerchute.Txn) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.failing > 0 {
		s.failing--
		return false, tanagerchute.ErrUnavailable
	}
	for _, p := range t.Puts {
		s.values[p.Key] = string(p.Value)
	}
	return true, nil
}

func (s *fakeStore) state() (value string, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], s.writes
}

// run starts a keeper and returns it, with what it learns.
func run(t *testing.T, s *fakeStore) (*owners.Keeper, chan owner.Claim) {
	learned := make(chan owner.Claim, 2)
	k := owners.New(owners.Config{
		Store: s, Key: key, Service: "a", Journal: event.NewJournal(event.Config{Capacity: 16}),
		OnLearned: func(c owner.Claim) { learned <- c }, Wanted: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return k, learned
}

const stored = `{"service":"a","id":"i-1","start_ms":5,"heard_ms":7}`

// TestLearn checks what a started node takes from the store: the record of its own service,
// also if the store does not answer at first.
func TestLearn(t *testing.T) {
	for _, c := range []struct {
		name    string
		values  map[string]string
		failing int
		want    owner.Claim
	}{
		{"own record", map[string]string{key: stored}, 0, owner.Claim{ID: "i-1", StartMs: 5, HeardMs: 7}},
		{"the store is away at first", map[string]string{key: stored}, 3, owner.Claim{ID: "i-1", StartMs: 5, HeardMs: 7}},
		{"of another service", map[string]string{key: strings.Replace(stored, `"a"`, `"b"`, 1)}, 0, owner.Claim{}},
		{"unreadable", map[string]string{key: "{"}, 0, owner.Claim{}},
		{"below the key", map[string]string{key + "/x": stored}, 0, owner.Claim{}},
		{"none", nil, 0, owner.Claim{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k, learned := run(t, &fakeStore{values: c.values, failing: c.failing})
			is.Equal(<-learned, c.want)
			is.True(!k.Pending())
		})
	}
}

// TestSave checks that each server costs one write, that one which the store has costs none,
// and that a write which fails is made again.
func TestSave(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{values: map[string]string{key: stored}}
	k, learned := run(t, s)
	<-learned
	await := func(id string) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			if value, _ := s.state(); strings.Contains(value, id) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s is not saved", id)
			}
		}
	}
	k.Save(owner.Claim{ID: "i-1", StartMs: 5, HeardMs: 90})
	time.Sleep(50 * time.Millisecond)
	_, writes := s.state()
	is.Equal(writes, 0)
	k.Save(owner.Claim{ID: "i-2", StartMs: 8, HeardMs: 91})
	await(`"i-2"`)
	k.Save(owner.Claim{ID: "i-2", StartMs: 8, HeardMs: 91})
	s.mu.Lock()
	s.failing = 2
	s.mu.Unlock()
	k.Save(owner.Claim{ID: "i-3", StartMs: 9, Foreign: true, HeardMs: 92})
	await(`"foreign":true`)
	_, writes = s.state()
	is.Equal(writes, 4)
}
