package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store. It keeps all revisions, and is linearizable.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]time.Time // end of each lease
	nextID  int64
	changed chan struct{}
}

// item is a key with its value, or an event of a watch.
type item struct {
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Rev       int64  `json:"Rev"`
	Created   int64  `json:"Created,omitempty"`
	Lease     int64  `json:"Lease,omitempty"`
	Tombstone bool   `json:"Tombstone,omitempty"`
	At        int64  `json:"At,omitempty"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, items: map[string]item{}, leases: map[int64]time.Time{}, changed: make(chan struct{})}
}

// Put writes a key as the operator does, and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
	return s.rev
}

// put writes a key at the present revision. The caller holds mu.
func (s *Store) put(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove deletes a key at the present revision. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
}

// notify wakes up the watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of the leases that have ended. The caller holds mu.
func (s *Store) expire() {
	now := time.Now()
	for id, end := range s.leases {
		if now.Before(end) {
			continue
		}
		delete(s.leases, id)
		s.endLease(id)
	}
}

// endLease removes the keys of a lease. The caller holds mu.
func (s *Store) endLease(id int64) {
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
			s.notify()
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/tanagerchute/")
	switch {
	case path == "kv-key":
		s.serveKey(w, r)
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the node has disconnected
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("Key")]
	i.At = s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"At": i.At})
		return
	}
	reply(w, http.StatusOK, i)
}

// maxPage is the number of items on a page.
const maxPage = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.expire()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
			found = append(found, i)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > maxPage
	if more {
		found = found[:maxPage]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "HasMore": more, "At": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // 0 if it is malformed
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Expected []item   `json:"Expected"`
	Writes   []item   `json:"Writes"`
	Deletes  []string `json:"Deletes"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := []item{}
	met := true
	for _, e := range t.Expected {
		met = met && s.items[e.Key].Rev == e.Rev
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	if !met {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, i := range t.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]int64{"Rev": s.rev})
}

// grant is the request and the answer of a call that grants a lease.
type grant struct {
	Lease int64 `json:"Lease,omitempty"`
	TTLMs int64 `json:"TtlMs"`
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var g grant
	if json.NewDecoder(r.Body).Decode(&g) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextID++
	g.Lease = s.nextID<<32 | g.TTLMs
	s.leases[g.Lease] = time.Now().Add(time.Duration(g.TTLMs) * time.Millisecond)
	s.mu.Unlock()
	reply(w, http.StatusOK, g)
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64) // no lease has the id 0
	s.mu.Lock()
	s.expire()
	_, ok := s.leases[n]
	ttl := n & 0xffffffff
	if ok {
		s.leases[n] = time.Now().Add(time.Duration(ttl) * time.Millisecond)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, grant{TTLMs: ttl})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, id string) {
	n, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[n]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(s.leases, n)
	s.endLease(n)
	reply(w, http.StatusOK, struct{}{})
}
