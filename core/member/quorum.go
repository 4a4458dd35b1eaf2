package member

import (
	"time"
)

// Standing returns the time until which this node may act as the only home of
// a request key. It is the zero time if it may not.
//
// A node is in standing while it sees more than half of the roster up and has
// had an answer from one of them lately. The roster are all members that have
// not left by their own will, dead ones included. Two parts of a data centre
// that can't see each other can't both hold more than half of it.
func (t *Table) QuorumUntil() time.Time { return t.quorumUntil }

func (t *Table) updateQuorum(now time.Time) {
	size, up := t.size()
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

// roster counts the members that count for a majority, and those up of them.
// Members are told apart by address, so that an instance that failed and was
// replaced in the same slot counts once.
func (t *Table) size() (size, up int) {
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
