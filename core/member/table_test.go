package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tanagerchute/core/member"
	_ "tanagerchute/internal/seed"
)

// TestConverges holds that tables only move forward whatever happens, and that
// they agree with the truth once it stops happening.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		f := newFabric(n, rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			disturb(t, f)
			f.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "steps")) * step)
		}
		f.loss = 0
		clear(f.paused)
		clear(f.cut)
		f.run(30 * time.Second)
		if err := f.agree(); err != nil {
			t.Fatal(err)
		}
	})
}

func disturb(t *rapid.T, f *fabric) {
	id := rapid.SampledFrom(f.ids).Draw(t, "member")
	switch rapid.SampledFrom([]string{"pause", "resume", "cut", "heal", "kill", "change"}).Draw(t, "event") {
	case "pause":
		f.paused[id] = true
	case "resume":
		delete(f.paused, id)
	case "cut":
		f.split(map[string]bool{id: true}, true)
	case "heal":
		clear(f.cut)
	case "kill":
		if len(f.dead) < len(f.ids)/2 {
			f.dead[id] = true
		}
	case "change":
		if f.up(id) {
			f.do(id, f.tables[id].SetUpstream(f.now, member.Upstream{Ready: rapid.Bool().Draw(t, "ready"), Slots: 12}))
		}
	}
}

// TestDeathIsSeenInTime kills members and holds the stated bound of 3 s, at
// the size of a data centre two years from now.
func TestDeathIsSeenInTime(t *testing.T) {
	is := is.New(t)
	const bound = 3 * time.Second
	var worst time.Duration
	for victim := range 12 {
		f := newFabric(107, uint64(victim))
		f.run(2 * time.Second)
		id := f.ids[victim*8]
		f.dead[id] = true
		killed := f.now
		f.run(bound)
		is.NoErr(f.agree())
		worst = max(worst, f.deaths[id].Sub(killed))
	}
	t.Logf("107 members: a death is declared after %v at most", worst)
}

// TestLossKillsNobody holds that a network that loses a tenth of the packets
// makes no healthy member be declared dead, over ten minutes.
func TestLossKillsNobody(t *testing.T) {
	is := is.New(t)
	f := newFabric(30, 7)
	f.loss = 0.10
	f.run(10 * time.Minute)
	is.Equal(len(f.deaths), 0) // healthy members declared dead
}

// TestLeavingIsKnownAtOnce holds that a planned stop is known everywhere
// without waiting for a clock.
func TestLeavingIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFabric(40, 3)
	f.run(time.Second)
	f.do("m05", f.tables["m05"].Leave(f.now))
	for _, id := range f.ids {
		r, _ := f.tables[id].Get("m05")
		is.Equal(r.State, member.Leaving)
		is.True(!r.AcceptsCalls())
	}
}

// TestPauseAccusesNobody freezes a member for a minute: when it comes back it
// neither declares the others dead nor stays dead itself.
func TestPauseAccusesNobody(t *testing.T) {
	is := is.New(t)
	f := newFabric(9, 5)
	f.run(time.Second)
	f.paused["m03"] = true
	f.run(time.Minute)
	delete(f.paused, "m03")
	clear(f.deaths)
	f.tick()
	is.True(f.tables["m03"].QuorumUntil().Before(f.now)) // it must not vouch for keys yet
	f.run(10 * time.Second)
	is.NoErr(f.agree())
	is.Equal(len(f.deaths), 0)
}

// TestPauseStopsTheClock freezes a member while it suspects another: when it
// comes back, the time of the pause does not count against the suspect.
func TestPauseStopsTheClock(t *testing.T) {
	is := is.New(t)
	f := newFabric(9, 5)
	f.run(time.Second)
	f.paused["m04"] = true
	accuser := ""
	for accuser == "" {
		f.tick()
		for _, id := range f.ids {
			if r, _ := f.tables[id].Get("m04"); id != "m04" && r.State == member.Suspect {
				accuser = id
			}
		}
	}
	f.paused[accuser] = true
	delete(f.paused, "m04")
	f.run(10 * time.Second)
	delete(f.paused, accuser)
	clear(f.deaths)
	f.run(10 * time.Second)
	is.NoErr(f.agree())
	is.Equal(len(f.deaths), 0)
}

// TestStanding holds that of two parts of a data centre at most one is in
// standing, and that an even split leaves none.
func TestStanding(t *testing.T) {
	for _, c := range []struct{ n, part, standing int }{{9, 4, 5}, {9, 1, 8}, {8, 4, 0}, {3, 1, 2}, {2, 1, 0}} {
		t.Run(fmt.Sprintf("%d of %d cut off", c.part, c.n), func(t *testing.T) {
			is := is.New(t)
			f := newFabric(c.n, 11)
			f.run(2 * time.Second)
			part := map[string]bool{}
			for _, id := range f.ids[:c.part] {
				part[id] = true
			}
			f.split(part, true)
			f.run(10 * time.Second)
			standing := 0
			for _, id := range f.ids {
				if f.tables[id].QuorumUntil().After(f.now) {
					standing++
					is.True(!part[id] || c.part > c.n/2)
				}
			}
			is.Equal(standing, c.standing)
		})
	}
}

// TestReplacedProcess restarts a process at its address: the new one is a new
// member, the old one is dead at once, and the roster counts the address once.
func TestReplacedProcess(t *testing.T) {
	is := is.New(t)
	f := newFabric(3, 1)
	f.run(2 * time.Second)
	f.dead["m02"] = true
	f.ids = append(f.ids, "m02b")
	cfg := member.DefaultConfig()
	cfg.Self = member.Record{ID: "m02b", Addr: "m02:1", DataCentre: "dc", Incarnation: 1, StartMs: f.now.UnixMilli() + 1}
	f.tables["m02b"] = member.NewTable(cfg)
	f.sync("m02b", "m00")
	f.run(3 * step)
	r, _ := f.tables["m01"].Get("m02")
	is.Equal(r.State, member.Dead)
	f.run(3 * time.Second)
	is.NoErr(f.agree())
	is.True(f.tables["m00"].QuorumUntil().After(f.now))
}

// TestBounds holds that a peer can't fill the table with nonsense.
func TestBounds(t *testing.T) {
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
