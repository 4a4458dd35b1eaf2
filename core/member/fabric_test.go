package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tanagerchute/core/member"
)

// fabric drives a few tables over a network that can lose messages, in virtual
// time. It is no simulator of a cluster: messages are delivered in the step in
// which they are sent or not at all, late copies of them in later steps.
type fabric struct {
	now    time.Time
	rng    *rand.Rand
	tables map[string]*member.Table
	ids    []string
	dead   map[string]bool
	paused map[string]bool
	cut    map[[2]string]bool
	loss   float64
	late   []delivery
	deaths map[string]time.Time // of a member, first seen anywhere
	err    error
}

type delivery struct {
	to      string
	records []member.Record
}

const step = 100 * time.Millisecond

func newFabric(n int, seed uint64) *fabric {
	f := &fabric{
		now:    time.Unix(1_800_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		tables: map[string]*member.Table{},
		dead:   map[string]bool{},
		paused: map[string]bool{},
		cut:    map[[2]string]bool{},
		deaths: map[string]time.Time{},
	}
	for i := range n {
		f.add(fmt.Sprintf("m%02d", i))
	}
	var all []member.Record
	for _, id := range f.ids {
		all = append(all, f.tables[id].Self())
	}
	for _, id := range f.ids {
		f.do(id, f.tables[id].Merge(f.now, all))
	}
	return f
}

func (f *fabric) add(id string) {
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: id, Addr: id + ":1", DataCentre: "dc", Incarnation: 1, StartMs: f.now.UnixMilli()}
	cfg.Rand = f.rng
	cfg.NotifyChange = f.check
	f.tables[id] = member.NewTable(cfg)
	f.ids = append(f.ids, id)
}

// check holds the invariant of every table: a record only moves forward.
func (f *fabric) check(c member.Change) {
	if c.Old.ID != "" && c.New.Incarnation < c.Old.Incarnation {
		f.err = fmt.Errorf("record of %s went back from incarnation %d to %d", c.New.ID, c.Old.Incarnation, c.New.Incarnation)
	}
	if c.New.State == member.Dead && !c.New.Left {
		if _, known := f.deaths[c.New.ID]; !known {
			f.deaths[c.New.ID] = c.At
		}
	}
}

func (f *fabric) up(id string) bool { return !f.dead[id] && !f.paused[id] }

// passes reports whether one message gets through.
func (f *fabric) passes(from, to string) bool {
	return f.up(to) && !f.cut[[2]string{from, to}] && f.rng.Float64() >= f.loss
}

func (f *fabric) do(from string, acts []member.Action) {
	for _, a := range acts {
		switch a.Kind {
		case member.Probe:
			f.probe(from, a)
		case member.Sync:
			f.sync(from, a.Targets[0].ID)
		case member.Broadcast:
			f.broadcast(from, a)
		}
	}
}

func (f *fabric) broadcast(from string, a member.Action) {
	for _, t := range a.Targets {
		if f.passes(from, t.ID) {
			f.deliver(delivery{t.ID, a.Records})
		}
		if f.rng.IntN(10) == 0 {
			f.late = append(f.late, delivery{t.ID, a.Records}) // crossed or repeated
		}
	}
}

func (f *fabric) deliver(d delivery) {
	if t, ok := f.tables[d.to]; ok && f.up(d.to) {
		f.do(d.to, t.Merge(f.now, d.records))
	}
}

// roundTrip reports whether a question and its answer get through.
func (f *fabric) roundTrip(a, b string) bool { return f.passes(a, b) && f.passes(b, a) }

func (f *fabric) probe(from string, a member.Action) {
	target := a.Targets[0].ID
	t := f.tables[from]
	if f.roundTrip(from, target) {
		other := f.tables[target]
		var records []member.Record
		if r, ok := other.Get(from); ok && r.State != member.Alive {
			records = []member.Record{r}
		}
		f.do(from, t.ProbeAnswered(f.now, target, records, other.Digest()))
		return
	}
	heard := 0
	for _, relay := range a.Relays {
		if !f.roundTrip(from, relay.ID) {
			continue
		}
		heard++
		if f.roundTrip(relay.ID, target) {
			f.do(from, t.ProbeAnswered(f.now, target, nil, t.Digest()))
			return
		}
	}
	f.do(from, t.ProbeFailed(f.now, target, len(a.Relays), heard))
}

func (f *fabric) sync(a, b string) {
	if !f.roundTrip(a, b) {
		return
	}
	ra, rb := f.tables[a].Records(), f.tables[b].Records()
	f.do(b, f.tables[b].Merge(f.now, ra))
	f.do(a, f.tables[a].Merge(f.now, rb))
}

// tick moves the time on by one step.
func (f *fabric) tick() {
	f.now = f.now.Add(step)
	late := f.late
	f.late = nil
	for _, d := range late {
		f.deliver(d)
	}
	for _, id := range f.ids {
		if f.up(id) {
			f.do(id, f.tables[id].Tick(f.now))
		}
	}
}

func (f *fabric) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.tick()
	}
}

// split cuts the members in part off from all others, or heals the cut.
func (f *fabric) split(part map[string]bool, cut bool) {
	for _, a := range f.ids {
		for _, b := range f.ids {
			if part[a] != part[b] {
				f.cut[[2]string{a, b}] = cut
			}
		}
	}
}

// agree returns an error unless every running member holds exactly the running
// members for up, and all tables are equal.
func (f *fabric) agree() error {
	if f.err != nil {
		return f.err
	}
	var digest uint64
	first := ""
	for _, id := range f.ids {
		if !f.up(id) {
			continue
		}
		t := f.tables[id]
		for _, other := range f.ids {
			r, ok := t.Get(other)
			if !ok || r.IsUp() != f.up(other) {
				return fmt.Errorf("%s holds %s for %v (known %v), up is %v", id, other, r.State, ok, f.up(other))
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
