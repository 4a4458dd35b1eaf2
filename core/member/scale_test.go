package member_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tanagerchute/core/member"
)

// TestIdleCostIsIndependentOfSize compares what an idle member sends at 30 and at
// 300 members.
func TestIdleCostIsIndependentOfSize(t *testing.T) {
	is := is.New(t)
	cost := map[int]float64{}
	for _, n := range []int{30, 300} {
		net := newTestNetwork(n, 1)
		net.run(3 * time.Second)
		net.sent = traffic{}
		net.run(4 * time.Second)
		cost[n] = float64(net.sent.messages) / float64(n)
		t.Logf("%d members: %.1f messages a member in 4 s, %d records in all", n, cost[n], net.sent.records)
	}
	is.True(cost[300] <= 1.3*cost[30])
}

// TestChangeCostIsIndependentOfSize announces the changes of one member after the
// other, and a planned stop. Each must reach all members, and no member may send
// more messages in a large group than in a small one.
func TestChangeCostIsIndependentOfSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 100, 300} {
		net := newTestNetwork(n, 1)
		net.run(3 * time.Second)
		net.sent = traffic{}
		net.sentBy = map[string]int{}
		for _, id := range net.ids[:5] {
			net.perform(id, net.tables[id].SetUpstream(net.now, member.Upstream{Ready: true, Slots: 7}))
			net.run(200 * time.Millisecond)
		}
		net.perform("m07", net.tables["m07"].Leave(net.now))
		net.run(200 * time.Millisecond)
		most := 0
		for _, id := range net.ids {
			r, _ := net.tables[id].Get("m04")
			is.Equal(r.Slots, 7)
			r, _ = net.tables[id].Get("m07")
			is.Equal(r.State, member.Leaving)
			most = max(most, net.sentBy[id])
		}
		const changes, neighbours = 6, 6
		t.Logf("%d members: %d broadcasts, at most %d of one member", n, net.sent.broadcasts, most)
		is.True(most <= changes*neighbours)
	}
}

// TestHerdRestartIsBounded ends all members at once. They come back under new ids
// at the same addresses and join three of nine seeds. All must know each other
// within 3 s, and a member may not receive each record many times.
func TestHerdRestartIsBounded(t *testing.T) {
	is := is.New(t)
	const n = 300
	net := newTestNetwork(n, 1)
	net.run(3 * time.Second)
	old := net.ids
	net.ids = nil
	for _, id := range old {
		net.dead[id] = true
	}
	net.now = net.now.Add(time.Second)
	for _, id := range old {
		net.addAt(id+"b", id+":1")
	}
	net.sent = traffic{}
	for _, id := range net.ids {
		for range 3 {
			net.sync(id, net.ids[net.rng.IntN(9)])
		}
	}
	net.run(3 * time.Second)
	is.NoErr(net.checkConverged())
	records, messages := float64(net.sent.records)/n, float64(net.sent.messages)/n
	t.Logf("%d members: %.0f records a member, in %.0f messages", n, records, messages)
	const neighbours = 6
	is.True(records <= neighbours*n)                                                             // each change once from each neighbour
	is.True(messages <= float64(neighbours*3*time.Second/member.DefaultConfig().GossipInterval)) // in 3 s
	net.sent = traffic{}
	net.run(2 * time.Second)
	is.True(float64(net.sent.records)/n <= 10) // it is quiet afterwards
}

// TestMissedRecordsAreSynced checks that tables that differ in one record exchange
// a few records, and not all.
func TestMissedRecordsAreSynced(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(300, 1)
	net.run(3 * time.Second)
	a, b := net.tables["m00"], net.tables["m01"]
	a.SetUpstream(net.now, member.Upstream{Ready: true, Slots: 3}) // not sent to anyone
	reply, _ := b.AnswerSync(net.now, member.SyncMessage{Digests: a.SyncRequest().Digests})
	is.True(len(reply.Records) < 20)
	missing, _ := a.CompleteSync(net.now, reply)
	is.Equal(len(missing), 1)
	is.Equal(missing[0].ID, "m00")
}

// TestStopReachesDistantMembers guards against a gossip topology in which a change
// needs many hops: no path between two of 300 members may have more than six
// edges.
func TestStopReachesDistantMembers(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork(300, 1)
	distance := map[string]int{"m00": 0}
	for queue := []string{"m00"}; len(queue) > 0; queue = queue[1:] {
		for _, m := range net.tables[queue[0]].Neighbours() {
			if _, seen := distance[m.ID]; !seen {
				distance[m.ID] = distance[queue[0]] + 1
				queue = append(queue, m.ID)
			}
		}
	}
	is.Equal(len(distance), 300)
	for _, d := range distance {
		is.True(d <= 6)
	}
}
