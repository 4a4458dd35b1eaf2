package member

import (
	"fmt"
	"slices"
	"time"
)

// Merge applies records received from a peer and returns the resulting actions.
func (t *Table) Merge(now time.Time, records []Record) []Action {
	acts := t.mergeAll(now, records)
	return append(acts, t.flushOutbox(now)...)
}

// mergeAll applies records without sending the changes.
func (t *Table) mergeAll(now time.Time, records []Record) []Action {
	var acts []Action
	for _, r := range records {
		acts = append(acts, t.mergeRecord(now, r)...)
	}
	return acts
}

func (t *Table) mergeRecord(now time.Time, r Record) []Action {
	if r.Validate() != nil || r.Group() != t.self.Group() {
		return nil
	}
	if r.ID == t.self.ID {
		t.refute(now, r)
		return nil
	}
	if r.Addr == t.self.Addr && r.Addr != "" && r.IsUp() {
		// An earlier process: the address is this node's own now.
		r = r.WithState(Dead, t.self.ID)
	}
	e, known := t.members[r.ID]
	if !known {
		return t.addMember(now, r)
	}
	if r.State == Suspect && e.rec.State == Suspect && r.Incarnation == e.rec.Incarnation {
		return t.confirmSuspicion(now, e, r)
	}
	if !r.overrides(e.rec) {
		return nil
	}
	old := e.rec
	t.setRecord(now, e, r, changeCause(old, r))
	if r.State == Suspect {
		return t.startSuspicion(now, e, r.Accuser)
	}
	return nil
}

func changeCause(old, r Record) string {
	switch {
	case r.State == Suspect:
		return "suspected by " + r.Accuser
	case r.State == Dead && r.Left:
		return "stopped as planned"
	case r.State == Dead:
		return "declared dead by " + r.Accuser
	case r.State == Leaving:
		return "announced its stop"
	case old.State == Suspect || old.State == Dead:
		return fmt.Sprintf("refuted with incarnation %d", r.Incarnation)
	}
	return "announced a change"
}

// refute handles a record about this node that would override its own record.
// It raises the node's incarnation above that of r, so that the node's own
// record prevails. If r claims that this node is suspect or dead, the fault may
// lie with this node, so its local health score gets worse.
func (t *Table) refute(now time.Time, r Record) {
	if !r.overrides(t.self) {
		return
	}
	old := t.self
	t.setSelf(t.self.WithIncarnation(r.Incarnation + 1))
	if r.State == Suspect || r.State == Dead {
		t.localHealth = min(t.localHealth+1, maxLocalHealth)
		t.notify(Change{At: now, Old: old, New: t.self, Cause: fmt.Sprintf("refuted %s claimed by %s", r.State, r.Accuser)})
	}
}

func (t *Table) addMember(now time.Time, r Record) []Action {
	if t.isSuperseded(r, now.Add(-t.cfg.ForgetLeft/2)) || len(t.members) >= maxMembers && !t.makeRoom(now, r) {
		return nil
	}
	t.supersede(now, r)
	e := &memberState{added: now, nextProbe: now.Add(t.cfg.ProbeEvery)}
	at, _ := t.find(r.ID)
	t.order = slices.Insert(t.order, at, e)
	t.members[r.ID] = e
	t.setRecord(now, e, r, "joined")
	if r.State == Suspect {
		return t.startSuspicion(now, e, r.Accuser)
	}
	return nil
}

// isSuperseded reports whether r is of a dead process that a later one, known since before the
// given time, has replaced at its address, and that nothing depends on any more: it was not
// the home of a key, and names no backend server that left. Such a record is forgotten, and
// not added again when a peer has not forgotten it yet.
func (t *Table) isSuperseded(r Record, before time.Time) bool {
	if r.State != Dead || r.wasHome() || r.LeftServer.ID != "" {
		return false
	}
	if r.Addr == t.self.Addr && r.StartMs < t.self.StartMs {
		return !t.firstTick.IsZero() && t.firstTick.Before(before)
	}
	return slices.ContainsFunc(t.byAddr[r.Addr], func(e *memberState) bool {
		return e.rec.StartMs > r.StartMs && e.added.Before(before)
	})
}

// makeRoom forgets the member that has been dead for longest, so that r, which is up, can be
// added to a full table. It returns false if there is none but former homes of keys, which are
// asked about, or taken into account, for as long as they are remembered.
func (t *Table) makeRoom(now time.Time, r Record) bool {
	var oldest *memberState
	for _, e := range t.dead {
		if !e.rec.wasHome() && (oldest == nil || e.changed.Before(oldest.changed)) {
			oldest = e
		}
	}
	if oldest == nil || !r.IsUp() {
		return false
	}
	t.notify(Change{At: now, Old: oldest.rec, New: oldest.rec, Cause: "forgotten, since the table is full and " + r.ID + " is up"})
	t.forget(oldest)
	return true
}

// supersede declares an earlier process at the address of r dead. Member ids
// are unique to a process, so a restarted node is a new member.
func (t *Table) supersede(now time.Time, r Record) {
	for _, e := range slices.Clone(t.byAddr[r.Addr]) { // setRecord changes the slice
		if e.rec.IsUp() && r.IsUp() && e.rec.StartMs < r.StartMs {
			t.setRecord(now, e, e.rec.WithState(Dead, t.self.ID), "superseded by "+r.ID+" at its address")
		}
	}
}

// setRecord replaces the record in e, queues it for the neighbours, updates the
// state derived from it and reports the change.
func (t *Table) setRecord(now time.Time, e *memberState, r Record, cause string) {
	old := e.rec
	if old.ID != "" {
		t.removeFromIndexes(e)
	}
	t.updateAddr(r.Addr, func() {
		e.rec = r
		t.byAddr[r.Addr] = append(t.byAddr[r.Addr], e)
	})
	t.toggleDigest(r)
	e.changed = now
	if r.State != Suspect {
		e.confirmers = nil
		e.suspicionDeadline = time.Time{}
	}
	switch r.State {
	case Suspect:
		t.suspects[r.ID] = e
	case Dead:
		t.dead[r.ID] = e
	}
	wasUp := old.ID != "" && old.IsUp()
	switch {
	case r.IsUp() && !wasUp:
		t.layout = t.layout.With(r.ID)
		t.overlay.Add(r.ID)
	case wasUp && !r.IsUp():
		t.layout = t.layout.Without(r.ID)
		t.overlay.Remove(r.ID)
	}
	t.outbox[r.ID] = r
	t.notify(Change{At: now, Old: old, New: r, Cause: cause})
}

// removeFromIndexes removes e from the state that is derived from its record.
func (t *Table) removeFromIndexes(e *memberState) {
	t.toggleDigest(e.rec)
	delete(t.suspects, e.rec.ID)
	delete(t.dead, e.rec.ID)
	addr := e.rec.Addr
	t.updateAddr(addr, func() {
		t.byAddr[addr] = slices.DeleteFunc(t.byAddr[addr], func(x *memberState) bool { return x == e })
	})
	if len(t.byAddr[addr]) == 0 {
		delete(t.byAddr, addr)
	}
}

func (t *Table) notify(c Change) {
	if t.cfg.NotifyChange != nil {
		t.cfg.NotifyChange(c)
	}
}
