package plat

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"tanagerchute/io/etcd"
)

// maxHistory bounds the changes kept for watches that start in the past.
const maxHistory = 2048

// change is a key after or before a revision.
type change struct {
	revision int64
	event    etcd.WatchEvent
	before   *etcd.KeyValue // the key before the change, nil if it did not exist
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// memory is the state of the store.
type memory struct {
	mu        sync.Mutex
	revision  int64
	keys      map[string]etcd.KeyValue
	history   []change
	compacted int64
	leases    map[int64]*lease
	nextLease int64
	changed   chan struct{} // closed and replaced at each change
}

func newMemory() *memory {
	return &memory{
		revision:  1,
		keys:      map[string]etcd.KeyValue{},
		leases:    map[int64]*lease{},
		nextLease: 1,
		changed:   make(chan struct{}),
	}
}

// within reports whether key lies in the range that starts at from. An empty
// end is the single key, and "\x00" is no end.
func within(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && (bytes.Equal(end, []byte{0}) || bytes.Compare(key, end) < 0)
}

func (m *memory) list(from, end []byte) ([]etcd.KeyValue, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []etcd.KeyValue
	for k, kv := range m.keys {
		if within([]byte(k), from, end) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return bytes.Compare(out[i].Key, out[j].Key) < 0 })
	return out, m.revision
}

// txn runs a transaction. known is false if a put names a lease that is gone.
func (m *memory) txn(req etcd.TxnRequest) (ok, known bool, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range req.Compare {
		if m.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false, true, m.revision
		}
	}
	for _, op := range req.Success {
		if op.Put != nil && op.Put.Lease != 0 && m.leases[op.Put.Lease] == nil {
			return false, false, m.revision
		}
	}
	if len(req.Success) > 0 {
		m.revision++
	}
	for _, op := range req.Success {
		m.run(op)
	}
	m.wake()
	return true, true, m.revision
}

func (m *memory) run(op etcd.RequestOp) {
	if op.Put != nil {
		m.put(*op.Put)
	}
	if op.Delete == nil {
		return
	}
	for k := range m.keys {
		if within([]byte(k), op.Delete.Key, op.Delete.RangeEnd) {
			m.remove(k)
		}
	}
}

func (m *memory) put(p etcd.PutRequest) {
	old, existed := m.keys[string(p.Key)]
	kv := etcd.KeyValue{Key: p.Key, Value: p.Value, Lease: p.Lease, ModRevision: m.revision, CreateRevision: m.revision, Version: 1}
	c := change{revision: m.revision, event: etcd.WatchEvent{KV: kv}}
	if existed {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		c.event.KV = kv
		c.before = &old
	}
	m.keys[string(p.Key)] = kv
	m.record(c)
}

func (m *memory) remove(key string) {
	old := m.keys[key]
	delete(m.keys, key)
	gone := etcd.KeyValue{Key: []byte(key), ModRevision: m.revision}
	m.record(change{revision: m.revision, event: etcd.WatchEvent{Type: "DELETE", KV: gone}, before: &old})
}

func (m *memory) record(c change) {
	m.history = append(m.history, c)
	if len(m.history) > maxHistory {
		m.compacted = m.history[0].revision
		m.history = slices.Clone(m.history[1:])
	}
}

func (m *memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// since returns the changes in a range from revision on, the channel that is
// closed at the next change, and the revision up to which changes are gone.
func (m *memory) since(revision int64, from, end []byte) ([]change, int64, <-chan struct{}, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []change
	for _, c := range m.history {
		if c.revision >= revision && within(c.event.KV.Key, from, end) {
			out = append(out, c)
		}
	}
	return out, m.revision, m.changed, m.compacted
}

func (m *memory) grant(now time.Time, ttl time.Duration) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLease++
	m.leases[m.nextLease] = &lease{ttl, now.Add(ttl)}
	return m.nextLease
}

func (m *memory) keepAlive(now time.Time, id int64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return 0, false
	}
	l.end = now.Add(l.ttl)
	return l.ttl, true
}

// expire ends the leases whose time is up, or all of them.
func (m *memory) expire(now time.Time, all bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.leases {
		if all || now.After(l.end) {
			m.revoke(id)
		}
	}
}

func (m *memory) revokeLease(id int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revoke(id)
}

func (m *memory) revoke(id int64) {
	delete(m.leases, id)
	var gone []string
	for k, kv := range m.keys {
		if kv.Lease == id {
			gone = append(gone, k)
		}
	}
	if len(gone) == 0 {
		return
	}
	m.revision++
	for _, k := range gone {
		m.remove(k)
	}
	m.wake()
}

// rollback undoes the last n changes of keys with a prefix, as a restore from
// an old backup does. Revisions go back with them.
func (m *memory) rollback(prefix string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.history) - 1; i >= 0 && n > 0; i-- {
		c := m.history[i]
		key := string(c.event.KV.Key)
		if !bytes.HasPrefix(c.event.KV.Key, []byte(prefix)) {
			continue
		}
		if c.before == nil {
			delete(m.keys, key)
		} else {
			m.keys[key] = *c.before
		}
		m.history = slices.Delete(m.history, i, i+1)
		n--
	}
	m.revision++
	m.wake()
}
