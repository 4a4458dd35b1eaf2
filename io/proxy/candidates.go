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
	view     *fleet.View      // that the candidates are of
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
	linkRates map[string]float64 // of the members whose links are bounded, by address
}

func newCandidateCache(node string) *candidateCache {
	return &candidateCache{node: node, byService: map[string]candidates{}, bySide: map[side]candidates{}, linkRates: map[string]float64{}}
}

// linkRate returns the rate of the link of the member at addr in bytes a second, 0 if it is
// not known to be bounded.
func (cc *candidateCache) linkRate(view *fleet.View, addr string) float64 {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.update(view)
	return cc.linkRates[addr]
}

// linksBounded reports whether the link of any member is known to be bounded.
func (cc *candidateCache) linksBounded(view *fleet.View) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.update(view)
	return len(cc.linkRates) > 0
}

// update drops what was computed from another view. The caller holds mu.
func (cc *candidateCache) update(view *fleet.View) {
	if cc.view == view {
		return
	}
	cc.view = view
	clear(cc.byService)
	clear(cc.bySide)
	clear(cc.linkRates)
	for _, m := range view.Members {
		if m.LinkRate > 0 && m.IsUp() {
			cc.linkRates[m.Addr] = m.LinkRate
		}
	}
}

// get returns the candidates for calls to a service in the given view.
func (cc *candidateCache) get(view *fleet.View, service string) candidates {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.update(view)
	c, ok := cc.byService[service]
	if !ok {
		c = newCandidates(cc.node, view, service)
		cc.byService[service] = c
	}
	return c
}

func newCandidates(node string, view *fleet.View, service string) candidates {
	c := candidates{view: view}
	for _, m := range view.Upstreams(service) {
		u := pick.Candidate{
			ID: m.ID, Addr: m.Addr, Slots: m.Slots, Remote: m.DataCentre != view.Self.DataCentre, WarmupEnd: m.WarmupEnd, Version: m.ServerVersion,
		}
		if m.ID != node {
			u.LinkRate = m.LinkRate
		}
		c.upstream = append(c.upstream, u)
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
