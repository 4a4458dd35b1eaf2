package keep

import (
	"sync"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/once"
)

// Records is a once.Table that is safe for concurrent use.
type SyncTable struct {
	mu    sync.Mutex
	table *once.Table
}

var _ Table = (*SyncTable)(nil)

// NewRecords returns empty records of a process that starts now.
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

// Known reports whether anything is recorded under id.
func (r *SyncTable) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _, ok := r.table.Lookup(id)
	return ok
}

// Inquire answers what became of an attempt, and fences it if it has not
// begun.
func (r *SyncTable) Inquire(key once.Key, attempt string) (once.Verdict, once.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Inquire(time.Now(), key, attempt)
}

// HandOver answers what is recorded under a key, and fences the key under all
// attempts if nothing is.
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
