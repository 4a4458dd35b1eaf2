package member

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerchute/core/rank"
)

// Bounds on what a peer can make a table hold.
const (
	maxMembers = 4096
	maxIDBytes = 128
	maxSlots   = 1 << 16
)

// Config configures a Table.
type Config struct {
	Self Record
	// Observers is the number of members that probe each member.
	Observers int
	// Relays is the number of members asked to probe a silent one.
	Relays       int
	ProbeEvery   time.Duration
	SuspectMin   time.Duration // suspicion confirmed by all observers
	SuspectMax   time.Duration // suspicion confirmed by nobody
	ForgetLeft   time.Duration // how long a member that left is remembered
	ForgetDead   time.Duration // how long a failed member counts for the roster
	PauseGap     time.Duration // gap between ticks that means that we were paused
	StandingFor  time.Duration // how long fresh evidence keeps us in standing
	Roster       []string      // addresses that always count for the roster
	Rand         *rand.Rand    // source for the choice of relays
	NotifyChange func(Change)  // called for each change, must not block
}

// DefaultConfig returns the settings that nodes use, without Self and Rand.
func DefaultConfig() Config {
	return Config{
		Observers:   3,
		Relays:      2,
		ProbeEvery:  400 * time.Millisecond,
		SuspectMin:  600 * time.Millisecond,
		SuspectMax:  1200 * time.Millisecond,
		ForgetLeft:  time.Minute,
		ForgetDead:  24 * time.Hour,
		PauseGap:    1500 * time.Millisecond,
		StandingFor: 1500 * time.Millisecond,
	}
}

// Change is a change of a record, with the cause.
type Change struct {
	At    time.Time
	Old   Record // zero if the member is new
	New   Record
	Cause string
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	Probe     ActionKind = iota // ask Targets[0] directly, and through Relays if it is silent
	Broadcast                   // send Records to Targets
	Sync                        // exchange whole tables with Targets[0]
)

// Action is something that the owner of a Table has to do.
type Action struct {
	Kind    ActionKind
	Targets []Record
	Relays  []Record
	Records []Record
}

// entry is a member with what only this node knows of it.
type entry struct {
	rec        Record
	changed    time.Time
	heard      time.Time // last direct answer
	nextProbe  time.Time
	probing    bool
	suspectEnd time.Time // when a suspicion turns into a death
	confirmers map[string]bool
	mismatches int // consecutive differing table digests
}

// Table is the membership state machine.
type Table struct {
	cfg      Config
	self     Record
	members  map[string]*entry // without self
	layout   *rank.Ring
	stale    bool // layout has to be computed anew
	outbox   map[string]Record
	lastTick time.Time
	health   int // local health: 0 is well, see Lifeguard
	standing time.Time
	digest   uint64 // xor of the hashes of all records
	revive   time.Time
	revived  int // rotates through the dead members
}

const maxHealth = 4

// reviveEvery is how often a table is exchanged with a dead member. Two parts
// of a data centre that hold each other for dead would not meet otherwise.
const reviveEvery = 2 * time.Second

// NewTable returns a table that knows only its own node.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		self:    cfg.Self,
		members: map[string]*entry{},
		outbox:  map[string]Record{cfg.Self.ID: cfg.Self},
		stale:   true,
		digest:  cfg.Self.hash(),
	}
}

// Self returns the record of this node.
func (t *Table) Self() Record { return t.self }

// Records returns all records, that of this node included, sorted by id.
func (t *Table) Records() []Record {
	out := []Record{t.self}
	for _, e := range t.members {
		out = append(out, e.rec)
	}
	slices.SortFunc(out, func(a, b Record) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Up returns the ids of the members believed to be running, this node
// included, sorted.
func (t *Table) Up() []string {
	out := []string{t.self.ID}
	for id, e := range t.members {
		if e.rec.Up() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Layout returns the observer layout of the members that are up.
func (t *Table) Layout() *rank.Ring {
	if t.stale {
		t.layout = rank.NewRing(t.Up(), t.cfg.Observers)
		t.stale = false
	}
	return t.layout
}

// Digest returns a hash of the table. Equal tables have equal digests.
func (t *Table) Digest() uint64 { return t.digest }

// setSelf replaces the node's own record.
func (t *Table) setSelf(r Record) {
	t.digest ^= t.self.hash() ^ r.hash()
	t.self = r
	t.outbox[r.ID] = r
}

// Get returns the record of member id.
func (t *Table) Get(id string) (Record, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.members[id]
	if !ok {
		return Record{}, false
	}
	return e.rec, true
}

// SetUpstream records the state of this node's backend server and tells it.
func (t *Table) SetUpstream(now time.Time, ready bool, slots int) []Action {
	if t.self.Ready == ready && t.self.Slots == slots {
		return nil
	}
	return t.renew(now, t.self.WithUpstream(ready, slots), "backend server announced or changed")
}

// SetKeeper records whether this node can be the home of a key, and tells it.
func (t *Table) SetKeeper(now time.Time, keeper bool) []Action {
	if t.self.Keeper == keeper {
		return nil
	}
	cause := "can't be the home of keys"
	if keeper {
		cause = "can be the home of keys"
	}
	return t.renew(now, t.self.WithKeeper(keeper), cause)
}

// Leave announces to every member that this node takes no new work.
func (t *Table) Leave(now time.Time) []Action {
	acts := t.renew(now, t.self.WithState(Leaving, ""), "planned stop")
	return t.toAll(acts)
}

// Stop announces to every member that this node has stopped.
func (t *Table) Stop(now time.Time) []Action {
	r := t.self.WithState(Dead, "")
	r.Left = true
	return t.toAll(t.renew(now, r, "stopped"))
}

// renew replaces the node's own record under a new incarnation.
func (t *Table) renew(now time.Time, r Record, cause string) []Action {
	old := t.self
	t.setSelf(r.WithIncarnation(old.Incarnation + 1))
	t.notify(Change{At: now, Old: old, New: t.self, Cause: cause})
	return t.flush()
}

// toAll sends this node's record to every member that is up, and not only to
// its neighbours: a planned stop has to be known everywhere within a second.
func (t *Table) toAll(acts []Action) []Action {
	var targets []Record
	for _, e := range t.members {
		if e.rec.Up() {
			targets = append(targets, e.rec)
		}
	}
	if len(targets) == 0 {
		return acts
	}
	return []Action{{Kind: Broadcast, Targets: targets, Records: []Record{t.self}}}
}

// Merge takes records from a peer and returns what has to be done about them.
func (t *Table) Merge(now time.Time, records []Record) []Action {
	var acts []Action
	for _, r := range records {
		acts = append(acts, t.merge(now, r)...)
	}
	return append(acts, t.flush()...)
}

func (t *Table) merge(now time.Time, r Record) []Action {
	if r.Validate() != nil || r.DataCentre != t.self.DataCentre {
		return nil
	}
	if r.ID == t.self.ID {
		t.refute(now, r)
		return nil
	}
	e, known := t.members[r.ID]
	if !known {
		return t.join(now, r)
	}
	if r.State == Suspect && e.rec.State == Suspect && r.Incarnation == e.rec.Incarnation {
		return t.confirm(now, e, r)
	}
	if !r.overrides(e.rec) {
		return nil
	}
	old := e.rec
	t.put(now, e, r, causeOf(old, r))
	if r.State == Suspect {
		return t.suspected(now, e, r.Accuser)
	}
	return nil
}

func causeOf(old, r Record) string {
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

// refute answers a claim about this node that is newer than its own record, or
// that speaks ill of it.
func (t *Table) refute(now time.Time, r Record) {
	if !r.overrides(t.self) {
		return
	}
	old := t.self
	t.setSelf(t.self.WithIncarnation(r.Incarnation + 1))
	if r.State == Suspect || r.State == Dead {
		t.health = min(t.health+1, maxHealth)
		t.notify(Change{At: now, Old: old, New: t.self, Cause: fmt.Sprintf("refuted %s claimed by %s", r.State, r.Accuser)})
	}
}

func (t *Table) join(now time.Time, r Record) []Action {
	if len(t.members) >= maxMembers {
		return nil
	}
	t.supersede(now, r)
	e := &entry{nextProbe: now.Add(t.cfg.ProbeEvery)}
	t.members[r.ID] = e
	t.put(now, e, r, "joined")
	if r.State == Suspect {
		return t.suspected(now, e, r.Accuser)
	}
	return nil
}

// supersede declares the former process at the address of r dead. Ids are
// unique to a process, so that a restarted node is a new member.
func (t *Table) supersede(now time.Time, r Record) {
	for _, e := range t.members {
		if e.rec.Addr == r.Addr && e.rec.Up() && r.Up() && e.rec.Since < r.Since {
			t.put(now, e, e.rec.WithState(Dead, t.self.ID), "superseded by "+r.ID+" at its address")
		}
	}
}

// put stores a record, tells others, and keeps the derived state right.
func (t *Table) put(now time.Time, e *entry, r Record, cause string) {
	old := e.rec
	if old.ID != "" {
		t.digest ^= old.hash()
	}
	t.digest ^= r.hash()
	e.rec = r
	e.changed = now
	if r.State != Suspect {
		e.confirmers = nil
		e.suspectEnd = time.Time{}
	}
	t.stale = t.stale || old.ID == "" || old.Up() != r.Up()
	t.outbox[r.ID] = r
	t.notify(Change{At: now, Old: old, New: r, Cause: cause})
}

func (t *Table) notify(c Change) {
	if t.cfg.NotifyChange != nil {
		t.cfg.NotifyChange(c)
	}
}

// suspected starts the clock of a suspicion. An observer of the suspect probes
// it at once, to confirm the suspicion or to bring the refutation.
func (t *Table) suspected(now time.Time, e *entry, accuser string) []Action {
	e.confirmers = map[string]bool{accuser: true}
	e.suspectEnd = t.suspicionEnd(now, e)
	if accuser == t.self.ID || !slices.Contains(t.Layout().Observers(e.rec.ID), t.self.ID) {
		return nil
	}
	return t.probe(now, e)
}

// confirm counts one more accuser and brings the end of the suspicion nearer.
func (t *Table) confirm(now time.Time, e *entry, r Record) []Action {
	if e.confirmers[r.Accuser] || len(e.confirmers) >= t.cfg.Observers {
		return nil
	}
	if e.confirmers == nil {
		e.confirmers = map[string]bool{}
	}
	e.confirmers[r.Accuser] = true
	t.outbox[r.ID] = r
	if end := t.suspicionEnd(now, e); end.Before(e.suspectEnd) {
		e.suspectEnd = end
	}
	return nil
}

// suspicionEnd returns when a suspicion that has its present confirmers ends.
func (t *Table) suspicionEnd(now time.Time, e *entry) time.Time {
	need := min(t.cfg.Observers, max(len(t.Up())-2, 1))
	d := t.cfg.SuspectMax
	if len(e.confirmers) >= min(need, 2) {
		d = t.cfg.SuspectMin
	}
	return now.Add(d + time.Duration(t.health)*t.cfg.SuspectMin/2)
}

// Tick does what is due at now.
func (t *Table) Tick(now time.Time) []Action {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.cfg.PauseGap {
		t.resume(now)
	}
	t.lastTick = now
	var acts []Action
	for _, id := range t.Layout().Subjects(t.self.ID) {
		e, ok := t.members[id]
		if ok && !e.probing && !now.Before(e.nextProbe) {
			acts = append(acts, t.probe(now, e)...)
		}
	}
	t.expire(now)
	t.updateStanding(now)
	acts = append(acts, t.reviveOne(now)...)
	return append(acts, t.flush()...)
}

// reviveOne exchanges tables with one of the members that are held for dead,
// in turn. If it runs after all, it refutes its death.
func (t *Table) reviveOne(now time.Time) []Action {
	if now.Before(t.revive) {
		return nil
	}
	t.revive = now.Add(reviveEvery)
	var failed []Record
	for _, e := range t.members {
		if e.rec.State == Dead && !e.rec.Left {
			failed = append(failed, e.rec)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	slices.SortFunc(failed, func(a, b Record) int { return cmpString(a.ID, b.ID) })
	t.revived++
	return []Action{{Kind: Sync, Targets: []Record{failed[t.revived%len(failed)]}}}
}

// resume puts off all judgement after a pause of this process: the silence was
// ours and not that of the others.
func (t *Table) resume(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.standing = time.Time{}
	t.health = min(t.health+1, maxHealth)
	for _, e := range t.members {
		if !e.suspectEnd.IsZero() {
			e.suspectEnd = e.suspectEnd.Add(gap)
		}
		e.nextProbe = now
	}
	t.notify(Change{At: now, Old: t.self, New: t.self, Cause: fmt.Sprintf("no tick for %v", gap.Round(time.Millisecond))})
}

func (t *Table) probe(now time.Time, e *entry) []Action {
	if e.probing || !e.rec.Up() {
		return nil
	}
	e.probing = true
	e.nextProbe = now.Add(t.cfg.ProbeEvery)
	return []Action{{Kind: Probe, Targets: []Record{e.rec}, Relays: t.relays(e.rec.ID)}}
}

// relays picks members that can probe target for us.
func (t *Table) relays(target string) []Record {
	var out []Record
	for id, e := range t.members {
		if id != target && e.rec.State == Alive {
			out = append(out, e.rec)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmpString(a.ID, b.ID) })
	if t.cfg.Rand != nil {
		t.cfg.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	}
	return out[:min(t.cfg.Relays, len(out))]
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// expire turns suspicions that have ended into deaths and forgets old records.
func (t *Table) expire(now time.Time) {
	for id, e := range t.members {
		switch {
		case e.rec.State == Suspect && !e.suspectEnd.IsZero() && !now.Before(e.suspectEnd):
			cause := fmt.Sprintf("suspicion not refuted, %d confirmed it", len(e.confirmers))
			t.put(now, e, e.rec.WithState(Dead, t.self.ID), cause)
		case e.rec.State == Dead && e.rec.Left && now.Sub(e.changed) > t.cfg.ForgetLeft,
			e.rec.State == Dead && now.Sub(e.changed) > t.cfg.ForgetDead:
			t.digest ^= e.rec.hash()
			delete(t.members, id)
			t.stale = true
		}
	}
}

// Answered takes the answer to a probe: the records that came with it and the
// digest of the other's table.
func (t *Table) Answered(now time.Time, id string, records []Record, digest uint64) []Action {
	e, ok := t.members[id]
	if !ok {
		return t.Merge(now, records)
	}
	e.probing = false
	e.heard = now
	t.health = max(t.health-1, 0)
	acts := t.Merge(now, records)
	if digest == t.Digest() {
		e.mismatches = 0
		return acts
	}
	// Gossip under way makes tables differ for a moment. Only a lasting
	// difference is worth a whole table.
	e.mismatches++
	if e.mismatches >= 2 {
		e.mismatches = 0
		acts = append(acts, Action{Kind: Sync, Targets: []Record{e.rec}})
	}
	return acts
}

// Failed takes the failure of a probe, direct and through relays. If no relay
// answered either, the fault may be ours: local health gets worse and the
// member is suspected later.
func (t *Table) Failed(now time.Time, id string, relaysAsked, relaysHeard int) []Action {
	e, ok := t.members[id]
	if !ok {
		return nil
	}
	e.probing = false
	if !e.rec.Up() {
		return nil
	}
	if relaysAsked > 0 && relaysHeard == 0 {
		t.health = min(t.health+1, maxHealth)
	}
	switch e.rec.State {
	case Alive, Leaving:
		if e.rec.State == Leaving {
			t.put(now, e, e.rec.WithState(Dead, t.self.ID), "silent after it announced its stop")
			return t.flush()
		}
		t.put(now, e, e.rec.WithState(Suspect, t.self.ID), "no answer to a probe, direct or through others")
		t.suspected(now, e, t.self.ID)
	case Suspect:
		return append(t.confirm(now, e, e.rec.WithState(Suspect, t.self.ID)), t.flush()...)
	}
	return t.flush()
}

// flush sends waiting records to the neighbours in the layout. Each neighbour
// passes on what is new to it, so that a change floods the data centre.
func (t *Table) flush() []Action {
	if len(t.outbox) == 0 {
		return nil
	}
	var targets []Record
	l := t.Layout()
	for _, id := range slices.Concat(l.Observers(t.self.ID), l.Subjects(t.self.ID)) {
		if e, ok := t.members[id]; ok && !slices.ContainsFunc(targets, func(r Record) bool { return r.ID == id }) {
			targets = append(targets, e.rec)
		}
	}
	if len(targets) == 0 {
		return nil
	}
	records := slices.SortedFunc(maps.Values(t.outbox), func(a, b Record) int { return cmpString(a.ID, b.ID) })
	clear(t.outbox)
	return []Action{{Kind: Broadcast, Targets: targets, Records: records}}
}

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
