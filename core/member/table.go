package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagerchute/core/rank"
)

// Bounds on the records that a table accepts from peers.
const (
	maxMembers    = 4096
	maxFieldBytes = 128 // of each string field
	maxSlots      = 1 << 16
)

// Config configures a Table.
type Config struct {
	Self Record
	// Observers is the number of members that probe each member.
	Observers int
	// Relays is the number of members asked to probe one that does not answer.
	Relays       int
	ProbeEvery   time.Duration // interval at which an observer probes a member
	SuspicionMin time.Duration // time to refute a suspicion that enough members share
	SuspicionMax time.Duration // time to refute a suspicion of a single member
	ForgetLeft   time.Duration // how long the record of a member that left is kept
	ForgetDead   time.Duration // how long a failed member counts toward the quorum
	PauseGap     time.Duration // gap between ticks that indicates a pause of this process
	QuorumTTL    time.Duration // how long an answer to a probe upholds the quorum
	QuorumAddrs  []string      // addresses that count toward the quorum even if unknown
	Rand         *rand.Rand    // source for the choice of relays, unshuffled if nil
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

// Change describes a change of a record and its cause.
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
	Probe     ActionKind = iota // probe Targets[0] directly, then through Relays if it does not answer
	Broadcast                   // send Records to Targets
	Sync                        // exchange whole tables with Targets[0]
)

// Action is an operation that the caller of a Table has to carry out.
type Action struct {
	Kind    ActionKind
	Targets []Record
	Relays  []Record
	Records []Record
}

// memberState holds the record of a member and the state local to this node.
type memberState struct {
	rec               Record
	changed           time.Time
	lastAnswer        time.Time // time of the last answer to a probe
	nextProbe         time.Time
	probing           bool
	suspicionDeadline time.Time // when the member is declared dead
	confirmers        map[string]bool
	digestMismatches  int // consecutive answers with a differing table digest
}

// Table is the membership state machine.
type Table struct {
	cfg            Config
	self           Record
	members        map[string]*memberState // by id, without this node
	layout         *rank.Ring
	layoutStale    bool // layout has to be recomputed
	outbox         map[string]Record
	lastTick       time.Time
	localHealth    int // local health score of Lifeguard: 0 is healthy
	quorumUntil    time.Time
	digest         uint64 // XOR of the hashes of all records
	nextReconnect  time.Time
	reconnectIndex int // position in the rotation through the dead members
}

// maxLocalHealth is the worst local health score.
const maxLocalHealth = 4

// A node periodically exchanges tables with members that it recorded as dead.
// Otherwise two sides of a partition that declared each other dead would stay
// separate after it ends. A node that restarted while the store is unavailable
// would not be found by the others either.
const (
	reconnectInterval = time.Second
	reconnectBatch    = 2                // members per interval
	reconnectLeftFor  = 20 * time.Second // how long members that stopped as planned are included
)

// NewTable returns a table that holds only the record of its own node.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		self:        cfg.Self,
		members:     map[string]*memberState{},
		outbox:      map[string]Record{cfg.Self.ID: cfg.Self},
		layoutStale: true,
		digest:      cfg.Self.hash(),
	}
}

// Self returns the record of this node.
func (t *Table) Self() Record { return t.self }

// Records returns all records, including that of this node, sorted by id.
func (t *Table) Records() []Record {
	out := []Record{t.self}
	for _, e := range t.members {
		out = append(out, e.rec)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// UpIDs returns the sorted ids of the members believed to be running, including
// this node.
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

// setSelf replaces this node's own record and queues it for the neighbours.
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

// SetUpstream sets the state of this node's backend server and announces it.
func (t *Table) SetUpstream(now time.Time, u Upstream) []Action {
	if !u.Differs(t.self.Upstream()) {
		return nil
	}
	return t.updateSelf(now, t.self.WithUpstream(u), "backend server announced or changed")
}

// SetCanBeHome sets whether this node is eligible as the home of idempotency
// keys, and announces it.
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

// Leave announces to every member that this node accepts no new calls.
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

// updateSelf replaces this node's own record, with the next incarnation.
func (t *Table) updateSelf(now time.Time, r Record, cause string) []Action {
	old := t.self
	t.setSelf(r.WithIncarnation(old.Incarnation + 1))
	t.notify(Change{At: now, Old: old, New: t.self, Cause: cause})
	return t.flushOutbox()
}

// broadcastSelf sends this node's record to every member that is up, not only to
// its neighbours, since a planned stop has to be known everywhere within a
// second. It returns acts if no member is up.
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
// observes, each once. Gossip floods the group along these edges.
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

// flushOutbox sends the queued records to the neighbours in the layout. Each
// neighbour forwards the records that are new to it, so that a change floods
// the group.
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
