package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerchute/core/member"
)

// testNetwork connects tables by a simulated network in virtual time. The
// network can lose messages. A message is delivered in the step in which it is
// sent or lost; some messages are delivered a second time in the next step.
type testNetwork struct {
	now          time.Time
	rng          *rand.Rand
	tables       map[string]*member.Table
	ids          []string
	dead         map[string]bool
	paused       map[string]bool
	cut          map[[2]string]bool
	loss         float64
	delayed      []delivery
	declaredDead map[string]time.Time // when a member was first declared dead by any other
	err          error
	sent         traffic
	sentBy       map[string]int // broadcast messages by sender
}

// traffic counts messages.
type traffic struct {
	messages   int // of any kind, replies included
	broadcasts int // those that carry changes
	records    int // in messages
}

// delivery is a message in transit.
type delivery struct {
	to      string
	records []member.Record
}

// step is the virtual time between two ticks.
const step = 100 * time.Millisecond

func newTestNetwork(n int, seed uint64) *testNetwork {
	net := &testNetwork{
		now:          time.Unix(1_800_000_000, 0),
		rng:          rand.New(rand.NewPCG(seed, 1)),
		tables:       map[string]*member.Table{},
		dead:         map[string]bool{},
		paused:       map[string]bool{},
		cut:          map[[2]string]bool{},
		declaredDead: map[string]time.Time{},
		sentBy:       map[string]int{},
	}
	for i := range n {
		net.add(fmt.Sprintf("m%02d", i))
	}
	var all []member.Record
	for _, id := range net.ids {
		all = append(all, net.tables[id].Self())
	}
	for _, id := range net.ids {
		net.perform(id, net.tables[id].Merge(net.now, all))
	}
	return net
}

func (net *testNetwork) add(id string) { net.addAt(id, id+":1") }

// addAt adds a member with the given id and address.
func (net *testNetwork) addAt(id, addr string) {
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: id, Addr: addr, DataCentre: "dc", Incarnation: 1, StartMs: net.now.UnixMilli()}
	cfg.Rand = net.rng
	cfg.NotifyChange = net.checkChange
	net.tables[id] = member.NewTable(cfg)
	net.ids = append(net.ids, id)
}

// checkChange checks that the incarnation of a record never decreases, and
// notes declared deaths.
func (net *testNetwork) checkChange(c member.Change) {
	if c.Old.ID != "" && c.New.Incarnation < c.Old.Incarnation {
		net.err = fmt.Errorf("record of %s went back from incarnation %d to %d", c.New.ID, c.Old.Incarnation, c.New.Incarnation)
	}
	if c.New.State == member.Dead && !c.New.Left {
		if _, known := net.declaredDead[c.New.ID]; !known {
			net.declaredDead[c.New.ID] = c.At
		}
	}
}

func (net *testNetwork) isRunning(id string) bool { return !net.dead[id] && !net.paused[id] }

// delivers reports whether a message from one member reaches another.
func (net *testNetwork) delivers(from, to string) bool {
	return net.isRunning(to) && !net.cut[[2]string{from, to}] && net.rng.Float64() >= net.loss
}

func (net *testNetwork) perform(from string, acts []member.Action) {
	for _, a := range acts {
		switch a.Kind {
		case member.Probe:
			net.probe(from, a)
		case member.Sync:
			net.sync(from, a.Targets[0].ID)
		case member.Broadcast:
			net.broadcast(from, a)
		}
	}
}

func (net *testNetwork) broadcast(from string, a member.Action) {
	for _, t := range a.Targets {
		net.sent.messages++
		net.sent.broadcasts++
		net.sent.records += len(a.Records)
		net.sentBy[from]++
		if net.delivers(from, t.ID) {
			net.deliver(delivery{t.ID, a.Records})
		}
		if net.rng.IntN(10) == 0 {
			net.delayed = append(net.delayed, delivery{t.ID, a.Records}) // duplicate, or delayed if the first copy was lost
		}
	}
}

func (net *testNetwork) deliver(d delivery) {
	if t, ok := net.tables[d.to]; ok && net.isRunning(d.to) {
		net.perform(d.to, t.Merge(net.now, d.records))
	}
}

// roundTrip reports whether a request from a to b and its response get through.
func (net *testNetwork) roundTrip(a, b string) bool { return net.delivers(a, b) && net.delivers(b, a) }

func (net *testNetwork) probe(from string, a member.Action) {
	target := a.Targets[0].ID
	t := net.tables[from]
	net.sent.messages += 2
	if net.roundTrip(from, target) {
		other := net.tables[target]
		var records []member.Record
		if r, ok := other.Get(from); ok && r.State != member.Alive {
			records = []member.Record{r}
		}
		net.perform(from, t.ProbeAnswered(net.now, target, records, other.Digest()))
		return
	}
	answered := 0
	for _, relay := range a.Relays {
		if !net.roundTrip(from, relay.ID) {
			continue
		}
		answered++
		if net.roundTrip(relay.ID, target) {
			net.perform(from, t.ProbeAnswered(net.now, target, nil, t.Digest()))
			return
		}
	}
	net.perform(from, t.ProbeFailed(net.now, target, len(a.Relays), answered))
}

func (net *testNetwork) sync(a, b string) {
	if !net.roundTrip(a, b) {
		return
	}
	reply, acts := net.tables[b].AnswerSync(net.now, net.tables[a].SyncRequest())
	net.perform(b, acts)
	net.sent.messages += 2
	net.sent.records += 1 + len(reply.Records)
	missing, acts := net.tables[a].CompleteSync(net.now, reply)
	net.perform(a, acts)
	if len(missing) > 0 && net.delivers(a, b) {
		net.sent.messages++
		net.sent.records += len(missing)
		net.deliver(delivery{b, missing})
	}
}

// tick advances the time by one step.
func (net *testNetwork) tick() {
	net.now = net.now.Add(step)
	delayed := net.delayed
	net.delayed = nil
	for _, d := range delayed {
		net.deliver(d)
	}
	for _, id := range net.ids {
		if net.isRunning(id) {
			net.perform(id, net.tables[id].Tick(net.now))
		}
	}
}

func (net *testNetwork) run(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); {
		net.tick()
	}
}

// setPartition cuts the connections between the members in part and all others,
// or restores them if cut is false.
func (net *testNetwork) setPartition(part map[string]bool, cut bool) {
	for _, a := range net.ids {
		for _, b := range net.ids {
			if part[a] != part[b] {
				net.cut[[2]string{a, b}] = cut
			}
		}
	}
}

// checkConverged returns an error unless every running member regards exactly
// the running members as up and all their tables are equal.
func (net *testNetwork) checkConverged() error {
	if net.err != nil {
		return net.err
	}
	var digest uint64
	first := ""
	for _, id := range net.ids {
		if !net.isRunning(id) {
			continue
		}
		t := net.tables[id]
		for _, other := range net.ids {
			r, ok := t.Get(other)
			if !ok || r.IsUp() != net.isRunning(other) {
				return fmt.Errorf("%s records %s as %v (known: %v), running: %v", id, other, r.State, ok, net.isRunning(other))
			}
		}
		if first == "" {
			first, digest = id, t.Digest()
		} else if t.Digest() != digest {
			return fmt.Errorf("tables of %s and %s differ", first, id)
		}
	}
	return nil
}
