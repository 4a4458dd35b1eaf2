package member

import (
	"slices"
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
	size, up := t.tally.size, t.tally.up
	if 2*up <= size {
		t.quorumUntil = time.Time{}
		return
	}
	if size == 1 || t.answeredLately(now) {
		t.quorumUntil = now.Add(t.cfg.QuorumTTL)
	}
}

// answeredLately reports whether a member that is up has answered a probe within
// QuorumTTL.
func (t *Table) answeredLately(now time.Time) bool {
	found := false
	for id, at := range t.answers {
		e, known := t.members[id]
		if !known || now.Sub(at) >= t.cfg.QuorumTTL {
			delete(t.answers, id)
			continue
		}
		found = found || e.rec.IsUp()
	}
	return found
}

// addrTally counts the members that count toward the quorum. They are counted by
// address, so that a failed process and its replacement at the same address count
// once.
type addrTally struct{ size, up int }

// initTally counts the address of this node and those in the configuration.
func (t *Table) initTally() {
	t.tally = addrTally{}
	addrs := map[string]bool{t.self.Addr: true}
	for _, a := range t.cfg.QuorumAddrs {
		addrs[a] = true
	}
	for a := range addrs {
		t.tally.add(t.countAddr(a), 1)
	}
}

// add adds c, or subtracts it if sign is -1.
func (a *addrTally) add(c addrTally, sign int) {
	a.size += sign * c.size
	a.up += sign * c.up
}

// updateAddr makes a change of the members at an address and updates the tally.
func (t *Table) updateAddr(addr string, change func()) {
	t.tally.add(t.countAddr(addr), -1)
	change()
	t.tally.add(t.countAddr(addr), 1)
}

// countAddr returns what an address adds to the tally.
func (t *Table) countAddr(addr string) addrTally {
	counts, up, left := addr == t.self.Addr, addr == t.self.Addr, false
	for _, e := range t.byAddr[addr] {
		if e.rec.Left {
			left = true
			continue
		}
		counts = true
		up = up || e.rec.IsUp()
	}
	if !counts && !left {
		counts = slices.Contains(t.cfg.QuorumAddrs, addr)
	}
	var out addrTally
	if counts {
		out.size = 1
	}
	if counts && up {
		out.up = 1
	}
	return out
}
