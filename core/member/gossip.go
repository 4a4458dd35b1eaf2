package member

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Neighbours returns the members that this node sends changes to. Changes flood
// the group along these edges, see rank.Overlay.
func (t *Table) Neighbours() []Record {
	var out []Record
	for _, id := range t.overlay.Neighbours(t.self.ID) {
		if e, ok := t.members[id]; ok {
			out = append(out, e.rec)
		}
	}
	return out
}

// flushOutbox sends the queued records to the neighbours. Each neighbour forwards
// the records that are new to it, so that a change floods the group. After a
// broadcast, records are collected for GossipInterval, so that the number of
// messages is bounded when many members change.
func (t *Table) flushOutbox(now time.Time) []Action {
	if len(t.outbox) == 0 || now.Before(t.nextBroadcast) {
		return nil
	}
	targets := t.Neighbours()
	if len(targets) == 0 {
		return nil
	}
	t.nextBroadcast = now.Add(t.cfg.GossipInterval)
	records := slices.SortedFunc(maps.Values(t.outbox), func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	clear(t.outbox)
	return []Action{{Kind: Broadcast, Targets: targets, Records: records}}
}
