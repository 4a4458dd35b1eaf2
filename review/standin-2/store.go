package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItems bounds the items of one page of a list.
const maxItems = 500

// item is a key with its value, or an event of a watch.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Rev       int64
	Created   int64 `json:",omitempty"`
	Lease     int64 `json:",omitempty"`
	Tombstone bool  `json:",omitempty"`
}

// lease removes its keys when it ends.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// snapshot is the content of the store at a time.
type snapshot struct {
	at    time.Time
	rev   int64
	items map[string]item
}

// store stands in for the platform's metadata store.
type store struct {
	// staleBy is the age of what a read with AllowStale returns.
	staleBy time.Duration

	mu       sync.Mutex
	rev      int64
	items    map[string]item
	leases   map[int64]lease
	nextID   int64
	history  []item
	changed  chan struct{} // closed and replaced at each change
	snaps    []snapshot    // one for each change, oldest first
	busyTill time.Time     // calls get 503 until then
}

func newStore(staleBy time.Duration) *store {
	return &store{staleBy: staleBy, rev: 100, items: map[string]item{}, leases: map[int64]lease{}, nextID: 7000, changed: make(chan struct{})}
}

// serve serves the store at l until the process ends, and ends leases.
func (s *store) serve(l net.Listener) {
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.endLeases(time.Now())
			s.mu.Unlock()
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tanagerchute/kv-key", s.get)
	mux.HandleFunc("GET /tanagerchute/kv-range", s.list)
	mux.HandleFunc("GET /tanagerchute/kv-watch", s.watch)
	mux.HandleFunc("POST /tanagerchute/kv-txn", s.txn)
	mux.HandleFunc("POST /tanagerchute/kv-lease", s.grant)
	mux.HandleFunc("POST /tanagerchute/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /tanagerchute/kv-lease-end/{id}", s.end)
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.busy() {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

func (s *store) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.busyTill)
}

// goDown makes the store answer 503 until a time. Its leases run out meanwhile.
func (s *store) goDown(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyTill = until
	for id, l := range s.leases {
		l.until = time.Now()
		s.leases[id] = l
	}
	s.endLeases(time.Now())
	close(s.changed) // ends the watches that wait
	s.changed = make(chan struct{})
}

// put writes a key as the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, value, 0)
	s.publish()
}

// set writes a key at the present revision. The caller holds mu.
func (s *store) set(key string, value []byte, lease int64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

// remove deletes a key at the present revision. The caller holds mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Tombstone: true})
}

// publish makes a change visible. The caller holds mu.
func (s *store) publish() {
	items := make(map[string]item, len(s.items))
	for k, i := range s.items {
		items[k] = i
	}
	s.snaps = append(s.snaps, snapshot{at: time.Now(), rev: s.rev, items: items})
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLeases removes the keys of the leases that have run out. The caller holds mu.
func (s *store) endLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.until) {
			continue
		}
		delete(s.leases, id)
		s.removeKeysOf(id)
	}
}

// removeKeysOf removes the keys of a lease. The caller holds mu.
func (s *store) removeKeysOf(id int64) {
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		s.remove(k)
	}
	s.publish()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// view returns the content that a read gets. The caller holds mu.
func (s *store) view(r *http.Request) (map[string]item, int64) {
	if r.URL.Query().Get("AllowStale") != "1" || s.staleBy == 0 {
		return s.items, s.rev
	}
	asOf := time.Now().Add(-s.staleBy)
	for n := len(s.snaps) - 1; n >= 0; n-- {
		if !s.snaps[n].at.After(asOf) {
			return s.snaps[n].items, s.snaps[n].rev
		}
	}
	return map[string]item{}, 100
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, rev := s.view(r)
	i, ok := items[r.URL.Query().Get("Key")]
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	reply(w, status, struct {
		item
		At int64
	}{i, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	items, rev := s.view(r)
	page := struct {
		Items   []item `json:"items"`
		HasMore bool
		At      int64
	}{Items: []item{}, At: rev}
	for k, i := range items {
		if strings.HasPrefix(k, q.Get("Prefix")) && k > q.Get("after") {
			page.Items = append(page.Items, i)
		}
	}
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > maxItems {
		page.Items, page.HasMore = page.Items[:maxItems], true
	}
	reply(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
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
		answer := struct {
			Events []item `json:"events"`
			At     int64
		}{events, at}
		if len(events) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
			if s.busy() {
				http.Error(w, "busy", http.StatusServiceUnavailable)
				return
			}
		case <-timeout:
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev == e.Rev {
			continue
		}
		var now []item
		for _, x := range t.Expected {
			if i, ok := s.items[x.Key]; ok {
				now = append(now, i)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Writes {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			http.Error(w, "no such lease", http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range t.Writes {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.publish()
	reply(w, http.StatusOK, map[string]int64{"Rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	ttl := time.Duration(min(max(b.TtlMs, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"Lease": s.nextID, "TtlMs": ttl.Milliseconds()})
}

// leaseOf returns the id of the lease in the path of r, and the lease. The caller holds mu.
func (s *store) leaseOf(r *http.Request) (int64, lease, bool) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l, ok := s.leases[id]
	return id, l, ok
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, l, ok := s.leaseOf(r)
	if !ok {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]int64{"TtlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _, ok := s.leaseOf(r)
	if !ok {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	delete(s.leases, id)
	s.removeKeysOf(id)
	reply(w, http.StatusOK, struct{}{})
}

// keys returns the keys that hold a value, for the record.
func (s *store) keys() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.items))
	for k := range s.items {
		out = append(out, k)
	}
	sort.Strings(out)
	return fmt.Sprint(out)
}
