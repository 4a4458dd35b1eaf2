package fakekv

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"tanagerchute/io/etcd"
)

// maxHistoryLen bounds the number of changes kept for watches that start in the
// past.
const maxHistoryLen = 2048

// change is a change of one key.
type change struct {
	revision int64
	event    etcd.WatchEvent
	previous *etcd.KeyValue // the key before the change, nil if it did not exist
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store holds the keys, the leases and the history of changes.
type store struct {
	mu                sync.Mutex
	era               uint64 // rises by one with each restore
	revision          int64
	keys              map[string]etcd.KeyValue
	history           []change
	compactedRevision int64 // newest revision dropped from the history
	leases            map[int64]*lease
	nextLease         int64
	changed           chan struct{} // closed and replaced at each change
}

// Counters of a new store.
const (
	firstRevision = 1
	firstLease    = 1
)

func newStore() *store {
	return &store{
		era:       1,
		revision:  firstRevision,
		keys:      map[string]etcd.KeyValue{},
		leases:    map[int64]*lease{},
		nextLease: firstLease,
		changed:   make(chan struct{}),
	}
}

// inRange reports whether key lies in the range that starts at from. If end is
// empty, the range is the single key from; if end is "\x00", it has no end.
func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && (bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0)
}

func (s *store) list(from, end []byte) ([]etcd.KeyValue, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []etcd.KeyValue
	for k, kv := range s.keys {
		if inRange([]byte(k), from, end) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return bytes.Compare(out[i].Key, out[j].Key) < 0 })
	return out, s.revision
}

// txn runs a transaction. ok reports whether all comparisons hold. leasesExist
// is false if a put names a lease that does not exist; then nothing is written.
func (s *store) txn(req etcd.TxnRequest) (ok, leasesExist bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range req.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, true, s.revision
		}
	}
	for _, op := range req.Success {
		if op.Put != nil && op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil {
			return false, false, s.revision
		}
	}
	if len(req.Success) > 0 {
		s.revision++
	}
	for _, op := range req.Success {
		s.apply(op)
	}
	s.notify()
	return true, true, s.revision
}

func (s *store) apply(op etcd.RequestOp) {
	if op.Put != nil {
		s.put(*op.Put)
	}
	if op.Delete == nil {
		return
	}
	for k := range s.keys {
		if inRange([]byte(k), op.Delete.Key, op.Delete.RangeEnd) {
			s.remove(k)
		}
	}
}

func (s *store) put(p etcd.PutRequest) {
	old, existed := s.keys[string(p.Key)]
	kv := etcd.KeyValue{Key: p.Key, Value: p.Value, Lease: p.Lease, ModRevision: s.revision, CreateRevision: s.revision, Version: 1}
	c := change{revision: s.revision, event: etcd.WatchEvent{KV: kv}}
	if existed {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		c.event.KV = kv
		c.previous = &old
	}
	s.keys[string(p.Key)] = kv
	s.record(c)
}

func (s *store) remove(key string) {
	old := s.keys[key]
	delete(s.keys, key)
	tombstone := etcd.KeyValue{Key: []byte(key), ModRevision: s.revision}
	s.record(change{revision: s.revision, event: etcd.WatchEvent{Type: "DELETE", KV: tombstone}, previous: &old})
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistoryLen {
		s.compactedRevision = s.history[0].revision
		s.history = slices.Clone(s.history[1:])
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the changes in a range with the given revision or a newer
// one, the current revision, a channel that is closed at the next change, and
// the newest revision that was dropped from the history.
func (s *store) changesSince(revision int64, from, end []byte) ([]change, int64, <-chan struct{}, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []change
	for _, c := range s.history {
		if c.revision >= revision && inRange(c.event.KV.Key, from, end) {
			out = append(out, c)
		}
	}
	return out, s.revision, s.changed, s.compactedRevision
}

func (s *store) grant(now time.Time, ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl, now.Add(ttl)}
	return s.nextLease
}

func (s *store) keepAlive(now time.Time, id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.expires = now.Add(l.ttl)
	return l.ttl, true
}

// expire ends the leases that have expired at now, or all leases if all is set.
func (s *store) expire(now time.Time, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if all || now.After(l.expires) {
			s.revokeLocked(id)
		}
	}
}

func (s *store) revokeLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokeLocked(id)
}

// revokeLocked ends a lease and deletes its keys. It must be called with s.mu
// held.
func (s *store) revokeLocked(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, kv := range s.keys {
		if kv.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
	s.notify()
}

// rollback undoes the last n changes of the keys with the given prefix, as a
// restore from an old backup does. The keys get back their earlier values and
// revisions. Watches are sent no events.
func (s *store) rollback(prefix string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i >= 0 && n > 0; i-- {
		c := s.history[i]
		key := string(c.event.KV.Key)
		if !bytes.HasPrefix(c.event.KV.Key, []byte(prefix)) {
			continue
		}
		if c.previous == nil {
			delete(s.keys, key)
		} else {
			s.keys[key] = *c.previous
		}
		s.history = slices.Delete(s.history, i, i+1)
		n--
	}
	s.revision++
	s.notify()
}
