package member

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// startSuspicion sets the deadline of a new suspicion of e. If this node
// observes e and isn't the accuser, it probes e at once, to confirm the
// suspicion or to give e a chance to refute it.
func (t *Table) startSuspicion(now time.Time, e *memberState, accuser string) []Action {
	e.confirmers = map[string]bool{accuser: true}
	e.suspicionDeadline = t.computeSuspicionDeadline(now, e)
	if accuser == t.self.ID || !slices.Contains(t.Layout().Observers(e.rec.ID), t.self.ID) {
		return nil
	}
	return t.probe(now, e)
}

// confirmSuspicion counts the accuser of r as a further confirmer of the
// suspicion of e, which can shorten the time left to refute it.
func (t *Table) confirmSuspicion(now time.Time, e *memberState, r Record) []Action {
	if e.confirmers[r.Accuser] || len(e.confirmers) >= t.cfg.Observers {
		return nil
	}
	if e.confirmers == nil {
		e.confirmers = map[string]bool{}
	}
	e.confirmers[r.Accuser] = true
	t.outbox[r.ID] = r
	if end := t.computeSuspicionDeadline(now, e); end.Before(e.suspicionDeadline) {
		e.suspicionDeadline = end
	}
	return nil
}

// computeSuspicionDeadline returns when e is declared dead if it doesn't refute
// the suspicion, given the confirmers so far. Two confirmers shorten the time
// to SuspicionMin, or one if there is only one possible observer. A node of bad
// local health waits longer.
func (t *Table) computeSuspicionDeadline(now time.Time, e *memberState) time.Time {
	observers := min(t.cfg.Observers, max(t.layout.Len()-2, 1))
	d := t.cfg.SuspicionMax
	if len(e.confirmers) >= min(observers, 2) {
		d = t.cfg.SuspicionMin
	}
	return now.Add(d + time.Duration(t.localHealth)*t.cfg.SuspicionMin/2)
}

// Tick starts the probes that are due at now, declares members dead whose
// suspicion timed out, and returns the resulting actions.
func (t *Table) Tick(now time.Time) []Action {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.cfg.PauseGap {
		t.resumeAfterPause(now)
	}
	t.lastTick = now
	if t.firstTick.IsZero() {
		t.firstTick = now
	}
	var acts []Action
	for _, id := range t.Layout().Subjects(t.self.ID) {
		e, ok := t.members[id]
		if ok && !e.probing && !now.Before(e.nextProbe) {
			acts = append(acts, t.probe(now, e)...)
		}
	}
	t.expire(now)
	t.updateQuorum(now)
	acts = append(acts, t.reconnectDead(now)...)
	return append(acts, t.flushOutbox(now)...)
}

// reconnectDead exchanges tables with some of the members recorded as dead, in
// rotation. A member that is running after all refutes its death. If a new
// process has started at the address of a stopped one, it is discovered. A dead
// member is contacted only by those that would observe it.
func (t *Table) reconnectDead(now time.Time) []Action {
	if now.Before(t.nextReconnect) {
		return nil
	}
	t.nextReconnect = now.Add(reconnectInterval)
	var dead []Record
	for _, e := range t.dead {
		if t.shouldReconnect(now, e) {
			dead = append(dead, e.rec)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.SortFunc(dead, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	var acts []Action
	for range min(reconnectBatch, len(dead)) {
		t.reconnectIndex++
		acts = append(acts, Action{Kind: Sync, Targets: []Record{dead[t.reconnectIndex%len(dead)]}})
	}
	return acts
}

// shouldReconnect reports whether this node contacts the address of a dead member.
func (t *Table) shouldReconnect(now time.Time, e *memberState) bool {
	if e.rec.Left && now.Sub(e.changed) >= reconnectLeftFor {
		return false
	}
	if !slices.Contains(t.layout.Observers(e.rec.ID), t.self.ID) {
		return false
	}
	replaced := slices.ContainsFunc(t.byAddr[e.rec.Addr], func(x *memberState) bool { return x.rec.IsUp() })
	return !replaced
}

// resumeAfterPause extends all suspicions by the length of a pause of this
// process, gives up the quorum and makes all probes due. The missing answers
// during the pause say nothing about the other members. The pause also worsens
// the local health score.
func (t *Table) resumeAfterPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.quorumUntil = time.Time{}
	t.localHealth = min(t.localHealth+1, maxLocalHealth)
	for _, e := range t.members {
		if !e.suspicionDeadline.IsZero() {
			e.suspicionDeadline = e.suspicionDeadline.Add(gap)
		}
		e.nextProbe = now
	}
	t.notify(Change{At: now, Old: t.self, New: t.self, Cause: fmt.Sprintf("process was paused: no tick for %v", gap.Round(time.Millisecond))})
}

func (t *Table) probe(now time.Time, e *memberState) []Action {
	if e.probing || !e.rec.IsUp() {
		return nil
	}
	e.probing = true
	e.nextProbe = now.Add(t.cfg.ProbeEvery)
	return []Action{{Kind: Probe, Targets: []Record{e.rec}, Relays: t.pickRelays(e.rec.ID)}}
}

// pickRelays chooses random alive members that probe target for this node.
func (t *Table) pickRelays(target string) []Record {
	var out []Record
	for range min(t.cfg.Relays, len(t.order)) {
		start := 0
		if t.cfg.Rand != nil {
			start = t.cfg.Rand.IntN(len(t.order))
		}
		for i := range t.order {
			r := t.order[(start+i)%len(t.order)].rec
			chosen := slices.ContainsFunc(out, func(o Record) bool { return o.ID == r.ID })
			if r.ID != target && r.State == Alive && !chosen {
				out = append(out, r)
				break
			}
		}
	}
	return out
}

// expire declares members dead whose suspicion timed out, and removes old
// records of dead members.
func (t *Table) expire(now time.Time) {
	for _, e := range t.suspects {
		if !e.suspicionDeadline.IsZero() && !now.Before(e.suspicionDeadline) {
			cause := fmt.Sprintf("suspicion was not refuted, %d members confirmed it", len(e.confirmers))
			t.setRecord(now, e, e.rec.WithState(Dead, t.self.ID), cause)
		}
	}
	for _, e := range t.dead {
		age := now.Sub(e.changed)
		if (e.rec.Left || t.isSuperseded(e.rec, now)) && age > t.cfg.ForgetLeft || age > t.cfg.ForgetDead {
			t.forget(e)
		}
	}
}

// forget removes the record of a dead member.
func (t *Table) forget(e *memberState) {
	t.removeFromIndexes(e)
	delete(t.members, e.rec.ID)
	if at, ok := t.find(e.rec.ID); ok {
		t.order = slices.Delete(t.order, at, at+1)
	}
}

// minSyncInterval is the shortest time between two exchanges of tables because of
// digests that differ.
const minSyncInterval = time.Second

// ProbeAnswered handles the answer to a probe of member id. It carries records
// and the digest of that member's table.
func (t *Table) ProbeAnswered(now time.Time, id string, records []Record, digest uint64) []Action {
	e, ok := t.members[id]
	if !ok {
		return t.Merge(now, records)
	}
	e.probing = false
	t.answers[id] = now
	t.localHealth = max(t.localHealth-1, 0)
	acts := t.Merge(now, records)
	if digest == t.Digest() {
		e.digestMismatches = 0
		return acts
	}
	// Tables differ briefly while gossip is in flight. They are compared only if
	// two consecutive digests differ, and not often while many members change.
	e.digestMismatches++
	if e.digestMismatches >= 2 && !now.Before(t.nextSync) {
		e.digestMismatches = 0
		t.nextSync = now.Add(minSyncInterval)
		acts = append(acts, Action{Kind: Sync, Targets: []Record{e.rec}})
	}
	return acts
}

// ProbeFailed handles a probe of member id that got no answer, neither directly
// nor through relays. If no relay answered either, the fault may lie with this
// node. Its local health score gets worse then, which delays the declaration of
// deaths.
func (t *Table) ProbeFailed(now time.Time, id string, relaysAsked, relaysAnswered int) []Action {
	e, ok := t.members[id]
	if !ok {
		return nil
	}
	e.probing = false
	if !e.rec.IsUp() {
		return nil
	}
	if relaysAsked > 0 && relaysAnswered == 0 {
		t.localHealth = min(t.localHealth+1, maxLocalHealth)
	}
	switch e.rec.State {
	case Alive, Leaving:
		if e.rec.State == Leaving {
			t.setRecord(now, e, e.rec.WithState(Dead, t.self.ID), "no answer to a probe after it announced its stop")
			return t.flushOutbox(now)
		}
		t.setRecord(now, e, e.rec.WithState(Suspect, t.self.ID), "no answer to a probe, neither directly nor through relays")
		t.startSuspicion(now, e, t.self.ID)
	case Suspect:
		return append(t.confirmSuspicion(now, e, e.rec.WithState(Suspect, t.self.ID)), t.flushOutbox(now)...)
	}
	return t.flushOutbox(now)
}
