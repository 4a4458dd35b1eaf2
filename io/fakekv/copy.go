package fakekv

import (
	"maps"
	"time"

	"tanagerchute/io/etcd"
)

// snapshot is a copy of the contents of a store.
type snapshot struct {
	revision  int64
	keys      map[string]etcd.KeyValue
	leaseTTLs map[int64]time.Duration // by the id of the lease
	nextLease int64
}

// snapshot returns a copy of the contents of s, without the history.
func (s *store) snapshot() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{revision: s.revision, keys: maps.Clone(s.keys), leaseTTLs: map[int64]time.Duration{}, nextLease: s.nextLease}
	for id, l := range s.leases {
		c.leaseTTLs[id] = l.ttl
	}
	return c
}

// restore replaces the contents of s by those of c and starts the next era. The
// counters of revisions and leases continue from c, so that their later values are
// given out again. The history is empty. The leases of c run anew from now.
func (s *store) restore(c snapshot, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.nextLease = c.revision, c.nextLease
	s.keys = maps.Clone(c.keys)
	s.history, s.compactedRevision = nil, c.revision
	s.leases = map[int64]*lease{}
	for id, ttl := range c.leaseTTLs {
		s.leases[id] = &lease{ttl, now.Add(ttl)}
	}
	s.notify()
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Era returns the present era. It begins with 1 and rises by one with each
// RestoreCopy.
func (s *Server) Era() uint64 { return s.store.currentEra() }

// TakeCopy copies the contents of the store for RestoreCopy, in place of an earlier
// copy.
func (s *Server) TakeCopy() {
	c := s.store.snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &c
}

// RestoreCopy restarts the store with the contents of the last copy, or empty if
// there is none. It ends the open watches and the calls in progress without an
// answer, and closes the connection of each call that arrives while the store is
// away.
func (s *Server) RestoreCopy(away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{revision: firstRevision, keys: map[string]etcd.KeyValue{}, nextLease: firstLease}
	if s.copied != nil {
		c = *s.copied
	}
	now := time.Now()
	s.awayUntil = now.Add(away)
	s.store.restore(c, now)
	s.cutWatches()
}

// isAway reports whether the store is away after RestoreCopy.
func (s *Server) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.awayUntil)
}
