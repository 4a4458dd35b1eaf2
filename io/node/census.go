package node

import (
	"context"
	"fmt"
	"time"

	"tanagerchute/core/event"
	"tanagerchute/core/member"
	"tanagerchute/io/census"
	"tanagerchute/io/ledger"
	"tanagerchute/io/timer"
)

// newCensus returns the keeper of the census of the nodes.
func (n *Node) newCensus(self member.Record) *census.Keeper {
	s := n.cfg.Settings
	return census.New(census.Config{
		Store: n.cfg.Store, Prefix: ledger.Prefix(s.Deployment) + "census/", Self: self, FirstStart: s.FirstStart, Journal: n.journal,
		Members:   func() []member.Record { return n.fleet.View().Members },
		IsWriter:  func() bool { return n.fleet.View().ReaderRank(1) == 0 },
		OnLearned: n.learnStoredOwner,
		Wanted:    func() bool { return !n.gate.InUse() },
	})
}

// countPause is the pause between attempts to learn how many members there may be.
const countPause = 200 * time.Millisecond

// joinQuotas lets this node keep quotas of client accounts. A node that has just started may not
// have met the others yet; it takes no part of a quota before it knows how many there may be.
func (n *Node) joinQuotas(ctx context.Context) {
	if n.quotas == nil {
		return
	}
	for began := time.Now(); !n.countMembers(ctx, began); {
		if !timer.Sleep(ctx, countPause) {
			return
		}
	}
	n.fleet.SetCounted(ctx)
	n.quotas.Join()
}

// countMembers reports whether it is known how many members there may be: from a member, or
// from the store.
func (n *Node) countMembers(ctx context.Context, began time.Time) bool {
	if n.fleet.HasCounted(ctx) {
		return true
	}
	expected, err := n.census.Read(ctx)
	if err != nil {
		return false
	}
	n.fleet.Expect(ctx, expected)
	n.fleet.PublishView(ctx) // the quotas follow it
	n.recordEvent(event.MembersCounted, fmt.Sprintf("%d addresses in the store, %v after a version came into force",
		len(expected), time.Since(began).Round(time.Millisecond)))
	return true
}
