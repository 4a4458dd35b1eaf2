package fleet

import (
	"context"
	"time"

	"tanagerchute/core/member"
	"tanagerchute/core/owner"
)

// Predecessor returns the record of the latest earlier process at the address of this
// node. Unlike View it knows all that Join has learned.
func (f *Fleet) Predecessor(ctx context.Context) (member.Record, bool) {
	var r member.Record
	var known bool
	if !f.do(ctx, func(time.Time) { r, known = f.table.Predecessor() }) {
		return member.Record{}, false
	}
	return r, known
}

// FormerLeave returns the backend server that announced its leave to an earlier process of this
// node, see member.Table.FormerLeave.
func (f *Fleet) FormerLeave(ctx context.Context) member.ServerID {
	var s member.ServerID
	if !f.do(ctx, func(time.Time) { s = f.table.FormerLeave() }) {
		return member.ServerID{}
	}
	return s
}

// FormerOwner returns the server that the earlier processes of this node have heard last at the
// address of its backend server, see member.Table.FormerOwner.
func (f *Fleet) FormerOwner(ctx context.Context) owner.Claim {
	var c owner.Claim
	if !f.do(ctx, func(time.Time) { c = f.table.FormerOwner() }) {
		return owner.Claim{}
	}
	return c
}

// Expect adds members that an earlier time knew, see member.Table.Expect.
func (f *Fleet) Expect(ctx context.Context, expected []member.Record) {
	f.do(ctx, func(now time.Time) { f.perform(ctx, f.table.Expect(now, expected)) })
}

// HasCounted reports whether it is known how many members there may be, see
// member.Table.HasCounted.
func (f *Fleet) HasCounted(ctx context.Context) bool {
	var counted bool
	return f.do(ctx, func(time.Time) { counted = f.table.HasCounted() }) && counted
}

// SetCounted publishes that this node knows how many members there may be.
func (f *Fleet) SetCounted(ctx context.Context) {
	f.do(ctx, func(now time.Time) { f.perform(ctx, f.table.SetCounted(now)) })
}
