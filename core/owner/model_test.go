package owner_test

import (
	"testing"
	"time"

	"tanagerchute/core/beat"
	"tanagerchute/core/owner"
)

// The model is a node, the address of its backend server, and what keeps claims: the other nodes
// and the store. An order is a list of events, each of which may come at any moment: servers end
// and start at the address, heartbeats arrive in time or late, the node is killed and started,
// claims are handed on or not. The model runs the state machines that nodes run.

var epoch = time.UnixMilli(1_800_000_000_000)

// server is a process that may listen at the address.
type server struct {
	id      string
	startMs int64 // after epoch
	foreign bool  // it is of another service than the node
}

var (
	first = server{id: "own-1", startMs: 1000}
	next  = server{id: "own-2", startMs: 9000}
	other = server{id: "other", startMs: 5000, foreign: true}
	// rewound is like other, after the clock was set back behind the start of first.
	rewound = server{id: "other", startMs: 500, foreign: true}
	// earlierNext is like next, after the clock was set back behind the start of first.
	earlierNext = server{id: "own-2", startMs: 500}
	// namesake is of another service and has the id of first; earlier does too, and started
	// before it.
	namesake = server{id: "own-1", startMs: 5000, foreign: true}
	earlier  = server{id: "own-1", startMs: 500, foreign: true}
)

// world is the state of the model. It is copied at each step.
type world struct {
	now     time.Time
	at      server // what listens at the address, zero if nothing
	up      bool   // the node runs
	tracker owner.Tracker
	beats   beat.Tracker
	inUse   string // id of the server that gets calls
	asks    bool   // no heartbeat was accepted since the start, so that the server is asked, see package leave
	silent  bool   // the server does not answer health checks
	members owner.Claim
	store   owner.Claim
	away    bool            // neither the other nodes nor the store can be asked, or told
	heard   map[string]bool // ids of the own service that any process has heard
}

func newWorld() world {
	w := world{now: epoch.Add(10 * time.Second), heard: map[string]bool{}}
	start(&w)
	return w
}

// clone returns a copy of w that shares no state.
func (w world) clone() world {
	heard := map[string]bool{}
	for id := range w.heard {
		heard[id] = true
	}
	w.heard = heard
	return w
}

// answer is what the server at the address says to a health check.
func (w *world) answer() owner.Answer {
	if w.silent || w.at.id == "" {
		return owner.Answer{}
	}
	return owner.Answer{ID: w.at.id, Ready: true}
}

// mustAsk reports whether a heartbeat of s has to agree with what the server at the address says.
func (w *world) mustAsk(s server) bool {
	return w.asks && w.inUse != s.id || w.tracker.MustAsk(w.now, s.id, epoch.UnixMilli()+s.startMs)
}

// event is something that happens in the world.
type event func(w *world)

// listens lets a server start at the address. What was there has ended.
func listens(s server) event { return func(w *world) { w.at = s } }

// sends lets a heartbeat of a server arrive, at any time after its start.
func sends(s server, sequence uint64) event {
	return func(w *world) {
		startMs := epoch.UnixMilli() + s.startMs
		switch {
		case !w.up:
		case s.foreign:
			a := owner.Answer{ID: s.id}
			if w.tracker.Contradicts(s.id, startMs) {
				a = w.answer()
			}
			if w.tracker.HeardForeign(w.now, s.id, startMs, a) {
				w.inUse = ""
			}
		case w.mustAsk(s) && !w.tracker.Believes(w.now, s.id, startMs, w.answer()):
		case w.beats.Observe(w.now, beat.Heartbeat{ID: s.id, StartMs: startMs, Sequence: sequence}) != beat.Stale:
			w.tracker.Heard(w.now, s.id, startMs)
			w.inUse, w.asks = s.id, false
			w.heard[s.id] = true
		}
	}
}

// handOn lets the other nodes and the store have the claim of the node.
func handOn(w *world) {
	if w.up && !w.away && w.tracker.Claim().Known() {
		w.members, w.store = w.tracker.Claim(), w.tracker.Claim()
	}
}

// gossip lets the other nodes alone have it.
func gossip(w *world) {
	if w.up && !w.away && w.tracker.Claim().Known() {
		w.members = w.tracker.Claim()
	}
}

// kill ends the process of the node.
func kill(w *world) {
	w.up, w.inUse, w.tracker, w.beats = false, "", owner.Tracker{}, beat.Tracker{}
}

// start starts the node, which asks what is at the address.
func start(w *world) {
	if w.up {
		return
	}
	w.up, w.asks = true, true
	if !w.away {
		w.tracker.Learn(w.now, w.members, owner.FromMembers)
		w.tracker.Learn(w.now, w.store, owner.FromStore)
	}
	if a := w.answer(); w.tracker.Identify(a) == owner.Confirmed {
		w.inUse = a.ID
	}
}

// restart kills the node and starts it.
func restart(w *world) {
	kill(w)
	start(w)
}

// Other events.
func loseOthers(w *world) { w.members = owner.Claim{} } // all other nodes are killed as well
func leaveAlone(w *world) { w.away = true }
func comeBack(w *world)   { w.away = false }
func hush(w *world)       { w.silent = true }
func wait(w *world)       { w.now = w.now.Add(beat.MaxDelay) }
func setBack(w *world)    { w.now = w.now.Add(-8 * time.Second) } // the clock

// TestOrders guards against calls to a server of another service, and against a living server
// that is not used, in orders of events that are given as data.
func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []event
		want   string // id of the server in use
	}{
		{"a started node beside a living server", []event{listens(first), sends(first, 1), handOn, restart}, "own-1"},
		{"the same, and all other nodes are killed", []event{listens(first), sends(first, 1), handOn, loseOthers, restart}, "own-1"},
		{"the same, and the store has nothing", []event{listens(first), sends(first, 1), gossip, restart}, "own-1"},
		{"killed twice", []event{listens(first), sends(first, 1), handOn, restart, handOn, restart}, "own-1"},
		{"killed again before it has handed on", []event{listens(first), sends(first, 1), handOn, restart, restart}, "own-1"},
		{"nobody can be asked", []event{listens(first), sends(first, 1), handOn, leaveAlone, restart}, ""},
		{"nobody can be asked, then a heartbeat", []event{listens(first), sends(first, 1), handOn, leaveAlone, restart, sends(first, 2)}, "own-1"},
		{"nobody was heard", []event{listens(first), restart}, ""},
		{"review 11", []event{listens(first), sends(first, 1), handOn, listens(other), sends(other, 1), handOn, restart, sends(other, 2)}, ""},
		{"killed before the other is heard", []event{listens(first), sends(first, 1), handOn, listens(other), restart}, ""},
		{"the other takes the address of a stopped node", []event{listens(first), sends(first, 1), handOn, kill, listens(other), start}, ""},
		{"the other takes the address, nobody can be asked", []event{listens(first), sends(first, 1), handOn, listens(other), leaveAlone, restart}, ""},
		{"the other is heard without a restart", []event{listens(first), sends(first, 1), listens(other), sends(other, 1)}, ""},
		{"the other is heard, the clock was set back", []event{listens(first), sends(first, 1), listens(rewound), sends(rewound, 1)}, ""},
		{"the same, after a restart", []event{listens(first), sends(first, 1), handOn, listens(rewound), restart, sends(rewound, 1)}, ""},
		{"the other is heard and answers nothing", []event{listens(first), sends(first, 1), listens(other), hush, sends(other, 1)}, ""},
		{"the other has the same id", []event{listens(first), sends(first, 1), handOn, listens(namesake), sends(namesake, 1), handOn, restart}, ""},
		{"a late heartbeat after the other", []event{listens(first), sends(first, 2), listens(other), sends(other, 1), sends(first, 3)}, ""},
		{"the same after a restart", []event{listens(first), sends(first, 2), listens(other), sends(other, 1), handOn, restart, sends(first, 3)}, ""},
		{"a late heartbeat of the other", []event{listens(other), listens(first), sends(first, 1), sends(other, 1)}, "own-1"},
		{"the same, the clock was set back", []event{listens(rewound), listens(first), sends(first, 1), sends(rewound, 1)}, "own-1"},
		{"the same, with the id of the server", []event{listens(earlier), listens(first), sends(first, 1), sends(earlier, 1)}, "own-1"},
		{"a late heartbeat, the first since a restart", []event{listens(first), sends(first, 1), handOn, listens(other), restart, sends(first, 2)}, ""},
		{"the other was heard last, the clock was set back, the store does not know", []event{
			listens(first), sends(first, 1), handOn, setBack, listens(other), sends(other, 1), gossip, listens(first), restart}, ""},
		{"the first one was heard last, the clock was set back, the store does not know", []event{
			listens(other), listens(first), sends(first, 1), handOn, listens(other), sends(other, 1), handOn, setBack, listens(next), sends(next, 1), gossip, restart}, "own-2"},
		{"the next one of the own service, the clock was set back", []event{
			listens(first), sends(first, 1), listens(earlierNext), sends(earlierNext, 1), sends(earlierNext, 2), sends(earlierNext, 3)}, "own-2"},
		{"late heartbeats of an earlier one", []event{
			listens(first), sends(first, 1), sends(earlierNext, 1), sends(earlierNext, 2), sends(earlierNext, 3)}, "own-1"},
		{"a false heartbeat", []event{listens(first), sends(first, 1), sends(other, 1)}, "own-1"},
		{"the next one of the own service after the other", []event{listens(first), sends(first, 1), listens(other), sends(other, 1), listens(next), sends(next, 1)}, "own-2"},
		{"the first one is back, and answers", []event{listens(first), sends(first, 1), listens(other), sends(other, 1), listens(first), sends(first, 2)}, "own-1"},
		{"the first one is back, and does not answer", []event{listens(first), sends(first, 1), listens(other), sends(other, 1), listens(first), hush, sends(first, 2), wait, sends(first, 3)}, "own-1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld()
			for _, e := range c.events {
				e(&w)
			}
			if w.inUse != c.want {
				t.Errorf("server in use is %q, want %q", w.inUse, c.want)
			}
		})
	}
}

// step is an event with a name, for traces.
type step struct {
	name string
	take event
}

var steps = []step{
	{"own-1 listens", listens(first)},
	{"own-1 sends", sends(first, 2)},
	{"own-1 sends an earlier heartbeat", sends(first, 1)},
	{"other listens", listens(other)},
	{"other sends", sends(other, 1)},
	{"other listens, clock set back", listens(rewound)},
	{"other sends, clock set back", sends(rewound, 1)},
	{"own-2 listens", listens(next)},
	{"own-2 sends", sends(next, 1)},
	{"hand on", handOn},
	{"kill", kill},
	{"start", start},
	{"others killed", loseOthers},
	{"away", leaveAlone},
	{"back", comeBack},
}

// modelDepth is the length of the orders that TestNoOrderUsesAnotherService plays.
const modelDepth = 5

// TestNoOrderUsesAnotherService plays all orders of events up to a length, each after an own
// server was heard. A server gets calls only under an id that a heartbeat of the own service has
// named, a server of another service that is heard at the address ends the use, and a started
// node that can ask uses the server that it was told of.
func TestNoOrderUsesAnotherService(t *testing.T) {
	w := newWorld()
	for _, e := range []event{listens(first), sends(first, 1), handOn} {
		e(&w)
	}
	played := 0
	explore(t, w, nil, &played)
	t.Logf("%d orders", played)
}

func explore(t *testing.T, w world, trace []string, played *int) {
	if len(trace) == modelDepth {
		*played++
		return
	}
	for _, s := range steps {
		after := w.clone()
		wasUp := w.up
		s.take(&after)
		path := append(trace[:len(trace):len(trace)], s.name)
		switch {
		case after.inUse != "" && !after.heard[after.inUse]:
			t.Fatalf("%q is in use after %q", after.inUse, path)
		case after.up && after.at.foreign && s.name == "other sends" && after.at == other && after.inUse != "":
			t.Fatalf("%q is in use beside the other after %q", after.inUse, path)
		case s.name == "start" && !wasUp && !after.away && after.at.id != "" && after.members.ID == after.at.id &&
			after.members.HeardMs >= after.store.HeardMs && !after.members.Foreign && after.inUse != after.at.id:
			t.Fatalf("%q is not used after %q", after.at.id, path)
		}
		explore(t, after, path, played)
	}
}
