package proxy

import (
	"slices"
	"sync"

	"tanagerchute/core/canary"
	"tanagerchute/core/pick"
	"tanagerchute/io/fleet"
)

// candidates are the candidates for the calls to one service.
type candidates struct {
	subset   []pick.Candidate // the upstreams that this node uses
	upstream []pick.Candidate // all upstreams of the service that are known one by one
	entries  []pick.Candidate // entry nodes of other data centres
	isSubset bool             // subset lacks some of upstream
	versions canary.Versions  // slots by version of the upstreams, nil if there is one version only
}

// used returns the candidates that this node normally uses. If local is set, they
// don't include entry nodes.
func (c candidates) used(local bool) []pick.Candidate { return c.withEntries(c.subset, local) }

// all returns all candidates. They are needed if none of those in the subset is
// available.
func (c candidates) all(local bool) []pick.Candidate { return c.withEntries(c.upstream, local) }

func (c candidates) withEntries(cs []pick.Candidate, local bool) []pick.Candidate {
	if local || len(c.entries) == 0 {
		return cs
	}
	return slices.Concat(cs, c.entries)
}

// candidateCache holds the candidates by service, as of one view of the fleet. It
// is safe for concurrent use.
type candidateCache struct {
	node      string // id of this node
	mu        sync.Mutex
	view      *fleet.View
	byService map[string]candidates
	bySide    map[side]candidates
}

func newCandidateCache(node string) *candidateCache {
	return &candidateCache{node: node, byService: map[string]candidates{}, bySide: map[side]candidates{}}
}

// get returns the candidates for calls to a service in the given view.
func (cc *candidateCache) get(view *fleet.View, service string) candidates {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.view != view {
		cc.view = view
		clear(cc.byService)
		clear(cc.bySide)
	}
	c, ok := cc.byService[service]
	if !ok {
		c = newCandidates(cc.node, view, service)
		cc.byService[service] = c
	}
	return c
}

func newCandidates(node string, view *fleet.View, service string) candidates {
	var c candidates
	for _, m := range view.Upstreams(service) {
		c.upstream = append(c.upstream, pick.Candidate{
			ID: m.ID, Addr: m.Addr, Slots: m.Slots, Remote: m.DataCentre != view.Self.DataCentre, WarmupEnd: m.WarmupEnd, Version: m.ServerVersion,
		})
	}
	for _, e := range view.Remote.Entries(service) {
		c.entries = append(c.entries, pick.Candidate{ID: e.Addr, Addr: e.Addr, Slots: e.Slots, Remote: true, Entry: true})
	}
	c.versions = countVersions(c.upstream)
	return c.withSubset(node)
}

// withSubset returns c with the upstreams that a node uses.
func (c candidates) withSubset(node string) candidates {
	c.subset = pick.Subset(node, c.upstream)
	c.isSubset = len(c.subset) < len(c.upstream)
	return c
}
