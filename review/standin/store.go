package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWatchWait = 30 * time.Second
)

// storeItem is one key of the store.
type storeItem struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Rev     int64  `json:"Rev"`
	Created int64  `json:"Created"`
	Lease   int64  `json:"Lease"`
}

// storeEvent is one change of the store.
type storeEvent struct {
	item    storeItem
	deleted bool
}

// MarshalJSON implements json.Marshaler.
func (e storeEvent) MarshalJSON() ([]byte, error) {
	if !e.deleted {
		return json.Marshal(e.item)
	}
	return json.Marshal(map[string]any{"Key": e.item.Key, "Rev": e.item.Rev, "Tombstone": true})
}

// storeLease is a lease with its end.
type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's store that keeps everything in memory. It
// implements http.Handler.
type store struct {
	mu        sync.Mutex
	rev       int64
	era       int64
	items     map[string]storeItem
	events    []storeEvent
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{} // closed and replaced at each change
	mux       *http.ServeMux
}

func newStore() *store {
	s := &store{rev: 1, era: 1, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /tanagerchute/kv-key", s.handleKey)
	s.mux.HandleFunc("GET /tanagerchute/kv-range", s.handleRange)
	s.mux.HandleFunc("GET /tanagerchute/kv-watch", s.handleWatch)
	s.mux.HandleFunc("POST /tanagerchute/kv-txn", s.handleTxn)
	s.mux.HandleFunc("POST /tanagerchute/kv-lease", s.handleLease)
	s.mux.HandleFunc("POST /tanagerchute/kv-keep/{id}", s.handleKeep)
	s.mux.HandleFunc("DELETE /tanagerchute/kv-lease-end/{id}", s.handleLeaseEnd)
	go s.expireLeases()
	return s
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	s.mux.ServeHTTP(w, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a key. The caller holds mu and has raised rev.
func (s *store) put(key string, value []byte, lease int64) {
	i := storeItem{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, storeEvent{item: i})
}

// remove deletes a key. The caller holds mu and has raised rev.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, storeEvent{item: storeItem{Key: key, Rev: s.rev}, deleted: true})
}

// notify wakes the watches. The caller holds mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// operatorPut writes a key as the operator does, and returns when it is acknowledged.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
	s.notify()
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	at := s.rev
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"At": at})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		storeItem
		At int64 `json:"At"`
	}{i, at})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []storeItem
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("after") {
			out = append(out, i)
		}
	}
	at := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	n, size := 0, 0
	for n < len(out) && n < maxPageItems && (n == 0 || size+len(out[n].Value) <= maxPageBytes) {
		size += len(out[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": append([]storeItem{}, out[:n]...), "HasMore": n < len(out), "At": at})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	end := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.item.Rev > after && strings.HasPrefix(e.item.Key, q.Get("Prefix")) {
				events = append(events, e)
			}
		}
		at, changed, gone := s.rev, s.changed, after > s.rev
		s.mu.Unlock()
		if gone {
			writeJSON(w, http.StatusGone, map[string]any{"At": at})
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Expected []struct {
		Key string
		Rev int64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease int64
	}
	Deletes []string
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Writes {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			writeJSON(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			writeJSON(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, c := range t.Expected {
		if s.items[c.Key].Rev != c.Rev {
			items := []storeItem{}
			for _, c := range t.Expected {
				if i, ok := s.items[c.Key]; ok {
					items = append(items, i)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	s.rev++
	for _, p := range t.Writes {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"Rev": s.rev})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var b struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	ttl := max(time.Duration(b.TtlMs)*time.Millisecond, time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"Lease": s.nextLease, "TtlMs": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// endLease removes a lease with its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

// expireLeases ends the leases that were not renewed.
func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
