package proxy

import (
	"tanagerchute/core/canary"
	"tanagerchute/core/pick"
	"tanagerchute/core/rank"
)

// Rollouts divides the calls to a service between the versions of its backend servers, see
// package canary.
type Rollouts interface {
	// Split returns how the calls to a service are divided.
	Split(service string, vs canary.Versions) canary.Split
	// TakeTarget reports whether the next call to a service goes to the version that gets
	// the given share.
	TakeTarget(service string, share float64) bool
}

// side identifies the candidates for one side of a split.
type side struct {
	service string
	split   canary.Split // without its share
	target  bool         // the side of the target version
}

// countVersions returns the slots of cs by version, nil if all have the same one.
func countVersions(cs []pick.Candidate) canary.Versions {
	if len(cs) == 0 {
		return nil
	}
	same := true
	for _, c := range cs {
		same = same && c.Version == cs[0].Version
	}
	if same {
		return nil
	}
	vs := canary.Versions{}
	for _, c := range cs {
		vs[c.Version] += c.Slots
	}
	return vs
}

// selectVersion returns the candidates of the version that the call goes to. That is decided
// at its first attempt. An attempt after one at a version with a share of the calls goes to
// the other version, so that it gets no more than its share.
func (d *dispatchState) selectVersion(cs candidates) candidates {
	if cs.versions == nil || d.p.cfg.Rollouts == nil {
		return cs
	}
	split := d.p.cfg.Rollouts.Split(d.call.Service, cs.versions)
	if split == (canary.Split{}) {
		return cs
	}
	target := split.Share >= 1 || split.Share > 0 && !d.versionChosen && d.p.cfg.Rollouts.TakeTarget(d.call.Service, split.Share)
	d.versionChosen = true
	split.Share = 0
	return d.p.candidates.getSide(cs, side{d.call.Service, split, target})
}

// getSide returns those of cs, the candidates of a service, that are on one side of a split.
// It keeps the result only if cs is of the view that the cache holds.
func (cc *candidateCache) getSide(cs candidates, s side) candidates {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cs.view != cc.view {
		return cs.onSide(cc.node, s)
	}
	out, ok := cc.bySide[s]
	if !ok {
		out = cs.onSide(cc.node, s)
		cc.bySide[s] = out
	}
	return out
}

// onSide returns the candidates on one side of a split. If there are none, it returns those
// on the other side.
func (c candidates) onSide(node string, s side) candidates {
	if s.split.Target == "" {
		return c.without(node, s.split.Abandoned)
	}
	var baseline, target, others []pick.Candidate
	for _, u := range c.upstream {
		switch {
		case u.Version == s.split.Baseline:
			baseline = append(baseline, u)
		case u.Version == s.split.Target:
			target = append(target, u)
		default:
			others = append(others, u)
		}
	}
	if s.split.Servers > 0 {
		target = topServers(s, target)
	}
	order := [][]pick.Candidate{baseline, others, target}
	if s.target {
		order = [][]pick.Candidate{target, baseline, others}
		c.entries = nil // an entry node divides the calls itself
	}
	for _, cs := range order {
		if len(cs) > 0 {
			c.upstream = cs
			break
		}
	}
	return c.withSubset(node)
}

// without returns c without the upstreams of a version, unless it has no others.
func (c candidates) without(node, version string) candidates {
	var kept []pick.Candidate
	for _, u := range c.upstream {
		if u.Version != version {
			kept = append(kept, u)
		}
	}
	if len(kept) == 0 {
		return c
	}
	c.upstream = kept
	return c.withSubset(node)
}

// topServers returns the servers of the canary: the same at all nodes, so that each of them
// gets enough load.
func topServers(s side, cs []pick.Candidate) []pick.Candidate {
	ids := make([]string, len(cs))
	byID := map[string]pick.Candidate{}
	for i, c := range cs {
		ids[i] = c.ID
		byID[c.ID] = c
	}
	var out []pick.Candidate
	for _, id := range rank.Top("canary/"+s.service+"/"+s.split.Target, ids, s.split.Servers) {
		out = append(out, byID[id])
	}
	return out
}
