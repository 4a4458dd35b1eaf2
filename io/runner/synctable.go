package runner

import (
	"sync"
	"time"

	"tanagerchute/core/call"
	"tanagerchute/core/dedup"
)

// SyncTable is a dedup.Table that is safe for concurrent use.
type SyncTable struct {
	mu    sync.Mutex
	table *dedup.Table
}

var _ Table = (*SyncTable)(nil)

// NewSyncTable returns an empty table for a process that starts now.
func NewSyncTable() *SyncTable {
	return &SyncTable{table: dedup.NewTable(dedup.DefaultConfig(time.Now()))}
}

// Begin implements Table.
func (t *SyncTable) Begin(c call.Call) (dedup.Verdict, dedup.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Begin(time.Now(), dedup.Key{ID: c.ID, Issued: c.Issued}, c.Attempt)
}

// Wait implements Table.
func (t *SyncTable) Wait(id string, f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.NotifyEnd(id, f)
}

// End implements Table.
func (t *SyncTable) End(c call.Call, reply call.Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch reply.Fate {
	case call.Answered:
		t.table.Finish(now, c.ID, dedup.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	case call.NotRun:
		t.table.Withdraw(c.ID)
	default:
		t.table.MarkLost(now, c.ID, reply.Cause)
	}
}

// Contains reports whether a call is recorded under id.
func (t *SyncTable) Contains(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _, ok := t.table.Lookup(id)
	return ok
}

// Inquire returns the verdict on an attempt, with its answer if it has one. An
// attempt that has not started is fenced, so that it never starts.
func (t *SyncTable) Inquire(q dedup.Inquiry) (dedup.Verdict, dedup.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Inquire(time.Now(), q)
}

// InquireKey returns the verdict on a key, with the recorded answer if there is
// one. If nothing is recorded under the key, it is fenced for all attempts, or
// the verdict is TooOld if the key was issued at or before the floor of the table,
// see package dedup.
func (t *SyncTable) InquireKey(key dedup.Key) (dedup.Verdict, dedup.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, a, ok := t.table.Lookup(key.ID); ok {
		return v, a
	}
	if !key.Issued.After(t.table.Floor()) {
		return dedup.TooOld, dedup.Answer{}
	}
	t.table.Fence(key)
	return dedup.Fenced, dedup.Answer{}
}
