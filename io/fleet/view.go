package fleet

import (
	"slices"
	"sync"

	"tanagerchute/core/member"
	"tanagerchute/core/rank"
	"tanagerchute/core/remote"
)

// View is an immutable snapshot of what a node knows of the fleet.
type View struct {
	Self               member.Record
	Members            []member.Record // of the member table, this node included
	Ring               *rank.Ring      // hash ring of the members that are up
	Remote             remote.View
	byID               map[string]member.Record
	upstreams          map[string][]member.Record // members that accept calls, by service
	homeCandidates     []string                   // ids of the members that can be the home of a key
	activeIDs          []string                   // ids of the members that are alive or suspect
	activeInDataCentre []string                   // those of activeIDs in the data centre of this node
	upIDs              []string                   // ids of the members that are alive, suspect or leaving
	summary            func() remote.Summary
}

func newView(t *member.Table, r *remote.Table) *View {
	v := &View{
		Self:      t.Self(),
		Members:   t.Records(),
		Ring:      t.Layout(),
		Remote:    r.View(),
		byID:      map[string]member.Record{},
		upstreams: map[string][]member.Record{},
		upIDs:     t.UpIDs(),
	}
	for _, m := range v.Members {
		v.byID[m.ID] = m
		if m.AcceptsCalls() {
			v.upstreams[m.Service] = append(v.upstreams[m.Service], m)
		}
		if m.IsHomeCandidate() {
			v.homeCandidates = append(v.homeCandidates, m.ID)
		}
		if m.State == member.Alive || m.State == member.Suspect {
			v.activeIDs = append(v.activeIDs, m.ID)
			if m.DataCentre == v.Self.DataCentre {
				v.activeInDataCentre = append(v.activeInDataCentre, m.ID)
			}
		}
	}
	v.summary = sync.OnceValue(func() remote.Summary {
		return remote.Summarize(v.Self.Group(), v.Members)
	})
	return v
}

// Summary returns the summary of this data centre for the others. It is computed
// at the first call.
func (v *View) Summary() remote.Summary { return v.summary() }

// Get returns the member with the given id.
func (v *View) Get(id string) (member.Record, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Upstreams returns the members that accept calls for a service.
func (v *View) Upstreams(service string) []member.Record { return v.upstreams[service] }

// HomeCandidates returns the ids of the members that can be the home of a key.
func (v *View) HomeCandidates() []string { return v.homeCandidates }

// UpIDs returns the ids of the members that are believed to be running, leaving
// ones included.
func (v *View) UpIDs() []string { return v.upIDs }

// Rank returns the rank of this node for a role among the active members, counted
// from 0, or -1 if it is not among the first n. See rank.Top.
func (v *View) Rank(role string, n int) int {
	return slices.Index(rank.Top(role, v.activeIDs, n), v.Self.ID)
}

// RankInDataCentre is like Rank, but among the active members of this node's data
// centre only. The two differ only if the deployment has regions.
func (v *View) RankInDataCentre(role string, n int) int {
	return slices.Index(rank.Top(role, v.activeInDataCentre, n), v.Self.ID)
}

// ActiveIDs returns the ids of the members that are alive or suspect, that is,
// neither leaving nor dead.
func (v *View) ActiveIDs() []string { return v.activeIDs }

// HasUpstream reports whether a service has an upstream that accepts calls, in any
// data centre.
func (v *View) HasUpstream(service string) bool {
	return len(v.upstreams[service]) > 0 || len(v.Remote.Entries(service)) > 0
}
