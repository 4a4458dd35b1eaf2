package fleet

import (
	"slices"
	"sync"

	"tanagerchute/core/member"
	"tanagerchute/core/rank"
	"tanagerchute/core/remote"
)

// View is what a node knows of the fleet at one moment. It is immutable.
type View struct {
	Self    member.Record
	Members []member.Record // of the own data centre, this node included
	Ring    *rank.Ring      // of the members that are up
	Remote  remote.View
	byID    map[string]member.Record
	work    map[string][]member.Record // members that take work, by service
	keys    []string                   // ids of the members that take keys
	running []string                   // ids of the members that are not about to stop
	near    []string                   // of those, the ones of the own data centre
	up      []string
	summary func() remote.Summary
}

func newView(t *member.Table, r *remote.Table) *View {
	v := &View{
		Self:    t.Self(),
		Members: t.Records(),
		Ring:    t.Layout(),
		Remote:  r.View(),
		byID:    map[string]member.Record{},
		work:    map[string][]member.Record{},
		up:      t.UpIDs(),
	}
	for _, m := range v.Members {
		v.byID[m.ID] = m
		if m.AcceptsCalls() {
			v.work[m.Service] = append(v.work[m.Service], m)
		}
		if m.IsHomeCandidate() {
			v.keys = append(v.keys, m.ID)
		}
		if m.State == member.Alive || m.State == member.Suspect {
			v.running = append(v.running, m.ID)
			if m.DataCentre == v.Self.DataCentre {
				v.near = append(v.near, m.ID)
			}
		}
	}
	v.summary = sync.OnceValue(func() remote.Summary {
		return remote.Summarize(v.Self.Group(), v.Members)
	})
	return v
}

// Summary returns what other data centres are told of this one. It is derived
// once from a view, and only if it is asked for.
func (v *View) Summary() remote.Summary { return v.summary() }

// Get returns the member called id.
func (v *View) Get(id string) (member.Record, bool) {
	m, ok := v.byID[id]
	return m, ok
}

// Upstreams returns the members that take work of a service.
func (v *View) Upstreams(service string) []member.Record { return v.work[service] }

// Keys returns the ids of the members that can be the home of a key.
func (v *View) HomeCandidates() []string { return v.keys }

// Up returns the ids of the members that are up.
func (v *View) UpIDs() []string { return v.up }

// Rank returns the rank of this node for a role, counted from 0, or -1 if it
// is not among the first n.
func (v *View) Rank(role string, n int) int {
	return slices.Index(rank.Top(role, v.running, n), v.Self.ID)
}

// RankInCentre returns the rank of this node for a role among the members of
// its own data centre, counted from 0, or -1 if it is not among the first n. It
// is the same as Rank where each data centre has a table of its own.
func (v *View) RankInDataCentre(role string, n int) int {
	return slices.Index(rank.Top(role, v.near, n), v.Self.ID)
}

// Running returns the ids of the members that are not about to stop.
func (v *View) RunningIDs() []string { return v.running }

// Known reports whether a service has an upstream that takes work anywhere.
func (v *View) HasUpstream(service string) bool {
	return len(v.work[service]) > 0 || len(v.Remote.Entries(service)) > 0
}
