package fleet

import (
	"slices"
	"strings"
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
	upstreams          map[string][]member.Record // members that accept calls, by service
	homeCandidates     []string                   // ids of the members that can be the home of a key
	activeIDs          []string                   // ids of the members that are alive or suspect
	activeInDataCentre []string                   // those of activeIDs in the data centre of this node
	upIDs              []string                   // ids of the members that are alive, suspect or leaving
	readers            func() []string            // the first MaxReaderRank of activeInDataCentre as readers
	groupReaders       func() []string            // the first MaxReaderRank of activeIDs as readers
	summary            func() remote.Summary
}

// MaxReaderRank is the number of members that are ranked as readers.
const MaxReaderRank = 5

func newView(t *member.Table, r *remote.Table) *View {
	v := &View{
		Self:      t.Self(),
		Members:   t.Records(),
		Ring:      t.Layout(),
		Remote:    r.View(),
		upstreams: map[string][]member.Record{},
	}
	for _, m := range v.Members {
		if m.IsUp() {
			v.upIDs = append(v.upIDs, m.ID)
		}
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
	v.readers = rankReaders(v.activeInDataCentre)
	v.groupReaders = rankReaders(v.activeIDs)
	v.summary = sync.OnceValue(func() remote.Summary {
		return remote.Summarize(v.Self.Group(), v.Members)
	})
	return v
}

// rankReaders returns a function that ranks ids as readers at its first call.
func rankReaders(ids []string) func() []string {
	return sync.OnceValue(func() []string { return rank.Top("reader", ids, MaxReaderRank) })
}

// Summary returns the summary of this data centre for the others. It is computed
// at the first call.
func (v *View) Summary() remote.Summary { return v.summary() }

// Get returns the member with the given id.
func (v *View) Get(id string) (member.Record, bool) {
	at, ok := slices.BinarySearchFunc(v.Members, id, func(m member.Record, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return member.Record{}, false
	}
	return v.Members[at], true
}

// HasSuccessor reports whether a later process runs at the address of m.
func (v *View) HasSuccessor(m member.Record) bool {
	return slices.ContainsFunc(v.Members, func(o member.Record) bool {
		return o.Addr == m.Addr && o.ID != m.ID && o.StartMs > m.StartMs
	})
}

// Upstreams returns the members that accept calls for a service.
func (v *View) Upstreams(service string) []member.Record { return v.upstreams[service] }

// HomeCandidates returns the ids of the members that can be the home of a key.
func (v *View) HomeCandidates() []string { return v.homeCandidates }

// UpIDs returns the ids of the members that are believed to be running, leaving
// ones included.
func (v *View) UpIDs() []string { return v.upIDs }

// ReaderRank returns the rank of this node as a reader of the store among the
// active members of its data centre, counted from 0, or -1 if it is not among the
// first n. n is at most MaxReaderRank.
func (v *View) ReaderRank(n int) int { return rankIn(v.readers(), v.Self.ID, n) }

// GroupReaderRank is like ReaderRank, but among all active members. The two differ
// only if the deployment has regions.
func (v *View) GroupReaderRank(n int) int { return rankIn(v.groupReaders(), v.Self.ID, n) }

// GroupReaders returns the ids of the first n active members by rank as readers.
func (v *View) GroupReaders(n int) []string {
	readers := v.groupReaders()
	return readers[:min(n, len(readers))]
}

// Readers returns the ids of the first n active members of the data centre by rank as
// readers of the store.
func (v *View) Readers(n int) []string {
	readers := v.readers()
	return readers[:min(n, len(readers))]
}

// rankIn returns the index of id among the first n of ids, or -1.
func rankIn(ids []string, id string, n int) int { return slices.Index(ids[:min(n, len(ids))], id) }

// ActiveIDs returns the ids of the members that are alive or suspect, that is,
// neither leaving nor dead.
func (v *View) ActiveIDs() []string { return v.activeIDs }

// HasUpstream reports whether a service has an upstream that accepts calls, in any
// data centre.
func (v *View) HasUpstream(service string) bool {
	return len(v.upstreams[service]) > 0 || len(v.Remote.Entries(service)) > 0
}
