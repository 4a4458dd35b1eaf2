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
func (t *Table) Standing() time.Time { return t.standing }

func (t *Table) updateStanding(now time.Time) {
	roster, up := t.roster()
	if 2*up <= roster {
		t.standing = time.Time{}
		return
	}
	if roster == 1 {
		t.standing = now.Add(t.cfg.StandingFor)
		return
	}
	for _, e := range t.members {
		if e.rec.Up() && now.Sub(e.heard) < t.cfg.StandingFor && !e.heard.IsZero() {
			t.standing = now.Add(t.cfg.StandingFor)
			return
		}
	}
}

// roster counts the members that count for a majority, and those up of them.
// Members are told apart by address, so that an instance that failed and was
// replaced in the same slot counts once.
func (t *Table) roster() (roster, up int) {
	slots := map[string]bool{t.self.Addr: true}
	left := map[string]bool{}
	for _, e := range t.members {
		if e.rec.Left {
			left[e.rec.Addr] = true
			continue
		}
		slots[e.rec.Addr] = slots[e.rec.Addr] || e.rec.Up()
	}
	for _, a := range t.cfg.Roster {
		if _, known := slots[a]; !known && !left[a] {
			slots[a] = false
		}
	}
	for _, isUp := range slots {
		if isUp {
			up++
		}
	}
	return len(slots), up
}
