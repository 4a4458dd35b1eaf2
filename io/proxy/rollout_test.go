package proxy

import (
	"testing"

	"github.com/matryer/is"

	"tanagerchute/core/canary"
	"tanagerchute/core/pick"
	"tanagerchute/io/fleet"
)

// TestCandidatesBySide checks which upstreams each side of a split has.
func TestCandidatesBySide(t *testing.T) {
	cs := candidates{entries: []pick.Candidate{{ID: "e", Entry: true}}, upstream: []pick.Candidate{
		{ID: "o1", Version: "v1"}, {ID: "o2", Version: "v1"}, {ID: "n1", Version: "v2"}, {ID: "n2", Version: "v2"}, {ID: "n3", Version: "v2"}, {ID: "x", Version: "v3"},
	}}
	ordered := canary.Split{Baseline: "v1", Target: "v2"}
	canaries := ordered
	canaries.Servers = 2
	for _, tc := range []struct {
		name  string
		split canary.Split
		side  bool
		want  []string // versions
		entry bool
	}{
		{"old side of an order", ordered, false, []string{"v1", "v1"}, true},
		{"target of an order", ordered, true, []string{"v2", "v2", "v2"}, false},
		{"canary", canaries, true, []string{"v2", "v2"}, false},
		{"after an order", canary.Split{Abandoned: "v2"}, false, []string{"v1", "v1", "v3"}, true},
		{"after an order, of a version that is gone", canary.Split{Abandoned: "v0"}, false, []string{"v1", "v1", "v2", "v2", "v2", "v3"}, true},
		{"old version is gone", canary.Split{Baseline: "v0", Target: "v2"}, false, []string{"v1", "v1", "v3"}, true},
		{"target is gone", canary.Split{Baseline: "v1", Target: "v9"}, true, []string{"v1", "v1"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := cs.onSide("self", side{service: "a", split: tc.split, target: tc.side})
			var versions []string
			for _, c := range got.upstream {
				versions = append(versions, c.Version)
			}
			is.Equal(versions, tc.want)
			is.Equal(len(got.entries) > 0, tc.entry)
		})
	}
}

// TestSideOfAnOldView checks that candidates of a former view are not kept for later calls.
func TestSideOfAnOldView(t *testing.T) {
	is := is.New(t)
	before, after := &fleet.View{}, &fleet.View{}
	cc := newCandidateCache("self")
	cc.update(after)
	s := side{service: "a", split: canary.Split{Baseline: "v1", Target: "v2"}}
	upstream := []pick.Candidate{{ID: "o1", Version: "v1"}, {ID: "o2", Version: "v1"}, {ID: "n", Version: "v2"}}
	is.Equal(len(cc.getSide(candidates{view: before, upstream: upstream}, s).upstream), 2)
	is.Equal(len(cc.getSide(candidates{view: after, upstream: upstream[1:]}, s).upstream), 1)
}
