package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagerchute/core/rank"
)

// Bounds on what a peer can make a table hold.
const (
	maxMembers    = 4096
	maxFieldBytes = 128
	maxSlots      = 1 << 16
)

// Config configures a Table.
type Config struct {
	Self Record
	// Observers is the number of members that probe each member.
	Observers int
	// Relays is the number of members asked to probe a silent one.
	Relays       int
	ProbeEvery   time.Duration
	SuspicionMin time.Duration // suspicion confirmed by all observers
	SuspicionMax time.Duration // suspicion confirmed by nobody
	ForgetLeft   time.Duration // how long a member that left is remembered
	ForgetDead   time.Duration // how long a failed member counts for the roster
	PauseGap     time.Duration // gap between ticks that means that we were paused
	QuorumTTL    time.Duration // how long fresh evidence keeps us in standing
	QuorumAddrs  []string      // addresses that always count for the roster
	Rand         *rand.Rand    // source for the choice of relays
	NotifyChange func(Change)  // called for each change, must not block
}

// DefaultConfig returns the settings that nodes use, without Self and Rand.
func DefaultConfig() Config {
	return Config{
		Observers:    3,
		Relays:       2,
		ProbeEvery:   400 * time.Millisecond,
		SuspicionMin: 600 * time.Millisecond,
		SuspicionMax: 1200 * time.Millisecond,
		ForgetLeft:   time.Minute,
		ForgetDead:   24 * time.Hour,
		PauseGap:     1500 * time.Millisecond,
		QuorumTTL:    1500 * time.Millisecond,
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
	rec               Record
	changed           time.Time
	lastAnswer        time.Time // last direct answer
	nextProbe         time.Time
	probing           bool
	suspicionDeadline time.Time // when a suspicion turns into a death
	confirmers        map[string]bool
	digestMismatches  int // consecutive differing table digests
}

// Table is the membership state machine.
type Table struct {
	cfg            Config
	self           Record
	members        map[string]*entry // without self
	layout         *rank.Ring
	layoutStale    bool // layout has to be computed anew
	outbox         map[string]Record
	lastTick       time.Time
	localHealth    int // local health: 0 is well, see Lifeguard
	quorumUntil    time.Time
	digest         uint64 // xor of the hashes of all records
	nextReconnect  time.Time
	reconnectIndex int // rotates through the dead members
}

const maxLocalHealth = 4

// Tables are exchanged with dead members now and then. Two parts of a data
// centre that hold each other for dead would not meet otherwise, nor would a
// process that has been restarted while the store is away.
const (
	reconnectInterval = time.Second
	reconnectBatch    = 2
	reconnectLeftFor  = 20 * time.Second // for one that has stopped as planned
)

// NewTable returns a table that knows only its own node.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		self:        cfg.Self,
		members:     map[string]*entry{},
		outbox:      map[string]Record{cfg.Self.ID: cfg.Self},
		layoutStale: true,
		digest:      cfg.Self.hash(),
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
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Up returns the ids of the members believed to be running, this node
// included, sorted.
func (t *Table) UpIDs() []string {
	out := []string{t.self.ID}
	for id, e := range t.members {
		if e.rec.IsUp() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Layout returns the observer layout of the members that are up.
func (t *Table) Layout() *rank.Ring {
	if t.layoutStale {
		t.layout = rank.NewRing(t.UpIDs(), t.cfg.Observers)
		t.layoutStale = false
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
func (t *Table) SetUpstream(now time.Time, u Upstream) []Action {
	if !u.Differs(t.self.Upstream()) {
		return nil
	}
	return t.updateSelf(now, t.self.WithUpstream(u), "backend server announced or changed")
}

// SetKeeper records whether this node can be the home of a key, and tells it.
func (t *Table) SetCanBeHome(now time.Time, can bool) []Action {
	if t.self.CanBeHome == can {
		return nil
	}
	cause := "can't be the home of keys"
	if can {
		cause = "can be the home of keys"
	}
	return t.updateSelf(now, t.self.WithCanBeHome(can), cause)
}

// Leave announces to every member that this node takes no new work.
func (t *Table) Leave(now time.Time) []Action {
	acts := t.updateSelf(now, t.self.WithState(Leaving, ""), "planned stop")
	return t.broadcastSelf(acts)
}

// Stop announces to every member that this node has stopped.
func (t *Table) Stop(now time.Time) []Action {
	r := t.self.WithState(Dead, "")
	r.Left = true
	return t.broadcastSelf(t.updateSelf(now, r, "stopped"))
}

// renew replaces the node's own record under a new incarnation.
func (t *Table) updateSelf(now time.Time, r Record, cause string) []Action {
	old := t.self
	t.setSelf(r.WithIncarnation(old.Incarnation + 1))
	t.notify(Change{At: now, Old: old, New: t.self, Cause: cause})
	return t.flushOutbox()
}

// toAll sends this node's record to every member that is up, and not only to
// its neighbours: a planned stop has to be known everywhere within a second.
func (t *Table) broadcastSelf(acts []Action) []Action {
	var targets []Record
	for _, e := range t.members {
		if e.rec.IsUp() {
			targets = append(targets, e.rec)
		}
	}
	if len(targets) == 0 {
		return acts
	}
	return []Action{{Kind: Broadcast, Targets: targets, Records: []Record{t.self}}}
}

// Neighbours returns the members that observe this node and those that it
// observes, each once. Changes flood the data centre along them.
func (t *Table) Neighbours() []Record {
	var out []Record
	l := t.Layout()
	for _, id := range slices.Concat(l.Observers(t.self.ID), l.Subjects(t.self.ID)) {
		if e, ok := t.members[id]; ok && !slices.ContainsFunc(out, func(r Record) bool { return r.ID == id }) {
			out = append(out, e.rec)
		}
	}
	return out
}

// flush sends waiting records to the neighbours in the layout. Each neighbour
// passes on what is new to it, so that a change floods the data centre.
func (t *Table) flushOutbox() []Action {
	if len(t.outbox) == 0 {
		return nil
	}
	targets := t.Neighbours()
	if len(targets) == 0 {
		return nil
	}
	records := slices.SortedFunc(maps.Values(t.outbox), func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	clear(t.outbox)
	return []Action{{Kind: Broadcast, Targets: targets, Records: records}}
}
