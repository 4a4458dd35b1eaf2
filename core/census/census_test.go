package census_test

import (
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/census"
	"tanagerchute/core/member"
	"tanagerchute/core/owner"
)

func claim(id string, heardMs int64) owner.Claim { return owner.Claim{ID: id, HeardMs: heardMs} }

// TestWithMembers checks what becomes of the nodes that the store has: one that nobody has met
// must stay, since it may be killed like all others, and what was heard last must not be lost.
func TestWithMembers(t *testing.T) {
	stored := census.Snapshot{{Addr: "a", Service: "s", Owner: claim("i-1", 10)}}
	for _, c := range []struct {
		name    string
		records []member.Record
		want    census.Snapshot
	}{
		{"nobody is met", nil, stored},
		{"the node knows nothing yet", []member.Record{{Addr: "a", Service: "s"}}, stored},
		{"it has heard another server", []member.Record{{Addr: "a", Service: "s", Owner: claim("i-2", 11)}}, census.Snapshot{{Addr: "a", Service: "s", Owner: claim("i-2", 11)}}},
		{"an earlier process had", []member.Record{{Addr: "a", Service: "s", Owner: claim("i-0", 9)}}, stored},
		{"a node of another service runs there", []member.Record{{Addr: "a", Service: "t"}}, census.Snapshot{{Addr: "a", Service: "t"}}},
		{"it is expected only", []member.Record{{Addr: "a", State: member.Dead}}, stored},
		{"it is dead", []member.Record{{Addr: "a", Service: "s", State: member.Dead}}, stored},
		{"it has stopped, and its server has not", []member.Record{{Addr: "a", Service: "s", State: member.Dead, Left: true}}, stored},
		{"it has stopped, and its server has left", []member.Record{{Addr: "a", Service: "s", State: member.Dead, Left: true, LeftServer: member.ServerID{ID: "i-1"}}}, census.Snapshot{}},
		{"the same, and it runs again", []member.Record{
			{Addr: "a", Service: "s", StartMs: 2}, {Addr: "a", Service: "s", StartMs: 1, State: member.Dead, Left: true, LeftServer: member.ServerID{ID: "i-1"}}}, census.Snapshot{{Addr: "a", Service: "s"}}},
		{"another one", []member.Record{{Addr: "0", Service: "s"}}, census.Snapshot{{Addr: "0", Service: "s"}, stored[0]}},
		{"without an address", []member.Record{{Service: "s"}}, stored},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := stored.WithMembers(c.records)
			is.True(got.Equal(c.want))
			is.Equal(stored[0].Owner, claim("i-1", 10)) // it is not changed
		})
	}
}

// TestOwner checks that a node does not take over what was heard beside a node of another service.
func TestOwner(t *testing.T) {
	is := is.New(t)
	s := census.Snapshot{{Addr: "a", Service: "s", Owner: claim("i-1", 10)}}
	is.Equal(s.Owner("a", "s"), claim("i-1", 10))
	is.Equal(s.Owner("a", "t"), owner.Claim{})
	is.Equal(s.Owner("b", "s"), owner.Claim{})
}
