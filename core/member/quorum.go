package member

import (
	"time"
)

// QuorumUntil returns the time until which this node holds a quorum, or the zero
// time if it holds none. Until then it may be the home of an idempotency key, the
// only node that may run the work under the key.
//
// A node holds a quorum if more than half of the members that count toward it
// are up, and one of them has answered a probe within Config.QuorumTTL. All
// members count, dead ones included, except those that left by a planned stop.
// The addresses in Config.QuorumAddrs also count, even if no member was seen
// there. If only the node itself counts, no answer is needed. Two sides of a
// network partition can't both hold a quorum. Events and causes of refusals call
// a quorum "standing".
func (t *Table) QuorumUntil() time.Time { return t.quorumUntil }

func (t *Table) updateQuorum(now time.Time) {
	size, up := t.countQuorum()
	if 2*up <= size {
		t.quorumUntil = time.Time{}
		return
	}
	if size == 1 {
		t.quorumUntil = now.Add(t.cfg.QuorumTTL)
		return
	}
	for _, e := range t.members {
		if e.rec.IsUp() && now.Sub(e.lastAnswer) < t.cfg.QuorumTTL && !e.lastAnswer.IsZero() {
			t.quorumUntil = now.Add(t.cfg.QuorumTTL)
			return
		}
	}
}

// countQuorum returns the number of members that count toward the quorum, and
// how many of them are up. Members are counted by address, so that a failed
// process and its replacement at the same address count once.
func (t *Table) countQuorum() (size, up int) {
	addrs := map[string]bool{t.self.Addr: true}
	left := map[string]bool{}
	for _, e := range t.members {
		if e.rec.Left {
			left[e.rec.Addr] = true
			continue
		}
		addrs[e.rec.Addr] = addrs[e.rec.Addr] || e.rec.IsUp()
	}
	for _, a := range t.cfg.QuorumAddrs {
		if _, known := addrs[a]; !known && !left[a] {
			addrs[a] = false
		}
	}
	for _, isUp := range addrs {
		if isUp {
			up++
		}
	}
	return len(addrs), up
}
