package keep

import (
	"sync"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/once"
)

// SyncTable is a once.Table that is safe for concurrent use.
type SyncTable struct {
	mu    sync.Mutex
	table *once.Table
}

var _ Table = (*SyncTable)(nil)

// NewSyncTable returns an empty table for a process that starts now.
func NewSyncTable() *SyncTable {
	return &SyncTable{table: once.NewTable(once.DefaultConfig(time.Now()))}
}

// Begin implements Table.
func (r *SyncTable) Begin(c call.Call) (once.Verdict, once.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Begin(time.Now(), once.Key{ID: c.ID, Issued: c.Issued}, c.Attempt)
}

// Wait implements Table.
func (r *SyncTable) Wait(id string, f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.NotifyEnd(id, f)
}

// End implements Table.
func (r *SyncTable) End(c call.Call, reply call.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch reply.Fate {
	case call.Answered:
		r.table.Finish(now, c.ID, once.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	case call.NotRun:
		r.table.Withdraw(c.ID)
	default:
		r.table.MarkLost(now, c.ID, reply.Cause)
	}
}

// Contains reports whether a call is recorded under id.
func (r *SyncTable) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _, ok := r.table.Lookup(id)
	return ok
}

// Inquire returns the verdict on an attempt, with its answer if it has one. An
// attempt that has not started is fenced, so that it never starts.
func (r *SyncTable) Inquire(key once.Key, attempt string) (once.Verdict, once.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Inquire(time.Now(), key, attempt)
}

// InquireKey returns the verdict on a key, with the recorded answer if there is
// one. If nothing is recorded under the key, it is fenced for all attempts.
func (r *SyncTable) InquireKey(key once.Key) (once.Verdict, once.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, a, ok := r.table.Lookup(key.ID); ok {
		return v, a
	}
	if !key.Issued.After(r.table.Floor()) {
		return once.TooOld, once.Answer{}
	}
	r.table.Fence(key)
	return once.Fenced, once.Answer{}
}
