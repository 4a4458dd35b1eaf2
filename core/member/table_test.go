package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/member"
	"tanagerchute/core/owner"
	_ "tanagerchute/internal/seed"
)

// TestConverges disturbs members and network at random. The incarnation of a
// record must never decrease. Once the disturbances end, all tables must become
// equal and match the running members.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		net := newTestNetwork(n, rapid.Uint64().Draw(t, "seed"))
		net.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			applyRandomEvent(t, net)
			net.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "steps")) * step)
		}
		net.loss = 0
		clear(net.paused)
		clear(net.cut)
		net.run(30 * time.Second)
		if err := net.checkConverged(); err != nil {
			t.Fatal(err)
		}
	})
}

func applyRandomEvent(t *rapid.T, net *testNetwork) {
	id := rapid.SampledFrom(net.ids).Draw(t, "member")
	switch rapid.SampledFrom([]string{"pause", "resume", "cut", "heal", "kill", "change"}).Draw(t, "event") {
	case "pause":
		net.paused[id] = true
	case "resume":
		delete(net.paused, id)
	case "cut":
		net.setPartition(map[string]bool{id: true}, true)
	case "heal":
		clear(net.cut)
	case "kill":
		if len(net.dead) < len(net.ids)/2 {
			net.dead[id] = true
		}
	case "change":
		if net.isRunning(id) {
			net.perform(id, net.tables[id].SetUpstream(net.now, member.Upstream{Ready: rapid.Bool().Draw(t, "ready"), Slots: 12}))
		}
	}
}

// TestFailureDetectionTime kills one member of 107, the size of a data centre
// expected in two years. All others must declare it dead within 3 s.
func TestFailureDetectionTime(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second
	var worst time.Duration
	for victim := range 12 {
		net := newTestNetwork(107, uint64(victim))
		net.run(2 * time.Second)
		id := net.ids[victim*8]
		net.dead[id] = true
		killed := net.now
		net.run(bound)
		is.NoErr(net.checkConverged())
		worst = max(worst, net.declaredDead[id].Sub(killed))
	}
	t.Logf("107 members: a failed member is declared dead after %v at most", worst)
}

// TestPacketLossCausesNoFalseDeath runs ten minutes with a packet loss of 10%.
// No healthy member may be declared dead.
func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(30, 7)
	net.loss = 0.10
	net.run(10 * time.Minute)
	is.Equal(len(net.declaredDead), 0) // healthy members declared dead
}

// TestLeaveReachesAllMembers checks that the announcement of a planned stop
// reaches every member at once, without waiting for a tick.
func TestLeaveReachesAllMembers(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(40, 3)
	net.run(time.Second)
	net.perform("m05", net.tables["m05"].Leave(net.now))
	for _, id := range net.ids {
		r, _ := net.tables[id].Get("m05")
		is.Equal(r.State, member.Leaving)
		is.True(!r.AcceptsCalls())
	}
}

// TestPauseCausesNoFalseDeath pauses a member for a minute. After the pause it
// must not declare the others dead for their missing answers, must not rely on
// its old quorum, and must refute its own death.
func TestPauseCausesNoFalseDeath(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(9, 5)
	net.run(time.Second)
	net.paused["m03"] = true
	net.run(time.Minute)
	delete(net.paused, "m03")
	clear(net.declaredDead)
	net.tick()
	is.True(net.tables["m03"].QuorumUntil().Before(net.now)) // quorum right after the pause
	net.run(10 * time.Second)
	is.NoErr(net.checkConverged())
	is.Equal(len(net.declaredDead), 0)
}

// TestPauseExtendsSuspicion pauses a member while it suspects another. The time
// of the pause must not count against the suspect, which could not refute the
// suspicion to a paused member.
func TestPauseExtendsSuspicion(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(9, 5)
	net.run(time.Second)
	net.paused["m04"] = true
	accuser := ""
	for accuser == "" {
		net.tick()
		for _, id := range net.ids {
			if r, _ := net.tables[id].Get("m04"); id != "m04" && r.State == member.Suspect {
				accuser = id
			}
		}
	}
	net.paused[accuser] = true
	delete(net.paused, "m04")
	net.run(10 * time.Second)
	delete(net.paused, accuser)
	clear(net.declaredDead)
	net.run(10 * time.Second)
	is.NoErr(net.checkConverged())
	is.Equal(len(net.declaredDead), 0)
}

// TestQuorumUnderPartition checks that at most one side of a partition holds a
// quorum, and that neither does if the sides are equal.
func TestQuorumUnderPartition(t *testing.T) {
	for _, c := range []struct{ n, part, wantQuorum int }{{9, 4, 5}, {9, 1, 8}, {8, 4, 0}, {3, 1, 2}, {2, 1, 0}} {
		t.Run(fmt.Sprintf("%d of %d cut off", c.part, c.n), func(t *testing.T) {
			is := is.New(t)
			net := newTestNetwork(c.n, 11)
			net.run(2 * time.Second)
			part := map[string]bool{}
			for _, id := range net.ids[:c.part] {
				part[id] = true
			}
			net.setPartition(part, true)
			net.run(10 * time.Second)
			withQuorum := 0
			for _, id := range net.ids {
				if net.tables[id].QuorumUntil().After(net.now) {
					withQuorum++
					is.True(!part[id] || c.part > c.n/2)
				}
			}
			is.Equal(withQuorum, c.wantQuorum)
		})
	}
}

// TestRestartAtSameAddress restarts a process at its address. The new process
// must be a new member, the old one must be declared dead at once, and the
// address must count once toward the quorum.
func TestRestartAtSameAddress(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(3, 1)
	net.run(2 * time.Second)
	net.dead["m02"] = true
	net.ids = append(net.ids, "m02b")
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: "m02b", Addr: "m02:1", DataCentre: "dc", Incarnation: 1, StartMs: net.now.UnixMilli() + 1}
	net.tables["m02b"] = member.NewTable(cfg)
	net.sync("m02b", "m00")
	net.run(3 * step)
	r, _ := net.tables["m01"].Get("m02")
	is.Equal(r.State, member.Dead)
	net.run(3 * time.Second)
	is.NoErr(net.checkConverged())
	is.True(net.tables["m00"].QuorumUntil().After(net.now))
}

// TestMergeBoundsRecords checks that a peer can't grow the table without limit
// and that invalid records are dropped.
func TestMergeBoundsRecords(t *testing.T) {
	is := is.New(t)
	table := member.NewTable(member.Config{Self: member.Record{ID: "a", DataCentre: "dc"}, Observers: 3})
	var flood []member.Record
	for i := range 10000 {
		flood = append(flood, member.Record{ID: fmt.Sprint("x", i), Addr: fmt.Sprint(i), DataCentre: "dc", StartMs: 1})
	}
	table.Merge(time.Unix(1, 0), flood)
	is.True(len(table.Records()) <= 4097)
	table.Merge(time.Unix(1, 0), []member.Record{
		{ID: string(make([]byte, 500)), DataCentre: "dc"},
		{ID: "b", DataCentre: "another"},
		{ID: "c", DataCentre: "dc", State: 77},
		{ID: "d", DataCentre: "dc", Slots: -1},
	})
	for _, id := range []string{"b", "c", "d"} {
		_, ok := table.Get(id)
		is.True(!ok)
	}
}

// TestPredecessorIsNotUp guards against a restarted node that takes the process before
// it for another running node, because it hears of it first, and joins nobody.
func TestPredecessorIsNotUp(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: "a.2", Addr: "a:1", DataCentre: "dc", Incarnation: 1, StartMs: now.UnixMilli()}
	table := member.NewTable(cfg)
	before := member.Record{ID: "a.1", Addr: "a:1", DataCentre: "dc", Incarnation: 3, Ready: true, StartMs: now.UnixMilli() - 1000}
	before.LeftServer = member.ServerID{ID: "i", StartMs: 7}
	table.Merge(now, []member.Record{before})
	table.Merge(now, []member.Record{before.WithIncarnation(4)})
	for _, r := range table.Records() {
		is.Equal(r.IsUp(), r.ID == "a.2")
	}
	r, ok := table.Predecessor()
	is.True(ok)
	is.Equal(r.LeftServer, before.LeftServer)
}

// TestSupersedesAllEarlierProcesses guards against an earlier process at an address that
// stays up in the table, because another one there was superseded first.
func TestSupersedesAllEarlierProcesses(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: "self", Addr: "self:1", DataCentre: "dc", Incarnation: 1}
	table := member.NewTable(cfg)
	process := func(i int64) member.Record {
		return member.Record{ID: fmt.Sprint("a.", i), Addr: "a:1", DataCentre: "dc", Incarnation: 1, StartMs: now.UnixMilli() + i}
	}
	// The earlier ones arrive last, so none of them supersedes another.
	table.Merge(now, []member.Record{process(3), process(2), process(1)})
	table.Merge(now, []member.Record{process(4)})
	var up []string
	for _, r := range table.Records() {
		if r.IsUp() {
			up = append(up, r.ID)
		}
	}
	is.Equal(up, []string{"a.4", "self"})
}

// TestFormerLeaveBeforeKilledProcess guards against a process that was killed while it started,
// before it knew of the leave of its backend server, and that hides what the one before it
// knew.
func TestFormerLeaveBeforeKilledProcess(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	left := member.ServerID{ID: "i", StartMs: 7}
	process := func(i int64) member.Record {
		return member.Record{ID: fmt.Sprint("a.", i), Addr: "a:1", DataCentre: "dc", Incarnation: 1, StartMs: now.UnixMilli() + i}
	}
	for _, c := range []struct {
		name   string
		change func(rs []member.Record)
		want   member.ServerID
	}{
		{"the last one was killed while it started", func(rs []member.Record) { rs[0].Slots, rs[0].LeftServer = 4, left }, left},
		{"a later one knew another server", func(rs []member.Record) { rs[0].LeftServer, rs[1].Slots = left, 4 }, member.ServerID{}},
		{"none knew its server", func([]member.Record) {}, member.ServerID{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := member.DefaultConfig()
			cfg.Self = process(9)
			table := member.NewTable(cfg)
			rs := []member.Record{process(1), process(2), process(3)}
			c.change(rs)
			table.Merge(now, rs)
			is.Equal(table.FormerLeave(), c.want)
		})
	}
}

// TestFormerOwner guards against a started node that takes what processes of another service have
// heard at its address, or an earlier one of its own, for the latest.
func TestFormerOwner(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	process := func(i int64, service string, c owner.Claim) member.Record {
		return member.Record{
			ID: fmt.Sprint("a.", i), Addr: "a:1", DataCentre: "dc", Service: service, Incarnation: 1, StartMs: now.UnixMilli() + i, Owner: c,
		}
	}
	cfg := member.DefaultConfig()
	cfg.Self = process(9, "a", owner.Claim{})
	table := member.NewTable(cfg)
	is.Equal(table.FormerOwner(), owner.Claim{})
	last := owner.Claim{ID: "i-2", StartMs: 5, HeardMs: 20}
	table.Merge(now, []member.Record{
		process(1, "a", last),
		process(2, "a", owner.Claim{ID: "i-1", HeardMs: 10}), // the clock was set back before it started
		process(3, "a", owner.Claim{}),
		process(4, "b", owner.Claim{ID: "i-3", HeardMs: 30}),
	})
	is.Equal(table.FormerOwner(), last)
}

// TestRestartsDontFillTable guards against a process that is restarted each second and fills
// the table with the records of its earlier ones, so that no new member is added.
func TestRestartsDontFillTable(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: "self", Addr: "self:1", DataCentre: "dc", Incarnation: 1}
	table := member.NewTable(cfg)
	most := 0
	for i := range int64(5000) {
		now = now.Add(time.Second)
		table.Merge(now, []member.Record{{ID: fmt.Sprint("a.", i), Addr: "a:1", DataCentre: "dc", Incarnation: 1, StartMs: now.UnixMilli()}})
		table.Tick(now)
		most = max(most, len(table.Records()))
	}
	t.Logf("at most %d records", most)
	is.True(most < 100)
	table.Merge(now, []member.Record{{ID: "a.0", Addr: "a:1", DataCentre: "dc", Incarnation: 2, State: member.Dead, StartMs: 1}})
	_, ok := table.Get("a.0")
	is.True(!ok) // a peer that has not forgotten it does not bring it back
}

// TestFullTableTakesMembersThatAreUp checks that a table full of failed members at addresses of
// their own still takes a new one, but forgets no former home of keys for it.
func TestFullTableTakesMembersThatAreUp(t *testing.T) {
	for _, home := range []bool{false, true} {
		t.Run(fmt.Sprintf("homes of keys %v", home), func(t *testing.T) {
			is := is.New(t)
			now := time.UnixMilli(1_800_000_000_000)
			cfg := member.DefaultConfig()
			cfg.Self = member.Record{ID: "self", Addr: "self:1", DataCentre: "dc", Incarnation: 1}
			table := member.NewTable(cfg)
			for i := range 5000 {
				table.Merge(now.Add(time.Duration(i)), []member.Record{{ID: fmt.Sprint("x", i), Addr: fmt.Sprint("x:", i), DataCentre: "dc", Incarnation: 1, State: member.Dead, StartMs: 1, CanBeHome: home}})
			}
			table.Merge(now.Add(time.Second), []member.Record{{ID: "new", Addr: "new:1", DataCentre: "dc", Incarnation: 1, StartMs: 2}})
			_, added := table.Get("new")
			_, kept := table.Get("x0")
			is.Equal(added, !home)
			is.Equal(kept, home)
			is.True(len(table.Records()) <= 4097)
		})
	}
}
