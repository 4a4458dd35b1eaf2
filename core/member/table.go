package member

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tanagerchute/core/owner"
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
	ForgetLeft   time.Duration // how long the record of a member that left, or was replaced at its address, is kept
	ForgetDead   time.Duration // how long a failed member counts toward the quorum
	// GossipInterval is the shortest time between two broadcasts of changed
	// records. Changes that follow each other more closely share a message.
	GossipInterval time.Duration
	PauseGap       time.Duration // gap between ticks that indicates a pause of this process
	QuorumTTL      time.Duration // how long an answer to a probe upholds the quorum
	QuorumAddrs    []string      // addresses that count toward the quorum even if unknown
	Rand           *rand.Rand    // source for the choice of relays, unshuffled if nil
	NotifyChange   func(Change)  // called for each change, must not block
}

// DefaultConfig returns the settings that nodes use, without Self and Rand.
func DefaultConfig() Config {
	return Config{
		Observers:      3,
		Relays:         2,
		GossipInterval: 100 * time.Millisecond,
		ProbeEvery:     400 * time.Millisecond,
		SuspicionMin:   600 * time.Millisecond,
		SuspicionMax:   1200 * time.Millisecond,
		ForgetLeft:     time.Minute,
		ForgetDead:     24 * time.Hour,
		PauseGap:       1500 * time.Millisecond,
		QuorumTTL:      1500 * time.Millisecond,
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
	added             time.Time
	changed           time.Time
	nextProbe         time.Time
	probing           bool
	suspicionDeadline time.Time // when the member is declared dead
	confirmers        map[string]bool
	digestMismatches  int // consecutive answers with a differing table digest
}

// Table is the membership state machine. What it does at a tick or for a message
// depends on the changes and on the number of observers, not on the number of
// members.
type Table struct {
	cfg            Config
	self           Record
	members        map[string]*memberState // by id, without this node
	order          []*memberState          // sorted by id
	byAddr         map[string][]*memberState
	suspects       map[string]*memberState
	dead           map[string]*memberState
	layout         *rank.Ring    // of the members that are up
	overlay        *rank.Overlay // of the members that are up
	outbox         map[string]Record
	nextBroadcast  time.Time // when the outbox may be sent
	firstTick      time.Time
	lastTick       time.Time
	localHealth    int                  // local health score of Lifeguard: 0 is healthy
	answers        map[string]time.Time // members that answered a probe within QuorumTTL
	tally          addrTally
	quorumUntil    time.Time
	digests        [numBuckets]uint64 // XOR of the hashes of the records in each bucket
	nextSync       time.Time          // when tables may be compared again
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

// overlayRings is the number of rings of the gossip overlay. With three, a change
// reaches 300 members over at most six edges.
const overlayRings = 3

// NewTable returns a table that holds only the record of its own node.
func NewTable(cfg Config) *Table {
	ids := []string{cfg.Self.ID}
	t := &Table{
		cfg:      cfg,
		self:     cfg.Self,
		members:  map[string]*memberState{},
		byAddr:   map[string][]*memberState{},
		suspects: map[string]*memberState{},
		dead:     map[string]*memberState{},
		layout:   rank.NewRing(ids, cfg.Observers),
		overlay:  rank.NewOverlay(ids, overlayRings),
		outbox:   map[string]Record{cfg.Self.ID: cfg.Self},
		answers:  map[string]time.Time{},
	}
	t.toggleDigest(cfg.Self)
	t.initTally()
	return t
}

// Self returns the record of this node.
func (t *Table) Self() Record { return t.self }

// Records returns all records, including that of this node, sorted by id.
func (t *Table) Records() []Record {
	out := make([]Record, 0, len(t.order)+1)
	selfAt, _ := t.find(t.self.ID)
	for _, e := range t.order[:selfAt] {
		out = append(out, e.rec)
	}
	out = append(out, t.self)
	for _, e := range t.order[selfAt:] {
		out = append(out, e.rec)
	}
	return out
}

// find returns the index of a member in order, or the one at which it would be
// inserted.
func (t *Table) find(id string) (int, bool) {
	return slices.BinarySearchFunc(t.order, id, func(e *memberState, id string) int { return strings.Compare(e.rec.ID, id) })
}

// Layout returns the observer layout of the members that are up.
func (t *Table) Layout() *rank.Ring { return t.layout }

// setSelf replaces this node's own record and queues it for the neighbours.
func (t *Table) setSelf(r Record) {
	t.toggleDigest(t.self)
	t.toggleDigest(r)
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

// Predecessor returns the record of the latest earlier process at the address of this
// node.
func (t *Table) Predecessor() (r Record, ok bool) {
	for _, e := range t.byAddr[t.self.Addr] {
		if e.rec.ID != t.self.ID && (!ok || e.rec.StartMs > r.StartMs) {
			r, ok = e.rec, true
		}
	}
	return r, ok
}

// FormerLeave returns the backend server that announced its leave to an earlier process at the
// address of this node, zero if the latest of them that knew its server did not hear of one. A
// process that was killed while it started knew none.
func (t *Table) FormerLeave() ServerID {
	var last Record
	for _, e := range t.byAddr[t.self.Addr] {
		r := e.rec
		knewServer := r.LeftServer.ID != "" || r.Slots > 0
		if r.ID != t.self.ID && knewServer && r.StartMs > last.StartMs {
			last = r
		}
	}
	return last.LeftServer
}

// FormerOwner returns the server that the earlier processes at the address of this node, of its
// service, have heard last at the address of its backend server. It is zero if they have heard
// none.
func (t *Table) FormerOwner() owner.Claim {
	var last owner.Claim
	for _, e := range t.byAddr[t.self.Addr] {
		r := e.rec
		if r.ID != t.self.ID && r.Service == t.self.Service && r.Owner.HeardMs > last.HeardMs {
			last = r.Owner
		}
	}
	return last
}

// Expect adds the members that an earlier time knew, of which nothing has been heard, as dead
// ones: they may run where this node does not reach them.
func (t *Table) Expect(now time.Time, expected []Record) []Action {
	var acts []Action
	for _, r := range expected {
		if r.Addr == t.self.Addr || len(t.byAddr[r.Addr]) > 0 {
			continue
		}
		// Any process that is met at the address is a later one.
		r.Incarnation, r.StartMs = 1, 1
		acts = append(acts, t.mergeRecord(now, r.WithState(Dead, t.self.ID))...)
	}
	return append(acts, t.flushOutbox(now)...)
}

// HasCounted reports whether this node, or one whose table it has got, knows how many members
// there may be.
func (t *Table) HasCounted() bool {
	return t.self.Counted || slices.ContainsFunc(t.order, func(e *memberState) bool { return e.rec.State == Alive && e.rec.Counted })
}

// SetCounted announces that this node knows how many members there may be: all are in its table,
// those of which nothing was heard as dead, see Expect. Until a node does, it must not conclude
// from its table that it is alone.
func (t *Table) SetCounted(now time.Time) []Action {
	if t.self.Counted {
		return nil
	}
	r := t.self
	r.Counted = true
	return t.updateSelf(now, r, "knows how many members there may be")
}

// BecomeCandidate makes this node eligible as the home of idempotency keys, and
// announces it.
func (t *Table) BecomeCandidate(now time.Time) []Action {
	if t.self.CanBeHome {
		return nil
	}
	return t.updateSelf(now, t.self.WithCandidacy(), "can be the home of keys")
}

// StepDown ends the eligibility of this node as the home of keys, and announces it. The
// node accepts no further keys. The latest that it has accepted was issued at until.
func (t *Table) StepDown(now, until time.Time) []Action {
	if !t.self.CanBeHome {
		return nil
	}
	return t.updateSelf(now, t.self.WithoutCandidacy(until), "can't be the home of keys")
}

// Leave announces that this node accepts no new calls.
func (t *Table) Leave(now time.Time) []Action {
	t.nextBroadcast = now // a planned stop has to be known everywhere within a second
	return t.updateSelf(now, t.self.WithState(Leaving, ""), "planned stop")
}

// Stop announces that this node has stopped.
func (t *Table) Stop(now time.Time) []Action {
	t.nextBroadcast = now
	r := t.self.WithState(Dead, "")
	r.Left = true
	return t.updateSelf(now, r, "stopped")
}

// updateSelf replaces this node's own record, with the next incarnation.
func (t *Table) updateSelf(now time.Time, r Record, cause string) []Action {
	old := t.self
	t.setSelf(r.WithIncarnation(old.Incarnation + 1))
	t.notify(Change{At: now, Old: old, New: t.self, Cause: cause})
	return t.flushOutbox(now)
}
